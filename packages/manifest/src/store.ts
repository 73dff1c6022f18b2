/**
 * The interface to the platform's key-value store.
 *
 * @module
 */

/** Value of a key, with the version assigned by the store. Versions increase across all keys. */
export type StoreEntry = {
	readonly version: number;
	readonly value: string;
};

/** An entry with its key. */
export type KeyedEntry = StoreEntry & {readonly key: string};

export enum SwapResultType {
	Written = 'written',
	Conflict = 'conflict',
}

/** Result of a compare-and-swap that the store answered; `current` is undefined if the key is absent. */
export type SwapResult
	= | {readonly type: SwapResultType.Written; readonly version: number}
		| {readonly type: SwapResultType.Conflict; readonly current: StoreEntry | undefined};

/**
 * A key-value store with leases. Every method rejects with `store-unavailable` if no valid answer arrives; a write may
 * then have taken effect, or may still do so.
 */
export type Store = {
	/** Reads the current entry; undefined if the key is absent. */
	readonly get: (key: string) => Promise<StoreEntry | undefined>;
	/**
	 * Writes if the key has the expected version; 0 expects that the key is absent. An entry with a lease is removed when
	 * the lease ends.
	 */
	readonly compareAndSwap: (key: string, expectedVersion: number, value: string, lease?: string) => Promise<SwapResult>;
	/**
	 * Waits until the key has a version above the given one; undefined if that does not happen in time. Rejects
	 * `watchGraceMilliseconds` after that time without an answer, since the connection may be silent.
	 */
	readonly watch: (key: string, aboveVersion: number, waitMilliseconds: number) => Promise<StoreEntry | undefined>;
	/** Reads all entries whose keys begin with the prefix. The entries may be seconds old. */
	readonly list: (prefix: string) => Promise<readonly KeyedEntry[]>;
	/** Creates a lease and returns its id. */
	readonly grantLease: (timeToLiveMilliseconds: number) => Promise<string>;
	/** Extends a lease by its time to live; false if the lease has lapsed. */
	readonly renewLease: (lease: string) => Promise<boolean>;
	readonly revokeLease: (lease: string) => Promise<void>;
	readonly close: () => Promise<void>;
};

/** Longest wait for the answer to a watch after its own wait has ended. */
export const watchGraceMilliseconds = 500;

/** Default key of the manifest. */
export const defaultManifestKey = 'laburnumspool/manifest';
