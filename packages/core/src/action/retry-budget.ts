/**
 * Limits retries of one edge, from a caller's node to a service, to a share of its successes.
 *
 * @module
 */

const standardBurst = 10;

/**
 * Earns a share of a retry with each success, and pays a whole one for each retry.
 *
 * @example
 * const share = new RetryBudget(0.1);
 * share.earn();
 * share.spend(); // true while the balance holds
 */
export class RetryBudget {
	readonly #earnedPerSuccess: number;
	readonly #burst: number;
	#balance: number;

	/** @param burst - retries at hand at the start, and kept at most */
	constructor(earnedPerSuccess: number, burst = standardBurst) {
		this.#earnedPerSuccess = earnedPerSuccess;
		this.#burst = burst;
		this.#balance = burst;
	}

	earn(): void {
		this.#balance = Math.min(this.#burst, this.#balance + this.#earnedPerSuccess);
	}

	spend(): boolean {
		if (this.#balance < 1) {
			return false;
		}

		this.#balance -= 1;
		return true;
	}
}
