/**
 * The parameters of the membership protocol.
 *
 * @module
 */
import type {Member} from './member.js';

/** Times of the membership protocol, from the settings. */
export type MembershipTimes = {
	readonly probeIntervalMilliseconds: number;
	/** Time after which a suspected member that has not refuted the suspicion is marked as dead. */
	readonly suspicionMilliseconds: number;
	/** Mean interval between view exchanges. */
	readonly exchangeIntervalMilliseconds: number;
};

export const defaultMembershipTimes: MembershipTimes = {
	probeIntervalMilliseconds: 1000,
	suspicionMilliseconds: 3000,
	exchangeIntervalMilliseconds: 10_000,
};

export type MembershipDefinition = {
	readonly own: Member;
	readonly random: () => number;
	readonly times: MembershipTimes;
	/** Wall-clock time in milliseconds since the Unix epoch. Members whose incarnation it cannot have reached are ignored. */
	readonly wallClock?: () => number;
};
