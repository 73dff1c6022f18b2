/**
 * Settings of the at-most-once coordinator, and the results of writing the record.
 *
 * @module
 */
import type {ClaimLimits} from './claim-table.js';
import type {Holder, VersionedRecord} from './record.js';

/** Settings and clocks of the at-most-once coordinator. */
export type AtMostOnceDefinition = {
	readonly own: Holder;
	readonly limits: ClaimLimits;
	readonly wallClock: () => number;
	readonly random: () => number;
	readonly rememberForMilliseconds: () => number;
	readonly clockErrorMilliseconds: number;
	readonly longestCallMilliseconds: number;
	/** Longest time that the node acts as primary or backup after it sent the last lease renewal that the store confirmed. */
	readonly storeOutageLimitMilliseconds: number;
};

export enum WriteResultType {
	Written = 'written',
	Conflict = 'conflict',
	/** The write may have taken effect, or may still take effect. */
	Unknown = 'unknown',
}

/** Result of a compare-and-swap of the record. */
export type WriteResult
	= | {readonly type: WriteResultType.Written; readonly version: number}
		| {readonly type: WriteResultType.Conflict; readonly current: VersionedRecord | undefined}
		| {readonly type: WriteResultType.Unknown};
