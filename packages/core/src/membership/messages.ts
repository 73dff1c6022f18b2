/**
 * Gossip messages between nodes, and the effects of the membership protocol.
 *
 * @module
 */
import type {Address, Member} from './member.js';
import type {ManifestConfirmation} from '../manifest/freshness.js';
import type {Rumor} from './rumors.js';

export enum GossipType {
	/** Probes the receiver, which replies with an acknowledgement. */
	Ping = 'ping',
	Acknowledgement = 'acknowledgement',
	/** Requests the receiver to ping the target on the sender's behalf. */
	PingRequest = 'ping-request',
	/** Carries member updates and rumors only. */
	Update = 'news',
}

/** Content of one gossip datagram. */
export type GossipMessage = {
	readonly type: GossipType;
	/** Matches an acknowledgement to its ping; 0 where no acknowledgement is evaluated. */
	readonly sequence: number;
	/** The sender's own entry. */
	readonly sender: Member;
	/** Name of the member to ping; empty unless the message is a ping request. */
	readonly target: string;
	/** Member updates that are piggybacked on the message. */
	readonly members: readonly Member[];
	readonly rumors: readonly Rumor[];
	/** Absent if the sender's latest confirmation is too old to be of use. */
	readonly manifest?: ManifestConfirmation | undefined;
};

export enum MembershipEffectType {
	Send = 'gossip-send',
	/** Start a view exchange with the member: compare bucket digests, and merge the members that differ. */
	Exchange = 'gossip-exchange',
	/** The entry of a member has changed. */
	Changed = 'members-changed',
	/** A newer version of a topic was received. */
	RumorReceived = 'rumor-heard',
	/** Another node has this node's name or address and a higher incarnation. */
	Superseded = 'superseded',
}

export type MembershipEffect
	= | {readonly type: MembershipEffectType.Send; readonly to: Address; readonly message: GossipMessage}
		| {readonly type: MembershipEffectType.Exchange; readonly to: Member}
		| {readonly type: MembershipEffectType.Changed; readonly member: Member}
		| {readonly type: MembershipEffectType.RumorReceived; readonly rumor: Rumor}
		| {readonly type: MembershipEffectType.Superseded; readonly by: Member};
