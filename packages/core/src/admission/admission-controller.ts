/**
 * Admission control in front of one upstream: decides which calls run, wait or are refused. A running call is
 * cancelled only at its deadline, or at the request of its entry node.
 *
 * @module
 */
import {ErrorKind} from '../errors.js';
import {Importance, rankOf} from '../importance.js';
import {AdaptiveLimit} from './adaptive-limit.js';
import {ArrivalRefusal, arrivalRefusalKinds, arrivalRefusals} from './arrival-refusal.js';
import {OverloadLevel} from './overload-level.js';
import {SeenCalls} from './seen-calls.js';
import {ServiceTimes} from './service-time.js';
import {RunningWork} from './running-work.js';
import {
	AdmissionEffectType, CancelResult, DispatchOutcome, type AdmissionEffect, type Work,
} from './work.js';
import {WorkQueue} from './work-queue.js';

const queueEntriesPerSlot = 4;
const queueBaseEntries = 32;
const tombstoneRetentionMilliseconds = 30_000;
const maximumTombstones = 50_000;

/** A call counts as on time if it waited at most this share of the time until its latest start, and no longer than its kind takes. */
const onTimeWaitShare = 0.25;

/** A call whose expected wait exceeds this share of the time until its latest start is refused. */
const maximumWaitShare = 0.5;
const criticalRank = rankOf(Importance.Critical);

/** Switches for the parts of admission control, to measure the effect of each one. */
export type AdmissionMechanisms = {
	readonly adaptiveLimit: boolean;
	readonly importanceOrder: boolean;
	readonly overloadLevel: boolean;
	readonly doomedCheck: boolean;
	readonly waitBound: boolean;
};

export const allAdmissionMechanisms: AdmissionMechanisms = {
	adaptiveLimit: true,
	importanceOrder: true,
	overloadLevel: true,
	doomedCheck: true,
	waitBound: true,
};

/** Load of the upstream, reported with each answer. */
export type AdmissionLoad = {
	/** Free slots for new calls. Negative if calls wait, or if more calls run than the limit now allows. */
	readonly headroom: number;
	/** Lowest priority that is admitted. */
	readonly level: number;
};

/**
 * Admission control of one upstream. All calls that the node dispatches pass through it, so its count of calls in
 * flight is exact.
 *
 * @example
 * const admission = new AdmissionController(140);
 * admission.submit(work, now); // [{type: AdmissionEffectType.Dispatch, work}]
 * admission.finish(work.callId, DispatchOutcome.Answered, 0, now + 12);
 */
export class AdmissionController {
	readonly limit: AdaptiveLimit;
	readonly #mechanisms: AdmissionMechanisms;
	readonly #level = new OverloadLevel();
	readonly #queue = new WorkQueue();
	readonly #running = new RunningWork();
	readonly #tombstones = new SeenCalls(tombstoneRetentionMilliseconds, maximumTombstones);
	readonly #serviceTimes = new ServiceTimes();
	#isAccepting = true;

	readonly #arrivalChecks: Readonly<Record<ArrivalRefusal, (work: Work, now: number) => boolean>> = {
		[ArrivalRefusal.Cancelled]: work => this.#tombstones.has(work.callId),
		[ArrivalRefusal.Draining]: () => !this.#isAccepting,
		[ArrivalRefusal.LittleTime]: (work, now) => work.deadline <= now || this.#willMissDeadline(work, now),
		[ArrivalRefusal.BelowLevel]: work => this.#isBelowLevel(work),
		[ArrivalRefusal.LongWait]: (work, now) => this.#wouldWaitTooLong(work, now),
		[ArrivalRefusal.FullQueue]: work => this.#queue.length >= this.#queueLimit && !this.#canDisplace(work),
	};

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

	/** Whether no call waits or runs. */
	get isIdle(): boolean {
		return this.#running.size === 0 && this.#queue.length === 0;
	}

	/** Number of calls that may run at the same time: the adaptive limit if it is switched on, otherwise all slots. */
	get capacity(): number {
		return this.#mechanisms.adaptiveLimit ? this.limit.value : this.limit.slots;
	}

	/** Refuses all waiting and future calls, which other nodes can still serve. Running calls continue. */
	stopAccepting(): AdmissionEffect[] {
		this.#isAccepting = false;
		return this.#toRefusals(this.#queue.removeAll(() => true), ErrorKind.Draining);
	}

	resumeAccepting(): void {
		this.#isAccepting = true;
	}

	submit(work: Work, now: number): AdmissionEffect[] {
		const refusal = this.#refusalOnArrival(work, now);
		if (refusal !== undefined) {
			return [{type: AdmissionEffectType.Refuse, work, reason: refusal}];
		}

		this.#queue.add(work);
		return [...this.#dispatchWaiting(now), ...this.#displaceLast()];
	}

	/**
	 * Cancels a call, whether it waits or runs. A call that has not arrived yet is refused on arrival. A running call is
	 * cancelled only if it is idempotent.
	 */
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
	 * Releases the slot of a dispatched call and dispatches waiting calls.
	 *
	 * @param nestedMilliseconds - time that the upstream waited for its nested calls
	 */
	finish(callId: string, outcome: DispatchOutcome, nestedMilliseconds: number, now: number): AdmissionEffect[] {
		const entry = this.#running.remove(callId);
		if (entry === undefined) {
			return [];
		}

		const elapsed = now - entry.startedAt;
		if (outcome !== DispatchOutcome.Broken) {
			this.limit.record({ownMilliseconds: Math.max(0, elapsed - nestedMilliseconds), isShed: outcome === DispatchOutcome.Shed, inFlight: entry.inFlight}, now);
		}

		if (outcome === DispatchOutcome.Answered || (outcome === DispatchOutcome.Cancelled && now >= entry.work.deadline)) {
			this.#serviceTimes.record(entry.work.kind, elapsed, now);
		}

		return this.#dispatchWaiting(now);
	}

	/** Removes a call that was answered without the upstream, whether it waits or holds a slot. */
	remove(callId: string, now: number): AdmissionEffect[] {
		return this.#queue.remove(callId) === undefined ? this.finish(callId, DispatchOutcome.Broken, 0, now) : [];
	}

	/** Handles deadlines, waits that are too long and the overload level. Call it every few milliseconds while calls are open. */
	advance(now: number): AdmissionEffect[] {
		this.#level.advance(now);
		this.#tombstones.advance(now);
		const expired = this.#refuseExpired(now);
		const overdue = this.#running.overdueEntries(now).flatMap(entry => this.#cancelRunning(entry.work.callId, ErrorKind.TimedOut));
		return [...expired, ...overdue, ...this.#dispatchWaiting(now)];
	}

	/** Why a call that arrives now would be refused; undefined when it would run or wait. It changes nothing. */
	arrivalRefusal(work: Work, now: number): ArrivalRefusal | undefined {
		return arrivalRefusals.find(cause => this.#arrivalChecks[cause](work, now));
	}

	/** Expected wait for a slot and expected work of a call that arrives now, in milliseconds. It changes nothing. */
	expectation(work: Work, now: number): {readonly waitMilliseconds: number; readonly costMilliseconds: number} {
		const waitMilliseconds = this.#running.size < this.capacity ? 0 : this.#expectedWait(work);
		return {waitMilliseconds, costMilliseconds: this.#serviceTimes.expected(work.kind, now)};
	}

	#refusalOnArrival(work: Work, now: number): ErrorKind | undefined {
		const cause = this.arrivalRefusal(work, now);
		if (cause !== ArrivalRefusal.Cancelled && cause !== ArrivalRefusal.Draining) {
			this.#level.recordArrival(work.priority);
		}

		if (cause === ArrivalRefusal.LongWait) {
			this.#level.recordOutcome(false, work.arrivedAt);
		}

		return cause === undefined ? undefined : arrivalRefusalKinds[cause];
	}

	get #queueLimit(): number {
		return queueBaseEntries + (queueEntriesPerSlot * this.capacity);
	}

	/** A kind without running calls is admitted regardless of its estimate, so that a wrong estimate cannot block it forever. */
	#willMissDeadline(work: Work, now: number): boolean {
		return this.#mechanisms.doomedCheck && this.#running.countOf(work.kind) > 0 && now > this.#latestStart(work, now);
	}

	#latestStart(work: Work, now: number): number {
		return work.deadline - this.#serviceTimes.expected(work.kind, now);
	}

	#isBelowLevel(work: Work): boolean {
		return this.#mechanisms.overloadLevel && work.priority < this.#level.value && !this.#hasGuaranteedCapacity(work);
	}

	#hasGuaranteedCapacity(work: Work): boolean {
		return work.guaranteedShare > 0 && this.#running.countOf(work.kind) < Math.ceil(work.guaranteedShare * this.capacity);
	}

	/** A call with a long expected wait is refused at once, unless no other node can take it. */
	#wouldWaitTooLong(work: Work, now: number): boolean {
		if (!this.#mechanisms.waitBound || work.lastResort || this.#running.size < this.capacity || this.#hasGuaranteedCapacity(work)) {
			return false;
		}

		const slack = this.#latestStart(work, now) - now;
		return this.#expectedWait(work) > slack * maximumWaitShare;
	}

	#expectedWait(work: Work): number {
		return (this.#queue.countAhead(work) + 1) * this.#serviceTimes.overallMean / this.capacity;
	}

	#canDisplace(work: Work): boolean {
		const {last} = this.#queue;
		return last !== undefined && rankOf(last.importance) < rankOf(work.importance);
	}

	/** Refuses the last waiting call when the queue is longer than its limit. */
	#displaceLast(): AdmissionEffect[] {
		return this.#queue.length > this.#queueLimit && this.#queue.last !== undefined ? this.#refuseQueued([this.#queue.last], ErrorKind.Overloaded) : [];
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

	#refuseQueued(works: readonly Work[], reason: ErrorKind): AdmissionEffect[] {
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

	/**
	 * Takes the first waiting call that is critical or of a kind below its guaranteed share. Without one, takes the first
	 * call of the queue. With the importance order switched off, takes the call that arrived first.
	 */
	#takeNext(): Work | undefined {
		if (!this.#mechanisms.importanceOrder) {
			return this.#takeOldest();
		}

		const isCritical = (work: Work): boolean => rankOf(work.importance) === criticalRank;
		return this.#queue.takeFirst(work => isCritical(work) || this.#hasGuaranteedCapacity(work)) ?? this.#queue.takeFirst();
	}

	#takeOldest(): Work | undefined {
		const oldest = this.#queue.entries.reduce<Work | undefined>((best, work) => best === undefined || work.arrivedAt < best.arrivedAt ? work : best, undefined);
		return oldest === undefined ? undefined : this.#queue.remove(oldest.callId);
	}

	/**
	 * Records whether the call waited too long. A wait longer than the service time of the kind does not improve the use
	 * of the slots, and such waits add up over the calls of a chain.
	 */
	#recordWait(work: Work, now: number): void {
		const slack = this.#latestStart(work, now) - work.arrivedAt;
		const expectedMilliseconds = this.#serviceTimes.expected(work.kind, now);
		const onTimeWait = Math.min(slack * onTimeWaitShare, expectedMilliseconds > 0 ? expectedMilliseconds : Infinity);
		this.#level.recordOutcome(now - work.arrivedAt <= onTimeWait, work.arrivedAt);
	}
}
