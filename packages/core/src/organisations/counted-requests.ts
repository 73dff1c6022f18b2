/**
 * The open requests that were counted against the quotas of their organisations.
 *
 * @module
 */
import {ErrorKind, Outcome} from '../errors.js';
import type {CallError} from '../messages.js';
import type {QuotaGate} from './quota-gate.js';

/**
 * Counts each caller's request once, and returns the count of a request that ends without having run.
 *
 * @example
 * const counted = new CountedRequests(gate);
 * counted.admit(1, 'pulo780', now); // undefined, or the error with which the request is refused
 * counted.ended(1, Outcome.NotRun, now); // returns the count
 */
export class CountedRequests {
	readonly #gate: QuotaGate;
	readonly #organisationByEntryId = new Map<number, string>();

	constructor(gate: QuotaGate) {
		this.#gate = gate;
	}

	/** Number of counted requests that have not ended. */
	get size(): number {
		return this.#organisationByEntryId.size;
	}

	/** Counts a request; returns the error `quota-exceeded` when the quota has no room for it. */
	admit(entryId: number, organisation: string, now: number): CallError | undefined {
		const decision = this.#gate.admit(organisation, now);
		if (decision.admitted) {
			this.#organisationByEntryId.set(entryId, organisation);
			return undefined;
		}

		const {retryAfterMilliseconds} = decision;
		return {
			kind: ErrorKind.QuotaExceeded,
			detail: `Organisation ${organisation} is above its quota for another ${Math.ceil(retryAfterMilliseconds)} ms`,
			retryAfterMilliseconds,
		};
	}

	/** Processes the end of a request. One that was not counted, such as a nested call, has no effect. */
	ended(entryId: number, outcome: Outcome, now: number): void {
		const organisation = this.#organisationByEntryId.get(entryId);
		if (organisation === undefined) {
			return;
		}

		this.#organisationByEntryId.delete(entryId);
		if (outcome === Outcome.NotRun) {
			this.#gate.giveBack(organisation, now);
		}
	}
}
