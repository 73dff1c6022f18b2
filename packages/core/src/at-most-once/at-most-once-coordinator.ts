/**
 * At-most-once work of one node: its key ranges, and the writes to the store that assign their holders.
 *
 * @module
 */
import {ErrorKind} from '../errors.js';
import {
	Liveness, isServing, UpstreamState, type Member,
} from '../membership/member.js';
import type {AnswerPayload, CallError} from '../messages.js';
import {chooseByRendezvous} from '../routing/rendezvous.js';
import {ClaimMemory} from './claim-table.js';
import {nextRangeAction, RangeActionType, type RangeContext} from './range-actions.js';
import {KeyRange} from './key-range.js';
import {WriteResultType, type AtMostOnceDefinition, type WriteResult} from './at-most-once-definition.js';
import {
	AtMostOnceEffectType, type AtMostOnceEffect, type AtMostOnceMessage, type RoleChange,
} from './messages.js';
import {OpenResultType, type AtMostOnceCall, type OpenResult} from './attempt.js';
import {
	createRecord, hasHolder, holderKey, leaseReturnsOf, rangeCount, rangeOf, withLeaseReturn, withRanges,
	type Holder, type Range, type VersionedRecord,
} from './record.js';

const writeRetryMilliseconds = 100;
const recordReadIntervalMilliseconds = 500;
const holdersReadIntervalMilliseconds = 2000;
const rebalanceIntervalMilliseconds = 250;

type PendingWrite = {readonly record: VersionedRecord['record']; readonly changes: ReadonlyMap<number, RoleChange>; readonly isLeaseReturn: boolean};

/** Period in which every read of the store found a holder's lease absent, without a lease return of the holder. */
type LeaseAbsence = {readonly since: number; readonly seenAt: number; readonly leaseReturns: number};

/**
 * Coordinates the claims and the key-range roles of one node for its own service.
 *
 * @example
 * const coordinator = new AtMostOnceCoordinator(definition);
 * coordinator.setService('deposits', true);
 * coordinator.recordReceived({version: 4, record}, now);
 * coordinator.open(call, now);
 */
export class AtMostOnceCoordinator {
	readonly #definition: AtMostOnceDefinition;
	readonly #memory: ClaimMemory;
	readonly #leaseAbsences = new Map<string, LeaseAbsence>();
	#service = '';
	#hasAtMostOnceRequests = false;
	#isDraining = false;
	#members: readonly Member[] = [];
	#ranges: KeyRange[] = [];
	#record: VersionedRecord | undefined;
	#isRecordAbsent = false;
	#pendingWrite: PendingWrite | undefined;
	#hasUnconfirmedWrite = false;
	#nextWriteAt = 0;
	#nextReadAt = 0;
	#nextHoldersReadAt = 0;
	#nextRebalanceAt = 0;
	#rebalanceCount = 0;
	#sequence = 0;
	#leaseConfirmedUntil = -Infinity;
	#mustRecordLeaseReturn = false;

	constructor(definition: AtMostOnceDefinition) {
		this.#definition = definition;
		this.#memory = new ClaimMemory(definition.limits);
	}

	/** The newest record known to this node. */
	get record(): VersionedRecord | undefined {
		return this.#record;
	}

	get memory(): ClaimMemory {
		return this.#memory;
	}

	/** Whether the node has handed over its primary roles, or no node is left to take them, and has no open call or write. */
	get hasHandedOver(): boolean {
		const isPrimary = this.#ranges.some(range => range.isPrimary) && this.#servingMembers().length > 0;
		return !isPrimary && this.#pendingWrite === undefined && this.#ranges.every(range => range.isIdle);
	}

	get isPrimaryOfAny(): boolean {
		return this.#ranges.some(range => range.isPrimary);
	}

	rangeAt(index: number): KeyRange | undefined {
		return this.#ranges[index];
	}

	/** Sets the node's service, and whether the manifest has at-most-once requests for it. */
	setService(service: string, hasAtMostOnceRequests: boolean): void {
		this.#hasAtMostOnceRequests = hasAtMostOnceRequests;
		if (service === this.#service) {
			return;
		}

		this.#service = service;
		this.#record = undefined;
		this.#isRecordAbsent = false;
		this.#ranges = Array.from({length: rangeCount}, (_, range) => new KeyRange({
			...this.#definition,
			service,
			range,
			memory: this.#memory,
			nextClaimId: epoch => this.#nextClaimId(epoch),
			hasConfirmedLease: now => this.#hasConfirmedLease(now),
		}));
	}

	setMembers(members: readonly Member[]): void {
		this.#members = members.filter(member => member.service === this.#service);
	}

	/** Reports that the store confirmed a renewal of the node's lease that was sent at the given time. */
	leaseRenewed(sentAt: number): void {
		this.#leaseConfirmedUntil = Math.max(this.#leaseConfirmedUntil, sentAt + this.#definition.storeOutageLimitMilliseconds);
	}

	/**
	 * Reports that the node's lease had lapsed. Another node may be about to adopt its ranges. The node therefore resumes
	 * its roles only after a write of its own to the record: of the two compare-and-swaps, only one succeeds.
	 */
	leaseLapsed(): void {
		this.#mustRecordLeaseReturn = true;
	}

	/** Starts to hand over all ranges, or takes part again. */
	setDraining(isDraining: boolean): void {
		this.#isDraining = isDraining;
	}

	/** Applies a record from the store or from a peer; undefined if the store has none. Known and older versions are ignored. */
	recordReceived(record: VersionedRecord | undefined, now: number): AtMostOnceEffect[] {
		this.#isRecordAbsent = record === undefined && this.#record === undefined;
		if (record === undefined || record.record.service !== this.#service || record.version <= (this.#record?.version ?? 0)) {
			return [];
		}

		this.#record = record;
		return this.#ranges.flatMap((range, index) => range.setRange(record.record.ranges[index]!, now));
	}

	writeCompleted(result: WriteResult, now: number): AtMostOnceEffect[] {
		const pendingWrite = this.#pendingWrite;
		this.#pendingWrite = undefined;
		if (pendingWrite === undefined) {
			return [];
		}

		const pause = writeRetryMilliseconds * (0.5 + this.#definition.random());
		this.#nextWriteAt = result.type === WriteResultType.Written ? now : now + pause;
		this.#hasUnconfirmedWrite = result.type === WriteResultType.Unknown;
		if (result.type === WriteResultType.Unknown) {
			return [];
		}

		if (result.type === WriteResultType.Conflict) {
			return this.recordReceived(result.current, now);
		}

		this.#mustRecordLeaseReturn &&= !pendingWrite.isLeaseReturn;
		const effects = this.recordReceived({version: result.version, record: pendingWrite.record}, now);
		return [...effects, ...this.#roleChanges(pendingWrite)];
	}

	/**
	 * Reports which leases the store holds.
	 *
	 * @param holders - holders whose leases were read
	 * @param present - names of the leases that exist
	 */
	holdersRead(holders: readonly Holder[], present: ReadonlySet<string>, now: number): void {
		holders.map(holder => {
			const key = holderKey(holder);
			if (present.has(key) || this.#record === undefined) {
				return this.#leaseAbsences.delete(key);
			}

			const leaseReturns = leaseReturnsOf(this.#record.record, holder);
			const absence = this.#leaseAbsences.get(key);
			const since = absence?.leaseReturns === leaseReturns ? absence.since : now;
			return this.#leaseAbsences.set(key, {since, seenAt: now, leaseReturns});
		});
	}

	open(call: AtMostOnceCall, now: number): OpenResult {
		const range = this.#ranges[rangeOf(call.key)];
		return range?.open(call, now)
			?? {type: OpenResultType.Refused, error: {kind: ErrorKind.StaleRange, detail: 'This node has no key ranges'}, isNotRun: true};
	}

	callAdmitted(call: AtMostOnceCall, now: number): AtMostOnceEffect[] {
		return this.#rangeOf(call)?.callAdmitted(call.callId, now) ?? [];
	}

	callNotRun(call: AtMostOnceCall, error: CallError, now: number): AtMostOnceEffect[] {
		return this.#rangeOf(call)?.callNotRun(call.callId, error, now) ?? [];
	}

	callFinished(call: AtMostOnceCall, answer: AnswerPayload | undefined, now: number): AtMostOnceEffect[] {
		return this.#rangeOf(call)?.callFinished(call, answer, now) ?? [];
	}

	receive(from: Holder, message: AtMostOnceMessage, now: number): AtMostOnceEffect[] {
		return message.service === this.#service ? this.#ranges[message.range]?.receive(from, message, now) ?? [] : [];
	}

	advance(now: number): AtMostOnceEffect[] {
		const effects = this.#ranges.flatMap(range => range.advance(now));
		return [...effects, ...this.#advanceRecord(now)];
	}

	#rangeOf(call: AtMostOnceCall): KeyRange | undefined {
		return this.#ranges[rangeOf(call.key)];
	}

	#nextClaimId(epoch: number): {epoch: number; sequence: number} {
		this.#sequence += 1;
		return {epoch, sequence: this.#sequence};
	}

	#hasConfirmedLease(now: number): boolean {
		return !this.#mustRecordLeaseReturn && now < this.#leaseConfirmedUntil;
	}

	#advanceRecord(now: number): AtMostOnceEffect[] {
		const own = this.#members.find(member => member.name === this.#definition.own.name);
		if (!this.#hasAtMostOnceRequests || this.#pendingWrite !== undefined || own === undefined || now < this.#nextWriteAt) {
			return [];
		}

		return this.#record === undefined ? this.#createOrReadRecord(own, now) : this.#updateRecord(this.#record, own, now);
	}

	#createOrReadRecord(own: Member, now: number): AtMostOnceEffect[] {
		const servingMembers = this.#servingMembers();
		const [creator] = chooseByRendezvous(this.#service, servingMembers, member => member.name, 1);
		if (this.#isRecordAbsent && creator?.name === own.name && !this.#isDraining) {
			return this.#write(0, createRecord(this.#service, servingMembers), new Map(), false);
		}

		return this.#readRecord(now);
	}

	#readRecord(now: number): AtMostOnceEffect[] {
		if (now < this.#nextReadAt) {
			return [];
		}

		this.#nextReadAt = now + (recordReadIntervalMilliseconds * (0.5 + this.#definition.random()));
		return [{type: AtMostOnceEffectType.ReadRecord, service: this.#service}];
	}

	#updateRecord(record: VersionedRecord, own: Member, now: number): AtMostOnceEffect[] {
		const context = this.#rangeContext(record, own, now);
		const actions = record.record.ranges.map((range, index) => nextRangeAction(index, range, this.#ranges[index]!, context));
		const effects = actions.flatMap((action, index) => this.#applyAction(action, index, now));
		const changes = new Map<number, Range>();
		const roles = new Map<number, RoleChange>();
		actions.map((action, index) => {
			if (action.type === RangeActionType.Write || action.type === RangeActionType.FenceAndWrite) {
				changes.set(index, action.range);
				roles.set(index, action.change);
			}

			return action;
		});
		const holdersToRead = actions.flatMap(action => action.type === RangeActionType.ReadHolders ? action.holders : []);
		const isLeaseReturn = this.#mustRecordLeaseReturn && hasHolder(record.record, this.#definition.own);
		const needsWrite = changes.size > 0 || this.#hasUnconfirmedWrite || isLeaseReturn;
		const changed = withRanges(record.record, changes);
		const writes = needsWrite
			? this.#write(record.version, isLeaseReturn ? withLeaseReturn(changed, this.#definition.own) : changed, roles, isLeaseReturn)
			: [];
		return [...effects, ...writes, ...this.#readHolders(holdersToRead, now)];
	}

	#applyAction(action: ReturnType<typeof nextRangeAction>, index: number, now: number): AtMostOnceEffect[] {
		const range = this.#ranges[index]!;
		if (action.type === RangeActionType.StartSync) {
			return range.startSync(action.candidate, now);
		}

		if (action.type === RangeActionType.StopSync) {
			return range.stopSync(now);
		}

		if (action.type === RangeActionType.FenceAndWrite) {
			range.fence();
		}

		return [];
	}

	#write(expectedVersion: number, record: VersionedRecord['record'], changes: ReadonlyMap<number, RoleChange>, isLeaseReturn: boolean): AtMostOnceEffect[] {
		this.#pendingWrite = {record, changes, isLeaseReturn};
		return [{
			type: AtMostOnceEffectType.WriteRecord, service: this.#service, expectedVersion, record,
		}];
	}

	#readHolders(holders: readonly Holder[], now: number): AtMostOnceEffect[] {
		if (holders.length === 0 || now < this.#nextHoldersReadAt) {
			return [];
		}

		this.#nextHoldersReadAt = now + (holdersReadIntervalMilliseconds * (0.5 + this.#definition.random()));
		const unique = new Map(holders.map(holder => [holderKey(holder), holder]));
		return [{type: AtMostOnceEffectType.ReadHolders, holders: [...unique.values()]}];
	}

	#rangeContext(record: VersionedRecord, own: Member, now: number): RangeContext {
		return {
			service: this.#service,
			own,
			servingMembers: this.#servingMembers(),
			isDraining: this.#isDraining,
			isDeadHolder: holder => this.#isDeadHolder(holder),
			haveLeasesLapsed: holders => holders.every(holder => this.#hasLeaseLapsed(record, holder)),
			primaryCounts: countNames(record.record.ranges.map(range => range.primary)),
			backupCounts: countNames(record.record.ranges.flatMap(range => range.backup ?? [])),
			hasUnconfirmedWrite: this.#hasUnconfirmedWrite,
			rebalanceIndex: isServing(own) && !this.#isDraining ? this.#nextRebalanceIndex(now) : -1,
			wallNow: this.#definition.wallClock(),
		};
	}

	/** Index of the range to balance now, round robin over the ranges of which the node is primary; -1 for none. */
	#nextRebalanceIndex(now: number): number {
		const own = this.#ranges.flatMap((range, index) => range.isPrimary ? [index] : []);
		if (own.length === 0 || now < this.#nextRebalanceAt) {
			return -1;
		}

		this.#nextRebalanceAt = now + (rebalanceIntervalMilliseconds * (0.5 + this.#definition.random()));
		this.#rebalanceCount += 1;
		return own[this.#rebalanceCount % own.length]!;
	}

	#servingMembers(): Member[] {
		return this.#members.filter(member => isServing(member) && !(this.#isDraining && member.name === this.#definition.own.name));
	}

	#isDeadHolder(holder: Holder): boolean {
		const member = this.#members.find(candidate => candidate.name === holder.name);
		return member === undefined
			|| member.incarnation > holder.incarnation
			|| member.liveness === Liveness.Dead
			|| member.state === UpstreamState.Left;
	}

	#hasLeaseLapsed(record: VersionedRecord, holder: Holder): boolean {
		const absence = this.#leaseAbsences.get(holderKey(holder));
		return absence !== undefined
			&& absence.leaseReturns === leaseReturnsOf(record.record, holder)
			&& absence.seenAt - absence.since > this.#definition.storeOutageLimitMilliseconds;
	}

	#roleChanges(write: PendingWrite): AtMostOnceEffect[] {
		return [...write.changes].map(([range, change]) => ({
			type: AtMostOnceEffectType.RoleChanged, service: this.#service, range, epoch: write.record.ranges[range]!.epoch, change,
		}));
	}
}

function countNames(holders: readonly Holder[]): Map<string, number> {
	const counts = new Map<string, number>();
	holders.map(holder => counts.set(holder.name, (counts.get(holder.name) ?? 0) + 1));
	return counts;
}
