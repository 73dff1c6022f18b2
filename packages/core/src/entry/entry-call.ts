/**
 * The requests, effects and state of a call at its entry node.
 *
 * @module
 */
import type {RetryQuota} from '../action/retry-quota.js';
import type {RequestPolicy} from '../manifest/model.js';
import type {Member} from '../membership/member.js';
import type {
	ActionContext, AnswerHead, CallerAnswer, CallError, CallFrame, RequestPayload,
} from '../messages.js';
import type {Importance} from '../importance.js';
import type {Outcome} from '../errors.js';

/** A caller's request, resolved to a request kind, an action and a deadline. */
export type EntryRequest = {
	/** Identifies the caller's request within the node. */
	readonly entryId: number;
	readonly action: ActionContext;
	/** Request id that the caller chose; empty when there is none. */
	readonly requestId: string;
	readonly service: string;
	readonly answerBytesLimit: number;
	readonly policy: RequestPolicy;
	/** Importance of the parent call; without a parent that of the organisation or else of the request kind. */
	readonly importance: Importance;
	/** Name of the organisation of the caller's request, or of the parent call. */
	readonly organisation?: string | undefined;
	readonly priority: number;
	/** Milliseconds on the clock of this node. */
	readonly deadline: number;
	readonly retryQuota: RetryQuota;
	/** Idempotency key of an at-most-once call. */
	readonly key: string | undefined;
	readonly request: RequestPayload;
};

/** Node that a call is sent to. */
export type Destination = {
	readonly member: Member;
	/** Epoch of the key range; 0 for calls without a key. */
	readonly epoch: number;
};

export enum LocateResultType {
	Found = 'found',
	/** The destination is not known yet: look it up again later. */
	Wait = 'wait',
	Refused = 'refused',
}

/** Result of looking up the destination of a call. */
export type LocateResult
	= | {readonly type: LocateResultType.Found; readonly destination: Destination}
		| {readonly type: LocateResultType.Wait}
		| {readonly type: LocateResultType.Refused; readonly error: CallError; readonly outcome: Outcome};

/** Chooses the destinations of calls. */
export type Locator = {
	/** @param excluded - names of nodes that have refused or failed the call */
	locate(request: EntryRequest, excluded: ReadonlySet<string>, now: number): LocateResult;
	/** Node in whose queue a call waits after every candidate has refused it; undefined when the call must fail instead. */
	lastResort(request: EntryRequest, now: number): Destination | undefined;
};

export enum EntryEffectType {
	Send = 'send',
	CancelAtPeer = 'cancel-at-peer',
	AnswerCaller = 'answer-caller',
	/** The call has ended, and its caller is gone, so that nobody is answered. */
	EndedUnanswered = 'ended-unanswered',
	/** The body of the answer follows in a stream, before `AnswerCaller` ends it. */
	StartAnswer = 'start-answer',
	Retried = 'retried',
	StaleAnswer = 'stale-answer',
	/** The known record of the service's key ranges is probably out of date. */
	RangeOutdated = 'range-outdated',
}

/** Effect that the entry coordinator requests. */
export type EntryEffect
	= | {readonly type: EntryEffectType.Send; readonly destination: Destination; readonly frame: CallFrame}
		| {readonly type: EntryEffectType.CancelAtPeer; readonly member: Member; readonly callId: string}
		| {readonly type: EntryEffectType.AnswerCaller; readonly entryId: number; readonly answer: CallerAnswer; readonly request: EntryRequest}
		| {readonly type: EntryEffectType.EndedUnanswered; readonly entryId: number; readonly outcome: Outcome}
		| {readonly type: EntryEffectType.StartAnswer; readonly entryId: number; readonly callId: string; readonly head: AnswerHead}
		| {readonly type: EntryEffectType.Retried; readonly request: EntryRequest; readonly error: CallError}
		| {readonly type: EntryEffectType.StaleAnswer; readonly callId: string}
		| {readonly type: EntryEffectType.RangeOutdated; readonly service: string; readonly error: CallError};

/** One sending of a call that is not answered yet. */
export type SentCall = {
	readonly callId: string;
	readonly destination: Destination;
	/** Retries that were delegated with the call. */
	readonly delegatedRetries: number;
	readonly sentAt: number;
	readonly lastResort: boolean;
};

/** Phases of a call at its entry node. */
export enum EntryPhase {
	/** The call waits until its destination is known. */
	Locating = 'locating',
	/** The call is sent to a node and waits for the answer. */
	Sent = 'sent',
	/** The deadline has passed, and the reply to the cancellation is awaited, which states whether the call ran. */
	Cancelling = 'cancelling',
}

/** What ends a call that is not answered, as callers read it. */
export enum CallEnd {
	Deadline = 'the deadline',
	ParentCancelled = 'its parent call was cancelled',
	Stop = 'the node stopped',
}

/** State of one call. */
export type EntryState = {
	readonly request: EntryRequest;
	/** Names of nodes that have refused or failed the call. */
	readonly excluded: Set<string>;
	phase: EntryPhase;
	sentCall: SentCall | undefined;
	/** Refusals that proved the call not run. */
	refusals: number;
	/** Attempts that may have reached an upstream. */
	attempts: number;
	/** Whether an attempt before the current one may have run. */
	mayHaveRun: boolean;
	lastError: CallError | undefined;
	/** Whether the last refusal proves that no attempt with the key has run, and not just this call. */
	lastRefusalCoversAction: boolean;
	hasTriedLastResort: boolean;
	isCallerGone: boolean;
	/** Whether the caller has received the head of the answer, so that the call cannot be sent again. */
	hasStartedAnswer: boolean;
	/** What ends the call before it is answered. */
	end: CallEnd;
	/** Time until which the reply to the cancellation is awaited. */
	cancelDeadline: number;
	/** Earliest time of the next lookup of the destination. */
	nextLocateAt: number;
};
