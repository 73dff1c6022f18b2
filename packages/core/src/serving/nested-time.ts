/**
 * The time that an upstream waits for calls of its own.
 *
 * @module
 */

/**
 * Adds up the time in which at least one nested call of a call is open.
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

	/** The end of a call that was not seen to start changes nothing. */
	end(now: number): void {
		if (this.#openCount === 0) {
			return;
		}

		this.#openCount -= 1;
		this.#milliseconds += this.#openCount === 0 ? now - this.#openSince : 0;
	}

	/** Milliseconds so far, calls that are still open included. */
	total(now: number): number {
		return this.#milliseconds + (this.#openCount > 0 ? now - this.#openSince : 0);
	}
}
