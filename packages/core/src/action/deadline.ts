/**
 * Deadline propagation. Nodes pass on the time left, never a wall-clock time, so their clocks need not be synchronised.
 *
 * @module
 */

/** Longest time that the entry node waits for the reply to a cancellation. */
export const cancelWaitMilliseconds = 100;

/**
 * Time limit of a call: the shortest of those of the manifest, the caller and the parent call.
 *
 * @returns milliseconds, never negative
 * @example
 * allowedMilliseconds(800, 300, undefined); // 300
 */
export function allowedMilliseconds(waitMilliseconds: number, callerMilliseconds?: number, parentMilliseconds?: number): number {
	return Math.max(0, Math.min(waitMilliseconds, callerMilliseconds ?? Infinity, parentMilliseconds ?? Infinity));
}

/**
 * Time limit that is passed on to the next node: the time left, less the round trip over the link.
 *
 * @param linkMilliseconds - estimated one-way time
 * @returns milliseconds, never negative
 * @example
 * nextHopTimeoutMilliseconds(1000, 400, 20); // 560
 */
export function nextHopTimeoutMilliseconds(deadline: number, now: number, linkMilliseconds: number): number {
	return Math.max(0, deadline - now - (2 * linkMilliseconds));
}
