/**
 * State of the store stand-in: versioned keys, leases, and the faults that a test can inject.
 *
 * @module
 */

/** The value of a key, with the lease that the key depends on. */
export type Entry = {readonly version: number; readonly value: string; readonly lease: string | undefined};

/** Faults to inject, sent as JSON to `/control/faults`. */
export type Faults = {
	/** Connections are closed without an answer; only control requests are answered. */
	readonly isDown: boolean;
	readonly delayMilliseconds: number;
	/** Number of next writes (all calls but GET) that are carried out, but whose connection is closed without an answer. */
	readonly confirmationsToLose: number;
	/** Reads return the values at the time when this was switched on. */
	readonly servesStaleReads: boolean;
};

export const noFaults: Faults = {
	isDown: false, delayMilliseconds: 0, confirmationsToLose: 0, servesStaleReads: false,
};

export type SwapOutcome = {readonly isWritten: true; readonly version: number} | {readonly isWritten: false; readonly current: Entry | undefined};

type Lease = {readonly timeToLiveMilliseconds: number; expiresAt: number};

/**
 * Keys and leases. All keys share one version counter, so a key that is created again gets a higher version than before.
 *
 * Times are in milliseconds. Leases that are due expire at the next read, write or renewal.
 *
 * @example
 * state.compareAndSwap('a', 0, '1', undefined, now); // {isWritten: true, version: 1}
 */
export class StoreState {
	readonly #entries = new Map<string, Entry>();
	readonly #leases = new Map<string, Lease>();
	#staleEntries: ReadonlyMap<string, Entry> | undefined;
	#lastVersion = 0;
	#grantedLeaseCount = 0;

	/** Reads a key, from the snapshot while stale reads are on. */
	read(key: string, now: number): Entry | undefined {
		this.expireLeases(now);
		return (this.#staleEntries ?? this.#entries).get(key);
	}

	/** Current keys that start with the prefix, also while stale reads are on. */
	keysWithPrefix(prefix: string): string[] {
		return [...this.#entries.keys()].filter(key => key.startsWith(prefix));
	}

	/**
	 * Writes the value if the key has the expected version, 0 for an absent key, and the lease, if any, has neither lapsed nor
	 * been revoked. Otherwise returns the current entry.
	 */
	compareAndSwap(key: string, expectedVersion: number, value: string, lease: string | undefined, now: number): SwapOutcome {
		this.expireLeases(now);
		const current = this.#entries.get(key);
		const isLeaseUnknown = lease !== undefined && !this.#leases.has(lease);
		if ((current?.version ?? 0) !== expectedVersion || isLeaseUnknown) {
			return {isWritten: false, current};
		}

		this.#lastVersion += 1;
		this.#entries.set(key, {version: this.#lastVersion, value, lease});
		return {isWritten: true, version: this.#lastVersion};
	}

	/** Returns the id of the new lease. */
	grantLease(timeToLiveMilliseconds: number, now: number): string {
		this.#grantedLeaseCount += 1;
		const lease = `lease-${this.#grantedLeaseCount}`;
		this.#leases.set(lease, {timeToLiveMilliseconds, expiresAt: now + timeToLiveMilliseconds});
		return lease;
	}

	/** Extends a lease by its time to live. False when it has lapsed, was revoked or was never granted. */
	renewLease(lease: string, now: number): boolean {
		this.expireLeases(now);
		const renewedLease = this.#leases.get(lease);
		if (renewedLease === undefined) {
			return false;
		}

		renewedLease.expiresAt = now + renewedLease.timeToLiveMilliseconds;
		return true;
	}

	/** Ends a lease and deletes its keys. */
	revokeLease(lease: string): void {
		this.#leases.delete(lease);
		[...this.#entries].filter(([, entry]) => entry.lease === lease).map(([key]) => this.#entries.delete(key));
	}

	/** Switches stale reads on or off. Switching on again keeps the first snapshot. */
	setServesStaleReads(isStale: boolean): void {
		this.#staleEntries = isStale ? this.#staleEntries ?? new Map(this.#entries) : undefined;
	}

	/** Revokes the leases whose time to live is over. */
	expireLeases(now: number): void {
		[...this.#leases].filter(([, lease]) => now >= lease.expiresAt).map(([lease]) => {
			this.revokeLease(lease);
			return lease;
		});
	}
}
