/**
 * Which revision of the manifest a node has in force. A lower revision never replaces a higher one.
 *
 * @module
 */
import type {Manifest} from './model.js';

/** A manifest with the number the store gave it. */
export type Revision = {
	readonly number: number;
	/** The document as shipped, for peers that pull it. */
	readonly document: string;
	readonly manifest: Manifest;
};

/** What became of an offered revision. */
export enum AdoptionResult {
	Adopted = 'adopted',
	AlreadyActive = 'already-in-force',
	Older = 'older',
}

/**
 * Holds the revision in force and the highest one heard of.
 *
 * @example
 * const adoption = new ManifestAdoption();
 * adoption.offer({number: 7, document, manifest}); // AdoptionResult.Adopted
 * adoption.offer({number: 6, document, manifest}); // AdoptionResult.Older
 */
export class ManifestAdoption {
	#current: Revision | undefined;
	#highestHeard = 0;

	get current(): Revision | undefined {
		return this.#current;
	}

	/** Number of the revision in force; 0 before the first. */
	get number(): number {
		return this.#current?.number ?? 0;
	}

	/** Whether a higher revision than the one in force is known to exist. */
	get isBehind(): boolean {
		return this.#highestHeard > this.number;
	}

	get highestObserved(): number {
		return this.#highestHeard;
	}

	/** Notes a revision number seen in any message. */
	observe(number: number): void {
		this.#highestHeard = Math.max(this.#highestHeard, number);
	}

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
