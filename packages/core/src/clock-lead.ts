/**
 * Limit on how far a time from another process may be ahead of the own clock.
 *
 * @module
 */

/** Clocks of VMs may differ by minutes. A time further ahead cannot have been reached by any clock of the system. */
export const maximumClockLeadMilliseconds = 3_600_000;

/** Whether a clock of the system can have reached the time, both in milliseconds since the Unix epoch. */
export function isReachableTime(time: number, wallClock: number): boolean {
	return time <= wallClock + maximumClockLeadMilliseconds;
}
