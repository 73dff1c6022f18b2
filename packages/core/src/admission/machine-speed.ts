/**
 * Momentary slowness of a machine, from the reports of its upstream.
 *
 * @module
 */

/** A report that differs by more than this share from the last one starts a new period. */
const changeShare = 0.2;

/** Weight of a finished period in the mean length of slow periods. */
const periodSmoothingFactor = 0.2;
const initialPeriodMilliseconds = 300;
const minimumPeriodMilliseconds = 20;
const maximumPeriodMilliseconds = 2000;

/** A report that claims more is taken as this. */
const maximumSlowdown = 20;

/** Share of the evidence that remains after each further call. */
const evidenceRetention = 0.995;

/** Initial evidence in favour of reports, as the sum of the squared excesses of four calls at 2.5 times the usual time. */
const initialEvidence = 9;

/**
 * Slowness as a factor of the usual time, at least 1: a report can make an upstream look slower than measured and never
 * faster. Its excess decays with the mean length of the slow periods observed so far, so a report counts only as long as
 * reports have been observed to remain valid. Measured times of calls correct reports that exaggerate.
 *
 * @example
 * const speed = new MachineSpeed();
 * speed.report(2.5, now);
 * speed.slowdown(now); // 2.5
 */
export class MachineSpeed {
	#value = 1;
	#reportedAt = -Infinity;
	#periodSince = -Infinity;
	#periodMilliseconds = initialPeriodMilliseconds;
	#evidence = initialEvidence;
	#confirmed = initialEvidence;

	/** Time since the last report in milliseconds; infinite without one. */
	age(now: number): number {
		return now - this.#reportedAt;
	}

	/**
	 * Records a report; ignored when a later one is known.
	 *
	 * @param value - time that work takes, as a factor of the usual time
	 */
	report(value: number, at: number): void {
		if (at < this.#reportedAt) {
			return;
		}

		const reported = Math.min(maximumSlowdown, Math.max(1, value));
		if (Math.abs(reported - this.#value) > changeShare * this.#value) {
			this.#endPeriod(at);
			this.#periodSince = at;
		}

		this.#value = reported;
		this.#reportedAt = at;
	}

	/** Factor by which work takes longer now than usual, at least 1. */
	slowdown(now: number): number {
		const remaining = Math.exp(-Math.max(0, this.age(now)) / this.#periodMilliseconds);
		return 1 + (this.#trust * (this.#value - 1) * remaining);
	}

	/**
	 * Compares a finished call with what the reports claimed while it ran.
	 *
	 * @param claimed - slowdown that the reports claimed
	 * @param ratio - its time as a factor of the usual time of its kind
	 */
	confirm(claimed: number, ratio: number): void {
		const excess = Math.max(0, claimed - 1);
		if (excess === 0) {
			return;
		}

		this.#evidence = (this.#evidence * evidenceRetention) + (excess * excess);
		this.#confirmed = (this.#confirmed * evidenceRetention) + (excess * (Math.min(ratio, claimed * 2) - 1));
	}

	/** The last report as it was made, regardless of its age and of the measured times. */
	get claimed(): number {
		return this.#value;
	}

	/** Share of the reported excess that the measured times confirm, in [0, 1]. */
	get #trust(): number {
		return Math.min(1, Math.max(0, this.#confirmed / this.#evidence));
	}

	#endPeriod(now: number): void {
		if (this.#value <= 1 + changeShare || !Number.isFinite(this.#periodSince)) {
			return;
		}

		const lasted = Math.min(maximumPeriodMilliseconds, Math.max(minimumPeriodMilliseconds, now - this.#periodSince));
		this.#periodMilliseconds += periodSmoothingFactor * (lasted - this.#periodMilliseconds);
	}
}
