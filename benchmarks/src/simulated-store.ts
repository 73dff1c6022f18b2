/**
 * The simulated store of an exploration: leases that lapse, and one record with all its versions.
 *
 * @module
 */
import {
	holderKey, type Holder, type RangeRecord, type VersionedRecord,
} from '@laburnumspool/core';
import {InjectedMistake} from './injected-mistakes.js';

const leaseMilliseconds = 400;

/**
 * A store that can be unavailable. Times are in milliseconds.
 *
 * @example
 * const store = new SimulatedStore(InjectedMistake.None);
 * store.renew(holder, now); // false: it had no lease
 * store.compareAndSwap(0, record); // 1
 */
export class SimulatedStore {
	isDown = false;
	readonly #mistake: InjectedMistake;
	readonly #leases = new Map<string, number>();
	readonly #history: VersionedRecord[] = [];

	constructor(mistake: InjectedMistake) {
		this.#mistake = mistake;
	}

	/** All versions of the record, oldest first. */
	get history(): readonly VersionedRecord[] {
		return this.#history;
	}

	get newest(): VersionedRecord | undefined {
		return this.#history.at(-1);
	}

	/** Names of the leases that exist. */
	get leaseNames(): ReadonlySet<string> {
		return new Set(this.#leases.keys());
	}

	/**
	 * Grants or renews the holder's lease.
	 *
	 * @returns whether the holder had a lease
	 */
	renew(holder: Holder, now: number): boolean {
		this.expireLeases(now);
		const key = holderKey(holder);
		const hadLease = this.#leases.has(key);
		this.#leases.set(key, now + leaseMilliseconds);
		return hadLease;
	}

	expireLeases(now: number): void {
		[...this.#leases].filter(([, expiresAt]) => now >= expiresAt).map(([key]) => this.#leases.delete(key));
	}

	/**
	 * Writes the record by compare-and-swap.
	 *
	 * @returns the new version; undefined when the newest version is not the expected one
	 */
	compareAndSwap(expectedVersion: number, record: RangeRecord): number | undefined {
		if ((this.newest?.version ?? 0) !== expectedVersion) {
			return undefined;
		}

		const stored = this.#mistake === InjectedMistake.ForgetsLoss
			? {...record, ranges: record.ranges.map(range => ({...range, claimsLostAt: 0}))}
			: record;
		this.#history.push({version: expectedVersion + 1, record: stored});
		return expectedVersion + 1;
	}
}
