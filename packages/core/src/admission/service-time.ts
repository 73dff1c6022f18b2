/**
 * Estimates how long calls of each kind take in the upstream.
 *
 * @module
 */

const smoothing = 0.1;
const halfLifeMilliseconds = 1000;

type Estimate = {mean: number; updatedAt: number};

/**
 * Smoothed mean for each kind. An estimate that gets no samples fades, so that a kind refused for being too slow is
 * tried again.
 *
 * @example
 * const times = new ServiceTimes();
 * times.record('browse', 12, now);
 * times.expected('browse', now); // about 12 ms
 */
export class ServiceTimes {
	readonly #estimates = new Map<string, Estimate>();
	#overallMean = 0;

	/** Mean over all kinds, in milliseconds; 0 before the first sample. */
	get overallMean(): number {
		return this.#overallMean;
	}

	record(kind: string, milliseconds: number, now: number): void {
		this.#overallMean = this.#overallMean === 0 ? milliseconds : this.#overallMean + (smoothing * (milliseconds - this.#overallMean));
		const estimate = this.#estimates.get(kind);
		if (estimate === undefined) {
			this.#estimates.set(kind, {mean: milliseconds, updatedAt: now});
			return;
		}

		estimate.mean += smoothing * (milliseconds - estimate.mean);
		estimate.updatedAt = now;
	}

	/**
	 * Expected time in milliseconds; 0 for a kind that was never seen. It has no margin: a call with less than a margin
	 * left still succeeds more often than not, and a refusal wastes what the calls around it have done.
	 */
	expected(kind: string, now: number): number {
		const estimate = this.#estimates.get(kind);
		if (estimate === undefined) {
			return 0;
		}

		const idle = now - estimate.updatedAt;
		const fading = idle > halfLifeMilliseconds ? 2 ** -((idle - halfLifeMilliseconds) / halfLifeMilliseconds) : 1;
		return estimate.mean * fading;
	}

	/** Forgets kinds that the manifest no longer states. */
	keepOnly(kinds: ReadonlySet<string>): void {
		[...this.#estimates.keys()].filter(kind => !kinds.has(kind)).map(kind => this.#estimates.delete(kind));
	}
}
