/**
 * Decides the next action of a node for a key range, from the record and the node's view of the other nodes.
 *
 * @module
 */
import type {KeyRange} from './key-range.js';
import {RoleChange} from './messages.js';
import {
	chooseBackup, holderOf, isSameHolder, type Holder, type Range,
} from './record.js';
import type {Member} from '../membership/member.js';
import {chooseByRendezvous} from '../routing/rendezvous.js';

/** A node's view of its service, as input to the decisions for its key ranges. */
export type RangeContext = {
	readonly service: string;
	readonly own: Member;
	/** Members that accept new work. The own node is included unless it drains. */
	readonly servingMembers: readonly Member[];
	readonly isDraining: boolean;
	/** Whether the holder's incarnation is unknown, dead or superseded, or has left. */
	readonly isDeadHolder: (holder: Holder) => boolean;
	/** Whether the store has reported the leases of all holders as lapsed for longer than the store outage limit. */
	readonly haveLeasesLapsed: (holders: readonly Holder[]) => boolean;
	/** Number of ranges that each name holds as primary. */
	readonly primaryCounts: ReadonlyMap<string, number>;
	/** Number of ranges that each name holds as backup. */
	readonly backupCounts: ReadonlyMap<string, number>;
	/** Whether an earlier write of the record may still take effect. */
	readonly hasUnconfirmedWrite: boolean;
	/** Index of the range that may be moved now to balance the load; -1 for none. */
	readonly rebalanceIndex: number;
	readonly wallNow: number;
};

export enum RangeActionType {
	None = 'none',
	/** Write the range into the record. */
	Write = 'write',
	/** Copy all claims to a new backup before the record names it. */
	StartSync = 'start-sync',
	/** Abandon the copy and continue with the recorded backup. */
	StopSync = 'stop-sync',
	/** Stop acknowledging the primary's claims, then write the range into the record. */
	FenceAndWrite = 'fence-and-write',
	/** Read from the store whether the holders' leases have lapsed. */
	ReadHolders = 'read-holders',
}

/** The next step of a node for one key range. */
export type RangeAction
	= | {readonly type: RangeActionType.None | RangeActionType.StopSync}
		| {readonly type: RangeActionType.Write | RangeActionType.FenceAndWrite; readonly range: Range; readonly change: RoleChange}
		| {readonly type: RangeActionType.StartSync; readonly candidate: Holder}
		| {readonly type: RangeActionType.ReadHolders; readonly holders: readonly Holder[]};

const none: RangeAction = {type: RangeActionType.None};

/**
 * Decides the node's next action for the range with the given index.
 *
 * @example
 * nextRangeAction(3, record.ranges[3], keyRange, context);
 */
export function nextRangeAction(index: number, range: Range, keyRange: KeyRange, context: RangeContext): RangeAction {
	const own = holderOf(context.own);
	if (isSameHolder(range.primary, own)) {
		return nextPrimaryAction(index, range, keyRange, context);
	}

	if (keyRange.canTakeOver) {
		return nextBackupAction(range, keyRange, context);
	}

	return context.isDraining ? none : nextAdoptionAction(index, range, context);
}

function nextPrimaryAction(index: number, range: Range, keyRange: KeyRange, context: RangeContext): RangeAction {
	const {backup} = range;
	const hasBackup = backup !== null && !context.isDeadHolder(backup);
	const isBackupServing = hasBackup && context.servingMembers.some(member => member.name === backup.name);
	if (context.isDraining && isBackupServing && keyRange.syncCandidate === undefined) {
		return writeAction({...range, primary: backup, backup: null}, RoleChange.HandedOver);
	}

	if (keyRange.syncCandidate !== undefined) {
		return nextSyncAction(range, keyRange, context);
	}

	const isBackupAboveFairShare = hasBackup && context.rebalanceIndex === index && isAboveFairShare(backup.name, context.backupCounts, context);
	const needsServingBackup = context.isDraining && !isBackupServing;
	const candidate = hasBackup && !isBackupAboveFairShare && !needsServingBackup ? undefined : findBackupCandidate(index, range, context);
	if (candidate !== undefined) {
		return {type: RangeActionType.StartSync, candidate: holderOf(candidate)};
	}

	if (!hasBackup) {
		return backup === null ? none : writeAction({...range, backup: null}, RoleChange.BackupReplaced);
	}

	const shouldSwap = context.rebalanceIndex === index
		&& isAboveFairShare(context.own.name, context.primaryCounts, context)
		&& isBelowFairShare(backup.name, context.primaryCounts, context);
	return shouldSwap ? writeAction({...range, primary: backup, backup: range.primary}, RoleChange.HandedOver) : none;
}

function nextSyncAction(range: Range, keyRange: KeyRange, context: RangeContext): RangeAction {
	const candidate = keyRange.syncedCandidate;
	if (candidate !== undefined) {
		return writeAction({...range, backup: candidate}, RoleChange.BackupReplaced);
	}

	const mustStop = context.isDeadHolder(keyRange.syncCandidate!) && !context.hasUnconfirmedWrite;
	return mustStop ? {type: RangeActionType.StopSync} : none;
}

function nextBackupAction(range: Range, keyRange: KeyRange, context: RangeContext): RangeAction {
	if (!keyRange.isFenced && !context.isDeadHolder(range.primary)) {
		return none;
	}

	const changed = {
		...range, epoch: range.epoch + 1, primary: holderOf(context.own), backup: null,
	};
	return {type: RangeActionType.FenceAndWrite, range: changed, change: RoleChange.TakenOver};
}

/**
 * A range without live holders is unavailable until the store has reported their leases as lapsed for longer than the
 * store outage limit. Then one member, chosen by rendezvous hashing, adopts the range without its claims.
 */
function nextAdoptionAction(index: number, range: Range, context: RangeContext): RangeAction {
	const own = holderOf(context.own);
	const holders = [range.primary, range.backup].filter(holder => holder !== null).filter(holder => !isSameHolder(holder, own));
	const [adopter] = chooseByRendezvous(`${context.service}/${index}`, context.servingMembers, member => member.name, 1);
	if (!holders.every(holder => context.isDeadHolder(holder)) || adopter?.name !== own.name) {
		return none;
	}

	if (!context.haveLeasesLapsed(holders)) {
		return {type: RangeActionType.ReadHolders, holders};
	}

	return writeAction({
		...range, primary: own, backup: null, claimsLostAt: context.wallNow,
	}, RoleChange.AdoptedWithoutClaims);
}

function writeAction(range: Range, change: RoleChange): RangeAction {
	return {type: RangeActionType.Write, range: {...range, epoch: range.epoch + 1}, change};
}

function findBackupCandidate(index: number, range: Range, context: RangeContext): Member | undefined {
	const current = range.backup === null ? [] : [range.backup.name];
	return chooseBackup(`${context.service}/${index}`, context.own, context.servingMembers, new Set(current), context.backupCounts);
}

function fairShare(context: RangeContext, total: number): number {
	return total / Math.max(1, context.servingMembers.length);
}

function totalOf(counts: ReadonlyMap<string, number>): number {
	return [...counts.values()].reduce((sum, count) => sum + count, 0);
}

/** Whether the name holds more than one range above the fair share, rounded up. */
function isAboveFairShare(name: string, counts: ReadonlyMap<string, number>, context: RangeContext): boolean {
	return (counts.get(name) ?? 0) > Math.ceil(fairShare(context, totalOf(counts))) + 1;
}

function isBelowFairShare(name: string, counts: ReadonlyMap<string, number>, context: RangeContext): boolean {
	return (counts.get(name) ?? 0) < Math.floor(fairShare(context, totalOf(counts)));
}
