/**
 * Bounds the lines of a log.
 *
 * @module
 */

const windowMilliseconds = 1000;

type Window = {startedAt: number; written: number; dropped: number};

/** Whether a line may be written, and how many of its kind were left out since the last report. */
export type LineGrant = {readonly isGranted: boolean; readonly dropped: number};

/**
 * Grants each kind of line so many lines a second, and tells how many were left out once lines flow again.
 *
 * @example
 * const budget = new LineBudget(20);
 * budget.take('refused', now); // {isGranted: true, dropped: 0}
 */
export class LineBudget {
	readonly #linesPerSecond: number;
	readonly #windows = new Map<string, Window>();

	constructor(linesPerSecond: number) {
		this.#linesPerSecond = linesPerSecond;
	}

	take(kind: string, now: number): LineGrant {
		const window = this.#windows.get(kind);
		if (window === undefined || now - window.startedAt >= windowMilliseconds || now < window.startedAt) {
			this.#windows.set(kind, {startedAt: now, written: 1, dropped: 0});
			return {isGranted: true, dropped: window?.dropped ?? 0};
		}

		if (window.written < this.#linesPerSecond) {
			window.written += 1;
			return {isGranted: true, dropped: 0};
		}

		window.dropped += 1;
		return {isGranted: false, dropped: 0};
	}
}
