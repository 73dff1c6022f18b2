/**
 * The narrow port to the platform's key-value service.
 *
 * @module
 */

/** A key's value with the version the store gave it. Versions grow over all keys. */
export type StoreEntry = {
	readonly version: number;
	readonly value: string;
};

export enum SwapResultType {
	Written = 'written',
	Conflict = 'conflict',
}

/** Result of a compare-and-swap that the store has answered. */
export type SwapResult
	= | {readonly type: SwapResultType.Written; readonly version: number}
		| {readonly type: SwapResultType.Conflict; readonly current: StoreEntry | undefined};

/**
 * The store. Every method rejects with `store-unavailable` when no answer came; a write may then have taken effect,
 * or may still do so.
 */
export type Store = {
	readonly get: (key: string) => Promise<StoreEntry | undefined>;
	/** Writes if the key's version is the expected one; 0 expects that the key is absent. */
	readonly compareAndSwap: (key: string, expectedVersion: number, value: string, lease?: string) => Promise<SwapResult>;
	/** Waits until the key has a version above the given one; undefined when the wait is over before that. */
	readonly watch: (key: string, aboveVersion: number, waitMilliseconds: number) => Promise<StoreEntry | undefined>;
	/** All entries whose keys begin with the prefix; they may be seconds old. */
	readonly list: (prefix: string) => Promise<readonly StoreEntry[]>;
	readonly grantLease: (timeToLiveMilliseconds: number) => Promise<string>;
	/** False when the lease has lapsed. */
	readonly renewLease: (lease: string) => Promise<boolean>;
	readonly revokeLease: (lease: string) => Promise<void>;
	readonly close: () => Promise<void>;
};

/** Key of the manifest. */
export const manifestKey = 'laburnumspool/manifest';
