/**
 * Ships a manifest to the store with one compare-and-swap. If the confirmation is lost, a retry finds the outcome.
 *
 * @module
 */
import {LaburnumspoolError, ErrorKind} from '@laburnumspool/core';
import {parseManifest} from './manifest-document.js';
import {digestOf, parseShippedManifest, type ShippedManifest} from './shipped-manifest.js';
import {
	defaultManifestKey, SwapResultType, type Store, type StoreEntry,
} from './store.js';

/** Outcome of shipping a manifest. */
export enum ShipResultType {
	Accepted = 'accepted',
	/** Another revision replaced the base first. */
	Conflict = 'conflict',
	/** It is not known whether the manifest was accepted: the store did not answer, or a later revision replaced the evidence. */
	Unknown = 'unknown',
}

export type ShipResult
	/** `revision` is the number of the shipped manifest. */
	= | {readonly type: ShipResultType.Accepted; readonly revision: number}
		/** `revision` is the number that the store holds, 0 if it holds no manifest. */
		| {readonly type: ShipResultType.Conflict; readonly revision: number}
		| {readonly type: ShipResultType.Unknown};

/** A manifest to ship, and how often to retry. */
export type ShipRequest = {
	readonly document: string;
	/** Name of the file, used in error messages. */
	readonly file: string;
	/** Revision that the document is based on; if undefined, the one that the store holds now. */
	readonly base: number | undefined;
	/** Unique text that identifies this write after a lost confirmation. */
	readonly nonce: string;
	/** Limit on the attempts to read the base, and likewise on the attempts to write. */
	readonly maximumAttempts: number;
	/** Called between two attempts. */
	readonly waitBeforeRetry: () => Promise<void>;
};

/**
 * Ships a manifest. Rejects with `invalid-manifest` before anything is written if the document is invalid.
 *
 * A write without an answer is retried with the same nonce until the store answers or the attempts are used up. Once the
 * store has answered, the write has either taken effect or never will.
 *
 * @example
 * const result = await ship(store, request); // {type: ShipResultType.Accepted, revision: 7}
 */
export async function ship(store: Store, request: ShipRequest): Promise<ShipResult> {
	parseManifest(request.document, request.file);
	const base = request.base ?? await readCurrentRevision(store, request);
	if (base === undefined) {
		return {type: ShipResultType.Unknown};
	}

	const shipped: ShippedManifest = {
		base, nonce: request.nonce, digest: digestOf(request.document), document: request.document,
	};
	return writeUntilAnswered(store, shipped, request, request.maximumAttempts, false);
}

async function readCurrentRevision(store: Store, request: ShipRequest, attemptsLeft = request.maximumAttempts): Promise<number | undefined> {
	try {
		const entry = await store.get(defaultManifestKey);
		return entry?.version ?? 0;
	} catch (error) {
		rethrowUnlessUnavailable(error);
	}

	if (attemptsLeft <= 1) {
		return undefined;
	}

	await request.waitBeforeRetry();
	return readCurrentRevision(store, request, attemptsLeft - 1);
}

async function writeUntilAnswered(
	store: Store,
	shipped: ShippedManifest,
	request: ShipRequest,
	attemptsLeft: number,
	isRetry: boolean,
): Promise<ShipResult> {
	try {
		const result = await store.compareAndSwap(defaultManifestKey, shipped.base, JSON.stringify(shipped));
		return result.type === SwapResultType.Written
			? {type: ShipResultType.Accepted, revision: result.version}
			: resolveConflict(result.current, shipped, isRetry);
	} catch (error) {
		rethrowUnlessUnavailable(error);
	}

	if (attemptsLeft <= 1) {
		return {type: ShipResultType.Unknown};
	}

	await request.waitBeforeRetry();
	return writeUntilAnswered(store, shipped, request, attemptsLeft - 1, true);
}

/**
 * Finds the outcome of a write that the store answered with a conflict. On a retry the stored revision may be this very
 * manifest, if only the confirmation of an earlier attempt was lost. A stored revision with another base proves nothing:
 * it may have replaced this manifest.
 */
function resolveConflict(current: StoreEntry | undefined, shipped: ShippedManifest, isRetry: boolean): ShipResult {
	const revision = current?.version ?? 0;
	if (!isRetry || current === undefined) {
		return {type: ShipResultType.Conflict, revision};
	}

	const stored = parseShippedManifest(current);
	if (stored.nonce === shipped.nonce) {
		return {type: ShipResultType.Accepted, revision};
	}

	return stored.base === shipped.base ? {type: ShipResultType.Conflict, revision} : {type: ShipResultType.Unknown};
}

function rethrowUnlessUnavailable(error: unknown): void {
	if (!(error instanceof LaburnumspoolError) || error.kind !== ErrorKind.StoreUnavailable) {
		throw error;
	}
}
