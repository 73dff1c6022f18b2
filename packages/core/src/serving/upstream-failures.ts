/**
 * What the failure of an upstream says of a call: whether it ran, and how its slot ended.
 *
 * @module
 */
import {DispatchOutcome} from '../admission/work.js';
import {ErrorKind, Outcome} from '../errors.js';
import {UpstreamFailure} from './served-call.js';

export type NotRunFailure = {readonly kind: ErrorKind; readonly detail: string; readonly end: DispatchOutcome};

/** Failures that prove that the upstream did not run the call. */
export const notRunFailures: Readonly<Partial<Record<UpstreamFailure, NotRunFailure>>> = {
	[UpstreamFailure.NotConnected]: {kind: ErrorKind.UpstreamBroken, detail: 'No connection to the upstream', end: DispatchOutcome.Broken},
	[UpstreamFailure.Refused]: {kind: ErrorKind.UpstreamRefused, detail: 'The upstream refused the call', end: DispatchOutcome.Shed},
	[UpstreamFailure.OtherInstance]: {kind: ErrorKind.NotServed, detail: 'Another incarnation stands at the address', end: DispatchOutcome.Broken},
};

export type DispatchedFailure = {readonly kind: ErrorKind; readonly outcome: Outcome; readonly end: DispatchOutcome};

/** Failures after which the call may have run, or has. */
export const dispatchedFailures: Readonly<Partial<Record<UpstreamFailure, DispatchedFailure>>> = {
	[UpstreamFailure.Broken]: {kind: ErrorKind.UpstreamBroken, outcome: Outcome.Unknown, end: DispatchOutcome.Broken},
	[UpstreamFailure.TooLarge]: {kind: ErrorKind.AnswerTooLarge, outcome: Outcome.Ran, end: DispatchOutcome.Answered},
	[UpstreamFailure.Cancelled]: {kind: ErrorKind.Cancelled, outcome: Outcome.Unknown, end: DispatchOutcome.Cancelled},
};
