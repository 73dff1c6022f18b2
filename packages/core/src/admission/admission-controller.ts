/**
 * Admission control in front of one upstream: decides which calls run, wait or are refused. A running call is
 * cancelled only at its deadline, or at the request of its entry node.
 *
 * @module
 */
import {ErrorKind} from '../errors.js';
import {Importance, rankOf} from '../importance.js';
import {AdaptiveLimit} from './adaptive-limit.js';
import {allAdmissionMechanisms, type AdmissionLoad, type AdmissionMechanisms} from './admission-mechanisms.js';
import {ArrivalRefusal, arrivalRefusalKinds} from './arrival-refusal.js';
import {FairShares} from './fair-shares.js';
import {OverloadLevel} from './overload-level.js';
import {RoomChecks, type Refusal} from './room-checks.js';
import {SeenCalls} from './seen-calls.js';
import {ServiceTimes} from './service-time.js';
import {RunningWork} from './running-work.js';
import {
	AdmissionEffectType, CancelResult, DispatchOutcome, type AdmissionEffect, type Work,
} from './work.js';
import {WorkQueue, type Taken} from './work-queue.js';

const tombstoneRetentionMilliseconds = 30_000;
const maximumTombstones = 50_000;

/** A call counts as on time if it waited at most this share of the time until its latest start, and no longer than its kind takes. */
const onTimeWaitShare = 0.25;

const criticalRank = rankOf(Importance.Critical);

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
	/** Shares of organisations; set their weights with each manifest. */
	readonly shares = new FairShares();
	readonly #mechanisms: AdmissionMechanisms;
	readonly #level = new OverloadLevel();
	readonly #queue = new WorkQueue();
	readonly #running = new RunningWork();
	readonly #tombstones = new SeenCalls(tombstoneRetentionMilliseconds, maximumTombstones);
	readonly #serviceTimes = new ServiceTimes();
	readonly #room: RoomChecks;
	#isAccepting = true;

	constructor(slots: number, mechanisms: AdmissionMechanisms = allAdmissionMechanisms) {
		this.limit = new AdaptiveLimit(slots);
		this.#mechanisms = mechanisms;
		this.#room = new RoomChecks({
			mechanisms, shares: this.shares, level: this.#level, queue: this.#queue, running: this.#running, serviceTimes: this.#serviceTimes, capacity: () => this.capacity,
		});
	}

	get load(): AdmissionLoad {
		return {headroom: this.capacity - this.#running.size - this.#queue.length, level: this.shares.announcedLevel(this.#level.value)};
	}

	/** Overload level: the lowest priority that is admitted, before it is divided by the shares of organisations. */
	get level(): number {
		return this.#level.value;
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
			return [this.#toRefusal(work, arrivalRefusalKinds[refusal.cause], refusal.isByShare, now)];
		}

		this.#queue.add(work);
		return [...this.#dispatchWaiting(now), ...this.#displaceLast(now)];
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
		this.shares.advance(this.#level.value, now);
		this.#tombstones.advance(now);
		const expired = this.#refuseExpired(now);
		const overdue = this.#running.overdueEntries(now).flatMap(entry => this.#cancelRunning(entry.work.callId, ErrorKind.TimedOut));
		return [...expired, ...overdue, ...this.#dispatchWaiting(now)];
	}

	/** Why a call that arrives now would be refused; undefined when it would run or wait. It changes nothing. */
	arrivalRefusal(work: Work, now: number): ArrivalRefusal | undefined {
		return this.#findRefusal(work, now)?.cause;
	}

	/** Expected wait for a slot and expected work of a call that arrives now, in milliseconds. It changes nothing. */
	expectation(work: Work, now: number): {readonly waitMilliseconds: number; readonly costMilliseconds: number} {
		return {waitMilliseconds: this.#room.expectedWait(work, now), costMilliseconds: this.#serviceTimes.expected(work.kind, now)};
	}

	#refusalOnArrival(work: Work, now: number): Refusal | undefined {
		if (this.#tombstones.has(work.callId) || !this.#isAccepting) {
			return this.#findRefusal(work, now);
		}

		this.#level.recordArrival(work.priority);
		if (this.#mechanisms.fairShares !== false && this.shares.concerns(work)) {
			this.shares.arrived(work, this.#room.expectedWork(work, now), now);
		}

		const refusal = this.#findRefusal(work, now);
		if (refusal?.cause === ArrivalRefusal.LongWait) {
			this.#level.recordOutcome(false, work.arrivedAt);
		}

		return refusal;
	}

	#findRefusal(work: Work, now: number): Refusal | undefined {
		if (this.#tombstones.has(work.callId)) {
			return {cause: ArrivalRefusal.Cancelled, isByShare: false};
		}

		if (!this.#isAccepting) {
			return {cause: ArrivalRefusal.Draining, isByShare: false};
		}

		if (work.deadline <= now || this.#room.willMissDeadline(work, now)) {
			return {cause: ArrivalRefusal.LittleTime, isByShare: false};
		}

		return this.#room.refusalOf(work, now);
	}

	/** Refuses the last waiting call when the queue is longer than its limit. */
	#displaceLast(now: number): AdmissionEffect[] {
		const displaced = this.#room.displaced(now);
		if (displaced === undefined) {
			return [];
		}

		this.#queue.remove(displaced.work.callId);
		return [this.#toRefusal(displaced.work, ErrorKind.Overloaded, displaced.isByShare, now)];
	}

	#cancelRunning(callId: string, reason: ErrorKind): AdmissionEffect[] {
		const work = this.#running.markCancelled(callId);
		return work === undefined ? [] : [{type: AdmissionEffectType.CancelDispatch, work, reason}];
	}

	#refuseExpired(now: number): AdmissionEffect[] {
		const isTooLate = (work: Work): boolean => now >= work.deadline || this.#room.willMissDeadline(work, now);
		const expired = this.#queue.removeAll(work => isTooLate(work));
		expired.map(work => {
			this.#level.recordOutcome(false, work.arrivedAt);
			return work;
		});
		return this.#toRefusals(expired, ErrorKind.InsufficientTime);
	}

	#toRefusals(works: readonly Work[], reason: ErrorKind): AdmissionEffect[] {
		return works.map(work => ({type: AdmissionEffectType.Refuse, work, reason}));
	}

	/** @param isByShare - whether the call would not have been refused without the share of its organisation */
	#toRefusal(work: Work, reason: ErrorKind, isByShare: boolean, now: number): AdmissionEffect {
		return {
			type: AdmissionEffectType.Refuse, work, reason, ...(isByShare ? {share: this.shares.recordRefusal(work, now)} : {}),
		};
	}

	#dispatchWaiting(now: number): AdmissionEffect[] {
		const effects: AdmissionEffect[] = [];
		while (this.#running.size < this.capacity) {
			const taken = this.#takeNext(now);
			if (taken === undefined) {
				break;
			}

			const {work, leastStart} = taken;
			if (leastStart !== undefined) {
				this.shares.charge(work, this.#room.expectedWork(work, now), leastStart, now);
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
	#takeNext(now: number): Taken | undefined {
		if (!this.#mechanisms.importanceOrder) {
			return this.#takeOldest();
		}

		const isCritical = (work: Work): boolean => rankOf(work.importance) === criticalRank;
		const order = this.#room.fairOrder;
		return this.#queue.takeFirst(work => isCritical(work) || this.#room.hasGuaranteedCapacity(work), order, now) ?? this.#queue.takeFirst(() => true, order, now);
	}

	#takeOldest(): Taken | undefined {
		const oldest = this.#queue.entries.reduce<Work | undefined>((best, work) => best === undefined || work.arrivedAt < best.arrivedAt ? work : best, undefined);
		return oldest === undefined ? undefined : {work: this.#queue.remove(oldest.callId)!, leastStart: undefined};
	}

	/**
	 * Records whether the call waited too long. A wait longer than the service time of the kind does not improve the use
	 * of the slots, and such waits add up over the calls of a chain.
	 */
	#recordWait(work: Work, now: number): void {
		const slack = this.#room.latestStart(work, now) - work.arrivedAt;
		const expectedMilliseconds = this.#serviceTimes.expected(work.kind, now);
		const onTimeWait = Math.min(slack * onTimeWaitShare, expectedMilliseconds > 0 ? expectedMilliseconds : Infinity);
		this.#level.recordOutcome(now - work.arrivedAt <= onTimeWait, work.arrivedAt);
	}
}
