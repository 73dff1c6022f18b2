/**
 * Adaptive concurrency limit of one upstream. It ramps up from a cold start. It decreases when fewer calls in flight
 * make each call faster (congestion), but not when the upstream is slow at any concurrency.
 *
 * @module
 */

/** Share of the slots that a cold upstream starts with. */
const coldStartShare = 0.1;
const minimumWindowSamples = 30;
const maximumWindowMilliseconds = 1000;

/** Multiple of the latency floor above which a window counts as slow. */
const latencyTolerance = 2;
const decreaseFactor = 0.8;

/** A probe finds congestion if the latency falls by more than this share of the relative decrease of the limit. */
const congestionLatencyShare = 0.5;

/** Share of the slots that remains while the upstream reports itself unhealthy. */
const unhealthySlotShare = 0.25;

/** A call counts as saturated if at least this share of the limit was in flight when it was dispatched. */
const saturationShare = 0.8;

/** A window counts as saturated if at least this share of its calls is. */
const saturatedWindowShare = 0.5;

export enum LimitPhase {
	/** The limit doubles each time as many calls have succeeded as it allows in flight. */
	ColdStart = 'cold-start',
	/** The limit grows by one per saturated window while the latency is near its floor. */
	Steady = 'steady',
	/** The limit is decreased for one window, to measure whether the latency falls with it. */
	Probing = 'probing',
}

/** Measurement of one finished call. */
export type LimitSample = {
	/** Time in the upstream minus the time that it waited for its nested calls, in milliseconds. */
	readonly ownMilliseconds: number;
	/** Whether the upstream refused the call for lack of capacity. */
	readonly isShed: boolean;
	/** Calls in flight when this one was dispatched, including itself. */
	readonly inFlight: number;
};

/**
 * Concurrency limit between 1 and the number of slots that the upstream announced.
 *
 * @example
 * const limit = new AdaptiveLimit(140);
 * limit.value; // 14 at a cold start
 * limit.record({ownMilliseconds: 12, isShed: false, inFlight: 14}, now);
 */
export class AdaptiveLimit {
	#slots: number;
	#reportedLimit = Infinity;
	#limit: number;
	#phase = LimitPhase.ColdStart;
	#successesInRound = 0;
	#floorMilliseconds = Infinity;
	#beforeProbe = {limit: 0, milliseconds: 0};
	#window = emptyWindow(0);
	#lastWindow = {milliseconds: 0, saturatedShare: 0};

	constructor(slots: number) {
		this.#slots = Math.max(1, slots);
		this.#limit = this.#coldStartLimit();
	}

	/** Number of calls that may be in flight. */
	get value(): number {
		return Math.max(1, Math.floor(Math.min(this.#limit, this.#slots, this.#reportedLimit)));
	}

	get phase(): LimitPhase {
		return this.#phase;
	}

	get slots(): number {
		return this.#slots;
	}

	/** Phase and last measurements, as text for the event log. */
	get cause(): string {
		const {milliseconds, saturatedShare} = this.#lastWindow;
		return `${this.#phase}: ${milliseconds.toFixed(1)} ms, floor ${this.#floorMilliseconds.toFixed(1)} ms, saturated ${saturatedShare.toFixed(2)}`;
	}

	/** Sets the announced slots. Fewer slots lower the limit at once; with more slots it grows step by step. */
	setSlots(slots: number): void {
		this.#slots = Math.max(1, slots);
		this.#limit = Math.min(this.#limit, this.#slots);
	}

	/**
	 * Applies the upstream's report about itself. A report can only lower the limit, never raise it.
	 *
	 * @param isHealthy - whether the upstream reports itself healthy
	 * @param foreignInFlight - calls in flight at the upstream that this node did not send
	 */
	applyUpstreamReport(isHealthy: boolean, foreignInFlight: number): void {
		const share = isHealthy ? 1 : unhealthySlotShare;
		this.#reportedLimit = Math.max(1, (this.#slots * share) - Math.max(0, foreignInFlight));
	}

	/** Returns to a cold start, after a restart of the upstream. */
	restart(now: number): void {
		this.#phase = LimitPhase.ColdStart;
		this.#limit = this.#coldStartLimit();
		this.#successesInRound = 0;
		this.#floorMilliseconds = Infinity;
		this.#window = emptyWindow(now);
	}

	/** Records a finished call. Of several shed calls in one window only the first lowers the limit. */
	record(sample: LimitSample, now: number): void {
		if (sample.isShed) {
			this.#recordShed(now);
			return;
		}

		this.#growColdStart();
		const wasDispatchedBeforeProbe = this.#phase === LimitPhase.Probing && sample.inFlight > this.value;
		if (wasDispatchedBeforeProbe) {
			return;
		}

		this.#addToWindow(sample);
		if (this.#isWindowFull(now)) {
			this.#closeWindow(now);
		}
	}

	#coldStartLimit(): number {
		return Math.max(1, Math.floor(this.#slots * coldStartShare));
	}

	#recordShed(now: number): void {
		if (this.#window.hasShed) {
			return;
		}

		this.#limit = Math.max(1, this.#limit * decreaseFactor);
		this.#phase = LimitPhase.Steady;
		this.#window = {...emptyWindow(now), hasShed: true};
	}

	#growColdStart(): void {
		if (this.#phase !== LimitPhase.ColdStart) {
			return;
		}

		this.#successesInRound += 1;
		if (this.#successesInRound < this.#limit) {
			return;
		}

		this.#successesInRound = 0;
		this.#limit = Math.min(this.#slots, this.#limit * 2);
		if (this.#limit >= this.#slots) {
			this.#phase = LimitPhase.Steady;
		}
	}

	#addToWindow(sample: LimitSample): void {
		this.#window.samples += 1;
		this.#window.totalMilliseconds += sample.ownMilliseconds;
		if (sample.inFlight >= this.value * saturationShare) {
			this.#window.saturated += 1;
		}
	}

	#isWindowFull(now: number): boolean {
		const {samples, startedAt} = this.#window;
		return samples >= Math.max(minimumWindowSamples, this.value) || (samples > 0 && now - startedAt >= maximumWindowMilliseconds);
	}

	#closeWindow(now: number): void {
		const {samples, totalMilliseconds, saturated} = this.#window;
		this.#window = emptyWindow(now);
		const mean = totalMilliseconds / samples;
		this.#lastWindow = {milliseconds: mean, saturatedShare: saturated / samples};
		if (samples < minimumWindowSamples && this.#phase === LimitPhase.Probing) {
			this.#endProbe(mean, false);
			return;
		}

		const handlers: Readonly<Record<LimitPhase, () => void>> = {
			[LimitPhase.ColdStart]: () => {
				this.#lowerFloor(mean);
			},
			[LimitPhase.Steady]: () => {
				this.#closeSteadyWindow(mean, saturated / samples >= saturatedWindowShare);
			},
			[LimitPhase.Probing]: () => {
				this.#endProbe(mean, mean < this.#beforeProbe.milliseconds * (1 - ((1 - decreaseFactor) * congestionLatencyShare)));
			},
		};
		handlers[this.#phase]();
	}

	#lowerFloor(mean: number): void {
		this.#floorMilliseconds = Math.min(this.#floorMilliseconds, mean);
	}

	#closeSteadyWindow(mean: number, isSaturated: boolean): void {
		const isSlow = mean > this.#floorMilliseconds * latencyTolerance;
		this.#lowerFloor(mean);
		if (!isSaturated) {
			return;
		}

		if (isSlow && this.#limit > 1) {
			this.#beforeProbe = {limit: this.#limit, milliseconds: mean};
			this.#limit = Math.max(1, this.#limit * decreaseFactor);
			this.#phase = LimitPhase.Probing;
			return;
		}

		this.#limit = Math.min(this.#slots, this.#limit + 1);
	}

	#endProbe(mean: number, isCongested: boolean): void {
		this.#phase = LimitPhase.Steady;
		if (isCongested) {
			return;
		}

		this.#limit = Math.min(this.#slots, this.#beforeProbe.limit);
		this.#floorMilliseconds = mean;
	}
}

type Window = {startedAt: number; samples: number; saturated: number; totalMilliseconds: number; hasShed: boolean};

function emptyWindow(now: number): Window {
	return {
		startedAt: now, samples: 0, saturated: 0, totalMilliseconds: 0, hasShed: false,
	};
}
