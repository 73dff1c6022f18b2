/**
 * Where a node finds the primaries of other services' key ranges. Records are pulled when needed, and a refusal by a
 * node that is no longer primary asks for a newer one.
 *
 * @module
 */
import {Liveness, UpstreamState, type Member} from '../membership/member.js';
import {rangeOf, type Holder, type VersionedRecord} from './record.js';

const pullPauseMilliseconds = 100;

export enum PrimaryLookupType {
	Found = 'found',
	/** The record is not known yet, or a takeover is under way. */
	Wait = 'wait',
	/** Neither primary nor backup is alive. */
	Unavailable = 'standing-still',
}

export type PrimaryLookup
	= | {readonly type: PrimaryLookupType.Found; readonly member: Member; readonly epoch: number}
		| {readonly type: PrimaryLookupType.Wait | PrimaryLookupType.Unavailable};

/**
 * Records by service.
 *
 * @example
 * directory.lookUp('deposits', key, memberOf);
 */
export class RangeDirectory {
	readonly #records = new Map<string, VersionedRecord>();
	readonly #nextPullAt = new Map<string, number>();
	readonly #wanted = new Set<string>();

	version(service: string): number {
		return this.#records.get(service)?.version ?? 0;
	}

	record(service: string): VersionedRecord | undefined {
		return this.#records.get(service);
	}

	/** Takes a record; older versions change nothing. */
	put(record: VersionedRecord): void {
		if (record.version > this.version(record.record.service)) {
			this.#records.set(record.record.service, record);
		}
	}

	lookUp(service: string, key: string, memberOf: (name: string) => Member | undefined): PrimaryLookup {
		const range = this.#records.get(service)?.record.ranges[rangeOf(key)];
		if (range === undefined) {
			this.#wanted.add(service);
			return {type: PrimaryLookupType.Wait};
		}

		const primary = aliveHolder(range.primary, memberOf);
		if (primary !== undefined) {
			return {type: PrimaryLookupType.Found, member: primary, epoch: range.epoch};
		}

		this.#wanted.add(service);
		const backup = range.backup === null ? undefined : aliveHolder(range.backup, memberOf);
		return {type: backup === undefined ? PrimaryLookupType.Unavailable : PrimaryLookupType.Wait};
	}

	/** Says that the record of the service is out of date. */
	requestPull(service: string): void {
		this.#wanted.add(service);
	}

	/** Services whose record should be pulled now. */
	takePulls(now: number): string[] {
		const due = [...this.#wanted].filter(service => now >= (this.#nextPullAt.get(service) ?? 0));
		due.map(service => {
			this.#wanted.delete(service);
			return this.#nextPullAt.set(service, now + pullPauseMilliseconds);
		});
		return due;
	}
}

function aliveHolder(holder: Holder, memberOf: (name: string) => Member | undefined): Member | undefined {
	const member = memberOf(holder.name);
	const isAlive = member !== undefined
		&& member.incarnation === holder.incarnation
		&& member.liveness !== Liveness.Dead
		&& member.state !== UpstreamState.Left;
	return isAlive ? member : undefined;
}
