/**
 * Log lines about invalid input of other writers.
 *
 * @module
 */
import type {Logger} from './logs.js';

/** Time between two lines about the same source. */
const repeatMilliseconds = 60_000;

/** Sources that are remembered at the same time. */
const maximumSources = 1000;

/**
 * Logs the problems of each source at most once a minute.
 *
 * @example
 * const problems = new ProblemLog(log, () => performance.now());
 * problems.report('holders/node-2', 'peersPort: expected at least 1');
 */
export class ProblemLog {
	readonly #log: Logger;
	readonly #clock: () => number;
	readonly #loggedAt = new Map<string, number>();

	constructor(log: Logger, clock: () => number) {
		this.#log = log;
		this.#clock = clock;
	}

	report(source: string, problem: string): void {
		const now = this.#clock();
		const loggedAt = this.#loggedAt.get(source);
		if (loggedAt !== undefined && now - loggedAt < repeatMilliseconds) {
			return;
		}

		this.#loggedAt.delete(source);
		this.#loggedAt.set(source, now);
		const [oldest] = this.#loggedAt.keys();
		if (this.#loggedAt.size > maximumSources && oldest !== undefined) {
			this.#loggedAt.delete(oldest);
		}

		this.#log.warn(`ignored ${source}: ${problem}`, {event: 'invalid-input'});
	}
}
