/**
 * Admission to one upstream: which call runs now, waits, makes room or is refused.
 *
 * @module
 */
import {ErrorKind} from '../errors.js';
import {rankOf} from '../importance.js';
import {AdaptiveLimit} from './adaptive-limit.js';
import {OverloadLevel} from './overload-level.js';
import {SeenCalls} from './seen-calls.js';
import {ServiceTimes} from './service-time.js';
import {RunningWork} from './running-work.js';
import {
	CancelResult, DispatchOutcome, AdmissionEffectType, type AdmissionEffect, type Work,
} from './work.js';
import {WorkQueue} from './work-queue.js';

const queuePerSlot = 4;
const queueBase = 32;
const seenKeepMilliseconds = 30_000;
const seenMaximumEntries = 50_000;
const promptWaitShare = 0.25;
const queuedWaitShare = 0.5;

/** Parts of admission that can be left out, to measure what each is worth. */
export type AdmissionMechanisms = {
	readonly adaptiveLimit: boolean;
	readonly importanceOrder: boolean;
	readonly overloadLevel: boolean;
	readonly preemption: boolean;
	readonly doomedCheck: boolean;
	readonly waitBound: boolean;
};

/** All parts in use. */
export const allAdmissionMechanisms: AdmissionMechanisms = {
	adaptiveLimit: true,
	importanceOrder: true,
	overloadLevel: true,
	preemption: true,
	doomedCheck: true,
	waitBound: true,
};

/** What a guard tells with each answer. */
export type AdmissionLoad = {
	/** Slots free for new work; negative when work waits. */
	readonly headroom: number;
	/** Least priority admitted. */
	readonly level: number;
};

/**
 * The guard of one upstream. Every call to the upstream passes it, so it knows the true number in flight.
 *
 * @example
 * const guard = new AdmissionController(140);
 * guard.submit(work, now); // [{type: AdmissionEffectType.Dispatch, work}]
 * guard.finish(work.callId, DispatchOutcome.Answered, 0, now + 12);
 */
export class AdmissionController {
	readonly limit: AdaptiveLimit;
	readonly #mechanisms: AdmissionMechanisms;
	readonly #level = new OverloadLevel();
	readonly #queue = new WorkQueue();
	readonly #running = new RunningWork();
	readonly #tombstones = new SeenCalls(seenKeepMilliseconds, seenMaximumEntries);
	readonly #times = new ServiceTimes();
	#accepting = true;

	constructor(slots: number, mechanisms: AdmissionMechanisms = allAdmissionMechanisms) {
		this.limit = new AdaptiveLimit(slots);
		this.#mechanisms = mechanisms;
	}

	get load(): AdmissionLoad {
		return {headroom: this.capacity - this.#running.size - this.#queue.length, level: this.#level.value};
	}

	get inFlight(): number {
		return this.#running.size;
	}

	get waiting(): number {
		return this.#queue.length;
	}

	/** No call waits or runs. */
	get isIdle(): boolean {
		return this.#running.size === 0 && this.#queue.length === 0;
	}

	/** Calls that may run at once: the adaptive limit where it is in force, else all slots. */
	get capacity(): number {
		return this.#mechanisms.adaptiveLimit ? this.limit.value : this.limit.slots;
	}

	/** Refuses calls that arrive from now on and those that wait, which can still go elsewhere; those that run go on. */
	stopAccepting(): AdmissionEffect[] {
		this.#accepting = false;
		return this.#toRefusals(this.#queue.removeAll(() => true), ErrorKind.Draining);
	}

	resumeAccepting(): void {
		this.#accepting = true;
	}

	submit(work: Work, now: number): AdmissionEffect[] {
		const refusal = this.#refusalOnArrival(work, now);
		if (refusal !== undefined) {
			return [{type: AdmissionEffectType.Refuse, work, reason: refusal}];
		}

		this.#queue.add(work);
		return [...this.#dispatchWaiting(now), ...this.#makeRoom(work, now)];
	}

	/** Cancels a call wherever it is. A call that has not arrived yet is refused when it does. */
	cancel(callId: string, now: number): {readonly result: CancelResult; readonly effects: AdmissionEffect[]} {
		const entry = this.#running.get(callId);
		if (entry !== undefined) {
			const effects = entry.work.idempotent ? this.#cancelRunning(callId, ErrorKind.Cancelled) : [];
			return {result: CancelResult.Dispatched, effects};
		}

		const waiting = this.#queue.remove(callId);
		this.#tombstones.add(callId, now);
		const effects: AdmissionEffect[] = waiting === undefined ? [] : [{type: AdmissionEffectType.Refuse, work: waiting, reason: ErrorKind.Cancelled}];
		return {result: CancelResult.NotRun, effects};
	}

	/**
	 * Notes the end of a dispatched call.
	 *
	 * @param nestedMilliseconds - time the upstream spent waiting for calls of its own
	 */
	finish(callId: string, end: DispatchOutcome, nestedMilliseconds: number, now: number): AdmissionEffect[] {
		const entry = this.#running.remove(callId);
		if (entry === undefined) {
			return [];
		}

		const elapsed = now - entry.startedAt;
		if (end !== DispatchOutcome.Broken) {
			this.limit.record({ownMilliseconds: Math.max(0, elapsed - nestedMilliseconds), shed: end === DispatchOutcome.Shed, inFlight: entry.inFlight}, now);
		}

		if (end === DispatchOutcome.Answered || (end === DispatchOutcome.Cancelled && now >= entry.work.deadline)) {
			this.#times.record(entry.work.kind, elapsed, now);
		}

		return this.#dispatchWaiting(now);
	}

	/** Takes out work that was settled elsewhere, whether it waits or holds a slot. */
	withdraw(callId: string, now: number): AdmissionEffect[] {
		return this.#queue.remove(callId) === undefined ? this.finish(callId, DispatchOutcome.Broken, 0, now) : [];
	}

	/** Carries out what time alone brings about. Call it every few milliseconds while calls are open. */
	advance(now: number): AdmissionEffect[] {
		this.#level.advance(now);
		this.#tombstones.advance(now);
		const expired = this.#refuseExpired(now);
		const overdue = this.#running.overdue(now).flatMap(entry => this.#cancelRunning(entry.work.callId, ErrorKind.TimedOut));
		const preempted = this.#queue.entries.filter(work => this.#isWaitingTooLong(work, now)).flatMap(work => this.#preemptFor(work));
		return [...expired, ...overdue, ...preempted, ...this.#dispatchWaiting(now)];
	}

	#refusalOnArrival(work: Work, now: number): ErrorKind | undefined {
		if (this.#tombstones.has(work.callId)) {
			return ErrorKind.Cancelled;
		}

		if (!this.#accepting) {
			return ErrorKind.Draining;
		}

		this.#level.recordArrival(work.priority);
		if (work.deadline <= now || this.#isDoomed(work, now)) {
			return ErrorKind.InsufficientTime;
		}

		if (this.#isBelowLevel(work) || this.#wouldWaitTooLong(work, now)) {
			return ErrorKind.Overloaded;
		}

		return this.#queue.length >= this.#queueBound && !this.#canDisplace(work) ? ErrorKind.Overloaded : undefined;
	}

	get #queueBound(): number {
		return queueBase + (queuePerSlot * this.capacity);
	}

	/** A kind with nothing running is tried whatever the estimate says, so that an estimate cannot shut it out for good. */
	#isDoomed(work: Work, now: number): boolean {
		return this.#mechanisms.doomedCheck && this.#running.countOf(work.kind) > 0 && now > this.#latestStart(work, now);
	}

	#latestStart(work: Work, now: number): number {
		return work.deadline - this.#times.expected(work.kind, now);
	}

	#isBelowLevel(work: Work): boolean {
		return this.#mechanisms.overloadLevel && work.priority < this.#level.value && !this.#hasGuaranteedRoom(work);
	}

	#hasGuaranteedRoom(work: Work): boolean {
		return work.guaranteedShare > 0 && this.#running.countOf(work.kind) < Math.ceil(work.guaranteedShare * this.capacity);
	}

	/** Work that is expected to wait for long is refused at once, unless it can make room or has nowhere else to go. */
	#wouldWaitTooLong(work: Work, now: number): boolean {
		if (!this.#mechanisms.waitBound || work.lastResort || this.#running.size < this.capacity || this.#hasGuaranteedRoom(work)) {
			return false;
		}

		const slack = this.#latestStart(work, now) - now;
		const isLate = this.#expectedWait(work) > slack * queuedWaitShare;
		if (isLate && !this.#canPreemptFor(work)) {
			this.#level.recordOutcome(false, work.arrivedAt);
			return true;
		}

		return false;
	}

	#expectedWait(work: Work): number {
		return (this.#queue.countAhead(work) + 1) * this.#times.overallMean / this.capacity;
	}

	#canDisplace(work: Work): boolean {
		const {last} = this.#queue;
		return last !== undefined && rankOf(last.importance) < rankOf(work.importance);
	}

	#makeRoom(work: Work, now: number): AdmissionEffect[] {
		const displaced: AdmissionEffect[] = this.#queue.length > this.#queueBound && this.#queue.last !== undefined
			? this.#refuse([this.#queue.last], ErrorKind.Overloaded)
			: [];
		const isWaiting = this.#queue.entries.includes(work);
		const preempted = isWaiting && this.#isWaitTooLongFor(work, now) ? this.#preemptFor(work) : [];
		return [...displaced, ...preempted];
	}

	#isWaitTooLongFor(work: Work, now: number): boolean {
		const slack = this.#latestStart(work, now) - now;
		return this.#expectedWait(work) > slack * queuedWaitShare;
	}

	#isWaitingTooLong(work: Work, now: number): boolean {
		const slack = this.#latestStart(work, now) - work.arrivedAt;
		return now - work.arrivedAt > slack * queuedWaitShare;
	}

	#canPreemptFor(work: Work): boolean {
		return this.#mechanisms.preemption && this.#running.leastBelow(rankOf(work.importance)) !== undefined;
	}

	#preemptFor(work: Work): AdmissionEffect[] {
		const ahead = this.#queue.countAhead(work);
		if (!this.#mechanisms.preemption || this.#running.cancelledCount >= ahead) {
			return [];
		}

		const victim = this.#running.leastBelow(rankOf(work.importance));
		return victim === undefined ? [] : this.#cancelRunning(victim.work.callId, ErrorKind.Preempted);
	}

	#cancelRunning(callId: string, reason: ErrorKind): AdmissionEffect[] {
		const work = this.#running.markCancelled(callId);
		return work === undefined ? [] : [{type: AdmissionEffectType.CancelDispatch, work, reason}];
	}

	#refuseExpired(now: number): AdmissionEffect[] {
		const isTooLate = (work: Work): boolean => now >= work.deadline
			|| (this.#mechanisms.doomedCheck && this.#running.countOf(work.kind) > 0 && now > this.#latestStart(work, now));
		const expired = this.#queue.removeAll(work => isTooLate(work));
		expired.map(work => {
			this.#level.recordOutcome(false, work.arrivedAt);
			return work;
		});
		return this.#toRefusals(expired, ErrorKind.InsufficientTime);
	}

	#refuse(works: readonly Work[], reason: ErrorKind): AdmissionEffect[] {
		works.map(work => this.#queue.remove(work.callId));
		return this.#toRefusals(works, reason);
	}

	#toRefusals(works: readonly Work[], reason: ErrorKind): AdmissionEffect[] {
		return works.map(work => ({type: AdmissionEffectType.Refuse, work, reason}));
	}

	#dispatchWaiting(now: number): AdmissionEffect[] {
		const effects: AdmissionEffect[] = [];
		while (this.#running.size < this.capacity) {
			const work = this.#takeNext();
			if (work === undefined) {
				break;
			}

			this.#recordWait(work, now);
			this.#running.add(work, now);
			effects.push({type: AdmissionEffectType.Dispatch, work});
		}

		return effects;
	}

	/** Critical work goes first, then kinds below their guaranteed share, then the order of the queue. */
	#takeNext(): Work | undefined {
		if (!this.#mechanisms.importanceOrder) {
			return this.#takeOldest();
		}

		const isCritical = (work: Work): boolean => rankOf(work.importance) === 3;
		return this.#queue.takeFirst(work => isCritical(work) || this.#hasGuaranteedRoom(work)) ?? this.#queue.takeFirst();
	}

	#takeOldest(): Work | undefined {
		const oldest = this.#queue.entries.reduce<Work | undefined>((best, work) => best === undefined || work.arrivedAt < best.arrivedAt ? work : best, undefined);
		return oldest === undefined ? undefined : this.#queue.remove(oldest.callId);
	}

	/** A wait longer than the kind takes keeps no slot busier, and adds up over calls that follow one another. */
	#recordWait(work: Work, now: number): void {
		const slack = this.#latestStart(work, now) - work.arrivedAt;
		const usual = this.#times.expected(work.kind, now);
		const promptWait = Math.min(slack * promptWaitShare, usual > 0 ? usual : Infinity);
		this.#level.recordOutcome(now - work.arrivedAt <= promptWait, work.arrivedAt);
	}
}
