/**
 * The account of retries of one customer action. Parts of it travel down with the calls, and the rest comes back
 * with the answers, so that retries over the whole chain never exceed what the account was opened with.
 *
 * @module
 */

/**
 * Retries that one holder may still spend or hand down. What was handed down and never given back counts as spent.
 *
 * @example
 * const account = new RetryQuota(3);
 * const part = account.delegate(); // 2: one is kept for a retry at this hop
 * account.reclaim(part, 1); // the part below spent one
 * account.remaining; // 2
 */
export class RetryQuota {
	readonly #opened: number;
	#remaining: number;

	constructor(retries: number) {
		this.#opened = retries;
		this.#remaining = retries;
	}

	get remaining(): number {
		return this.#remaining;
	}

	/** Retries spent here or below, and those whose fate is not known. */
	get spent(): number {
		return this.#opened - this.#remaining;
	}

	/** Takes one retry; false when none is left. */
	spend(): boolean {
		if (this.#remaining < 1) {
			return false;
		}

		this.#remaining -= 1;
		return true;
	}

	/** Takes a part for the next hop; one retry is kept for this hop. */
	delegate(): number {
		const part = Math.max(0, this.#remaining - 1);
		this.#remaining -= part;
		return part;
	}

	/** Returns what a part has left. A reply that claims less than nothing spent is not believed. */
	reclaim(part: number, spent: number): void {
		const left = Math.min(part, Math.max(0, part - spent));
		this.#remaining = Math.min(this.#opened, this.#remaining + left);
	}
}
