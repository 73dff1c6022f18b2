/**
 * State of a call at its serving node, and the effects of serving it.
 *
 * @module
 */
import type {RetryQuota} from '../action/retry-quota.js';
import type {ShareUse} from '../admission/fair-shares.js';
import type {Work} from '../admission/work.js';
import type {ErrorKind} from '../errors.js';
import type {AnswerFrame, AnswerHead, CallFrame} from '../messages.js';
import type {AtMostOnceEffect} from '../at-most-once/messages.js';
import type {NestedTime} from './nested-time.js';

/** Why the upstream sent no complete answer. */
export enum UpstreamFailure {
	/** No connection was opened, so the upstream did not receive the call. */
	NotConnected = 'not-connected',
	/** The upstream refused the call and stated that it did not run it. */
	Refused = 'refused',
	/** Another incarnation of the upstream answered at the address and did not run the call. */
	OtherInstance = 'other-instance',
	/** The connection broke, or the answer was incomplete. */
	Broken = 'broken',
	/** The answer exceeded the size limit of the service. */
	TooLarge = 'too-large',
	/** The admission controller cancelled the call. */
	Cancelled = 'cancelled',
}

export enum ServingEffectType {
	Dispatch = 'dispatch-upstream',
	CancelDispatch = 'cancel-upstream',
	Answer = 'answer-peer',
	/** The body of the answer follows in a stream, before `Answer` ends it. */
	AnswerStarted = 'answer-started',
	/** Cancels the calls that the upstream made on behalf of this call. */
	CancelNested = 'cancel-nested',
	AtMostOnce = 'once',
	Admitted = 'admitted',
	Refused = 'refused',
}

/** Effect that the node carries out. */
export type ServingEffect
	= | {readonly type: ServingEffectType.Dispatch; readonly frame: CallFrame; readonly timeLeftMilliseconds: number}
		| {readonly type: ServingEffectType.CancelDispatch; readonly callId: string}
		| {readonly type: ServingEffectType.CancelNested; readonly callId: string}
		| {readonly type: ServingEffectType.AnswerStarted; readonly callId: string; readonly head: AnswerHead}
		| {readonly type: ServingEffectType.Answer; readonly frame: AnswerFrame}
		| {readonly type: ServingEffectType.AtMostOnce; readonly effect: AtMostOnceEffect}
		| {readonly type: ServingEffectType.Admitted; readonly frame: CallFrame}
		| {readonly type: ServingEffectType.Refused; readonly frame: CallFrame; readonly work: Work; readonly reason: ErrorKind; /** Present when the share of the organisation decided. */ readonly share?: ShareUse | undefined};

/** State of one call between its arrival and its answer. */
export type ServedCall = {
	readonly frame: CallFrame;
	readonly work: Work;
	readonly arrivedAt: number;
	readonly retryQuota: RetryQuota;
	isDispatched: boolean;
	/** Time of the dispatch to the upstream; 0 before it. */
	dispatchedAt: number;
	/** Reason for which the admission controller cancelled the dispatched call. */
	cancelReason: ErrorKind | undefined;
	readonly nested: NestedTime;
};
