/**
 * Time that an upstream waits for the nested calls of one call.
 *
 * @module
 */

/**
 * Total time during which at least one nested call is open.
 *
 * @example
 * const nested = new NestedTime();
 * nested.start(10);
 * nested.end(25);
 * nested.total(40); // 15
 */
export class NestedTime {
	#openCount = 0;
	#openSince = 0;
	#milliseconds = 0;

	start(now: number): void {
		this.#openSince = this.#openCount === 0 ? now : this.#openSince;
		this.#openCount += 1;
	}

	/** An end without a matching start has no effect. */
	end(now: number): void {
		if (this.#openCount === 0) {
			return;
		}

		this.#openCount -= 1;
		this.#milliseconds += this.#openCount === 0 ? now - this.#openSince : 0;
	}

	/** Total in milliseconds up to now, including nested calls that are still open. */
	total(now: number): number {
		return this.#milliseconds + (this.#openCount > 0 ? now - this.#openSince : 0);
	}
}
