/**
 * Estimated service time of the upstream per request kind.
 *
 * @module
 */

/** Weight of a new sample in the EWMA. */
const smoothingFactor = 0.1;

/** An estimate without samples is kept for this time and then halves in each further period of this length. */
const decayMilliseconds = 1000;

type Estimate = {mean: number; updatedAt: number};

/**
 * EWMA of the service time per kind. An estimate without new samples decays, so that a kind that was refused as too slow
 * is admitted again.
 *
 * @example
 * const times = new ServiceTimes();
 * times.record('browse', 12, now);
 * times.expected('browse', now); // about 12 ms
 */
export class ServiceTimes {
	readonly #estimates = new Map<string, Estimate>();
	#overallMean = 0;

	/** EWMA over all kinds, in milliseconds; 0 before the first sample. */
	get overallMean(): number {
		return this.#overallMean;
	}

	record(kind: string, milliseconds: number, now: number): void {
		this.#overallMean = this.#overallMean === 0 ? milliseconds : this.#overallMean + (smoothingFactor * (milliseconds - this.#overallMean));
		const estimate = this.#estimates.get(kind);
		if (estimate === undefined) {
			this.#estimates.set(kind, {mean: milliseconds, updatedAt: now});
			return;
		}

		estimate.mean += smoothingFactor * (milliseconds - estimate.mean);
		estimate.updatedAt = now;
	}

	/**
	 * Expected service time in milliseconds; 0 for a kind without samples. It contains no safety margin: a call whose time
	 * left is within such a margin still succeeds more often than not, and its refusal wastes the work of the calls that
	 * led to it.
	 */
	expected(kind: string, now: number): number {
		const estimate = this.#estimates.get(kind);
		if (estimate === undefined) {
			return 0;
		}

		const idle = now - estimate.updatedAt;
		const decay = idle > decayMilliseconds ? 2 ** -((idle - decayMilliseconds) / decayMilliseconds) : 1;
		return estimate.mean * decay;
	}

	/** Removes the estimates of all other kinds, which the manifest no longer contains. */
	keepOnly(kinds: ReadonlySet<string>): void {
		[...this.#estimates.keys()].filter(kind => !kinds.has(kind)).map(kind => this.#estimates.delete(kind));
	}
}
