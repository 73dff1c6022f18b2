/**
 * The record of the primary and the backup of each key range of a service. The platform's store keeps it and is the
 * only authority on it. It changes by compare-and-swap only.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import * as valibot from 'valibot';
import type {Member} from '../membership/member.js';
import {incarnationSchema, memberNameSchema} from '../membership/member-schema.js';
import {chooseByRendezvous, rendezvousWeight} from '../routing/rendezvous.js';

/** Number of key ranges of each service. */
export const rangeCount = 32;

const counter = valibot.pipe(valibot.number(), valibot.safeInteger(), valibot.minValue(0));
const holderSchema = valibot.strictObject({name: memberNameSchema, incarnation: incarnationSchema});

const rangeSchema = valibot.strictObject({
	epoch: counter,
	primary: holderSchema,
	backup: valibot.nullable(holderSchema),
	/** Wall-clock time in milliseconds at which all claims of the range were last lost; 0 if they never were. */
	claimsLostAt: incarnationSchema,
});

/** Schema of the record as the store keeps it. */
export const recordSchema = valibot.strictObject({
	service: valibot.string(),
	ranges: valibot.pipe(valibot.array(rangeSchema), valibot.length(rangeCount)),
	/** Number of times that each holder has returned after its lease lapsed, by the name of the lease. */
	returns: valibot.record(valibot.string(), counter),
});

/** One incarnation of a node, as the primary or the backup of a range. */
export type Holder = valibot.InferOutput<typeof holderSchema>;
/** The holders of one range. The epoch grows by one with every change. */
export type Range = valibot.InferOutput<typeof rangeSchema>;
/** The holders of all ranges of a service. */
export type RangeRecord = valibot.InferOutput<typeof recordSchema>;

/** A record with the version that the store gave it. */
export type VersionedRecord = {
	readonly version: number;
	readonly record: RangeRecord;
};

/**
 * Index of the range that a key belongs to.
 *
 * @returns a whole number in [0, rangeCount)
 * @example
 * rangeOf('018f3c52-7a3e-7cc3-98c4-dc0c0c07398f');
 */
export function rangeOf(key: string): number {
	return createHash('md5').update(key).digest().readUInt32BE(0) % rangeCount;
}

export function isSameHolder(left: Holder | null | undefined, right: Holder | null | undefined): boolean {
	return left?.name === right?.name && left?.incarnation === right?.incarnation;
}

export function holderOf(member: Member): Holder {
	return {name: member.name, incarnation: member.incarnation};
}

/**
 * Creates the first record of a service: the ranges are spread evenly over the members, and each has a backup if there
 * are at least two members.
 *
 * @example
 * createRecord('deposits', members);
 */
export function createRecord(service: string, members: readonly Member[]): RangeRecord {
	const ordered = chooseByRendezvous(service, members, member => member.name, members.length);
	const ranges = Array.from({length: rangeCount}, (_, index) => {
		const primary = ordered[index % ordered.length]!;
		const backup = chooseBackup(`${service}/${index}`, primary, members, new Set());
		return {
			epoch: 1, primary: holderOf(primary), backup: backup === undefined ? null : holderOf(backup), claimsLostAt: 0,
		};
	});
	return {service, ranges, returns: {}};
}

/**
 * Chooses a backup for a primary: in the same region and another failure domain if possible, otherwise in the same
 * region, otherwise anywhere. Among equal members, the one that holds the fewest ranges is chosen. Rendezvous hashing of
 * the key breaks ties.
 *
 * @param backupCounts - number of ranges that each name holds as backup
 * @returns undefined when no member is left
 */
export function chooseBackup(
	key: string,
	primary: Member,
	members: readonly Member[],
	excluded: ReadonlySet<string>,
	backupCounts: ReadonlyMap<string, number> = new Map(),
): Member | undefined {
	const preference = (member: Member): number => {
		const isSameRegion = member.location.region === primary.location.region;
		const isOtherDomain = member.location.failureDomain !== primary.location.failureDomain;
		return (isSameRegion ? 0 : 2) + (isOtherDomain ? 0 : 1);
	};

	return members
		.filter(member => member.name !== primary.name && !excluded.has(member.name))
		.toSorted((left, right) => (preference(left) - preference(right))
			|| ((backupCounts.get(left.name) ?? 0) - (backupCounts.get(right.name) ?? 0))
			|| (rendezvousWeight(key, right.name) - rendezvousWeight(key, left.name)))[0];
}

/** Name of a holder's lease in the store. */
export function holderKey(holder: Holder): string {
	return `${holder.name}.${holder.incarnation}`;
}

/** Number of times that the holder has returned after its lease lapsed. */
export function leaseReturnsOf(record: RangeRecord, holder: Holder): number {
	return record.returns[holderKey(holder)] ?? 0;
}

/** Whether the holder is the primary or the backup of any range. */
export function hasHolder(record: RangeRecord, holder: Holder): boolean {
	return record.ranges.some(range => isSameHolder(range.primary, holder) || isSameHolder(range.backup, holder));
}

/** The record with one more lease return of the holder. Entries of nodes that hold no range are removed. */
export function withLeaseReturn(record: RangeRecord, holder: Holder): RangeRecord {
	const held = new Set(record.ranges.flatMap(range => [range.primary, ...(range.backup === null ? [] : [range.backup])]).map(other => holderKey(other)));
	const kept = Object.fromEntries(Object.entries(record.returns).filter(([key]) => held.has(key)));
	return {...record, returns: {...kept, [holderKey(holder)]: leaseReturnsOf(record, holder) + 1}};
}

/** The record with some ranges replaced. */
export function withRanges(record: RangeRecord, changes: ReadonlyMap<number, Range>): RangeRecord {
	return {...record, ranges: record.ranges.map((range, index) => changes.get(index) ?? range)};
}
