/**
 * Forecast of whether requests of one kind end well, from the recent outcomes at one entry node, and the admission by it.
 *
 * @module
 */
import {highestPriority} from '../importance.js';

/**
 * Time in which an outcome loses half of its weight. The successes before a trouble then count little after a second; with
 * 700 ms, 5 to 20 % more requests of eight calls failed. A shorter time leaves too little evidence at a few requests per second.
 */
const halfLifeMilliseconds = 500;

/** Least weight of the outcomes, in requests, on which a kind is refused. */
const minimumEvidence = 3;

/**
 * Requests are refused when at most this share of them ends well. Requests that need one call of a service that refuses 55 %
 * end well with a share of 0.45 and are not refused.
 */
const lowestShare = 0.25;

/** Standard deviations that the share must be below `lowestShare`, so that a short run of failures does not count. */
const deviations = 1;

/**
 * Sequential test (CUSUM) for a share of 0.1 against one of 0.45: the log-likelihood ratio of each outcome, and the sum at
 * which a kind is refused. It notices a fall after about 20 failures, before the earlier successes have lost their weight. Its
 * sum rises only at shares below 0.25. With a sum of 6, 14 % of 500 requests/s with a share of 0.45 were refused; with 9, 1 %.
 */
const goodEvidence = Math.log(0.1 / 0.45);
const badEvidence = Math.log(0.9 / 0.55);
const refusingEvidence = 9;

/** Share of the arrivals that is let through as probes while a kind is refused. With 0.2, 15 % more requests of eight calls failed at 30 entry nodes (trial). */
const probeShare = 0.1;

/** Least time between two probes. */
const probeIntervalMilliseconds = 150;

/** Time after which a probe is let through regardless of `probeShare`, so that kinds with few requests notice the end of the trouble. */
const longestProbeIntervalMilliseconds = 500;

/** Time without a failure, and without a probe that runs, after which a kind is no longer refused. */
const silenceMilliseconds = 1000;

/** Time between two steps of the reopening. */
const stepMilliseconds = 200;

/** Failures without a success that end the reopening. */
const failuresUntilRefusing = 2;

/** Step by which the level of priorities follows the arrivals. */
const levelStep = 32;

/** Phases of the admission of one request kind. */
export enum ForecastPhase {
	Open = 'open',
	/** Only probes are let through. */
	Refusing = 'refusing',
	/** A quarter of the requests is let through. */
	QuarterOpen = 'quarter-open',
	HalfOpen = 'half-open',
}

/** Share of the arrivals whose priority is high enough in each phase. */
const admittedShares: Readonly<Record<ForecastPhase, number>> = {
	[ForecastPhase.Open]: 1,
	[ForecastPhase.Refusing]: 0.25,
	[ForecastPhase.QuarterOpen]: 0.25,
	[ForecastPhase.HalfOpen]: 0.5,
};

/**
 * Admission of one request kind at one entry node.
 *
 * @example
 * const forecast = new SuccessForecast();
 * const {period} = forecast;
 * if (forecast.admit(priority, now)) forecast.ended(period, false, now); // the request has failed
 */
export class SuccessForecast {
	/** Number of the current period. A period begins when the kind is refused, and when it reopens; outcomes of requests of earlier periods do not count. */
	period = 0;
	#phase = ForecastPhase.Open;
	#phaseStartedAt = 0;
	#refusingSince = 0;
	#good = 0;
	#total = 0;
	/** Sum of the sequential test, at least 0. */
	#sum = 0;
	#weighedAt = 0;
	#running = 0;
	#lastFailureAt = 0;
	#lastProbeAt = -Infinity;
	/** Probes that the arrivals have earned. */
	#probes = 0;
	/** Lowest priority that is let through. */
	#level = 0;
	#lastPriority = 0;

	readonly #admissions: Readonly<Record<ForecastPhase, (priority: number, now: number) => boolean>> = {
		[ForecastPhase.Open]: () => true,
		[ForecastPhase.Refusing]: (priority, now) => this.#admitProbe(priority, now),
		[ForecastPhase.QuarterOpen]: (priority, now) => this.#admitStep(ForecastPhase.HalfOpen, priority, now),
		[ForecastPhase.HalfOpen]: (priority, now) => this.#admitStep(ForecastPhase.Open, priority, now),
	};

	get phase(): ForecastPhase {
		return this.#phase;
	}

	/** Share of the recent requests that ended well; 1 without evidence. */
	get share(): number {
		return this.#total === 0 ? 1 : this.#good / this.#total;
	}

	/** Weight of the recent outcomes, in requests. */
	get evidence(): number {
		return this.#total;
	}

	/** Milliseconds since the kind is refused. */
	age(now: number): number {
		return now - this.#refusingSince;
	}

	/** Whether a request is let through. Each request is asked for once, and those that are let through must be ended. */
	admit(priority: number, now: number): boolean {
		const isAdmitted = this.#admissions[this.#phase](priority, now);
		this.#lastPriority = priority;
		this.#running += isAdmitted ? 1 : 0;
		return isAdmitted;
	}

	/** Lets through a request that `admit` has refused. */
	admitAnyway(): void {
		this.#running += 1;
	}

	/**
	 * Processes the end of a request that was let through.
	 *
	 * @param period - period in which the request was let through
	 * @param isGood - undefined for an outcome that says nothing about later requests
	 */
	ended(period: number, isGood: boolean | undefined, now: number): void {
		if (period !== this.period) {
			return;
		}

		this.#running -= 1;
		if (isGood === undefined) {
			return;
		}

		this.#weigh(now);
		this.#total += 1;
		this.#good += isGood ? 1 : 0;
		this.#sum = Math.max(0, this.#sum + (isGood ? goodEvidence : badEvidence));
		this.#lastFailureAt = isGood ? this.#lastFailureAt : now;
		if (this.#phase === ForecastPhase.Refusing) {
			if (isGood) {
				this.#startPeriod(ForecastPhase.QuarterOpen, now);
			}
		} else if (this.#isFailing) {
			this.#refusingSince = this.#phase === ForecastPhase.Open ? now : this.#refusingSince;
			this.#startPeriod(ForecastPhase.Refusing, now);
		}
	}

	get #isFailing(): boolean {
		const failures = this.#total - this.#good;
		const isReopeningFailing = this.#phase !== ForecastPhase.Open && this.#good === 0 && failures > failuresUntilRefusing - 0.5;
		return isReopeningFailing || this.#sum >= refusingEvidence || (this.#total >= minimumEvidence && upperShare(this.share, this.#total) < lowestShare);
	}

	#weigh(now: number): void {
		const factor = 0.5 ** ((now - this.#weighedAt) / halfLifeMilliseconds);
		this.#good *= factor;
		this.#total *= factor;
		this.#sum *= factor;
		this.#weighedAt = now;
	}

	#startPeriod(phase: ForecastPhase, now: number): void {
		this.period += 1;
		this.#running = 0;
		this.#sum = 0;
		this.#startPhase(phase, now);
		if (phase === ForecastPhase.Refusing) {
			this.#probes = 0;
			this.#level = Math.max(this.#level, this.#lastPriority);
			this.#lastProbeAt = now;
			return;
		}

		this.#good = 0;
		this.#total = 0;
	}

	#startPhase(phase: ForecastPhase, now: number): void {
		this.#phase = phase;
		this.#phaseStartedAt = now;
	}

	#admitProbe(priority: number, now: number): boolean {
		if (this.#running === 0 && now - Math.max(this.#lastFailureAt, this.#phaseStartedAt) >= silenceMilliseconds) {
			this.#startPeriod(ForecastPhase.QuarterOpen, now);
			return this.#isAboveLevel(priority);
		}

		this.#probes = Math.min(1, this.#probes + probeShare);
		const interval = now - this.#lastProbeAt;
		const isEarned = this.#probes > 0.999 && interval >= probeIntervalMilliseconds && this.#isAboveLevel(priority);
		const isAdmitted = isEarned || (this.#running === 0 && interval >= longestProbeIntervalMilliseconds);
		if (isAdmitted) {
			this.#probes = 0;
			this.#lastProbeAt = now;
		}

		return isAdmitted;
	}

	#admitStep(next: ForecastPhase, priority: number, now: number): boolean {
		if (now - this.#phaseStartedAt < stepMilliseconds) {
			return this.#isAboveLevel(priority);
		}

		this.#startPhase(next, now);
		return this.#admissions[next](priority, now);
	}

	/** Compares a priority with the level and moves the level so that the share of the phase is above it. */
	#isAboveLevel(priority: number): boolean {
		const share = admittedShares[this.#phase];
		const isAbove = priority >= this.#level;
		const level = this.#level + (levelStep * (isAbove ? 1 - share : -share));
		this.#level = Math.min(highestPriority, Math.max(0, level));
		return isAbove;
	}
}

/** Upper end of the confidence interval (Wilson) of a share that was measured on a number of requests. */
function upperShare(share: number, requests: number): number {
	const squared = (deviations ** 2) / requests;
	return (share + (squared / 2) + (deviations * Math.sqrt(((share * (1 - share)) / requests) + (squared / (4 * requests))))) / (1 + squared);
}
