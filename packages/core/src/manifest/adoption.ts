/**
 * The manifest revision that is active at a node. A lower revision never replaces a higher one.
 *
 * @module
 */
import {formatIssue, type Manifest, type ManifestIssue} from './model.js';

/** Bounds the length of a log line. */
const maximumDescribedIssues = 8;

/** A manifest with its revision number, which the store assigns or the document itself carries. */
export type Revision = {
	readonly number: number;
	/** The document as shipped; peers pull it in this form. */
	readonly document: string;
	readonly manifest: Manifest;
	/** Invalid parts of the document that the manifest lacks. */
	readonly issues?: readonly ManifestIssue[];
};

/** Cause text of the event for a revision with invalid parts; no cause for one without. */
export function describeIssues({issues = []}: Revision): {readonly cause?: string} {
	const texts = issues.slice(0, maximumDescribedIssues).map(issue => formatIssue(issue));
	const omitted = issues.length > texts.length ? [`and ${issues.length - texts.length} more`] : [];
	return issues.length === 0 ? {} : {cause: `invalid parts are left out: ${[...texts, ...omitted].join('; ')}`};
}

/** Result of offering a revision. */
export enum AdoptionResult {
	Adopted = 'adopted',
	AlreadyActive = 'already-in-force',
	Older = 'older',
}

/**
 * Holds the active revision, and the highest revision number that is known to exist.
 *
 * @example
 * const adoption = new ManifestAdoption();
 * adoption.offer({number: 7, document, manifest}); // AdoptionResult.Adopted
 * adoption.offer({number: 6, document, manifest}); // AdoptionResult.Older
 */
export class ManifestAdoption {
	#current: Revision | undefined;
	#highestObserved = 0;

	get current(): Revision | undefined {
		return this.#current;
	}

	/** Number of the active revision; 0 before the first. */
	get number(): number {
		return this.#current?.number ?? 0;
	}

	/** Whether a higher revision than the active one is known to exist. */
	get isBehind(): boolean {
		return this.#highestObserved > this.number;
	}

	get highestObserved(): number {
		return this.#highestObserved;
	}

	/** Records a revision number that a message mentioned. */
	observe(number: number): void {
		this.#highestObserved = Math.max(this.#highestObserved, number);
	}

	/** Makes the revision active if it is higher than the active one. */
	offer(revision: Revision): AdoptionResult {
		this.observe(revision.number);
		if (revision.number === this.number) {
			return AdoptionResult.AlreadyActive;
		}

		if (revision.number < this.number) {
			return AdoptionResult.Older;
		}

		this.#current = revision;
		return AdoptionResult.Adopted;
	}
}
