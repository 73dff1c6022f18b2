/**
 * A node's view of all members, and the order between updates about the same member.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {Liveness, UpstreamState, type Member} from './member.js';

const bucketCount = 64;
/** Members that are dead or left stay in the table as tombstones this long, so that outdated updates don't add them again. */
const tombstoneRetentionMilliseconds = 900_000;

const livenessOrder: Readonly<Record<Liveness, number>> = {
	[Liveness.Alive]: 0,
	[Liveness.Suspect]: 1,
	[Liveness.Dead]: 2,
};

/** Compares incarnation, then version, then liveness; at equal incarnation and version the worse liveness wins (dead, then suspect). */
export function supersedes(update: Member, known: Member): boolean {
	const difference = (update.incarnation - known.incarnation)
		|| (update.version - known.version)
		|| (livenessOrder[update.liveness] - livenessOrder[known.liveness]);
	return difference > 0;
}

/** Whether the member is marked as dead or has left. */
export function isDeadOrLeft(member: Member): boolean {
	return member.liveness === Liveness.Dead || member.state === UpstreamState.Left;
}

/**
 * Members by name.
 *
 * @example
 * table.merge(member, now); // true when the view has changed
 * table.bucketDigests(); // two nodes compare them to find the members in which their views differ
 */
export class MemberTable {
	readonly #members = new Map<string, Member>();
	readonly #tombstonesSince = new Map<string, number>();

	get all(): Member[] {
		return [...this.#members.values()];
	}

	get size(): number {
		return this.#members.size;
	}

	get(name: string): Member | undefined {
		return this.#members.get(name);
	}

	/** Merges an update; false when it is outdated, or when it adds a member that is already dead or left. */
	merge(update: Member, now: number): boolean {
		const known = this.#members.get(update.name);
		if (known === undefined ? isDeadOrLeft(update) : !supersedes(update, known)) {
			return false;
		}

		this.#members.set(update.name, update);
		if (isDeadOrLeft(update)) {
			this.#tombstonesSince.set(update.name, this.#tombstonesSince.get(update.name) ?? now);
		} else {
			this.#tombstonesSince.delete(update.name);
		}

		return true;
	}

	/** Removes the tombstones whose retention time has passed. */
	removeExpiredTombstones(now: number): void {
		[...this.#tombstonesSince].filter(([, since]) => now - since >= tombstoneRetentionMilliseconds).map(([name]) => {
			this.#tombstonesSince.delete(name);
			return this.#members.delete(name);
		});
	}

	/** One digest per bucket; a member's bucket is chosen by its name. Tombstones don't count. */
	bucketDigests(): number[] {
		const digests = Array.from({length: bucketCount}, () => 0);
		this.all.filter(member => !isDeadOrLeft(member)).map(member => {
			const bucket = bucketOf(member.name);
			digests[bucket] = ((digests[bucket] ?? 0) ^ digestOf(member)) >>> 0; // eslint-disable-line no-bitwise
			return bucket;
		});
		return digests;
	}

	/** Members of the buckets in which the other node's digests differ, tombstones included. */
	differingMembers(otherDigests: readonly number[]): Member[] {
		const own = this.bucketDigests();
		const differing = new Set(own.flatMap((digest, bucket) => digest === otherDigests[bucket] ? [] : [bucket]));
		return this.all.filter(member => differing.has(bucketOf(member.name)));
	}
}

function bucketOf(name: string): number {
	return createHash('md5').update(name).digest().readUInt8(0) % bucketCount;
}

function digestOf(member: Member): number {
	return createHash('md5').update(`${member.name} ${member.incarnation} ${member.version} ${member.liveness}`).digest().readUInt32BE(0);
}
