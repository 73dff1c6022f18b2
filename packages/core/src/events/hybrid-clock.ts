/**
 * Hybrid logical clock: wall-clock times that never run backwards and that follow the order of messages.
 *
 * Source: Kulkarni et al., "Logical Physical Clocks" (OPODIS 2014).
 *
 * @module
 */

const countsPerMillisecond = 4096;

/** A time as one whole number: milliseconds since the epoch times 4096, plus a counter. */
export type HybridTime = number;

/** Milliseconds since the epoch. */
export function wallTimeOf(time: HybridTime): number {
	return Math.floor(time / countsPerMillisecond);
}

/**
 * A process's clock.
 *
 * @example
 * const clock = new HybridClock(() => Date.now());
 * const sent = clock.next();
 * clock.observe(received); // later times of this clock follow the received one
 */
export class HybridClock {
	readonly #wallClock: () => number;
	#last = 0;

	constructor(wallClock: () => number) {
		this.#wallClock = wallClock;
	}

	next(): HybridTime {
		this.#last = Math.max(this.#last + 1, Math.floor(this.#wallClock()) * countsPerMillisecond);
		return this.#last;
	}

	observe(time: HybridTime): void {
		this.#last = Math.max(this.#last, Number.isSafeInteger(time) ? time : 0);
	}
}
