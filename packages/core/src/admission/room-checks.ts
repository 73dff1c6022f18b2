/**
 * Checks whether an upstream has room for a call: the overload level, the expected wait and the length of the queue.
 *
 * @module
 */
import {rankOf} from '../importance.js';
import type {AdmissionMechanisms} from './admission-mechanisms.js';
import {ArrivalRefusal} from './arrival-refusal.js';
import {FairOrder} from './fair-order.js';
import type {FairShares} from './fair-shares.js';
import type {OverloadLevel} from './overload-level.js';
import type {RunningWork} from './running-work.js';
import type {ServiceTimes} from './service-time.js';
import type {Work} from './work.js';
import type {WorkQueue} from './work-queue.js';

const queueEntriesPerSlot = 4;
const queueBaseEntries = 32;

/** A call whose expected wait exceeds this share of the time until its latest start is refused. */
const maximumWaitShare = 0.5;

/** The starts of organisations count as equal within the work of this many calls, so that the deadline orders calls of organisations that are near their shares. */
const toleranceCalls = 2;

/** State of the admission controller that the checks read. */
export type RoomDefinition = {
	readonly mechanisms: AdmissionMechanisms;
	readonly shares: FairShares;
	readonly level: OverloadLevel;
	readonly queue: WorkQueue;
	readonly running: RunningWork;
	readonly serviceTimes: ServiceTimes;
	/** Number of calls that may run at the same time. */
	readonly capacity: () => number;
};

/** Why a call is refused. */
export type Refusal = {readonly cause: ArrivalRefusal; /** Whether the share of the organisation decided. */ readonly isByShare: boolean};

/**
 * Checks for room, with the shares of organisations while calls have one. They change nothing.
 *
 * @example
 * room.refusalOf(work, now); // {cause: ArrivalRefusal.LongWait, isByShare: false}; undefined when there is room
 */
export class RoomChecks {
	readonly #definition: RoomDefinition;
	readonly #order: FairOrder;

	constructor(definition: RoomDefinition) {
		this.#definition = definition;
		this.#order = new FairOrder({
			shares: definition.shares,
			workOf: (work, now) => this.expectedWork(work, now),
			toleranceMilliseconds: () => toleranceCalls * this.#meanWork,
		});
	}

	/** Refusal of a call that arrives, for lack of room. */
	refusalOf(work: Work, now: number): Refusal | undefined {
		return this.#refusalByLevel(work, now) ?? this.#refusalByWait(work, now) ?? this.#refusalByLength(work, now);
	}

	/** Expected wait for a slot of a call that arrives, in milliseconds. */
	expectedWait(work: Work, now: number): number {
		const {running, capacity, queue} = this.#definition;
		return running.size < capacity() ? 0 : this.#waitBehind(queue.countAhead(work, this.fairOrder, now));
	}

	/** The waiting call that has to leave the queue because it is longer than its limit. */
	displaced(now: number): {readonly work: Work; readonly isByShare: boolean} | undefined {
		const {queue} = this.#definition;
		const work = queue.length > this.#queueLimit ? queue.last(this.fairOrder, now) : undefined;
		return work === undefined ? undefined : {work, isByShare: work !== queue.last(undefined, now)};
	}

	/** Expected work of a call in milliseconds of a slot. A kind without samples counts as the mean of all. */
	expectedWork({kind}: Work, now: number): number {
		return this.#definition.serviceTimes.expected(kind, now) || this.#meanWork;
	}

	/** The order by shares; undefined when no organisation calls, so that the deadline alone orders the calls of one importance. */
	get fairOrder(): FairOrder | undefined {
		return this.#definition.mechanisms.importanceOrder && this.#definition.shares.isActive ? this.#order : undefined;
	}

	/** A kind without running calls is admitted regardless of its estimate, so that a wrong estimate cannot block it forever. */
	willMissDeadline(work: Work, now: number): boolean {
		return this.#definition.mechanisms.doomedCheck && this.#definition.running.countOf(work.kind) > 0 && now > this.latestStart(work, now);
	}

	/** Latest time at which the call may start and still end before its deadline, by its expected service time. */
	latestStart(work: Work, now: number): number {
		return work.deadline - this.#definition.serviceTimes.expected(work.kind, now);
	}

	/** Whether the call is of a kind below its guaranteed share. */
	hasGuaranteedCapacity(work: Work): boolean {
		return work.guaranteedShare > 0 && this.#definition.running.countOf(work.kind) < Math.ceil(work.guaranteedShare * this.#definition.capacity());
	}

	get #meanWork(): number {
		return this.#definition.serviceTimes.overallMean || 1;
	}

	get #queueLimit(): number {
		return queueBaseEntries + (queueEntriesPerSlot * this.#definition.capacity());
	}

	#refusalByLevel(work: Work, now: number): Refusal | undefined {
		const level = this.#definition.mechanisms.overloadLevel ? this.#definition.shares.levelOf(work, this.#definition.level.value, now) : 0;
		return work.priority < level && !this.hasGuaranteedCapacity(work)
			? {cause: ArrivalRefusal.BelowLevel, isByShare: work.priority >= this.#definition.level.value}
			: undefined;
	}

	/** A call with a long expected wait is refused at once, unless no other node can take it. */
	#refusalByWait(work: Work, now: number): Refusal | undefined {
		if (!this.#definition.mechanisms.waitBound || work.lastResort || this.#definition.running.size < this.#definition.capacity() || this.hasGuaranteedCapacity(work)) {
			return undefined;
		}

		const longestWait = (this.latestStart(work, now) - now) * maximumWaitShare;
		const order = this.fairOrder;
		// Most calls need no count of the entries ahead, which costs a time in proportion to the queue.
		if (this.#waitBehind(this.#definition.queue.length) <= longestWait || this.#waitBehind(this.#definition.queue.countAhead(work, order, now)) <= longestWait) {
			return undefined;
		}

		return {cause: ArrivalRefusal.LongWait, isByShare: order !== undefined && this.#waitBehind(this.#definition.queue.countAhead(work, undefined, now)) <= longestWait};
	}

	#waitBehind(entries: number): number {
		return (entries + 1) * this.#definition.serviceTimes.overallMean / this.#definition.capacity();
	}

	#refusalByLength(work: Work, now: number): Refusal | undefined {
		return this.#definition.queue.length >= this.#queueLimit && !this.#canDisplace(work, now) ? {cause: ArrivalRefusal.FullQueue, isByShare: false} : undefined;
	}

	#canDisplace(work: Work, now: number): boolean {
		const last = this.#definition.queue.last(undefined, now);
		return last !== undefined && (rankOf(last.importance) < rankOf(work.importance) || (this.fairOrder?.isBeforeLast(this.#definition.queue.entries, work, now) ?? false));
	}
}
