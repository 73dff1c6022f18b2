/**
 * Limits the retries from one node to one service to a fraction of the successful calls.
 *
 * @module
 */

const defaultBurst = 10;

/**
 * A token bucket: each success adds a fraction of a token, and each retry takes a whole one.
 *
 * @example
 * const budget = new RetryBudget(0.1);
 * budget.recordSuccess();
 * budget.trySpend(); // false when less than one token is left
 */
export class RetryBudget {
	readonly #earnedPerSuccess: number;
	readonly #burst: number;
	#tokens: number;

	/**
	 * @param earnedPerSuccess - tokens that each success adds
	 * @param burst - tokens at the start, and the most that can accumulate
	 */
	constructor(earnedPerSuccess: number, burst = defaultBurst) {
		this.#earnedPerSuccess = earnedPerSuccess;
		this.#burst = burst;
		this.#tokens = burst;
	}

	recordSuccess(): void {
		this.#tokens = Math.min(this.#burst, this.#tokens + this.#earnedPerSuccess);
	}

	/** Takes a token for one retry; returns false when less than one is left. */
	trySpend(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
