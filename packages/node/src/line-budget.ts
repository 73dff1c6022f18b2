/**
 * Rate limit for log lines.
 *
 * @module
 */

const windowMilliseconds = 1000;

type Window = {startedAt: number; written: number; dropped: number};

/** Whether a line may be written, and how many lines of its kind were dropped in the window before. */
export type LineDecision = {readonly isAllowed: boolean; readonly dropped: number};

/**
 * Limits the lines of each kind per second. The first line of the next window reports how many were dropped before it.
 *
 * @example
 * const budget = new LineBudget(20);
 * budget.request('refused', now); // {isAllowed: true, dropped: 0}
 */
export class LineBudget {
	readonly #linesPerSecond: number;
	readonly #windows = new Map<string, Window>();

	constructor(linesPerSecond: number) {
		this.#linesPerSecond = linesPerSecond;
	}

	/** Counts a line of a kind; `now` is in milliseconds. A clock that is set back starts a new window. */
	request(kind: string, now: number): LineDecision {
		const window = this.#windows.get(kind);
		if (window === undefined || now - window.startedAt >= windowMilliseconds || now < window.startedAt) {
			this.#windows.set(kind, {startedAt: now, written: 1, dropped: 0});
			return {isAllowed: true, dropped: window?.dropped ?? 0};
		}

		if (window.written < this.#linesPerSecond) {
			window.written += 1;
			return {isAllowed: true, dropped: 0};
		}

		window.dropped += 1;
		return {isAllowed: false, dropped: 0};
	}
}
