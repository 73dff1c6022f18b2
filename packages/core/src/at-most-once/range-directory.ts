/**
 * Finds the primaries of the key ranges of all services. A record is pulled when a lookup needs it, or after a node
 * that is no longer the primary has refused a call.
 *
 * @module
 */
import {Liveness, UpstreamState, type Member} from '../membership/member.js';
import {rangeOf, type Holder, type VersionedRecord} from './record.js';

const pullIntervalMilliseconds = 100;

export enum PrimaryLookupType {
	Found = 'found',
	/** The record is not known yet, or the backup has not taken the range over yet. */
	Wait = 'wait',
	/** Neither the primary nor the backup is alive. */
	Unavailable = 'standing-still',
}

export type PrimaryLookup
	= | {readonly type: PrimaryLookupType.Found; readonly member: Member; readonly epoch: number}
		| {readonly type: PrimaryLookupType.Wait | PrimaryLookupType.Unavailable};

/**
 * Key-range records by service.
 *
 * @example
 * directory.lookUp('deposits', key, memberOf);
 */
export class RangeDirectory {
	readonly #records = new Map<string, VersionedRecord>();
	readonly #nextPullAt = new Map<string, number>();
	readonly #requestedPulls = new Set<string>();

	version(service: string): number {
		return this.#records.get(service)?.version ?? 0;
	}

	record(service: string): VersionedRecord | undefined {
		return this.#records.get(service);
	}

	/** Stores the record unless a version at least as new is known. */
	put(record: VersionedRecord): void {
		if (record.version > this.version(record.record.service)) {
			this.#records.set(record.record.service, record);
		}
	}

	/** Finds the primary of a key, and requests a pull of the record where the known one does not suffice. */
	lookUp(service: string, key: string, memberOf: (name: string) => Member | undefined): PrimaryLookup {
		const lookup = this.find(service, key, memberOf);
		if (lookup.type !== PrimaryLookupType.Found) {
			this.#requestedPulls.add(service);
		}

		return lookup;
	}

	/** Finds the primary of a key in the known record, without requesting a newer one. */
	find(service: string, key: string, memberOf: (name: string) => Member | undefined): PrimaryLookup {
		const range = this.#records.get(service)?.record.ranges[rangeOf(key)];
		if (range === undefined) {
			return {type: PrimaryLookupType.Wait};
		}

		const primary = findAliveHolder(range.primary, memberOf);
		if (primary !== undefined) {
			return {type: PrimaryLookupType.Found, member: primary, epoch: range.epoch};
		}

		const backup = range.backup === null ? undefined : findAliveHolder(range.backup, memberOf);
		return {type: backup === undefined ? PrimaryLookupType.Unavailable : PrimaryLookupType.Wait};
	}

	/** Requests a pull of the service's record, because the known one is outdated. */
	requestPull(service: string): void {
		this.#requestedPulls.add(service);
	}

	/** Returns the services whose record is to be pulled now, and clears their requests. */
	takePulls(now: number): string[] {
		const due = [...this.#requestedPulls].filter(service => now >= (this.#nextPullAt.get(service) ?? 0));
		due.map(service => {
			this.#requestedPulls.delete(service);
			return this.#nextPullAt.set(service, now + pullIntervalMilliseconds);
		});
		return due;
	}
}

function findAliveHolder(holder: Holder, memberOf: (name: string) => Member | undefined): Member | undefined {
	const member = memberOf(holder.name);
	const isAlive = member !== undefined
		&& member.incarnation === holder.incarnation
		&& member.liveness !== Liveness.Dead
		&& member.state !== UpstreamState.Left;
	return isAlive ? member : undefined;
}
