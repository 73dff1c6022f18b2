/**
 * One key range at one node: the claims it knows, and its role as the record gives it.
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

/** What a range gets from its node. */
export type KeyRangeDefinition = {
	readonly service: string;
	readonly range: number;
	readonly own: Holder;
	readonly memory: ClaimMemory;
	readonly nextId: (epoch: number) => ClaimId;
	readonly hasAuthority: (now: number) => boolean;
	/** Wall-clock time in milliseconds. */
	readonly wallClock: () => number;
	readonly rememberForMilliseconds: () => number;
	/** Bound on the difference between clocks that make keys and those of nodes. */
	readonly clockErrorMilliseconds: number;
	readonly longestCallMilliseconds: number;
};

type Syncing = {readonly candidate: Holder; isComplete: boolean; sentAt: number; readonly epoch: number};

const resyncMilliseconds = 200;

/**
 * A range and its claims.
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
	#syncing: Syncing | undefined;

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

	/** Whether this node, as backup, has all claims. */
	get canTakeOver(): boolean {
		return this.isBackup && this.#backup.isSynced;
	}

	/** Whether nothing is open that a leaving node has to finish. */
	get isIdle(): boolean {
		return this.#primary.isIdle;
	}

	get hasPending(): boolean {
		return this.#primary.hasPending;
	}

	get claims(): Claim[] {
		return this.#table.all;
	}

	/** The new backup that has all claims now; undefined while there is none. */
	get syncedCandidate(): Holder | undefined {
		return this.#syncing?.isComplete === true ? this.#syncing.candidate : undefined;
	}

	/** The node that is being made the next backup. */
	get syncCandidate(): Holder | undefined {
		return this.#syncing?.candidate;
	}

	/** Takes what the record says. Older epochs change nothing. */
	setRange(range: Range, now: number): AtMostOnceEffect[] {
		const previous = this.#range;
		if (previous !== undefined && range.epoch <= previous.epoch) {
			return [];
		}

		const wasComplete = previous !== undefined && previous.epoch === range.epoch - 1 && (this.#primary.isActive || this.canTakeOver);
		const isTakeover = this.canTakeOver && this.#backup.isFenced;
		this.#range = range;
		this.#syncing = undefined;
		this.#backup.setRange(range, wasComplete);
		if (isSameHolder(range.primary, this.#definition.own)) {
			return this.#primary.activate(range.epoch, range.backup, isTakeover ? this.#unfinishedKeys() : [], now);
		}

		const effects = this.#primary.deactivate(range.epoch, this.#otherHolders());
		if (!this.isBackup && !this.#backup.isCandidateAfter(range.epoch)) {
			this.#table.clear();
		}

		return effects;
	}

	open(call: AtMostOnceCall, now: number): OpenResult {
		if (!this.#primary.isActive) {
			return this.#refuse(ErrorKind.StaleRange, `This node is not the primary of range ${this.#definition.range}`);
		}

		return this.#table.get(call.key) === undefined && this.#isForgotten(call.key)
			? {type: OpenResultType.Refused, error: {kind: ErrorKind.KeyStateUnknown, detail: 'The claims of this key range were lost; the key may have been used'}, isNotRun: false}
			: this.#primary.open(call, now);
	}

	admitted(callId: string, now: number): AtMostOnceEffect[] {
		return this.#primary.admitted(callId, now);
	}

	notRun(callId: string, error: CallError, now: number): AtMostOnceEffect[] {
		return this.#primary.notRun(callId, error, now);
	}

	/** Notes the end of a dispatched call and tells the other holders of its answer. */
	finished(call: AtMostOnceCall, answer: AnswerPayload | undefined, now: number): AtMostOnceEffect[] {
		const claim = this.#table.get(call.key);
		const effects = this.#primary.finished(call.callId, answer, now);
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

	/** Stops acknowledging the primary, before this node takes its place. */
	fence(): void {
		this.#backup.fence();
	}

	/** Gives all claims to a node that is to be the next backup, and dispatches nothing until that is settled. */
	startSync(candidate: Holder, now: number): AtMostOnceEffect[] {
		if (this.#range === undefined || !this.#primary.isActive) {
			return [];
		}

		this.#primary.freeze();
		this.#syncing = {
			candidate, isComplete: false, sentAt: now, epoch: this.#range.epoch + 1,
		};
		return [this.#syncMessage(this.#syncing)];
	}

	get isFenced(): boolean {
		return this.#backup.isFenced;
	}

	/** The new backup will not do, and no write that names it can take effect any more: goes on with the old one. */
	stopSync(now: number): AtMostOnceEffect[] {
		this.#syncing = undefined;
		return this.#primary.isActive ? this.#primary.unfreeze(now) : [];
	}

	advance(now: number): AtMostOnceEffect[] {
		this.#table.expire(now, this.#definition.rememberForMilliseconds(), this.#definition.rememberForMilliseconds() + this.#definition.longestCallMilliseconds);
		return [...this.#primary.advance(now), ...this.#resync(now)];
	}

	#resync(now: number): AtMostOnceEffect[] {
		const syncing = this.#syncing;
		if (syncing === undefined || syncing.isComplete || now - syncing.sentAt < resyncMilliseconds) {
			return [];
		}

		syncing.sentAt = now;
		return [this.#syncMessage(syncing)];
	}

	#syncMessage(syncing: Syncing): AtMostOnceEffect {
		const {service, range} = this.#definition;
		return {
			type: AtMostOnceEffectType.Send,
			to: syncing.candidate,
			message: {
				type: AtMostOnceMessageType.Sync, service, range, epoch: syncing.epoch, claims: this.#table.all.map(claim => toCopy(claim)),
			},
		};
	}

	#receiveSyncAcknowledged(from: Holder, message: AtMostOnceMessage): AtMostOnceEffect[] {
		const syncing = this.#syncing;
		if (syncing !== undefined && syncing.epoch === message.epoch && isSameHolder(syncing.candidate, from)) {
			syncing.isComplete = true;
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
		return this.#primary.finishedElsewhere(key);
	}

	/** Whoever takes a claim back has never dispatched it and never will, so it counts no longer, whatever the roles are by now. */
	#receiveRelease(message: AtMostOnceMessage): AtMostOnceEffect[] {
		const isTakenBack = message.type === AtMostOnceMessageType.Release && this.#table.remove(message.key, message.id);
		return isTakenBack && this.#primary.isActive ? this.#primary.releasedElsewhere(message.key) : [];
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

	/** After a loss of all claims, only keys that were made after it are known to be new. */
	#isForgotten(key: string): boolean {
		const lostAt = this.#range?.claimsLostAt ?? 0;
		if (lostAt === 0 || this.#definition.wallClock() >= lostAt + this.#definition.rememberForMilliseconds()) {
			return false;
		}

		const madeAt = keyCreationTime(key);
		return madeAt === undefined || madeAt <= lostAt + this.#definition.clockErrorMilliseconds;
	}

	#refuse(kind: ErrorKind, detail: string): OpenResult {
		return {type: OpenResultType.Refused, error: {kind, detail}, isNotRun: true};
	}
}

/** A claim as a backup keeps it: what is pending may be dispatched at any moment. */
function toCopy(claim: Claim): Claim {
	return claim.state === ClaimState.Pending ? {...claim, state: ClaimState.Dispatched} : claim;
}
