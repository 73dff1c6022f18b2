/**
 * What a node is told at its start.
 *
 * @module
 */
import type {AdmissionMechanisms} from '../admission/admission-controller.js';
import type {EntryMechanisms} from '../entry/entry-definition.js';
import type {Member} from '../membership/member.js';
import type {MembershipTimes} from '../membership/membership.js';
import type {ClaimLimits} from '../at-most-once/claim-table.js';

/** Everything that a node has to be told at its start. */
export type NodeDefinition = {
	readonly own: Member;
	/** Wall-clock time in milliseconds; used for the time line and for keys that carry their time. */
	readonly wallClock: () => number;
	/** Evenly distributed numbers in [0, 1). */
	readonly random: () => number;
	readonly newActionId: () => string;
	readonly membershipTimes: MembershipTimes;
	readonly claimLimits: ClaimLimits;
	readonly storeOutageLimitMilliseconds: number;
	readonly clockErrorMilliseconds: number;
	readonly admissionMechanisms?: AdmissionMechanisms;
	readonly entryMechanisms?: EntryMechanisms;
	/** Share of the announced slots that is used at most. */
	readonly slotShare?: number;
	/** Retries towards one service: those at hand at the start, and the share that a success earns in place of the manifest's. */
	readonly retries?: {readonly burst: number; readonly share?: number | undefined};
};
