/**
 * Hybrid logical clock: times close to the wall clock that never decrease and that respect the order of messages.
 *
 * Follows Kulkarni et al., "Logical Physical Clocks" (OPODIS 2014).
 *
 * @module
 */

import {isReachableTime} from '../clock-lead.js';

const countsPerMillisecond = 4096;

/** A safe integer: milliseconds since the Unix epoch times 4096, plus a counter. */
export type HybridTime = number;

/** Wall-clock part of a hybrid time, in milliseconds since the Unix epoch. */
export function wallTimeOf(time: HybridTime): number {
	return Math.floor(time / countsPerMillisecond);
}

/**
 * Hybrid logical clock of one process.
 *
 * @example
 * const clock = new HybridClock(() => Date.now());
 * const sent = clock.next();
 * clock.observe(received); // all later times of this clock are greater than the received one
 */
export class HybridClock {
	readonly #wallClock: () => number;
	#last = 0;

	constructor(wallClock: () => number) {
		this.#wallClock = wallClock;
	}

	/** A time greater than all times returned or observed before. */
	next(): HybridTime {
		this.#last = Math.max(this.#last + 1, Math.floor(this.#wallClock()) * countsPerMillisecond);
		return this.#last;
	}

	/** Advances the clock to a received time. A value that no clock of the system can have reached is ignored. */
	observe(time: HybridTime): void {
		const isValid = Number.isSafeInteger(time) && isReachableTime(wallTimeOf(time), this.#wallClock());
		this.#last = Math.max(this.#last, isValid ? time : 0);
	}
}
