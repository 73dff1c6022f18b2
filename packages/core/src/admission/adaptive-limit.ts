/**
 * The concurrency limit of one guard. It ramps up from a cold start, and shrinks when fewer calls in flight make
 * each call faster (congestion), but not when the upstream is merely slow at any concurrency.
 *
 * @module
 */

const coldStartShare = 0.1;
const minimumWindowSamples = 30;
const maximumWindowMilliseconds = 1000;
const latencyTolerance = 2;
const decreaseFactor = 0.8;
const congestionGain = 0.5;
const unhealthyShare = 0.25;
const saturationShare = 0.8;

/** What the limit is doing. */
export enum LimitPhase {
	/** Doubles over counted successes. */
	ColdStart = 'cold-start',
	/** Grows by one a window while latency is near its floor. */
	Steady = 'steady',
	/** Runs a window with fewer calls in flight, to see whether latency falls with them. */
	Probing = 'probing',
}

/** One finished call, as the limit sees it. */
export type LimitSample = {
	/** Time in the upstream less the time it waited for calls of its own, in milliseconds. */
	readonly ownMilliseconds: number;
	/** Whether the upstream refused for lack of capacity. */
	readonly shed: boolean;
	/** Calls in flight when this one was dispatched, itself included. */
	readonly inFlight: number;
};

/**
 * Concurrency limit between 1 and the slots that the upstream announced.
 *
 * @example
 * const limit = new AdaptiveLimit(140);
 * limit.value; // 14 at the start
 * limit.record({ownMilliseconds: 12, shed: false, inFlight: 14}, now);
 */
export class AdaptiveLimit {
	#slots: number;
	#reportCap = Infinity;
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

	/** Calls that may be in flight. */
	get value(): number {
		return Math.max(1, Math.floor(Math.min(this.#limit, this.#slots, this.#reportCap)));
	}

	get phase(): LimitPhase {
		return this.#phase;
	}

	get slots(): number {
		return this.#slots;
	}

	/** What the limit goes by, in words. */
	get cause(): string {
		const {milliseconds, saturatedShare} = this.#lastWindow;
		return `${this.#phase}: ${milliseconds.toFixed(1)} ms, floor ${this.#floorMilliseconds.toFixed(1)} ms, saturated ${saturatedShare.toFixed(2)}`;
	}

	/** Notes the announced slots; more slots make room that the limit still has to grow into. */
	setSlots(slots: number): void {
		this.#slots = Math.max(1, slots);
		this.#limit = Math.min(this.#limit, this.#slots);
	}

	/**
	 * Notes the upstream's own report. It can only lower the limit.
	 *
	 * @param healthy - whether the upstream calls itself healthy
	 * @param foreignInFlight - calls that it counts and this guard did not send
	 */
	applyUpstreamReport(healthy: boolean, foreignInFlight: number): void {
		const share = healthy ? 1 : unhealthyShare;
		this.#reportCap = Math.max(1, (this.#slots * share) - Math.max(0, foreignInFlight));
	}

	/** Starts over, as after a restart of the upstream. */
	restart(now: number): void {
		this.#phase = LimitPhase.ColdStart;
		this.#limit = this.#coldStartLimit();
		this.#successesInRound = 0;
		this.#floorMilliseconds = Infinity;
		this.#window = emptyWindow(now);
	}

	record(sample: LimitSample, now: number): void {
		if (sample.shed) {
			this.#recordShed(now);
			return;
		}

		this.#growColdStart();
		const isFromBeforeProbe = this.#phase === LimitPhase.Probing && sample.inFlight > this.value;
		if (isFromBeforeProbe) {
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
				this.#closeSteadyWindow(mean, saturated / samples >= 0.5);
			},
			[LimitPhase.Probing]: () => {
				this.#endProbe(mean, mean < this.#beforeProbe.milliseconds * (1 - ((1 - decreaseFactor) * congestionGain)));
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
