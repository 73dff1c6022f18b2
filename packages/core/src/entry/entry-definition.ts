/**
 * The parameters of an entry coordinator, and the ways in which sending a call fails.
 *
 * @module
 */
import type {CallIdGenerator} from '../action/call-ids.js';
import type {ExpectedEnds} from '../routing/expected-end.js';
import type {PeerLoads} from '../routing/peer-loads.js';
import type {Locator} from './entry-call.js';

/** How sending a call failed, when no answer arrived. */
export enum SendFailure {
	/** No connection was established, so the node never received the call. */
	NotConnected = 'not-connected',
	/** The connection was lost after bytes had been sent, so the call may have run. */
	ConnectionLost = 'lost',
}

/** Switches for the retry limits, so that benchmarks can measure the effect of each. */
export type EntryMechanisms = {
	readonly retryQuota: boolean;
	readonly retryBudget: boolean;
};

export type EntryDefinition = {
	readonly callIds: CallIdGenerator;
	readonly locator: Locator;
	readonly loads: PeerLoads;
	/** Expected ends at peers; undefined while cost-aware placement is disabled. */
	readonly ends?: ExpectedEnds | undefined;
	/** Number of the active manifest revision. */
	readonly revision: () => number;
	/** Retries that each success adds to the retry budget of its service. */
	readonly retryBudgetRatio: () => number;
	/** Offers to another upstream, after one refused a call without running it, that each success earns. */
	readonly offerRatio: () => number;
	/** Retries towards one service that are available at the start, and the most that can accumulate. */
	readonly retryBurst?: number;
	readonly mechanisms?: EntryMechanisms;
};
