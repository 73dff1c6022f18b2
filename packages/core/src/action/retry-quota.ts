/**
 * The retry quota of one customer action. Each call delegates a part of it to the next node, and the answer returns the
 * unspent rest, so that the retries over the whole call chain never exceed the initial quota.
 *
 * @module
 */

/**
 * Retries that one node may still spend or delegate. Delegated retries that are not reclaimed count as spent.
 *
 * @example
 * const quota = new RetryQuota(3);
 * const delegated = quota.delegate(); // 2: one is kept for a retry at this hop
 * quota.reclaim(delegated, 1); // the next hop spent one
 * quota.remaining; // 2
 */
export class RetryQuota {
	readonly #initial: number;
	#remaining: number;

	constructor(retries: number) {
		this.#initial = retries;
		this.#remaining = retries;
	}

	/** Retries that may still be spent or delegated. */
	get remaining(): number {
		return this.#remaining;
	}

	/** Retries spent here or further down the chain, including delegated ones that are not reclaimed. */
	get spent(): number {
		return this.#initial - this.#remaining;
	}

	/** Spends one retry; returns false when none is left. */
	trySpend(): boolean {
		if (this.#remaining < 1) {
			return false;
		}

		this.#remaining -= 1;
		return true;
	}

	/** Reserves all but one of the remaining retries for the next hop, and returns their number. */
	delegate(): number {
		const delegated = Math.max(0, this.#remaining - 1);
		this.#remaining -= delegated;
		return delegated;
	}

	/** Takes back the unspent ones of the delegated retries. A negative number of spent retries counts as 0. */
	reclaim(delegated: number, spent: number): void {
		const unspent = Math.min(delegated, Math.max(0, delegated - spent));
		this.#remaining = Math.min(this.#initial, this.#remaining + unspent);
	}
}
