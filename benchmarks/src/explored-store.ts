/**
 * The store of an exploration: leases that lapse, and one record with all its versions.
 *
 * @module
 */
import {
	holderKey, type Holder, type RangeRecord, type VersionedRecord,
} from '@laburnumspool/core';
import {PlantedMistake} from './planted-mistakes.js';

const leaseMilliseconds = 400;

/**
 * A store that can be down.
 *
 * @example
 * const store = new ExploredStore(PlantedMistake.None);
 * store.renew(holder, now); // false: it had no lease
 * store.swap(0, record); // 1
 */
export class ExploredStore {
	isDown = false;
	readonly #mistake: PlantedMistake;
	readonly #leases = new Map<string, number>();
	readonly #history: VersionedRecord[] = [];

	constructor(mistake: PlantedMistake) {
		this.#mistake = mistake;
	}

	/** All versions of the record, oldest first. */
	get history(): readonly VersionedRecord[] {
		return this.#history;
	}

	get newest(): VersionedRecord | undefined {
		return this.#history.at(-1);
	}

	/** Keys of the holders that have a lease. */
	get leased(): ReadonlySet<string> {
		return new Set(this.#leases.keys());
	}

	/** Grants or renews a lease; tells whether there was one. */
	renew(holder: Holder, now: number): boolean {
		this.expireLeases(now);
		const key = holderKey(holder);
		const hadLease = this.#leases.has(key);
		this.#leases.set(key, now + leaseMilliseconds);
		return hadLease;
	}

	expireLeases(now: number): void {
		[...this.#leases].filter(([, until]) => now >= until).map(([key]) => this.#leases.delete(key));
	}

	/** Writes a version behind the expected one; undefined when another one is the newest. */
	swap(expectedVersion: number, record: RangeRecord): number | undefined {
		if ((this.newest?.version ?? 0) !== expectedVersion) {
			return undefined;
		}

		const kept = this.#mistake === PlantedMistake.ForgetsLoss
			? {...record, ranges: record.ranges.map(range => ({...range, claimsLostAt: 0}))}
			: record;
		this.#history.push({version: expectedVersion + 1, record: kept});
		return expectedVersion + 1;
	}
}
