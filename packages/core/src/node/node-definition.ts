/**
 * The parameters of a node core.
 *
 * @module
 */
import type {AdmissionMechanisms} from '../admission/admission-mechanisms.js';
import type {EntryMechanisms} from '../entry/entry-definition.js';
import type {Member} from '../membership/member.js';
import type {MembershipTimes} from '../membership/membership-definition.js';
import type {QuotaGate} from '../organisations/quota-gate.js';
import type {ClaimLimits} from '../at-most-once/claim-table.js';

export type NodeDefinition = {
	readonly own: Member;
	/** Wall-clock time in milliseconds since the Unix epoch; used for events and for keys that contain a time. */
	readonly wallClock: () => number;
	/** Uniformly distributed numbers in [0, 1). */
	readonly random: () => number;
	/** Generates a trace id of 32 hexadecimal digits. */
	readonly newActionId: () => string;
	readonly membershipTimes: MembershipTimes;
	readonly claimLimits: ClaimLimits;
	/** Longest time that the node keeps its roles without a confirmed lease renewal. */
	readonly storeOutageLimitMilliseconds: number;
	readonly clockErrorMilliseconds: number;
	/** Time after the last confirmation of the active manifest at which the node reads the store itself; 1900 by default. */
	readonly manifestAgeMilliseconds?: number;
	/** Header, in lower case, that names the organisation of a request to the upstreams; without it they learn no organisation. */
	readonly organisationHeader?: string | undefined;
	/** Replaces the quotas of the manifest, for hosts that enforce quotas of their own; by default those of the manifest apply. */
	readonly quotaGate?: QuotaGate;
	readonly admissionMechanisms?: AdmissionMechanisms;
	readonly entryMechanisms?: EntryMechanisms;
	/** Whether serving nodes are chosen by the expected end of calls; false by default. */
	readonly costAwarePlacement?: boolean;
	/** Whether callers' requests that most probably fail further down the call chain are refused; false by default. */
	readonly earlyRefusal?: boolean;
	/** Largest share of the announced slots that is used; 1 by default. */
	readonly slotShare?: number;
	/** Retry budget of each service: its burst, and the retries earned per success when they differ from the manifest's `retryShare`. */
	readonly retries?: {readonly burst: number; readonly share?: number | undefined; /** Offers earned per success. */ readonly offerShare?: number | undefined};
};
