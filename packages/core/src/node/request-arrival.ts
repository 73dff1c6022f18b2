/**
 * What a node does with a caller's request on its arrival, as a decision without an effect.
 *
 * @module
 */
import {ErrorKind} from '../errors.js';
import type {Revision} from '../manifest/adoption.js';
import type {CallError} from '../messages.js';
import type {ActiveManifest} from './active-manifest.js';
import type {RequestResult} from './caller-requests.js';

const noManifestError: CallError = {kind: ErrorKind.NotReady, detail: 'The node has no manifest yet'};
const stoppingError: CallError = {kind: ErrorKind.Draining, detail: 'The node is stopping and takes no new requests'};

export enum ArrivalType {
	/** No manifest is active, so that nothing is known about the request. */
	NoManifest = 'no-manifest',
	/** A newer manifest is known to exist and is awaited for a short time. */
	Held = 'held',
	/** The request has no route, no valid key, or an invalid header. */
	Rejected = 'rejected',
	/** The node is stopping. */
	Stopping = 'stopping',
	/** The request becomes a call, if the quota of its organisation has room. */
	Opened = 'opened',
}

export type Arrival
	= | {readonly type: ArrivalType.NoManifest; readonly error: CallError}
		| {readonly type: ArrivalType.Held}
		| {readonly type: ArrivalType.Rejected; readonly result: Extract<RequestResult, {success: false}>}
		| {readonly type: ArrivalType.Stopping; readonly result: Extract<RequestResult, {success: true}>; readonly error: CallError}
		| {readonly type: ArrivalType.Opened; readonly result: Extract<RequestResult, {success: true}>};

/** State of the node that the decision depends on. */
export type ArrivalState = {
	readonly manifest: ActiveManifest;
	/** Whether a planned stop has ended all calls. */
	readonly hasEndedCalls: boolean;
	/** Whether a planned stop refuses all requests but nested calls. */
	readonly refusesNewRequests: boolean;
	/** Resolves the request by the active manifest. */
	readonly resolve: (current: Revision) => RequestResult;
};

/**
 * Decides about one request.
 *
 * @param now - milliseconds on the clock of the node
 * @example
 * decideArrival({manifest, hasEndedCalls: false, refusesNewRequests: false, resolve}, now).type; // ArrivalType.Opened
 */
export function decideArrival(state: ArrivalState, now: number): Arrival {
	const {current} = state.manifest;
	if (current === undefined) {
		return {type: ArrivalType.NoManifest, error: noManifestError};
	}

	return !state.hasEndedCalls && state.manifest.holdsRequests(now) ? {type: ArrivalType.Held} : decideByManifest(state, current);
}

/** Decides about a request that is not held. */
export function decideByManifest({hasEndedCalls, refusesNewRequests, resolve}: Omit<ArrivalState, 'manifest'>, current: Revision): Arrival {
	const result = resolve(current);
	if (!result.success) {
		return {type: ArrivalType.Rejected, result};
	}

	return hasEndedCalls || (refusesNewRequests && result.parentCallId === undefined)
		? {type: ArrivalType.Stopping, result, error: stoppingError}
		: {type: ArrivalType.Opened, result};
}
