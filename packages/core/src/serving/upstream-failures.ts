/**
 * Consequences of a failure of the upstream: whether the call ran, and how its dispatch ended.
 *
 * @module
 */
import {DispatchOutcome} from '../admission/work.js';
import {ErrorKind, Outcome} from '../errors.js';
import {UpstreamFailure} from './served-call.js';

export type NotRunFailure = {readonly kind: ErrorKind; readonly detail: string; readonly dispatchOutcome: DispatchOutcome};

/** Failures which prove that the upstream did not run the call. */
export const notRunFailures: Readonly<Partial<Record<UpstreamFailure, NotRunFailure>>> = {
	[UpstreamFailure.NotConnected]: {kind: ErrorKind.UpstreamBroken, detail: 'no connection to the upstream could be opened', dispatchOutcome: DispatchOutcome.Broken},
	[UpstreamFailure.Refused]: {kind: ErrorKind.UpstreamRefused, detail: 'the upstream refused the call without running it', dispatchOutcome: DispatchOutcome.Shed},
	[UpstreamFailure.OtherInstance]: {kind: ErrorKind.NotServed, detail: 'another incarnation of the upstream answers at its address', dispatchOutcome: DispatchOutcome.Broken},
};

export type DispatchedFailure = {readonly kind: ErrorKind; readonly outcome: Outcome; readonly dispatchOutcome: DispatchOutcome};

/** Failures after which the call may have run or certainly ran. */
export const dispatchedFailures: Readonly<Partial<Record<UpstreamFailure, DispatchedFailure>>> = {
	[UpstreamFailure.Broken]: {kind: ErrorKind.UpstreamBroken, outcome: Outcome.Unknown, dispatchOutcome: DispatchOutcome.Broken},
	[UpstreamFailure.TooLarge]: {kind: ErrorKind.AnswerTooLarge, outcome: Outcome.Ran, dispatchOutcome: DispatchOutcome.Answered},
	[UpstreamFailure.Cancelled]: {kind: ErrorKind.Cancelled, outcome: Outcome.Unknown, dispatchOutcome: DispatchOutcome.Cancelled},
};
