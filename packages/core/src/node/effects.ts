/**
 * The inputs and effects of the node core. The host process carries the effects out.
 *
 * @module
 */
import type {EventDetails, NodeEvent} from '../events/event.js';
import type {HybridTime} from '../events/hybrid-clock.js';
import type {Address, Member} from '../membership/member.js';
import type {GossipMessage} from '../membership/messages.js';
import type {
	AnswerFrame, AnswerHead, CallerAnswer, CallFrame, RequestPayload,
} from '../messages.js';
import type {QuotaMessage} from '../organisations/messages.js';
import type {AtMostOnceMessage} from '../at-most-once/messages.js';
import type {Holder, RangeRecord} from '../at-most-once/record.js';

/** A complete request of a caller. */
export type CallerRequest = {
	/** Identifies the request within the node. */
	readonly entryId: number;
	/** Host by which a manifest of routes matches the request. */
	readonly host?: string;
	/** Request id that the caller chose. */
	readonly requestId?: string;
	/** Service that the path names; a manifest of routes ignores it. */
	readonly service: string;
	readonly request: RequestPayload;
	/** Key of the organisation; undefined when the request carries none, and `unusableKey` when the header has no single value. */
	readonly organisationKey?: string | undefined;
	/** The caller's idempotency key. */
	readonly key: string | undefined;
	readonly timeoutMilliseconds: number | undefined;
	readonly traceparent: string | undefined;
	readonly tracestate: string | undefined;
};

/** State that an upstream announces to its node. */
export type Announcement = {
	readonly service: string;
	/** `HOST:PORT`. */
	readonly address?: string;
	/** Connections that the upstream accepts; by default as many as it has slots. */
	readonly connections?: number | undefined;
	/** Requests that the upstream runs at the same time. */
	readonly slots: number;
	readonly state: AnnouncedState;
	readonly load: {readonly inFlight: number; readonly healthy: boolean} | undefined;
	/** Incarnation of the upstream. */
	readonly instance?: string | undefined;
	/** Wall-clock time of the incarnation's start, in milliseconds since the Unix epoch. */
	readonly birth?: number | undefined;
	/** Increases with each announcement of the incarnation. */
	readonly sequence?: number | undefined;
	/** Remaining warm-up time during which the upstream is slower than usual. */
	readonly coldMilliseconds?: number | undefined;
};

/** Message by which an upstream withdraws from service. */
export type Withdrawal = Pick<Announcement, 'instance' | 'birth'>;

export enum AnnouncedState {
	Starting = 'starting',
	Ready = 'ready',
	Draining = 'draining',
}

export enum NodeEffectType {
	SendCall = 'send-call',
	SendAnswer = 'send-answer',
	/** The body of the answer follows in a stream, before `SendAnswer` ends it. */
	SendAnswerHead = 'send-answer-head',
	SendCancel = 'send-cancel',
	AnswerCaller = 'answer-caller',
	/** The body of the answer follows in a stream, before `AnswerCaller` ends it. */
	StartCallerAnswer = 'start-caller-answer',
	UpstreamAnnounced = 'upstream-announced',
	Dispatch = 'dispatch',
	CancelDispatch = 'cancel-dispatch',
	SendGossip = 'send-gossip',
	SendQuota = 'send-quota',
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

/** Effect that the node core requests. */
export type NodeEffect
	= | {readonly type: NodeEffectType.SendCall; readonly to: Member; readonly frame: CallFrame; readonly clock: HybridTime}
		| {readonly type: NodeEffectType.SendAnswer; readonly frame: AnswerFrame; readonly clock: HybridTime}
		| {readonly type: NodeEffectType.SendAnswerHead; readonly callId: string; readonly head: AnswerHead}
		| {readonly type: NodeEffectType.StartCallerAnswer; readonly entryId: number; readonly callId: string; readonly head: AnswerHead}
		| {readonly type: NodeEffectType.SendCancel; readonly to: Member; readonly callId: string}
		| {readonly type: NodeEffectType.AnswerCaller; readonly entryId: number; readonly answer: CallerAnswer}
		| {readonly type: NodeEffectType.UpstreamAnnounced; readonly announcement: Announcement}
		| {readonly type: NodeEffectType.Dispatch; readonly callId: string; readonly requestId: string; readonly request: RequestPayload; readonly traceparent: string; readonly tracestate: string; readonly timeLeftMilliseconds: number; readonly answerBytesLimit: number; /** Whether a large answer is passed on while it arrives. */ readonly canStream: boolean}
		| {readonly type: NodeEffectType.CancelDispatch; readonly callId: string}
		| {readonly type: NodeEffectType.SendGossip; readonly to: Address; readonly message: GossipMessage; readonly clock: HybridTime}
		| {readonly type: NodeEffectType.SendQuota; readonly to: Address; readonly message: QuotaMessage}
		| {readonly type: NodeEffectType.ExchangeMembers; readonly to: Member}
		| {readonly type: NodeEffectType.SendAtMostOnce; readonly to: Member; readonly from: Holder; readonly message: AtMostOnceMessage}
		| {readonly type: NodeEffectType.ReadRecord; readonly service: string}
		| {readonly type: NodeEffectType.PullRecord; readonly service: string; readonly from: Member}
		| {readonly type: NodeEffectType.WriteRecord; readonly service: string; readonly expectedVersion: number; readonly record: RangeRecord}
		| {readonly type: NodeEffectType.ReadHolders; readonly holders: readonly Holder[]}
		| {readonly type: NodeEffectType.PullManifest; readonly from: readonly Member[]}
		| {readonly type: NodeEffectType.Event; readonly event: NodeEvent}
		| {readonly type: NodeEffectType.Stop; readonly reason: string};

/** Creates the effect that records an event. */
export type EventEffectFactory = (details: EventDetails) => NodeEffect;
