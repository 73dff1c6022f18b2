/**
 * The messages and the state of a call at the node that serves it.
 *
 * @module
 */
import type {RetryQuota} from '../action/retry-quota.js';
import type {Work} from '../admission/work.js';
import type {ErrorKind} from '../errors.js';
import type {AnswerFrame, CallFrame} from '../messages.js';
import type {AtMostOnceEffect} from '../at-most-once/messages.js';
import type {NestedTime} from './nested-time.js';

/** How an upstream failed to give a whole answer. */
export enum UpstreamFailure {
	/** No connection was made, so the upstream never got the call. */
	NotConnected = 'not-connected',
	/** The upstream said that it did not run the call. */
	Refused = 'refused',
	/** Another incarnation stands at the address, and did not run the call. */
	OtherInstance = 'other-instance',
	/** The connection broke, or the answer was not whole. */
	Broken = 'broken',
	/** The answer exceeded the limit of its service. */
	TooLarge = 'too-large',
	/** The call was cancelled on the guard's word. */
	Cancelled = 'cancelled',
}

export enum ServingEffectType {
	Dispatch = 'dispatch-upstream',
	CancelDispatch = 'cancel-upstream',
	Answer = 'answer-peer',
	/** Calls that the upstream made for this call are cancelled with it. */
	CancelNested = 'cancel-nested',
	AtMostOnce = 'once',
	Admitted = 'admitted',
	Refused = 'refused',
	Preempted = 'preempted',
}

/** What serving wants done. */
export type ServingEffect
	= | {readonly type: ServingEffectType.Dispatch; readonly frame: CallFrame; readonly timeLeftMilliseconds: number}
		| {readonly type: ServingEffectType.CancelDispatch; readonly callId: string}
		| {readonly type: ServingEffectType.CancelNested; readonly callId: string}
		| {readonly type: ServingEffectType.Answer; readonly frame: AnswerFrame}
		| {readonly type: ServingEffectType.AtMostOnce; readonly effect: AtMostOnceEffect}
		| {readonly type: ServingEffectType.Admitted; readonly frame: CallFrame}
		| {readonly type: ServingEffectType.Preempted; readonly frame: CallFrame}
		| {readonly type: ServingEffectType.Refused; readonly frame: CallFrame; readonly work: Work; readonly reason: ErrorKind};

/** State of one call between its arrival and its answer. */
export type ServedCall = {
	readonly frame: CallFrame;
	readonly work: Work;
	readonly arrivedAt: number;
	readonly retryQuota: RetryQuota;
	isDispatched: boolean;
	/** Why the guard wanted the dispatched call cancelled. */
	cancelReason: ErrorKind | undefined;
	readonly nested: NestedTime;
};
