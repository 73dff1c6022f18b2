/**
 * The backup of one key range: stores copies of the claims and acknowledges them until it is fenced.
 *
 * @module
 */
import {
	ClaimState, compareClaimIds, type ClaimMemory, type ClaimTable,
} from './claim-table.js';
import {
	AtMostOnceEffectType, AtMostOnceMessageType, type AtMostOnceEffect, type AtMostOnceMessage,
} from './messages.js';
import {isSameHolder, type Holder, type Range} from './record.js';

type MessageOf<Type extends AtMostOnceMessageType> = Extract<AtMostOnceMessage, {type: Type}>;

/** Dependencies that the backup role shares with its key range. */
export type BackupDefinition = {
	readonly own: Holder;
	readonly table: ClaimTable;
	readonly memory: ClaimMemory;
	/** Whether the last confirmed lease renewal is recent enough to act as primary or backup, and no lease return is still to be recorded. */
	readonly hasConfirmedLease: (now: number) => boolean;
};

/**
 * Backup of one key range.
 *
 * After `fence`, no claim of the current epoch is acknowledged. A primary that was paused or partitioned can therefore
 * dispatch no further call, even if its clock is wrong.
 *
 * @example
 * backup.receive(primary, claimMessage, now); // sends the acknowledgement
 */
export class BackupRole {
	readonly #definition: BackupDefinition;
	#range: Range | undefined;
	#isSynced = false;
	#isFenced = false;
	#completedSync: {epoch: number; from: Holder} | undefined;

	constructor(definition: BackupDefinition) {
		this.#definition = definition;
	}

	/** Whether the copy of the claims is complete, so that this node can take the range over. */
	get isSynced(): boolean {
		return this.#isSynced;
	}

	get isFenced(): boolean {
		return this.#isFenced;
	}

	/** Whether the node received all claims for an epoch later than the given one. */
	isSyncedAfter(epoch: number): boolean {
		return (this.#completedSync?.epoch ?? 0) > epoch;
	}

	/**
	 * Applies the range of a record. A new epoch lifts the fence.
	 *
	 * @param wasComplete - whether this node held all claims of the previous epoch
	 */
	setRange(range: Range, wasComplete: boolean): void {
		const isNew = range.epoch !== this.#range?.epoch;
		this.#range = range;
		if (!isNew) {
			return;
		}

		this.#isFenced = false;
		const isSyncedByPrimary = this.#completedSync?.epoch === range.epoch && isSameHolder(this.#completedSync.from, range.primary);
		const isFirstEpoch = range.epoch === 1 && range.claimsLostAt === 0;
		this.#isSynced = isSameHolder(range.backup, this.#definition.own) && (isFirstEpoch || isSyncedByPrimary || wasComplete);
	}

	/** Stops acknowledging claims of the current epoch. */
	fence(): void {
		this.#isFenced = true;
	}

	receive(from: Holder, message: AtMostOnceMessage, now: number): AtMostOnceEffect[] {
		const handlers: {readonly [Type in AtMostOnceMessageType]?: (message: MessageOf<Type>) => AtMostOnceEffect[]} = {
			[AtMostOnceMessageType.Claim]: claim => this.#receiveClaim(from, claim, now),
			[AtMostOnceMessageType.Release]: release => this.#receiveRelease(from, release, now),
			[AtMostOnceMessageType.Sync]: sync => this.#receiveSync(from, sync, now),
		};
		const handler = handlers[message.type] as ((message: AtMostOnceMessage) => AtMostOnceEffect[]) | undefined;
		return handler?.(message) ?? [];
	}

	#mayAcknowledge(from: Holder, epoch: number, now: number): boolean {
		if (!this.#definition.hasConfirmedLease(now)) {
			return false;
		}

		const range = this.#range;
		if (range?.epoch === epoch) {
			return this.#isSynced && !this.#isFenced && isSameHolder(range.primary, from);
		}

		return epoch > (range?.epoch ?? 0) && this.#completedSync?.epoch === epoch && isSameHolder(this.#completedSync.from, from);
	}

	#receiveClaim(from: Holder, message: MessageOf<AtMostOnceMessageType.Claim>, now: number): AtMostOnceEffect[] {
		const {table, memory} = this.#definition;
		const known = table.get(message.key);
		const isFull = known === undefined && memory.isFull;
		if (isFull || !this.#mayAcknowledge(from, message.epoch, now)) {
			return [this.#refuse(from, message, isFull)];
		}

		const order = known === undefined ? -1 : compareClaimIds(known.id, message.id);
		if (order > 0) {
			return [];
		}

		if (order < 0) {
			table.put({
				key: message.key, id: message.id, digest: message.digest, state: ClaimState.Dispatched, answer: undefined, changedAt: now,
			});
		}

		return [this.#reply(from, message, AtMostOnceMessageType.ClaimAcknowledged)];
	}

	/** The key range has already removed the claim, whatever this node's role is. The role decides only the reply. */
	#receiveRelease(from: Holder, message: MessageOf<AtMostOnceMessageType.Release>, now: number): AtMostOnceEffect[] {
		return [this.#mayAcknowledge(from, message.epoch, now)
			? this.#reply(from, message, AtMostOnceMessageType.ReleaseAcknowledged)
			: this.#refuse(from, message, false)];
	}

	/** Merges the claims, so that a delayed or duplicated message removes no claim and replaces no later one. */
	#receiveSync(from: Holder, message: MessageOf<AtMostOnceMessageType.Sync>, now: number): AtMostOnceEffect[] {
		const {own, table} = this.#definition;
		const isOutdated = message.epoch <= (this.#range?.epoch ?? 0) || message.epoch < (this.#completedSync?.epoch ?? 0);
		const isPrimary = isSameHolder(this.#range?.primary, own);
		if (isOutdated || isPrimary) {
			return [];
		}

		message.claims
			.filter(claim => compareClaimIds(table.get(claim.key)?.id ?? {epoch: 0, sequence: 0}, claim.id) <= 0)
			.map(claim => {
				table.put({...claim, changedAt: now});
				return claim;
			});
		this.#completedSync = {epoch: message.epoch, from};
		const {service, range, epoch} = message;
		return [{
			type: AtMostOnceEffectType.Send,
			to: from,
			message: {
				type: AtMostOnceMessageType.SyncAcknowledged, service, range, epoch,
			},
		}];
	}

	#reply(
		to: Holder,
		message: MessageOf<AtMostOnceMessageType.Claim | AtMostOnceMessageType.Release>,
		type: AtMostOnceMessageType.ClaimAcknowledged | AtMostOnceMessageType.ReleaseAcknowledged,
	): AtMostOnceEffect {
		const {
			service, range, epoch, key, id,
		} = message;
		return {
			type: AtMostOnceEffectType.Send, to, message: {
				type, service, range, epoch, key, id,
			},
		};
	}

	#refuse(to: Holder, message: MessageOf<AtMostOnceMessageType.Claim | AtMostOnceMessageType.Release>, isFull: boolean): AtMostOnceEffect {
		const {
			service, range, epoch, key, id,
		} = message;
		return {
			type: AtMostOnceEffectType.Send,
			to,
			message: {
				type: AtMostOnceMessageType.Refused, service, range, epoch, key, id, knownEpoch: this.#range?.epoch ?? 0, isFull,
			},
		};
	}
}
