/**
 * One key range at one node: its claims, and the node's role according to the record.
 *
 * @module
 */
import {ErrorKind} from '../errors.js';
import type {AnswerPayload, CallError} from '../messages.js';
import {BackupRole} from './backup-role.js';
import {
	ClaimState, ClaimTable, compareClaimIds, type Claim, type ClaimId, type ClaimMemory,
} from './claim-table.js';
import {keyCreationTime} from './key-time.js';
import {
	AtMostOnceEffectType, AtMostOnceMessageType, type AtMostOnceEffect, type AtMostOnceMessage,
} from './messages.js';
import {OpenResultType, type AtMostOnceCall, type OpenResult} from './attempt.js';
import {PrimaryRole} from './primary-role.js';
import {isSameHolder, type Holder, type Range} from './record.js';

/** Dependencies that a key range shares with the node's coordinator. */
export type KeyRangeDefinition = {
	readonly service: string;
	readonly range: number;
	readonly own: Holder;
	readonly memory: ClaimMemory;
	readonly nextClaimId: (epoch: number) => ClaimId;
	/** Whether the last confirmed lease renewal is recent enough to act as primary or backup, and no lease return is still to be recorded. */
	readonly hasConfirmedLease: (now: number) => boolean;
	/** Wall-clock time in milliseconds. */
	readonly wallClock: () => number;
	readonly rememberForMilliseconds: () => number;
	/** Largest difference between the clocks of callers, which create the keys, and of nodes. */
	readonly clockErrorMilliseconds: number;
	readonly longestCallMilliseconds: number;
};

type BackupSync = {readonly candidate: Holder; isComplete: boolean; sentAt: number; readonly epoch: number};

const resyncIntervalMilliseconds = 200;

/**
 * A key range and its claims.
 *
 * @example
 * range.setRange(record.ranges[3], now);
 * range.open(call, now); // {type: OpenResultType.Proceed} at the primary
 */
export class KeyRange {
	readonly #definition: KeyRangeDefinition;
	readonly #table: ClaimTable;
	readonly #primary: PrimaryRole;
	readonly #backup: BackupRole;
	#range: Range | undefined;
	#sync: BackupSync | undefined;

	constructor(definition: KeyRangeDefinition) {
		this.#definition = definition;
		this.#table = new ClaimTable(definition.memory);
		this.#primary = new PrimaryRole({...definition, table: this.#table});
		this.#backup = new BackupRole({...definition, table: this.#table});
	}

	get range(): Range | undefined {
		return this.#range;
	}

	get isPrimary(): boolean {
		return this.#primary.isActive;
	}

	get isBackup(): boolean {
		return isSameHolder(this.#range?.backup, this.#definition.own);
	}

	/** Whether this node is the backup and has all claims. */
	get canTakeOver(): boolean {
		return this.isBackup && this.#backup.isSynced;
	}

	/** Whether no call is open that a draining node has to finish. */
	get isIdle(): boolean {
		return this.#primary.isIdle;
	}

	get hasUnacknowledged(): boolean {
		return this.#primary.hasUnacknowledged;
	}

	get claims(): Claim[] {
		return this.#table.all;
	}

	/** The next backup, once it has acknowledged all claims; undefined before. */
	get syncedCandidate(): Holder | undefined {
		return this.#sync?.isComplete === true ? this.#sync.candidate : undefined;
	}

	/** The node to which the claims are copied so that it can become the next backup. */
	get syncCandidate(): Holder | undefined {
		return this.#sync?.candidate;
	}

	/** Applies the range of a record. Ranges with a known or older epoch are ignored. */
	setRange(range: Range, now: number): AtMostOnceEffect[] {
		const previous = this.#range;
		if (previous !== undefined && range.epoch <= previous.epoch) {
			return [];
		}

		const wasComplete = previous !== undefined && previous.epoch === range.epoch - 1 && (this.#primary.isActive || this.canTakeOver);
		const isTakeover = this.canTakeOver && this.#backup.isFenced;
		this.#range = range;
		this.#sync = undefined;
		this.#backup.setRange(range, wasComplete);
		if (isSameHolder(range.primary, this.#definition.own)) {
			return this.#primary.activate(range.epoch, range.backup, isTakeover ? this.#unfinishedKeys() : [], now);
		}

		const effects = this.#primary.deactivate(range.epoch, this.#otherHolders());
		if (!this.isBackup && !this.#backup.isSyncedAfter(range.epoch)) {
			this.#table.clear();
		}

		return effects;
	}

	open(call: AtMostOnceCall, now: number): OpenResult {
		if (!this.#primary.isActive) {
			return this.#refusal(ErrorKind.StaleRange, `This node is not the primary of range ${this.#definition.range} of ${this.#definition.service}`);
		}

		return this.#table.get(call.key) === undefined && this.#mayHaveLostClaim(call.key)
			? {
				type: OpenResultType.Refused,
				error: {kind: ErrorKind.KeyStateUnknown, detail: 'The claims of this key range were lost; the idempotency key may have been used'},
				isNotRun: false,
			}
			: this.#primary.open(call, now);
	}

	callAdmitted(callId: string, now: number): AtMostOnceEffect[] {
		return this.#primary.callAdmitted(callId, now);
	}

	callNotRun(callId: string, error: CallError, now: number): AtMostOnceEffect[] {
		return this.#primary.callNotRun(callId, error, now);
	}

	/** Records the end of a dispatched call and sends its answer to the other holders. */
	callFinished(call: AtMostOnceCall, answer: AnswerPayload | undefined, now: number): AtMostOnceEffect[] {
		const claim = this.#table.get(call.key);
		const effects = this.#primary.callFinished(call.callId, answer, now);
		if (claim === undefined || answer === undefined) {
			return effects;
		}

		return [...effects, ...this.#otherHolders().map(to => this.#finishedMessage(to, claim, answer))];
	}

	receive(from: Holder, message: AtMostOnceMessage, now: number): AtMostOnceEffect[] {
		const handlers: Readonly<Partial<Record<AtMostOnceMessageType, () => AtMostOnceEffect[]>>> = {
			[AtMostOnceMessageType.Finished]: () => this.#receiveFinished(message, now),
			[AtMostOnceMessageType.SyncAcknowledged]: () => this.#receiveSyncAcknowledged(from, message),
			[AtMostOnceMessageType.Release]: () => [...this.#receiveRelease(message), ...this.#backup.receive(from, message, now)],
		};
		return handlers[message.type]?.() ?? [...this.#primary.receive(message, now), ...this.#backup.receive(from, message, now)];
	}

	/** Stops acknowledging the primary's claims, before this node takes the range over. */
	fence(): void {
		this.#backup.fence();
	}

	/**
	 * Copies all claims to the node that is to become the next backup. Dispatching pauses until the record has a new epoch
	 * of the range, or `stopSync` is called.
	 */
	startSync(candidate: Holder, now: number): AtMostOnceEffect[] {
		if (this.#range === undefined || !this.#primary.isActive) {
			return [];
		}

		this.#primary.pauseDispatch();
		this.#sync = {
			candidate, isComplete: false, sentAt: now, epoch: this.#range.epoch + 1,
		};
		return [this.#syncMessage(this.#sync)];
	}

	get isFenced(): boolean {
		return this.#backup.isFenced;
	}

	/** Abandons the copy and resumes with the recorded backup. Call it only when no write that names the candidate can still take effect. */
	stopSync(now: number): AtMostOnceEffect[] {
		this.#sync = undefined;
		return this.#primary.isActive ? this.#primary.resumeDispatch(now) : [];
	}

	advance(now: number): AtMostOnceEffect[] {
		this.#table.expire(now, this.#definition.rememberForMilliseconds(), this.#definition.rememberForMilliseconds() + this.#definition.longestCallMilliseconds);
		return [...this.#primary.advance(now), ...this.#resyncIfDue(now)];
	}

	#resyncIfDue(now: number): AtMostOnceEffect[] {
		const sync = this.#sync;
		if (sync === undefined || sync.isComplete || now - sync.sentAt < resyncIntervalMilliseconds) {
			return [];
		}

		sync.sentAt = now;
		return [this.#syncMessage(sync)];
	}

	#syncMessage(sync: BackupSync): AtMostOnceEffect {
		const {service, range} = this.#definition;
		return {
			type: AtMostOnceEffectType.Send,
			to: sync.candidate,
			message: {
				type: AtMostOnceMessageType.Sync, service, range, epoch: sync.epoch, claims: this.#table.all.map(claim => toBackupClaim(claim)),
			},
		};
	}

	#receiveSyncAcknowledged(from: Holder, message: AtMostOnceMessage): AtMostOnceEffect[] {
		const sync = this.#sync;
		if (sync !== undefined && sync.epoch === message.epoch && isSameHolder(sync.candidate, from)) {
			sync.isComplete = true;
		}

		return [];
	}

	#receiveFinished(message: AtMostOnceMessage, now: number): AtMostOnceEffect[] {
		if (message.type !== AtMostOnceMessageType.Finished || message.answer === undefined) {
			return [];
		}

		const known = this.#table.get(message.key);
		const isHolder = this.isBackup || this.#primary.isActive;
		if (!isHolder || (known !== undefined && compareClaimIds(known.id, message.id) !== 0)) {
			return [];
		}

		const {key, id, digest, answer} = message;
		this.#table.put({
			key, id, digest, state: ClaimState.Finished, answer, changedAt: now,
		});
		return this.#primary.finishedByEarlierPrimary(key);
	}

	/** A sender of a release has not dispatched the call and never will, so the claim is removed whatever the roles are now. */
	#receiveRelease(message: AtMostOnceMessage): AtMostOnceEffect[] {
		const isRemoved = message.type === AtMostOnceMessageType.Release && this.#table.remove(message.key, message.id);
		return isRemoved && this.#primary.isActive ? this.#primary.releasedByEarlierPrimary(message.key) : [];
	}

	#finishedMessage(to: Holder, claim: Claim, answer: AnswerPayload): AtMostOnceEffect {
		const {service, range} = this.#definition;
		const {key, id, digest} = claim;
		return {
			type: AtMostOnceEffectType.Send,
			to,
			message: {
				type: AtMostOnceMessageType.Finished, service, range, epoch: this.#range?.epoch ?? 0, key, id, digest, answer,
			},
		};
	}

	#otherHolders(): Holder[] {
		return [this.#range?.primary, this.#range?.backup]
			.filter(holder => holder !== null && holder !== undefined)
			.filter(holder => !isSameHolder(holder, this.#definition.own));
	}

	#unfinishedKeys(): string[] {
		return this.#table.all.filter(claim => claim.state !== ClaimState.Finished).map(claim => claim.key);
	}

	/** Whether a claim of the key may have been lost. After a loss of all claims, only keys created later are known to be unused. */
	#mayHaveLostClaim(key: string): boolean {
		const lostAt = this.#range?.claimsLostAt ?? 0;
		if (lostAt === 0 || this.#definition.wallClock() >= lostAt + this.#definition.rememberForMilliseconds()) {
			return false;
		}

		const createdAt = keyCreationTime(key);
		return createdAt === undefined || createdAt <= lostAt + this.#definition.clockErrorMilliseconds;
	}

	#refusal(kind: ErrorKind, detail: string): OpenResult {
		return {type: OpenResultType.Refused, error: {kind, detail}, isNotRun: true};
	}
}

/** The claim as a backup stores it. A pending claim may be dispatched at any moment, so it counts as dispatched. */
function toBackupClaim(claim: Claim): Claim {
	return claim.state === ClaimState.Pending ? {...claim, state: ClaimState.Dispatched} : claim;
}
