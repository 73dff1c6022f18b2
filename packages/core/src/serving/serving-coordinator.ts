/**
 * Serving of calls by the node beside the upstream: admission, at-most-once claims, dispatch, and the answer.
 *
 * @module
 */
import {RetryQuota} from '../action/retry-quota.js';
import {SeenCalls} from '../admission/seen-calls.js';
import type {AdmissionController} from '../admission/admission-controller.js';
import {
	CancelResult, DispatchOutcome, AdmissionEffectType, type AdmissionEffect, type Work,
} from '../admission/work.js';
import {ErrorKind, Outcome} from '../errors.js';
import {Semantics, type RequestPolicy} from '../manifest/model.js';
import type {AnswerPayload, CallError, CallFrame} from '../messages.js';
import {AtMostOnceEffectType, type AtMostOnceEffect} from '../at-most-once/messages.js';
import type {AtMostOnceCoordinator} from '../at-most-once/at-most-once-coordinator.js';
import {OpenResultType, type AtMostOnceCall} from '../at-most-once/attempt.js';
import {NestedTime} from './nested-time.js';
import {
	ServingEffectType, UpstreamFailure, type ServedCall, type ServingEffect,
} from './served-call.js';
import {dispatchedFailures, notRunFailures, type NotRunFailure} from './upstream-failures.js';

const answeredKeepMilliseconds = 30_000;
const answeredMaximumEntries = 50_000;
const shedStatuses: ReadonlySet<number> = new Set([429, 503]);

export type ServingDefinition = {
	readonly admission: AdmissionController;
	readonly atMostOnce: AtMostOnceCoordinator;
	/** Service of the own upstream; empty while there is none. */
	readonly service: () => string;
	readonly policyOf: (service: string, kind: string) => RequestPolicy | undefined;
	readonly revision: () => number;
	readonly isNotReady: () => boolean;
	/** Least priority that the services below admit for what the kind calls. */
	readonly downstreamLevel: (kind: string, now: number) => number;
};

type GuardHandlers = {readonly [Type in AdmissionEffectType]: (call: ServedCall, effect: Extract<AdmissionEffect, {type: Type}>, now: number) => ServingEffect[]};

/** The call that encloses calls of the upstream. */
export type ParentCall = Pick<ServedCall, 'frame' | 'retryQuota' | 'work'>;

/**
 * All calls that a node serves.
 *
 * @example
 * const serving = new ServingCoordinator(definition);
 * serving.receive(frame, now); // dispatches, or answers with a refusal
 * serving.upstreamAnswered(frame.callId, answer, now);
 */
export class ServingCoordinator {
	readonly #definition: ServingDefinition;
	readonly #calls = new Map<string, ServedCall>();
	/** Ids of the dispatched calls by the caller's own name for their requests. */
	readonly #callOfRequest = new Map<string, string>();
	readonly #answered = new SeenCalls(answeredKeepMilliseconds, answeredMaximumEntries);

	readonly #guardHandlers: GuardHandlers = {
		[AdmissionEffectType.Dispatch]: (call, _effect, now) => this.#granted(call, now),
		[AdmissionEffectType.Refuse]: (call, {reason}, now) => this.#refusedByGuard(call, reason, now),
		[AdmissionEffectType.CancelDispatch]: (call, {reason}) => this.#cancelDispatch(call, reason),
	};

	constructor(definition: ServingDefinition) {
		this.#definition = definition;
	}

	get size(): number {
		return this.#calls.size;
	}

	/** The running call with this id, for calls that the upstream makes on its behalf. */
	parentOf(callId: string | undefined): ParentCall | undefined {
		const call = callId === undefined ? undefined : this.#calls.get(callId);
		return call?.isDispatched === true ? call : undefined;
	}

	/** The running call that answers the caller's request of this name. */
	parentOfRequest(requestId: string): ParentCall | undefined {
		return this.parentOf(this.#callOfRequest.get(requestId));
	}

	/** Takes a call. A copy of one that is open is dropped, and a copy of one that was answered never runs. */
	receive(frame: CallFrame, now: number): ServingEffect[] {
		if (this.#calls.has(frame.callId)) {
			return [];
		}

		const call = this.#createCall(frame, now);
		if (this.#answered.has(frame.callId)) {
			return this.#answer(call, Outcome.Unknown, undefined, {kind: ErrorKind.Duplicate, detail: 'The call was received before'}, false, now);
		}

		if (frame.service !== this.#definition.service()) {
			return this.#refuse(call, {kind: ErrorKind.NotServed, detail: `This node serves no ${frame.service}/${frame.kind}`}, false, now);
		}

		return frame.key === undefined ? this.#admit(call, now) : this.#receiveOnce(call, now);
	}

	/** Cancels a call wherever it is. */
	cancel(callId: string, now: number): {readonly result: CancelResult; readonly effects: ServingEffect[]} {
		const call = this.#calls.get(callId);
		const isClaiming = call?.frame.key !== undefined && !call.isDispatched;
		if (call === undefined && this.#answered.has(callId)) {
			return {result: CancelResult.Dispatched, effects: []};
		}

		const {result, effects} = this.#definition.admission.cancel(callId, now);
		if (isClaiming && result === CancelResult.Dispatched) {
			return {result: CancelResult.NotRun, effects: this.#abandonClaim(call, now)};
		}

		return {result, effects: this.#fromGuard(effects, now)};
	}

	upstreamAnswered(callId: string, answer: AnswerPayload, now: number): ServingEffect[] {
		const call = this.#calls.get(callId);
		if (call === undefined) {
			return [];
		}

		const end = shedStatuses.has(answer.status) ? DispatchOutcome.Shed : DispatchOutcome.Answered;
		const finished = this.#finish(call, end, answer, now);
		return [...this.#answer(call, Outcome.Ran, answer, undefined, false, now), ...finished];
	}

	upstreamFailed(callId: string, failure: UpstreamFailure, now: number): ServingEffect[] {
		const call = this.#calls.get(callId);
		if (call === undefined) {
			return [];
		}

		const notRun = notRunFailures[failure];
		return notRun === undefined ? this.#failDispatched(call, failure, now) : this.#failNotRun(call, notRun, now);
	}

	/** A call of the upstream on behalf of this one has begun: its time does not count against the upstream. */
	nestedCallStarted(callId: string, now: number): void {
		this.#calls.get(callId)?.nested.start(now);
	}

	nestedCallEnded(callId: string, now: number): void {
		this.#calls.get(callId)?.nested.end(now);
	}

	/** Carries out what at-most-once work wants for calls of this node. */
	fromAtMostOnce(effects: readonly AtMostOnceEffect[], now: number): ServingEffect[] {
		return effects.flatMap(effect => this.#fromOnceEffect(effect, now));
	}

	/** The upstream leaves: calls that wait are refused, so that their entries can send them elsewhere. */
	stopAccepting(now: number): ServingEffect[] {
		return this.#fromGuard(this.#definition.admission.stopAccepting(), now);
	}

	advance(now: number): ServingEffect[] {
		this.#answered.advance(now);
		return this.#fromGuard(this.#definition.admission.advance(now), now);
	}

	#createCall(frame: CallFrame, now: number): ServedCall {
		const work: Work = {
			callId: frame.callId,
			kind: frame.kind,
			importance: frame.importance,
			priority: frame.priority,
			idempotent: frame.semantics === Semantics.Idempotent,
			deadline: now + frame.timeLeftMilliseconds,
			arrivedAt: now,
			guaranteedShare: this.#definition.policyOf(frame.service, frame.kind)?.guaranteedShare ?? 0,
			lastResort: frame.lastResort,
		};
		return {
			frame,
			work,
			arrivedAt: now,
			retryQuota: new RetryQuota(frame.retries),
			isDispatched: false,
			cancelReason: undefined,
			nested: new NestedTime(),
		};
	}

	#receiveOnce(call: ServedCall, now: number): ServingEffect[] {
		const onceCall = toOnceCall(call);
		if (onceCall === undefined) {
			return this.#refuse(call, {kind: ErrorKind.Malformed, detail: 'At-most-once work came without a key'}, false, now);
		}

		const result = this.#definition.atMostOnce.open(onceCall, now);
		const handlers: Readonly<Record<OpenResultType, () => ServingEffect[]>> = {
			[OpenResultType.Proceed]: () => this.#admit(call, now),
			[OpenResultType.Joined]: () => {
				this.#calls.set(call.frame.callId, call);
				return [];
			},
			[OpenResultType.Answered]: () => result.type === OpenResultType.Answered ? this.#answer(call, Outcome.Ran, result.answer, undefined, false, now) : [],
			[OpenResultType.Refused]: () => result.type === OpenResultType.Refused
				? this.#answer(call, result.isNotRun ? Outcome.NotRun : Outcome.Unknown, undefined, result.error, false, now)
				: [],
		};
		return handlers[result.type]();
	}

	#admit(call: ServedCall, now: number): ServingEffect[] {
		this.#calls.set(call.frame.callId, call);
		return this.#fromGuard(this.#definition.admission.submit(call.work, now), now);
	}

	#fromGuard(effects: readonly AdmissionEffect[], now: number): ServingEffect[] {
		return effects.flatMap(effect => {
			const call = this.#calls.get(effect.work.callId);
			if (call === undefined) {
				return [];
			}

			return (this.#guardHandlers[effect.type] as (call: ServedCall, effect: AdmissionEffect, now: number) => ServingEffect[])(call, effect, now);
		});
	}

	#granted(call: ServedCall, now: number): ServingEffect[] {
		const onceCall = toOnceCall(call);
		return onceCall === undefined ? this.#dispatch(call, now) : this.fromAtMostOnce(this.#definition.atMostOnce.callAdmitted(onceCall, now), now);
	}

	#dispatch(call: ServedCall, now: number): ServingEffect[] {
		call.isDispatched = true;
		if (call.frame.requestId !== '') {
			this.#callOfRequest.set(call.frame.requestId, call.frame.callId);
		}

		return [
			{type: ServingEffectType.Admitted, frame: call.frame},
			{type: ServingEffectType.Dispatch, frame: call.frame, timeLeftMilliseconds: Math.max(0, call.work.deadline - now)},
		];
	}

	#refusedByGuard(call: ServedCall, reason: ErrorKind, now: number): ServingEffect[] {
		const error = {kind: reason, detail: `${call.frame.service} refused ${call.frame.kind} before dispatch, after ${Math.round(now - call.arrivedAt)} ms`};
		const onceCall = toOnceCall(call);
		return onceCall === undefined
			? this.#refuse(call, error, false, now)
			: [this.#refusedEvent(call, reason), ...this.fromAtMostOnce(this.#definition.atMostOnce.callNotRun(onceCall, error, now), now)];
	}

	#cancelDispatch(call: ServedCall, reason: ErrorKind): ServingEffect[] {
		call.cancelReason = reason;
		const {callId} = call.frame;
		const preempted: ServingEffect[] = reason === ErrorKind.Preempted ? [{type: ServingEffectType.Preempted, frame: call.frame}] : [];
		return [...preempted, {type: ServingEffectType.CancelDispatch, callId}, {type: ServingEffectType.CancelNested, callId}];
	}

	/** The entry gave up while the claim waited for the backup: the slot is free again, and the call stays undispatched. */
	#abandonClaim(call: ServedCall, now: number): ServingEffect[] {
		const onceCall = toOnceCall(call)!;
		const error = {kind: ErrorKind.Cancelled, detail: 'The call was cancelled before dispatch'};
		const released = this.fromAtMostOnce(this.#definition.atMostOnce.callNotRun(onceCall, error, now), now);
		return [...released, ...this.#fromGuard(this.#definition.admission.finish(call.frame.callId, DispatchOutcome.Broken, 0, now), now)];
	}

	#fromOnceEffect(effect: AtMostOnceEffect, now: number): ServingEffect[] {
		if (effect.type === AtMostOnceEffectType.Granted) {
			const call = this.#calls.get(effect.callId);
			return call === undefined ? [] : this.#dispatch(call, now);
		}

		if (effect.type === AtMostOnceEffectType.Answered) {
			const call = this.#calls.get(effect.callId);
			return call === undefined ? [] : this.#answer(call, Outcome.Ran, effect.answer, undefined, false, now);
		}

		if (effect.type === AtMostOnceEffectType.Refused) {
			const call = this.#calls.get(effect.callId);
			return call === undefined ? [] : this.#refusedByOnce(call, effect.error, effect.isNotRun, effect.coversAction, now);
		}

		return [{type: ServingEffectType.AtMostOnce, effect}];
	}

	#refusedByOnce(call: ServedCall, error: CallError, isNotRun: boolean, coversAction: boolean, now: number): ServingEffect[] {
		const answered = this.#answer(call, isNotRun ? Outcome.NotRun : Outcome.Unknown, undefined, error, coversAction, now);
		return [...answered, ...this.#fromGuard(this.#definition.admission.withdraw(call.frame.callId, now), now)];
	}

	#failNotRun(call: ServedCall, {kind, detail, end}: NotRunFailure, now: number): ServingEffect[] {
		const error = {kind, detail: `${call.frame.service}: ${detail}`};
		const onceCall = toOnceCall(call);
		const freed = this.#definition.admission.finish(call.frame.callId, end, 0, now);
		call.isDispatched = false;
		const answered = onceCall === undefined
			? this.#answer(call, Outcome.NotRun, undefined, error, false, now)
			: this.fromAtMostOnce(this.#definition.atMostOnce.callNotRun(onceCall, error, now), now);
		return [...answered, ...this.#fromGuard(freed, now)];
	}

	#failDispatched(call: ServedCall, failure: UpstreamFailure, now: number): ServingEffect[] {
		const {kind: failureKind, outcome, end} = dispatchedFailures[failure]!;
		const kind = failure === UpstreamFailure.Cancelled ? call.cancelReason ?? failureKind : failureKind;
		const finished = this.#finish(call, end, undefined, now);
		const error = {kind, detail: `The upstream of ${call.frame.service} gave no whole answer`};
		return [...this.#answer(call, outcome, undefined, error, false, now), ...finished];
	}

	#finish(call: ServedCall, end: DispatchOutcome, answer: AnswerPayload | undefined, now: number): ServingEffect[] {
		const freed = this.#definition.admission.finish(call.frame.callId, end, call.nested.total(now), now);
		const onceCall = toOnceCall(call);
		const settled = onceCall === undefined ? [] : this.#definition.atMostOnce.callFinished(onceCall, answer, now);
		return [...this.fromAtMostOnce(settled, now), ...this.#fromGuard(freed, now)];
	}

	#refuse(call: ServedCall, error: CallError, coversAction: boolean, now: number): ServingEffect[] {
		return [this.#refusedEvent(call, error.kind), ...this.#answer(call, Outcome.NotRun, undefined, error, coversAction, now)];
	}

	#refusedEvent(call: ServedCall, reason: ErrorKind): ServingEffect {
		return {
			type: ServingEffectType.Refused, frame: call.frame, work: call.work, reason,
		};
	}

	/** A copy of the request may be running for a later call. */
	#forgetRequest({frame}: ServedCall): void {
		if (this.#callOfRequest.get(frame.requestId) === frame.callId) {
			this.#callOfRequest.delete(frame.requestId);
		}
	}

	#answer(call: ServedCall, outcome: Outcome, answer: AnswerPayload | undefined, error: CallError | undefined, coversAction: boolean, now: number): ServingEffect[] {
		if (this.#calls.get(call.frame.callId) === call) {
			this.#calls.delete(call.frame.callId);
			this.#forgetRequest(call);
		}

		this.#answered.add(call.frame.callId, now);
		const {headroom, level} = this.#definition.admission.load;
		const downstreamLevel = this.#definition.downstreamLevel(call.frame.kind, now);
		return [{
			type: ServingEffectType.Answer,
			frame: {
				callId: call.frame.callId,
				outcome,
				coversAction,
				answer,
				error,
				retriesSpent: call.retryQuota.spent,
				serving: {
					headroom,
					level,
					downstreamLevel,
					draining: this.#definition.isNotReady(),
					revision: this.#definition.revision(),
					servedMilliseconds: now - call.arrivedAt,
				},
			},
		}];
	}
}

function toOnceCall(call: ServedCall): AtMostOnceCall | undefined {
	const {key, callId, request} = call.frame;
	return key === undefined
		? undefined
		: {
			callId, key, digest: request.digest, deadline: call.work.deadline,
		};
}
