/**
 * Which change of the record a node wants for a key range, given what it sees of the other nodes.
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

/** What a node sees of its service. */
export type RangeContext = {
	readonly service: string;
	readonly own: Member;
	/** Nodes of the service that take new work, the own node included. */
	readonly serving: readonly Member[];
	readonly isDraining: boolean;
	readonly isGone: (holder: Holder) => boolean;
	/** Whether the store has said for long enough that the leases of all holders have lapsed. */
	readonly areLost: (holders: readonly Holder[]) => boolean;
	/** Ranges that each name holds as primary. */
	readonly primaryLoad: ReadonlyMap<string, number>;
	/** Ranges that each name holds as backup. */
	readonly backupLoad: ReadonlyMap<string, number>;
	/** Whether a write that was not confirmed may still take effect. */
	readonly mustSettle: boolean;
	/** The one range that may be moved now only to spread the ranges evenly; -1 for none. */
	readonly balanceIndex: number;
	readonly wallNow: number;
};

export enum RangeActionType {
	None = 'none',
	/** Write this range into the record. */
	Write = 'write',
	/** Give the claims to a new backup first. */
	StartSync = 'start-sync',
	StopSync = 'stop-sync',
	/** Stop acknowledging, then write. */
	FenceAndWrite = 'fence-and-write',
	/** Ask the store whether the holders' leases have lapsed. */
	ReadHolders = 'read-holders',
}

/** What a node wants for one range. */
export type RangeAction
	= | {readonly type: RangeActionType.None | RangeActionType.StopSync}
		| {readonly type: RangeActionType.Write | RangeActionType.FenceAndWrite; readonly range: Range; readonly change: RoleChange}
		| {readonly type: RangeActionType.StartSync; readonly candidate: Holder}
		| {readonly type: RangeActionType.ReadHolders; readonly holders: readonly Holder[]};

const none: RangeAction = {type: RangeActionType.None};

/**
 * What the node wants for the range with the given index.
 *
 * @example
 * nextRangeAction(3, record.ranges[3], keyRange, situation);
 */
export function nextRangeAction(index: number, range: Range, keyRange: KeyRange, situation: RangeContext): RangeAction {
	const own = holderOf(situation.own);
	if (isSameHolder(range.primary, own)) {
		return wishOfPrimary(index, range, keyRange, situation);
	}

	if (keyRange.canTakeOver) {
		return wishOfBackup(range, keyRange, situation);
	}

	return situation.isDraining ? none : wishOfOthers(index, range, situation);
}

function wishOfPrimary(index: number, range: Range, keyRange: KeyRange, situation: RangeContext): RangeAction {
	const {backup} = range;
	const hasBackup = backup !== null && !situation.isGone(backup);
	const isBackupServing = hasBackup && situation.serving.some(member => member.name === backup.name);
	if (situation.isDraining && isBackupServing && keyRange.syncCandidate === undefined) {
		return write({...range, primary: backup, backup: null}, RoleChange.HandedOver);
	}

	if (keyRange.syncCandidate !== undefined) {
		return wishWhileSyncing(range, keyRange, situation);
	}

	const isBackupCrowded = hasBackup && situation.balanceIndex === index && isCrowded(backup.name, situation.backupLoad, situation);
	const isBackupLeaving = situation.isDraining && !isBackupServing;
	const candidate = hasBackup && !isBackupCrowded && !isBackupLeaving ? undefined : findCandidate(index, range, situation);
	if (candidate !== undefined) {
		return {type: RangeActionType.StartSync, candidate: holderOf(candidate)};
	}

	if (!hasBackup) {
		return backup === null ? none : write({...range, backup: null}, RoleChange.BackupReplaced);
	}

	const shouldSwap = situation.balanceIndex === index && isCrowded(situation.own.name, situation.primaryLoad, situation) && isSpare(backup.name, situation.primaryLoad, situation);
	return shouldSwap ? write({...range, primary: backup, backup: range.primary}, RoleChange.HandedOver) : none;
}

function wishWhileSyncing(range: Range, keyRange: KeyRange, situation: RangeContext): RangeAction {
	const candidate = keyRange.syncedCandidate;
	if (candidate !== undefined) {
		return write({...range, backup: candidate}, RoleChange.BackupReplaced);
	}

	const isHopeless = situation.isGone(keyRange.syncCandidate!) && !situation.mustSettle;
	return isHopeless ? {type: RangeActionType.StopSync} : none;
}

function wishOfBackup(range: Range, keyRange: KeyRange, situation: RangeContext): RangeAction {
	if (!keyRange.isFenced && !situation.isGone(range.primary)) {
		return none;
	}

	const changed = {
		...range, epoch: range.epoch + 1, primary: holderOf(situation.own), backup: null,
	};
	return {type: RangeActionType.FenceAndWrite, range: changed, change: RoleChange.TakenOver};
}

/** A range whose holders are both gone stands still until the store has said so for long enough. */
function wishOfOthers(index: number, range: Range, situation: RangeContext): RangeAction {
	const own = holderOf(situation.own);
	const holders = [range.primary, range.backup].filter(holder => holder !== null).filter(holder => !isSameHolder(holder, own));
	const [heir] = chooseByRendezvous(`${situation.service}/${index}`, situation.serving, member => member.name, 1);
	if (!holders.every(holder => situation.isGone(holder)) || heir?.name !== own.name) {
		return none;
	}

	if (!situation.areLost(holders)) {
		return {type: RangeActionType.ReadHolders, holders};
	}

	return write({
		...range, primary: own, backup: null, claimsLostAt: situation.wallNow,
	}, RoleChange.AdoptedWithoutClaims);
}

function write(range: Range, change: RoleChange): RangeAction {
	return {type: RangeActionType.Write, range: {...range, epoch: range.epoch + 1}, change};
}

function findCandidate(index: number, range: Range, situation: RangeContext): Member | undefined {
	const current = range.backup === null ? [] : [range.backup.name];
	return chooseBackup(`${situation.service}/${index}`, situation.own, situation.serving, new Set(current), situation.backupLoad);
}

function fairLoad(situation: RangeContext, total: number): number {
	return total / Math.max(1, situation.serving.length);
}

function totalOf(load: ReadonlyMap<string, number>): number {
	return [...load.values()].reduce((sum, count) => sum + count, 0);
}

function isCrowded(name: string, load: ReadonlyMap<string, number>, situation: RangeContext): boolean {
	return (load.get(name) ?? 0) > Math.ceil(fairLoad(situation, totalOf(load))) + 1;
}

function isSpare(name: string, load: ReadonlyMap<string, number>, situation: RangeContext): boolean {
	return (load.get(name) ?? 0) < Math.floor(fairLoad(situation, totalOf(load)));
}
