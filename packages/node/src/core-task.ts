/**
 * The task that owns the core: processes typed messages and passes the resulting effects to the registered handlers.
 *
 * @module
 */
import {
	EventRing, NodeCore, NodeEffectType, type AnswerFrame, type AnswerHead, type AnswerPayload, type Announcement, type CallError, type CallerRequest, type CallFrame, type CancelResult,
	type GossipMessage, type Holder, type HybridTime, type Member, type NodeDefinition, type NodeEffect, type AtMostOnceMessage, type QuotaMessage, type Revision, type Rumor,
	type SendFailure, type UpstreamFailure, type VersionedRecord, type Withdrawal, type WriteResult,
} from '@laburnumspool/core';
import type {Logger} from './logs.js';
import {Mailbox} from './mailbox.js';

const maximumQueuedMessages = 20_000;

/** Types of the messages to the core. */
export enum CoreMessageType {
	CallerRequested = 'caller-requested',
	CallerDisconnected = 'caller-gone',
	CallArrived = 'call-arrived',
	CallStarted = 'call-started',
	CallAnswered = 'call-answered',
	CallFailed = 'call-failed',
	CancelArrived = 'cancel-arrived',
	CancelReplied = 'cancel-replied',
	UpstreamStarted = 'upstream-started',
	UpstreamAnswered = 'upstream-answered',
	UpstreamFailed = 'upstream-failed',
	UpstreamAnnounced = 'announced',
	UpstreamWithdrawn = 'withdrawn',
	UpstreamSuspected = 'upstream-doubted',
	GossipArrived = 'gossip-arrived',
	QuotaArrived = 'quota-arrived',
	ViewArrived = 'view-arrived',
	ManifestArrived = 'manifest-arrived',
	ManifestConfirmed = 'manifest-confirmed',
	AtMostOnceMessageArrived = 'once-arrived',
	RecordArrived = 'record-arrived',
	RecordWritten = 'record-written',
	HoldersRead = 'holders-read',
	LeaseRenewed = 'lease-renewed',
	LeaseLapsed = 'lease-lapsed',
	SeedsRead = 'seeds-read',
	StartDraining = 'leave',
	RefuseNewRequests = 'refuse-new-requests',
	EndOpenCalls = 'end-open-calls',
	AnnounceLeft = 'left',
	Tick = 'tick',
}

type MessageFields = {
	[CoreMessageType.CallerRequested]: {readonly request: CallerRequest};
	[CoreMessageType.CallerDisconnected]: {readonly entryId: number};
	/** `refusal` is set for a call whose body was discarded. */
	[CoreMessageType.CallArrived]: {readonly frame: CallFrame; readonly clock: HybridTime; readonly refusal?: CallError};
	[CoreMessageType.CallStarted]: {readonly callId: string; readonly head: AnswerHead};
	[CoreMessageType.CallAnswered]: {readonly frame: AnswerFrame; readonly clock: HybridTime};
	[CoreMessageType.CallFailed]: {readonly callId: string; readonly failure: SendFailure};
	[CoreMessageType.CancelArrived]: {readonly callId: string; readonly reply: (result: CancelResult) => void};
	[CoreMessageType.CancelReplied]: {readonly callId: string; readonly result: CancelResult};
	[CoreMessageType.UpstreamStarted]: {readonly callId: string; readonly head: AnswerHead};
	[CoreMessageType.UpstreamAnswered]: {readonly callId: string; readonly answer: AnswerPayload; /** Factor by which work takes longer than usual. */ readonly slowdown?: number};
	[CoreMessageType.UpstreamFailed]: {readonly callId: string; readonly failure: UpstreamFailure};
	[CoreMessageType.UpstreamAnnounced]: {readonly announcement: Announcement};
	[CoreMessageType.UpstreamWithdrawn]: {readonly withdrawal: Withdrawal};
	[CoreMessageType.UpstreamSuspected]: {readonly instance: string};
	[CoreMessageType.GossipArrived]: {readonly message: GossipMessage; readonly clock: HybridTime};
	[CoreMessageType.QuotaArrived]: {readonly message: QuotaMessage};
	[CoreMessageType.ViewArrived]: {readonly members: readonly Member[]; readonly rumors: readonly Rumor[]};
	[CoreMessageType.ManifestArrived]: {readonly revision: Revision};
	/** The revision was the newest one in the store at the given time. */
	[CoreMessageType.ManifestConfirmed]: {readonly number: number; readonly at: number};
	[CoreMessageType.AtMostOnceMessageArrived]: {readonly from: Holder; readonly message: AtMostOnceMessage};
	[CoreMessageType.RecordArrived]: {readonly record: VersionedRecord | undefined};
	[CoreMessageType.RecordWritten]: {readonly result: WriteResult};
	[CoreMessageType.HoldersRead]: {readonly requested: readonly Holder[]; readonly present: ReadonlySet<string>};
	[CoreMessageType.LeaseRenewed]: {readonly sentAt: number};
	[CoreMessageType.LeaseLapsed]: object;
	[CoreMessageType.SeedsRead]: {readonly seeds: ReadonlyArray<{readonly host: string; readonly port: number}>};
	[CoreMessageType.StartDraining]: object;
	[CoreMessageType.RefuseNewRequests]: object;
	[CoreMessageType.EndOpenCalls]: object;
	[CoreMessageType.AnnounceLeft]: object;
	[CoreMessageType.Tick]: object;
};

/** A message to the core, with the fields of its type. */
export type CoreMessage = {[Type in CoreMessageType]: MessageFields[Type] & {readonly type: Type}}[CoreMessageType];

type MessageHandlers = {readonly [Type in CoreMessageType]: (core: NodeCore, message: MessageFields[Type], now: number) => readonly NodeEffect[]};

const messageHandlers: MessageHandlers = {
	[CoreMessageType.CallerRequested]: (core, {request}, now) => core.callerRequested(request, now),
	[CoreMessageType.CallerDisconnected]: (core, {entryId}, now) => core.callerDisconnected(entryId, now),
	[CoreMessageType.CallArrived]: (core, {frame, clock, refusal}, now) => core.callArrived(frame, clock, now, refusal),
	[CoreMessageType.CallStarted]: (core, {callId, head}, now) => core.callStarted(callId, head, now),
	[CoreMessageType.CallAnswered]: (core, {frame, clock}, now) => core.callAnswered(frame, clock, now),
	[CoreMessageType.CallFailed]: (core, {callId, failure}, now) => core.callFailed(callId, failure, now),
	[CoreMessageType.CancelArrived](core, {callId, reply}, now) {
		const {result, effects} = core.cancelArrived(callId, now);
		reply(result);
		return effects;
	},
	[CoreMessageType.CancelReplied]: (core, {callId, result}, now) => core.cancelReplied(callId, result, now),
	[CoreMessageType.UpstreamStarted]: (core, {callId, head}, now) => core.upstreamStarted(callId, head, now),
	[CoreMessageType.UpstreamAnswered]: (core, {callId, answer, slowdown}, now) => core.upstreamAnswered(callId, answer, now, slowdown),
	[CoreMessageType.UpstreamFailed]: (core, {callId, failure}, now) => core.upstreamFailed(callId, failure, now),
	[CoreMessageType.UpstreamAnnounced]: (core, {announcement}, now) => core.upstreamAnnounced(announcement, now),
	[CoreMessageType.UpstreamWithdrawn]: (core, {withdrawal}, now) => core.upstreamWithdrawn(withdrawal, now),
	[CoreMessageType.UpstreamSuspected]: (core, {instance}, now) => core.upstreamSuspected(instance, now),
	[CoreMessageType.GossipArrived]: (core, {message, clock}, now) => core.gossipArrived(message, clock, now),
	[CoreMessageType.QuotaArrived]: (core, {message}, now) => core.quotaArrived(message, now),
	[CoreMessageType.ViewArrived]: (core, {members, rumors}, now) => core.viewArrived(members, rumors, now),
	[CoreMessageType.ManifestArrived]: (core, {revision}, now) => core.manifestArrived(revision, now),
	[CoreMessageType.ManifestConfirmed]: (core, {number, at}, now) => core.manifestConfirmed({number, ageMilliseconds: now - at}, now),
	[CoreMessageType.AtMostOnceMessageArrived]: (core, {from, message}, now) => core.atMostOnceMessageArrived(from, message, now),
	[CoreMessageType.RecordArrived]: (core, {record}, now) => core.recordArrived(record, now),
	[CoreMessageType.RecordWritten]: (core, {result}, now) => core.recordWritten(result, now),
	[CoreMessageType.HoldersRead](core, {requested, present}, now) {
		core.holdersRead(requested, present, now);
		return [];
	},
	[CoreMessageType.LeaseRenewed](core, {sentAt}) {
		core.leaseRenewed(sentAt);
		return [];
	},
	[CoreMessageType.LeaseLapsed](core) {
		core.leaseLapsed();
		return [];
	},
	[CoreMessageType.SeedsRead](core, {seeds}) {
		core.membership.setSeeds(seeds);
		return [];
	},
	[CoreMessageType.StartDraining]: (core, _message, now) => core.startDraining(now),
	[CoreMessageType.RefuseNewRequests](core) {
		core.refuseNewRequests();
		return [];
	},
	[CoreMessageType.EndOpenCalls]: (core, _message, now) => core.endOpenCalls(now),
	[CoreMessageType.AnnounceLeft]: (core, _message, now) => core.announceLeft(now),
	[CoreMessageType.Tick]: (core, _message, now) => core.advance(now),
};

/** Handlers of effects, by effect type. */
export type EffectHandlers = {readonly [Type in NodeEffectType]?: (effect: Extract<NodeEffect, {type: Type}>) => void};

/**
 * Runs a node core: posted messages are processed one at a time, in order, and their effects are executed at once.
 * An error thrown by the core is logged, and processing continues with the next message; one thrown by a handler is logged
 * and counted, and processing continues with the next effect.
 *
 * @example
 * const task = new CoreTask(definition, () => performance.now(), 20_000, log);
 * task.handle({[NodeEffectType.SendCall]: effect => peers.send(effect)});
 * task.post({type: CoreMessageType.Tick});
 */
export class CoreTask {
	readonly core: NodeCore;
	readonly events: EventRing;
	readonly #monotonicClock: () => number;
	readonly #log: Logger;
	readonly #mailbox: Mailbox<CoreMessage>;
	#failedEffects = 0;
	readonly #effectHandlers = new Map<NodeEffectType, (effect: NodeEffect) => void>();

	constructor(definition: NodeDefinition, monotonicClock: () => number, eventCapacity: number, log: Logger) {
		this.core = new NodeCore(definition);
		this.events = new EventRing(eventCapacity);
		this.#monotonicClock = monotonicClock;
		this.#log = log;
		this.#mailbox = new Mailbox(maximumQueuedMessages, message => {
			this.#process(message);
		});
	}

	/** Number of effects whose handler threw an error. */
	get failedEffects(): number {
		return this.#failedEffects;
	}

	/** Registers handlers of effects. Each effect type has one handler; a later one replaces it. */
	handle(effectHandlers: EffectHandlers): void {
		Object.entries(effectHandlers).map(([type, handler]) => this.#effectHandlers.set(type as NodeEffectType, handler as (effect: NodeEffect) => void));
	}

	/** Posts a message; false when the mailbox is full and the message is dropped. */
	post(message: CoreMessage): boolean {
		return this.#mailbox.post(message);
	}

	#process(message: CoreMessage): void {
		const handler = messageHandlers[message.type] as (core: NodeCore, message: CoreMessage, now: number) => readonly NodeEffect[];
		try {
			handler(this.core, message, this.#monotonicClock()).map(effect => {
				this.#executeEffect(effect);
				return effect;
			});
		} catch (error) {
			this.#logFailure('processing a message', message.type, error);
		}
	}

	/** Effects of one message are independent: one that fails does not prevent the others, answers to callers among them. */
	#executeEffect(effect: NodeEffect): void {
		try {
			if (effect.type === NodeEffectType.Event) {
				this.events.add(effect.event);
			}

			this.#effectHandlers.get(effect.type)?.(effect);
		} catch (error) {
			this.#failedEffects += 1;
			this.#logFailure('carrying out an effect', effect.type, error);
		}
	}

	#logFailure(action: string, type: string, error: unknown): void {
		this.#log.error(`${action} of type ${type} failed: ${error instanceof Error ? error.stack ?? error.message : String(error)}`, {event: `failed-${type}`});
	}
}
