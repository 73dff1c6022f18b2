/**
 * The served calls as work of the own upstream, for cost-aware placement.
 *
 * @module
 */
import type {OpenWork, UpstreamWork, WorkReport} from '../admission/work-left.js';
import {DispatchOutcome} from '../admission/work.js';
import type {ServedCall} from './served-call.js';

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
