/**
 * The served calls as work: of admission control, and of the own upstream for cost-aware placement.
 *
 * @module
 */
import type {OpenWork, UpstreamWork, WorkReport} from '../admission/work-left.js';
import {DispatchOutcome, type Work} from '../admission/work.js';
import {isIdempotent, type RequestPolicy} from '../manifest/request-policy.js';
import type {CallFrame} from '../messages.js';
import type {ServedCall} from './served-call.js';

/** The parts of a call that its admission depends on, and the organisation on whose behalf it is made. */
export type AdmittedFrame = Pick<CallFrame, 'callId' | 'kind' | 'importance' | 'priority' | 'semantics' | 'timeLeftMilliseconds' | 'lastResort'>
	& {readonly organisation?: string | undefined};

/**
 * A call that arrives now, as work for admission control.
 *
 * @param policy - policy of its request kind; undefined when the manifest has none
 * @example
 * toWork(frame, policies.get('catalogue/browse'), now);
 */
export function toWork(frame: AdmittedFrame, policy: RequestPolicy | undefined, now: number): Work {
	return {
		callId: frame.callId,
		kind: frame.kind,
		importance: frame.importance,
		priority: frame.priority,
		idempotent: isIdempotent(frame.semantics),
		deadline: now + frame.timeLeftMilliseconds,
		arrivedAt: now,
		guaranteedShare: policy?.guaranteedShare ?? 0,
		lastResort: frame.lastResort,
		...(frame.organisation === undefined ? {} : {organisation: frame.organisation}),
	};
}

/**
 * Records a call that the upstream has answered. Only complete answers say how long a call works.
 *
 * @param slowdown - factor by which work takes longer than usual, if the answer reported one
 *
 * @example
 * recordWork(upstreamWork, call, DispatchOutcome.Answered, 2.5, now);
 */
export function recordWork(upstreamWork: UpstreamWork, call: ServedCall, outcome: DispatchOutcome, slowdown: number | undefined, now: number): void {
	if (slowdown !== undefined) {
		upstreamWork.speedReported(slowdown, now);
	}

	if (outcome === DispatchOutcome.Answered) {
		upstreamWork.finished(toOpenWork(call, now), now);
	}
}

/** Work report for the answer to a call; undefined while the upstream reports no speed. */
export function createWorkReport(upstreamWork: UpstreamWork, call: ServedCall, open: Iterable<ServedCall>, slots: number, now: number): WorkReport | undefined {
	return upstreamWork.isActive(now)
		? upstreamWork.report(toOpenWork(call, now), [...open].map(other => toOpenWork(other, now)), slots, now)
		: undefined;
}

/** The call as work of the upstream; nested calls are not its own work. */
function toOpenWork({frame, isDispatched, dispatchedAt, nested}: ServedCall, now: number): OpenWork {
	return {
		kind: frame.kind,
		bodyBytes: frame.request.body.length,
		workedMilliseconds: isDispatched ? Math.max(0, now - dispatchedAt - nested.total(now)) : 0,
	};
}
