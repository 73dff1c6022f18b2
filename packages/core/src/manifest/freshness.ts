/**
 * How long ago the active manifest was known to be the newest one in the store.
 *
 * @module
 */
import type * as valibot from 'valibot';
import type {manifestConfirmationSchema} from '../membership/member-schema.js';
import type {ManifestAdoption} from './adoption.js';

/** Statement that a revision was the newest one in the store some time ago. */
export type ManifestConfirmation = Readonly<valibot.InferOutput<typeof manifestConfirmationSchema>>;

/**
 * Time of the latest confirmation of the active revision. A confirmation of a newer revision takes effect when that revision
 * is adopted; one of an older revision has no effect.
 *
 * @example
 * const freshness = new ManifestFreshness(adoption);
 * freshness.observe({number: 7, ageMilliseconds: 300}, now);
 * freshness.age(now + 200); // 500 if revision 7 is active
 */
export class ManifestFreshness {
	readonly #adoption: ManifestAdoption;
	#confirmedAt = -Infinity;
	/** Latest confirmation of the newest revision that is known to exist and is not active yet. */
	#ahead = {number: 0, at: -Infinity};

	constructor(adoption: ManifestAdoption) {
		this.#adoption = adoption;
	}

	/** Milliseconds since the latest confirmation of the active revision; infinite without one. */
	age(now: number): number {
		return now - this.#confirmedAt;
	}

	/** The confirmation to pass on to other nodes; undefined if the latest one is older than the given age. */
	confirmation(now: number, maximumAgeMilliseconds: number): ManifestConfirmation | undefined {
		const ageMilliseconds = Math.ceil(this.age(now));
		return ageMilliseconds > maximumAgeMilliseconds ? undefined : {number: this.#adoption.number, ageMilliseconds};
	}

	/** Processes a confirmation from the store or from another node. */
	observe({number, ageMilliseconds}: ManifestConfirmation, now: number): void {
		const at = now - ageMilliseconds;
		if (number === this.#adoption.number) {
			this.#confirmedAt = Math.max(this.#confirmedAt, at);
		} else if (number > this.#adoption.number && number >= this.#ahead.number) {
			this.#ahead = {number, at: number > this.#ahead.number ? at : Math.max(this.#ahead.at, at)};
		}
	}

	/** Must be called when a revision was adopted. Until its first confirmation it counts as confirmed `initialAgeMilliseconds` ago. */
	adopted(now: number, initialAgeMilliseconds: number): void {
		if (this.#confirmedAt === -Infinity) {
			this.#confirmedAt = now - initialAgeMilliseconds;
		}

		if (this.#ahead.number === this.#adoption.number) {
			this.#confirmedAt = Math.max(this.#confirmedAt, this.#ahead.at);
		}
	}
}
