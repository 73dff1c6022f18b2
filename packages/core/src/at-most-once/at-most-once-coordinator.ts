/**
 * At-most-once work of one node: its key ranges, and the writes to the store that say who holds them.
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
	createRecord, holderKey, hasHolder, rangeCount, rangeOf, leaseReturnsOf, withRanges, withLeaseReturn, type Holder, type Range, type VersionedRecord,
} from './record.js';

const writePauseMilliseconds = 100;
const readPauseMilliseconds = 500;
const holdersReadPauseMilliseconds = 2000;
const balanceMilliseconds = 250;

type PendingWrite = {readonly record: VersionedRecord['record']; readonly changes: ReadonlyMap<number, RoleChange>; readonly isReturn: boolean};

/** Since when, and until when, a holder's lease was seen to be absent without a return of the holder. */
type Lapse = {readonly since: number; readonly seenAt: number; readonly returns: number};

/**
 * The ranges that one node knows of its own service.
 *
 * @example
 * const once = new AtMostOnceCoordinator(definition);
 * once.setService('deposits', true);
 * once.recordReceived({version: 4, record}, now);
 * once.open(call, now);
 */
export class AtMostOnceCoordinator {
	readonly #definition: AtMostOnceDefinition;
	readonly #memory: ClaimMemory;
	readonly #lapses = new Map<string, Lapse>();
	#service = '';
	#isNeeded = false;
	#isLeaving = false;
	#members: readonly Member[] = [];
	#ranges: KeyRange[] = [];
	#known: VersionedRecord | undefined;
	#isKnownAbsent = false;
	#writing: PendingWrite | undefined;
	#mustSettle = false;
	#nextWriteAt = 0;
	#nextReadAt = 0;
	#nextHoldersReadAt = 0;
	#nextBalanceAt = 0;
	#balanceTurn = 0;
	#sequence = 0;
	#renewedUntil = -Infinity;
	#mustReturn = false;

	constructor(definition: AtMostOnceDefinition) {
		this.#definition = definition;
		this.#memory = new ClaimMemory(definition.limits);
	}

	/** The record as known here. */
	get record(): VersionedRecord | undefined {
		return this.#known;
	}

	get memory(): ClaimMemory {
		return this.#memory;
	}

	/** Whether a leaving node has given away what it held and settled its calls. */
	get hasHandedOver(): boolean {
		const isPrimary = this.#ranges.some(range => range.isPrimary) && this.#serving().length > 0;
		return !isPrimary && this.#writing === undefined && this.#ranges.every(range => range.isIdle);
	}

	get isPrimaryOfAny(): boolean {
		return this.#ranges.some(range => range.isPrimary);
	}

	rangeAt(index: number): KeyRange | undefined {
		return this.#ranges[index];
	}

	/** Says which service the node belongs to, and whether that has at-most-once work. */
	setService(service: string, isNeeded: boolean): void {
		this.#isNeeded = isNeeded;
		if (service === this.#service) {
			return;
		}

		this.#service = service;
		this.#known = undefined;
		this.#isKnownAbsent = false;
		this.#ranges = Array.from({length: rangeCount}, (_, range) => new KeyRange({
			...this.#definition,
			service,
			range,
			memory: this.#memory,
			nextId: epoch => this.#nextId(epoch),
			hasAuthority: now => this.#hasAuthority(now),
		}));
	}

	setMembers(members: readonly Member[]): void {
		this.#members = members.filter(member => member.service === this.#service);
	}

	/** The store confirmed a renewal of the node's lease that was sent at the given time. */
	leaseRenewed(sentAt: number): void {
		this.#renewedUntil = Math.max(this.#renewedUntil, sentAt + this.#definition.storeOutageLimitMilliseconds);
	}

	/**
	 * The node's lease had lapsed. Another node may be about to adopt its ranges, so it works again only after a write
	 * of its own to the record, which makes that other node's write fail or is made to fail by it.
	 */
	leaseLapsed(): void {
		this.#mustReturn = true;
	}

	/** Gives away all ranges, or takes part again. */
	setDraining(isDraining: boolean): void {
		this.#isLeaving = isDraining;
	}

	/** Takes a record from the store or from a peer. Older versions change nothing. */
	recordReceived(record: VersionedRecord | undefined, now: number): AtMostOnceEffect[] {
		this.#isKnownAbsent = record === undefined && this.#known === undefined;
		if (record === undefined || record.record.service !== this.#service || record.version <= (this.#known?.version ?? 0)) {
			return [];
		}

		this.#known = record;
		return this.#ranges.flatMap((range, index) => range.setRange(record.record.ranges[index]!, now));
	}

	writeCompleted(result: WriteResult, now: number): AtMostOnceEffect[] {
		const writing = this.#writing;
		this.#writing = undefined;
		if (writing === undefined) {
			return [];
		}

		const pause = writePauseMilliseconds * (0.5 + this.#definition.random());
		this.#nextWriteAt = result.type === WriteResultType.Written ? now : now + pause;
		this.#mustSettle = result.type === WriteResultType.Unknown;
		if (result.type === WriteResultType.Unknown) {
			return [];
		}

		if (result.type === WriteResultType.Conflict) {
			return this.recordReceived(result.current, now);
		}

		this.#mustReturn &&= !writing.isReturn;
		const effects = this.recordReceived({version: result.version, record: writing.record}, now);
		return [...effects, ...this.#roleChanges(writing)];
	}

	/** Takes the store's word on which holders' leases are there. */
	holdersRead(asked: readonly Holder[], present: ReadonlySet<string>, now: number): void {
		asked.map(holder => {
			const key = holderKey(holder);
			if (present.has(key) || this.#known === undefined) {
				return this.#lapses.delete(key);
			}

			const returns = leaseReturnsOf(this.#known.record, holder);
			const lapse = this.#lapses.get(key);
			const since = lapse?.returns === returns ? lapse.since : now;
			return this.#lapses.set(key, {since, seenAt: now, returns});
		});
	}

	open(call: AtMostOnceCall, now: number): OpenResult {
		const range = this.#ranges[rangeOf(call.key)];
		return range?.open(call, now) ?? {type: OpenResultType.Refused, error: {kind: ErrorKind.StaleRange, detail: 'The node serves no key ranges'}, isNotRun: true};
	}

	callAdmitted(call: AtMostOnceCall, now: number): AtMostOnceEffect[] {
		return this.#rangeOf(call)?.admitted(call.callId, now) ?? [];
	}

	callNotRun(call: AtMostOnceCall, error: CallError, now: number): AtMostOnceEffect[] {
		return this.#rangeOf(call)?.notRun(call.callId, error, now) ?? [];
	}

	callFinished(call: AtMostOnceCall, answer: AnswerPayload | undefined, now: number): AtMostOnceEffect[] {
		return this.#rangeOf(call)?.finished(call, answer, now) ?? [];
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

	#nextId(epoch: number): {epoch: number; sequence: number} {
		this.#sequence += 1;
		return {epoch, sequence: this.#sequence};
	}

	#hasAuthority(now: number): boolean {
		return !this.#mustReturn && now < this.#renewedUntil;
	}

	#advanceRecord(now: number): AtMostOnceEffect[] {
		const own = this.#members.find(member => member.name === this.#definition.own.name);
		if (!this.#isNeeded || this.#writing !== undefined || own === undefined || now < this.#nextWriteAt) {
			return [];
		}

		return this.#known === undefined ? this.#findRecord(own, now) : this.#changeRecord(this.#known, own, now);
	}

	#findRecord(own: Member, now: number): AtMostOnceEffect[] {
		const serving = this.#serving();
		const [creator] = chooseByRendezvous(this.#service, serving, member => member.name, 1);
		if (this.#isKnownAbsent && creator?.name === own.name && !this.#isLeaving) {
			return this.#write(0, createRecord(this.#service, serving), new Map(), false);
		}

		return this.#readRecord(now);
	}

	#readRecord(now: number): AtMostOnceEffect[] {
		if (now < this.#nextReadAt) {
			return [];
		}

		this.#nextReadAt = now + (readPauseMilliseconds * (0.5 + this.#definition.random()));
		return [{type: AtMostOnceEffectType.ReadRecord, service: this.#service}];
	}

	#changeRecord(known: VersionedRecord, own: Member, now: number): AtMostOnceEffect[] {
		const situation = this.#situation(known, own, now);
		const wishes = known.record.ranges.map((range, index) => nextRangeAction(index, range, this.#ranges[index]!, situation));
		const effects = wishes.flatMap((wish, index) => this.#beginWish(wish, index, now));
		const changes = new Map<number, Range>();
		const roles = new Map<number, RoleChange>();
		wishes.map((wish, index) => {
			if (wish.type === RangeActionType.Write || wish.type === RangeActionType.FenceAndWrite) {
				changes.set(index, wish.range);
				roles.set(index, wish.change);
			}

			return wish;
		});
		const lost = wishes.flatMap(wish => wish.type === RangeActionType.ReadHolders ? wish.holders : []);
		const isReturn = this.#mustReturn && hasHolder(known.record, this.#definition.own);
		const needsWrite = changes.size > 0 || this.#mustSettle || isReturn;
		const changed = withRanges(known.record, changes);
		const writes = needsWrite ? this.#write(known.version, isReturn ? withLeaseReturn(changed, this.#definition.own) : changed, roles, isReturn) : [];
		return [...effects, ...writes, ...this.#readHolders(lost, now)];
	}

	#beginWish(wish: ReturnType<typeof nextRangeAction>, index: number, now: number): AtMostOnceEffect[] {
		const range = this.#ranges[index]!;
		if (wish.type === RangeActionType.StartSync) {
			return range.startSync(wish.candidate, now);
		}

		if (wish.type === RangeActionType.StopSync) {
			return range.stopSync(now);
		}

		if (wish.type === RangeActionType.FenceAndWrite) {
			range.fence();
		}

		return [];
	}

	#write(expectedVersion: number, record: VersionedRecord['record'], changes: ReadonlyMap<number, RoleChange>, isReturn: boolean): AtMostOnceEffect[] {
		this.#writing = {record, changes, isReturn};
		return [{
			type: AtMostOnceEffectType.WriteRecord, service: this.#service, expectedVersion, record,
		}];
	}

	#readHolders(holders: readonly Holder[], now: number): AtMostOnceEffect[] {
		if (holders.length === 0 || now < this.#nextHoldersReadAt) {
			return [];
		}

		this.#nextHoldersReadAt = now + (holdersReadPauseMilliseconds * (0.5 + this.#definition.random()));
		const unique = new Map(holders.map(holder => [holderKey(holder), holder]));
		return [{type: AtMostOnceEffectType.ReadHolders, holders: [...unique.values()]}];
	}

	#situation(known: VersionedRecord, own: Member, now: number): RangeContext {
		return {
			service: this.#service,
			own,
			serving: this.#serving(),
			isDraining: this.#isLeaving,
			isGone: holder => this.#isGone(holder),
			areLost: holders => holders.every(holder => this.#isLost(known, holder)),
			primaryLoad: countNames(known.record.ranges.map(range => range.primary)),
			backupLoad: countNames(known.record.ranges.flatMap(range => range.backup ?? [])),
			mustSettle: this.#mustSettle,
			balanceIndex: isServing(own) && !this.#isLeaving ? this.#nextBalanceIndex(now) : -1,
			wallNow: this.#definition.wallClock(),
		};
	}

	/** Takes the node's own ranges in turn, one each time. */
	#nextBalanceIndex(now: number): number {
		const own = this.#ranges.flatMap((range, index) => range.isPrimary ? [index] : []);
		if (own.length === 0 || now < this.#nextBalanceAt) {
			return -1;
		}

		this.#nextBalanceAt = now + (balanceMilliseconds * (0.5 + this.#definition.random()));
		this.#balanceTurn += 1;
		return own[this.#balanceTurn % own.length]!;
	}

	#serving(): Member[] {
		return this.#members.filter(member => isServing(member) && !(this.#isLeaving && member.name === this.#definition.own.name));
	}

	#isGone(holder: Holder): boolean {
		const member = this.#members.find(candidate => candidate.name === holder.name);
		return member === undefined
			|| member.incarnation > holder.incarnation
			|| member.liveness === Liveness.Dead
			|| member.state === UpstreamState.Left;
	}

	#isLost(known: VersionedRecord, holder: Holder): boolean {
		const lapse = this.#lapses.get(holderKey(holder));
		return lapse !== undefined
			&& lapse.returns === leaseReturnsOf(known.record, holder)
			&& lapse.seenAt - lapse.since > this.#definition.storeOutageLimitMilliseconds;
	}

	#roleChanges(writing: PendingWrite): AtMostOnceEffect[] {
		return [...writing.changes].map(([range, change]) => ({
			type: AtMostOnceEffectType.RoleChanged, service: this.#service, range, epoch: writing.record.ranges[range]!.epoch, change,
		}));
	}
}

function countNames(holders: readonly Holder[]): Map<string, number> {
	const counts = new Map<string, number>();
	holders.map(holder => counts.set(holder.name, (counts.get(holder.name) ?? 0) + 1));
	return counts;
}
