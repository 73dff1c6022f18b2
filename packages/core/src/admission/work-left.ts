/**
 * Work that an upstream still has to do, as its node reports it with each answer.
 *
 * @module
 */
import {CostModel} from './cost-model.js';
import {MachineSpeed} from './machine-speed.js';

/** Time after the last reported speed for which an upstream counts as one that reports it. */
const activeMilliseconds = 10_000;

/** A running or waiting call, as far as its work is concerned. */
export type OpenWork = {
	readonly kind: string;
	readonly bodyBytes: number;
	/** Time that the upstream has worked on it, without nested calls; 0 while it waits. */
	readonly workedMilliseconds: number;
};

/** State of an upstream from which other nodes calculate when a call would end there. */
export type WorkReport = {
	/** Expected remaining work of the running and waiting calls for each slot, at the usual speed of the machine. */
	readonly workLeftMilliseconds: number;
	/** Typical work of a call of the answered kind and size class, at the usual speed of the machine. */
	readonly ownMilliseconds: number;
	/** Factor by which work takes longer now than usual, at least 1. */
	readonly slowdown: number;
	/** Age of the report from which the slowdown was derived. */
	readonly ageMilliseconds: number;
};

/**
 * Expected remaining work of calls in milliseconds.
 *
 * @example
 * expectedWorkLeft(costs, [{kind: 'browse', bodyBytes: 0, workedMilliseconds: 10}], now);
 */
export function expectedWorkLeft(costs: CostModel, calls: readonly OpenWork[], now: number): number {
	return calls.reduce((total, {kind, bodyBytes, workedMilliseconds}) => total + costs.remaining(kind, bodyBytes, workedMilliseconds, now), 0);
}

/**
 * Learned work and momentary speed of the own upstream. Until the upstream reports a speed, nothing is learned or reported.
 *
 * @example
 * const work = new UpstreamWork();
 * work.speedReported(2.5, now);
 * work.finished({kind: 'browse', bodyBytes: 0, workedMilliseconds: 12}, now);
 * work.report('browse', 0, openCalls, slots, now);
 */
export class UpstreamWork {
	readonly #costs = new CostModel();
	readonly #speed = new MachineSpeed();

	/** Whether the upstream has recently reported a speed. */
	isActive(now: number): boolean {
		return this.#speed.age(now) < activeMilliseconds;
	}

	/** Records the upstream's report. A call's time is compared with the report that comes with its answer. */
	speedReported(slowdown: number, now: number): void {
		this.#speed.report(slowdown, now);
	}

	/** Records a call that the upstream has answered. The slowness at its end is taken out of its time. */
	finished({kind, bodyBytes, workedMilliseconds}: OpenWork, now: number): void {
		if (!this.isActive(now)) {
			return;
		}

		const expected = this.#costs.expected(kind, bodyBytes);
		if (expected > 0) {
			this.#speed.confirm(this.#speed.claimed, workedMilliseconds / expected);
		}

		this.#costs.record(kind, bodyBytes, workedMilliseconds / this.#speed.slowdown(now), now);
	}

	/** State for the answer to a call; undefined while the upstream reports no speed. */
	report(call: Omit<OpenWork, 'workedMilliseconds'>, open: readonly OpenWork[], slots: number, now: number): WorkReport | undefined {
		if (!this.isActive(now)) {
			return undefined;
		}

		const slowdown = this.#speed.slowdown(now);
		const atUsualSpeed = open.map(work => ({...work, workedMilliseconds: work.workedMilliseconds / slowdown}));
		return {
			workLeftMilliseconds: expectedWorkLeft(this.#costs, atUsualSpeed, now) / Math.max(1, slots),
			ownMilliseconds: this.#costs.typical(call.kind, call.bodyBytes),
			slowdown,
			ageMilliseconds: Math.max(0, this.#speed.age(now)),
		};
	}
}
