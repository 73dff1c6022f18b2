/**
 * Messages of membership between nodes, and what membership wants done.
 *
 * @module
 */
import type {Member} from './member.js';
import type {Rumor} from './rumors.js';

export enum GossipType {
	/** Asks whether the receiver is alive. */
	Ping = 'ping',
	Acknowledgement = 'acknowledgement',
	/** Asks the receiver to ping the target on the sender's behalf. */
	PingRequest = 'ping-request',
	/** Carries news only. */
	Update = 'news',
}

/** One datagram between nodes. */
export type GossipMessage = {
	readonly type: GossipType;
	readonly sequence: number;
	/** The sender, as it sees itself. */
	readonly sender: Member;
	/** Name of the member to ping, in a ping request; else empty. */
	readonly target: string;
	readonly members: readonly Member[];
	readonly rumors: readonly Rumor[];
};

/** Where a datagram goes. */
export type Address = {
	readonly host: string;
	readonly port: number;
};

export enum MembershipEffectType {
	Send = 'gossip-send',
	/** Compare views with the member. */
	Exchange = 'gossip-exchange',
	/** The view has changed. */
	Changed = 'members-changed',
	/** A higher version of a topic was heard of. */
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
