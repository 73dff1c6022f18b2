/**
 * Time limits. Nodes pass on the time left, never a wall-clock time, so their clocks need not agree.
 *
 * @module
 */

/** Longest time an entry waits for the reply to a cancellation, in milliseconds. */
export const cancelWaitMilliseconds = 100;

/**
 * Time a call may take: the manifest's, or less if the caller or the enclosing call has less.
 *
 * @returns milliseconds, never negative
 * @example
 * allowedTime(800, 300, undefined); // 300
 */
export function allowedTime(waitMilliseconds: number, callerMilliseconds?: number, enclosingMilliseconds?: number): number {
	return Math.max(0, Math.min(waitMilliseconds, callerMilliseconds ?? Infinity, enclosingMilliseconds ?? Infinity));
}

/**
 * Time to hand to the next node: what is left, less the estimate of the link's one-way time there and back.
 *
 * @example
 * nextHopTimeoutMilliseconds(1000, 400, 20); // 560
 */
export function nextHopTimeoutMilliseconds(deadline: number, now: number, linkMilliseconds: number): number {
	return Math.max(0, deadline - now - (2 * linkMilliseconds));
}
