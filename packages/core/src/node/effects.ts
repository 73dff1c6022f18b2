/**
 * What a node gets and what it wants done. Whoever drives the core carries the effects out.
 *
 * @module
 */
import type {EventDetails, NodeEvent} from '../events/event.js';
import type {HybridTime} from '../events/hybrid-clock.js';
import type {Member} from '../membership/member.js';
import type {Address, GossipMessage} from '../membership/messages.js';
import type {
	AnswerFrame, CallerAnswer, CallFrame, RequestPayload,
} from '../messages.js';
import type {AtMostOnceMessage} from '../at-most-once/messages.js';
import type {Holder, RangeRecord} from '../at-most-once/record.js';

/** A caller's whole request. */
export type CallerRequest = {
	/** Names the request within the node. */
	readonly entryId: number;
	/** Where a manifest of routes looks the request up. */
	readonly host?: string;
	/** The caller's own name for the request. */
	readonly requestId?: string;
	/** Service that the path names; with a manifest of routes it says nothing. */
	readonly service: string;
	readonly request: RequestPayload;
	/** The caller's idempotency key. */
	readonly key: string | undefined;
	readonly timeoutMilliseconds: number | undefined;
	readonly traceparent: string | undefined;
	readonly tracestate: string | undefined;
};

/** What an upstream says of itself. */
export type Announcement = {
	readonly service: string;
	/** HOST:PORT. */
	readonly address?: string;
	/** Connections that the upstream takes; left out, as many as it has slots. */
	readonly connections?: number | undefined;
	readonly slots: number;
	readonly state: AnnouncedState;
	readonly load: {readonly inFlight: number; readonly healthy: boolean} | undefined;
	/** Incarnation of the upstream. */
	readonly instance?: string | undefined;
	/** Milliseconds since the epoch at the incarnation's start. */
	readonly birth?: number | undefined;
	/** Grows with each announcement of the incarnation. */
	readonly sequence?: number | undefined;
	/** How much longer the upstream works slowly after its start. */
	readonly coldMilliseconds?: number | undefined;
};

/** An upstream's word that it goes away. */
export type Withdrawal = Pick<Announcement, 'instance' | 'birth'>;

export enum AnnouncedState {
	Starting = 'starting',
	Ready = 'ready',
	Draining = 'draining',
}

export enum NodeEffectType {
	SendCall = 'send-call',
	SendAnswer = 'send-answer',
	SendCancel = 'send-cancel',
	AnswerCaller = 'answer-caller',
	UpstreamAnnounced = 'upstream-announced',
	Dispatch = 'dispatch',
	CancelDispatch = 'cancel-dispatch',
	SendGossip = 'send-gossip',
	ExchangeMembers = 'exchange-members',
	SendAtMostOnce = 'send-once',
	ReadRecord = 'read-record',
	PullRecord = 'pull-record',
	WriteRecord = 'write-record',
	ReadHolders = 'read-holders',
	PullManifest = 'pull-manifest',
	Event = 'event',
	Stop = 'stop',
}

/** What a node wants done. */
export type NodeEffect
	= | {readonly type: NodeEffectType.SendCall; readonly to: Member; readonly frame: CallFrame; readonly clock: HybridTime}
		| {readonly type: NodeEffectType.SendAnswer; readonly frame: AnswerFrame; readonly clock: HybridTime}
		| {readonly type: NodeEffectType.SendCancel; readonly to: Member; readonly callId: string}
		| {readonly type: NodeEffectType.AnswerCaller; readonly entryId: number; readonly answer: CallerAnswer}
		| {readonly type: NodeEffectType.UpstreamAnnounced; readonly announcement: Announcement}
		| {readonly type: NodeEffectType.Dispatch; readonly callId: string; readonly requestId: string; readonly request: RequestPayload; readonly traceparent: string; readonly tracestate: string; readonly timeLeftMilliseconds: number; readonly answerBytesLimit: number}
		| {readonly type: NodeEffectType.CancelDispatch; readonly callId: string}
		| {readonly type: NodeEffectType.SendGossip; readonly to: Address; readonly message: GossipMessage; readonly clock: HybridTime}
		| {readonly type: NodeEffectType.ExchangeMembers; readonly to: Member}
		| {readonly type: NodeEffectType.SendAtMostOnce; readonly to: Member; readonly from: Holder; readonly message: AtMostOnceMessage}
		| {readonly type: NodeEffectType.ReadRecord; readonly service: string}
		| {readonly type: NodeEffectType.PullRecord; readonly service: string; readonly from: Member}
		| {readonly type: NodeEffectType.WriteRecord; readonly service: string; readonly expectedVersion: number; readonly record: RangeRecord}
		| {readonly type: NodeEffectType.ReadHolders; readonly holders: readonly Holder[]}
		| {readonly type: NodeEffectType.PullManifest; readonly from: readonly Member[]}
		| {readonly type: NodeEffectType.Event; readonly event: NodeEvent}
		| {readonly type: NodeEffectType.Stop; readonly reason: string};

/** Makes an event effect of its details. */
export type EventEffectFactory = (details: EventDetails) => NodeEffect;
