/**
 * What the ranges of a node are told at its start, and what becomes of their writes.
 *
 * @module
 */
import type {ClaimLimits} from './claim-table.js';
import type {Holder, VersionedRecord} from './record.js';

/** Everything that the ranges of a node have to be told. */
export type AtMostOnceDefinition = {
	readonly own: Holder;
	readonly limits: ClaimLimits;
	readonly wallClock: () => number;
	readonly random: () => number;
	readonly rememberForMilliseconds: () => number;
	readonly clockErrorMilliseconds: number;
	readonly longestCallMilliseconds: number;
	/** Longest time to work on after the store's last confirmed renewal of the node's lease. */
	readonly storeOutageLimitMilliseconds: number;
};

export enum WriteResultType {
	Written = 'written',
	Conflict = 'conflict',
	/** The write may have taken effect, or may still. */
	Unknown = 'unknown',
}

/** What became of a write of the record. */
export type WriteResult
	= | {readonly type: WriteResultType.Written; readonly version: number}
		| {readonly type: WriteResultType.Conflict; readonly current: VersionedRecord | undefined}
		| {readonly type: WriteResultType.Unknown};
