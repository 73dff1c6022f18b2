/**
 * The messages and the state of a call at its entry.
 *
 * @module
 */
import type {RetryQuota} from '../action/retry-quota.js';
import type {RequestPolicy} from '../manifest/model.js';
import type {Member} from '../membership/member.js';
import type {
	ActionContext, CallerAnswer, CallError, CallFrame, RequestPayload,
} from '../messages.js';
import type {Importance} from '../importance.js';
import type {Outcome} from '../errors.js';

/** A call that an entry is asked to make. */
export type EntryRequest = {
	/** Names the caller's request within the node. */
	readonly entryId: number;
	readonly action: ActionContext;
	/** The caller's own name for the request; empty when it has none. */
	readonly requestId: string;
	readonly service: string;
	readonly answerBytesLimit: number;
	readonly policy: RequestPolicy;
	/** Inherited from the action. */
	readonly importance: Importance;
	readonly priority: number;
	readonly deadline: number;
	readonly retryQuota: RetryQuota;
	/** Key of at-most-once work. */
	readonly key: string | undefined;
	readonly request: RequestPayload;
};

/** Where a call goes. */
export type Destination = {
	readonly member: Member;
	readonly epoch: number;
};

export enum LocateType {
	Found = 'found',
	/** Not known yet; ask again later. */
	Wait = 'wait',
	Refused = 'refused',
}

/** Answer to the question where a call goes. */
export type Located
	= | {readonly type: LocateType.Found; readonly destination: Destination}
		| {readonly type: LocateType.Wait}
		| {readonly type: LocateType.Refused; readonly error: CallError; readonly outcome: Outcome};

/** Decides where calls go. */
export type Locator = {
	/** @param excluded - names of nodes that have refused or failed the call */
	locate(request: EntryRequest, excluded: ReadonlySet<string>, now: number): Located;
	/** Where a refused call had better wait; undefined when waiting is no use. */
	lastResort(request: EntryRequest, now: number): Destination | undefined;
};

export enum EntryEffectType {
	Send = 'send',
	CancelAtPeer = 'cancel-at-peer',
	AnswerCaller = 'answer-caller',
	Retried = 'retried',
	StaleAnswer = 'stale-answer',
	/** The record of the service's key ranges seems out of date. */
	RangeOutdated = 'range-outdated',
}

/** What an entry wants done. */
export type EntryEffect
	= | {readonly type: EntryEffectType.Send; readonly destination: Destination; readonly frame: CallFrame}
		| {readonly type: EntryEffectType.CancelAtPeer; readonly member: Member; readonly callId: string}
		| {readonly type: EntryEffectType.AnswerCaller; readonly entryId: number; readonly answer: CallerAnswer; readonly request: EntryRequest}
		| {readonly type: EntryEffectType.Retried; readonly request: EntryRequest; readonly error: CallError}
		| {readonly type: EntryEffectType.StaleAnswer; readonly callId: string}
		| {readonly type: EntryEffectType.RangeOutdated; readonly service: string; readonly error: CallError};

/** A call sent to a node and not answered yet. */
export type Sending = {
	readonly callId: string;
	readonly destination: Destination;
	readonly part: number;
	readonly sentAt: number;
	readonly lastResort: boolean;
};

/** How a call that is not with any node, or is being given up, goes on. */
export enum EntryPhase {
	/** Waits until its destination is known. */
	Locating = 'locating',
	/** A node has it. */
	Sent = 'sent',
	/** Its time is over, and the serving node is asked whether it ran. */
	Cancelling = 'cancelling',
}

/** State of one call. */
export type EntryState = {
	readonly request: EntryRequest;
	readonly excluded: Set<string>;
	phase: EntryPhase;
	sending: Sending | undefined;
	asks: number;
	/** Nodes that may have handed the call to their upstream. */
	attempts: number;
	/** Whether an earlier attempt may have run. */
	mayHaveRun: boolean;
	lastError: CallError | undefined;
	/** Whether the last refusal speaks for the whole action of a key. */
	lastConfirmed: boolean;
	triedLastResort: boolean;
	isCallerGone: boolean;
	cancelUntil: number;
	/** Time before which the destination is not looked up again. */
	notBefore: number;
};
