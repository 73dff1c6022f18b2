/**
 * What an entry is told at its start, and how calls that it sent fail.
 *
 * @module
 */
import type {CallIdGenerator} from '../action/call-ids.js';
import type {PeerLoads} from '../routing/peer-loads.js';
import type {Locator} from './entry-call.js';

/** How a sent call failed without an answer. */
export enum SendFailure {
	/** No connection was made, so the node never got the call. */
	NotConnected = 'not-connected',
	/** The connection broke after bytes had gone out. */
	ConnectionLost = 'lost',
}

/** Parts of the entry that can be left out, to measure what each is worth. */
export type EntryMechanisms = {
	readonly retryQuota: boolean;
	readonly retryBudget: boolean;
};

/** Everything that an entry has to be told. */
export type EntryDefinition = {
	readonly callIds: CallIdGenerator;
	readonly locator: Locator;
	readonly loads: PeerLoads;
	/** Manifest revision in force. */
	readonly revision: () => number;
	readonly retryBudgetRatio: () => number;
	/** Retries towards one service that are at hand at the start, and kept at most. */
	readonly retryBurst?: number;
	readonly mechanisms?: EntryMechanisms;
};
