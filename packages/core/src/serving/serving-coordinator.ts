/**
 * Serving of calls by the node beside the upstream: admission, at-most-once claims, dispatch and answer.
 *
 * @module
 */
import {RetryQuota} from '../action/retry-quota.js';
import {SeenCalls} from '../admission/seen-calls.js';
import type {AdmissionController} from '../admission/admission-controller.js';
import type {ShareUse} from '../admission/fair-shares.js';
import type {UpstreamWork} from '../admission/work-left.js';
import {
	AdmissionEffectType, CancelResult, DispatchOutcome, type AdmissionEffect,
} from '../admission/work.js';
import {ErrorKind, Outcome} from '../errors.js';
import type {RequestPolicy} from '../manifest/model.js';
import type {
	AnswerHead, AnswerPayload, CallError, CallFrame, RawHeaders,
} from '../messages.js';
import {AtMostOnceEffectType, type AtMostOnceEffect} from '../at-most-once/messages.js';
import type {AtMostOnceCoordinator} from '../at-most-once/at-most-once-coordinator.js';
import {OpenResultType, type AtMostOnceCall} from '../at-most-once/attempt.js';
import {NestedTime} from './nested-time.js';
import {
	ServingEffectType, UpstreamFailure, type ServedCall, type ServingEffect,
} from './served-call.js';
import {createWorkReport, recordWork, toWork} from './served-work.js';
import {dispatchedFailures, notRunFailures, type NotRunFailure} from './upstream-failures.js';

const answeredRetentionMilliseconds = 30_000;
const maximumAnsweredEntries = 50_000;
const shedStatuses: ReadonlySet<number> = new Set([429, 503]);

export type ServingDefinition = {
	readonly admission: AdmissionController;
	readonly atMostOnce: AtMostOnceCoordinator;
	/** Service of the own upstream; empty while no upstream is announced. */
	readonly service: () => string;
	readonly policyOf: (service: string, kind: string) => RequestPolicy | undefined;
	/** Organisation that the headers of a call name; undefined while the manifest has none. Without it, calls have none. */
	readonly organisationOf?: (headers: RawHeaders) => string | undefined;
	readonly revision: () => number;
	readonly isNotReady: () => boolean;
	/** Highest overload level of the services that calls of the kind depend on. */
	readonly downstreamLevel: (kind: string, now: number) => number;
	/** Work of the own upstream; undefined while cost-aware placement is disabled. */
	readonly upstreamWork?: UpstreamWork | undefined;
};

type AdmissionHandlers = {readonly [Type in AdmissionEffectType]: (call: ServedCall, effect: Extract<AdmissionEffect, {type: Type}>, now: number) => ServingEffect[]};

type RefusalCause = {readonly reason: ErrorKind; readonly share: ShareUse | undefined};

/** Running call on whose behalf the upstream makes nested calls. */
export type ParentCall = Pick<ServedCall, 'frame' | 'retryQuota' | 'work'>;

/**
 * Serves calls by the own upstream and holds their state from arrival to answer.
 *
 * @example
 * const serving = new ServingCoordinator(definition);
 * serving.receive(frame, now); // dispatches, or answers with a refusal
 * serving.upstreamAnswered(frame.callId, answer, now);
 */
export class ServingCoordinator {
	readonly #definition: ServingDefinition;
	readonly #calls = new Map<string, ServedCall>();
	/** Ids of dispatched calls by the caller's request id. */
	readonly #callIdByRequestId = new Map<string, string>();
	readonly #answered = new SeenCalls(answeredRetentionMilliseconds, maximumAnsweredEntries);

	readonly #admissionHandlers: AdmissionHandlers = {
		[AdmissionEffectType.Dispatch]: (call, _effect, now) => this.#slotGranted(call, now),
		[AdmissionEffectType.Refuse]: (call, {reason, share}, now) => this.#refusedByAdmission(call, {reason, share}, now),
		[AdmissionEffectType.CancelDispatch]: (call, {reason}) => this.#cancelDispatch(call, reason),
	};

	constructor(definition: ServingDefinition) {
		this.#definition = definition;
	}

	get size(): number {
		return this.#calls.size;
	}

	/** The running call with this id, as parent of calls that the upstream makes on its behalf. */
	parentOf(callId: string | undefined): ParentCall | undefined {
		const call = callId === undefined ? undefined : this.#calls.get(callId);
		return call?.isDispatched === true ? call : undefined;
	}

	/** The running call for the caller's request id. */
	parentOfRequest(requestId: string): ParentCall | undefined {
		return this.parentOf(this.#callIdByRequestId.get(requestId));
	}

	/**
	 * Receives a call. A copy of an open call is dropped. A copy of an answered call is answered with an error and never runs.
	 *
	 * @param refusal - error of a call that this node has refused already and that must not run
	 */
	receive(frame: CallFrame, now: number, refusal?: CallError): ServingEffect[] {
		if (this.#calls.has(frame.callId)) {
			return [];
		}

		const call = this.#createCall(frame, now);
		if (this.#answered.has(frame.callId)) {
			return this.#answer(call, Outcome.Unknown, undefined, {kind: ErrorKind.Duplicate, detail: `Call ${frame.callId} was already received`}, false, now);
		}

		if (frame.service !== this.#definition.service()) {
			return this.#refuse(call, {kind: ErrorKind.NotServed, detail: `This node does not serve ${frame.service}/${frame.kind}`}, false, now);
		}

		if (refusal !== undefined) {
			return this.#refuse(call, refusal, false, now);
		}

		return frame.key === undefined ? this.#admit(call, now) : this.#receiveAtMostOnce(call, now);
	}

	/**
	 * Cancels a call, whether it waits, claims its key or runs. A call that has not arrived yet is refused on arrival. A
	 * running call is cancelled only if it is idempotent.
	 */
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

		return {result, effects: this.#applyAdmissionEffects(effects, now)};
	}

	/** The upstream has started an answer whose body follows in a stream. The call keeps its slot. */
	upstreamStarted(callId: string, head: AnswerHead): ServingEffect[] {
		if (!this.#calls.has(callId)) {
			return [];
		}

		return [{type: ServingEffectType.AnswerStarted, callId, head}];
	}

	/** @param slowdown - factor by which work takes longer than usual on the machine of the upstream, if it reported one */
	upstreamAnswered(callId: string, answer: AnswerPayload, now: number, slowdown?: number): ServingEffect[] {
		const call = this.#calls.get(callId);
		if (call === undefined) {
			return [];
		}

		const dispatchOutcome = shedStatuses.has(answer.status) ? DispatchOutcome.Shed : DispatchOutcome.Answered;
		if (this.#definition.upstreamWork !== undefined) {
			recordWork(this.#definition.upstreamWork, call, dispatchOutcome, slowdown, now);
		}

		const finishEffects = this.#finish(call, dispatchOutcome, answer, now);
		return [...this.#answer(call, Outcome.Ran, answer, undefined, false, now), ...finishEffects];
	}

	upstreamFailed(callId: string, failure: UpstreamFailure, now: number): ServingEffect[] {
		const call = this.#calls.get(callId);
		if (call === undefined) {
			return [];
		}

		const notRun = notRunFailures[failure];
		return notRun === undefined ? this.#failDispatched(call, failure, now) : this.#failNotRun(call, notRun, now);
	}

	/** A nested call of this call started. Its duration does not count as latency of the upstream. */
	nestedCallStarted(callId: string, now: number): void {
		this.#calls.get(callId)?.nested.start(now);
	}

	nestedCallEnded(callId: string, now: number): void {
		this.#calls.get(callId)?.nested.end(now);
	}

	/** Applies effects of the at-most-once coordinator to the calls of this node and passes the other effects on. */
	fromAtMostOnce(effects: readonly AtMostOnceEffect[], now: number): ServingEffect[] {
		return effects.flatMap(effect => this.#applyAtMostOnceEffect(effect, now));
	}

	/** The upstream drains. Waiting calls are refused, so that their entry nodes can send them to other nodes. */
	stopAccepting(now: number): ServingEffect[] {
		return this.#applyAdmissionEffects(this.#definition.admission.stopAccepting(), now);
	}

	advance(now: number): ServingEffect[] {
		this.#answered.advance(now);
		return this.#applyAdmissionEffects(this.#definition.admission.advance(now), now);
	}

	#createCall(frame: CallFrame, now: number): ServedCall {
		const organisation = this.#definition.organisationOf?.(frame.request.headers);
		const work = toWork({...frame, organisation}, this.#definition.policyOf(frame.service, frame.kind), now);
		return {
			frame,
			work,
			arrivedAt: now,
			retryQuota: new RetryQuota(frame.retries),
			isDispatched: false,
			dispatchedAt: 0,
			cancelReason: undefined,
			nested: new NestedTime(),
		};
	}

	#receiveAtMostOnce(call: ServedCall, now: number): ServingEffect[] {
		const atMostOnceCall = toAtMostOnceCall(call);
		if (atMostOnceCall === undefined) {
			return this.#refuse(call, {kind: ErrorKind.Malformed, detail: `At-most-once call ${call.frame.callId} has no idempotency key`}, false, now);
		}

		const result = this.#definition.atMostOnce.open(atMostOnceCall, now);
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
		return this.#applyAdmissionEffects(this.#definition.admission.submit(call.work, now), now);
	}

	#applyAdmissionEffects(effects: readonly AdmissionEffect[], now: number): ServingEffect[] {
		return effects.flatMap(effect => {
			const call = this.#calls.get(effect.work.callId);
			if (call === undefined) {
				return [];
			}

			return (this.#admissionHandlers[effect.type] as (call: ServedCall, effect: AdmissionEffect, now: number) => ServingEffect[])(call, effect, now);
		});
	}

	#slotGranted(call: ServedCall, now: number): ServingEffect[] {
		const atMostOnceCall = toAtMostOnceCall(call);
		return atMostOnceCall === undefined ? this.#dispatch(call, now) : this.fromAtMostOnce(this.#definition.atMostOnce.callAdmitted(atMostOnceCall, now), now);
	}

	#dispatch(call: ServedCall, now: number): ServingEffect[] {
		call.isDispatched = true;
		call.dispatchedAt = now;
		if (call.frame.requestId !== '') {
			this.#callIdByRequestId.set(call.frame.requestId, call.frame.callId);
		}

		return [
			{type: ServingEffectType.Admitted, frame: call.frame},
			{type: ServingEffectType.Dispatch, frame: call.frame, timeLeftMilliseconds: Math.max(0, call.work.deadline - now)},
		];
	}

	#refusedByAdmission(call: ServedCall, {reason, share}: RefusalCause, now: number): ServingEffect[] {
		const error = {kind: reason, detail: `${call.frame.service} refused ${call.frame.kind} before dispatch, after ${Math.round(now - call.arrivedAt)} ms`};
		const atMostOnceCall = toAtMostOnceCall(call);
		return atMostOnceCall === undefined
			? this.#refuse(call, error, false, now, share)
			: [this.#refusedEffect(call, {reason, share}), ...this.fromAtMostOnce(this.#definition.atMostOnce.callNotRun(atMostOnceCall, error, now), now)];
	}

	#cancelDispatch(call: ServedCall, reason: ErrorKind): ServingEffect[] {
		call.cancelReason = reason;
		const {callId} = call.frame;
		return [{type: ServingEffectType.CancelDispatch, callId}, {type: ServingEffectType.CancelNested, callId}];
	}

	/** Ends a call that its entry node cancelled while the claim waits for the backup. It releases the slot and is never dispatched. */
	#abandonClaim(call: ServedCall, now: number): ServingEffect[] {
		const atMostOnceCall = toAtMostOnceCall(call)!;
		const error = {kind: ErrorKind.Cancelled, detail: `Call ${call.frame.callId} was cancelled before dispatch`};
		const atMostOnceEffects = this.fromAtMostOnce(this.#definition.atMostOnce.callNotRun(atMostOnceCall, error, now), now);
		return [...atMostOnceEffects, ...this.#applyAdmissionEffects(this.#definition.admission.finish(call.frame.callId, DispatchOutcome.Broken, 0, now), now)];
	}

	#applyAtMostOnceEffect(effect: AtMostOnceEffect, now: number): ServingEffect[] {
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
			return call === undefined ? [] : this.#refusedByAtMostOnce(call, effect.error, effect.isNotRun, effect.coversAction, now);
		}

		return [{type: ServingEffectType.AtMostOnce, effect}];
	}

	#refusedByAtMostOnce(call: ServedCall, error: CallError, isNotRun: boolean, coversAction: boolean, now: number): ServingEffect[] {
		const answerEffects = this.#answer(call, isNotRun ? Outcome.NotRun : Outcome.Unknown, undefined, error, coversAction, now);
		return [...answerEffects, ...this.#applyAdmissionEffects(this.#definition.admission.remove(call.frame.callId, now), now)];
	}

	#failNotRun(call: ServedCall, {kind, detail, dispatchOutcome}: NotRunFailure, now: number): ServingEffect[] {
		const error = {kind, detail: `${call.frame.service}: ${detail}`};
		const atMostOnceCall = toAtMostOnceCall(call);
		const admissionEffects = this.#definition.admission.finish(call.frame.callId, dispatchOutcome, 0, now);
		call.isDispatched = false;
		const answerEffects = atMostOnceCall === undefined
			? this.#answer(call, Outcome.NotRun, undefined, error, false, now)
			: this.fromAtMostOnce(this.#definition.atMostOnce.callNotRun(atMostOnceCall, error, now), now);
		return [...answerEffects, ...this.#applyAdmissionEffects(admissionEffects, now)];
	}

	#failDispatched(call: ServedCall, failure: UpstreamFailure, now: number): ServingEffect[] {
		const {kind: failureKind, outcome, dispatchOutcome} = dispatchedFailures[failure]!;
		const kind = failure === UpstreamFailure.Cancelled ? call.cancelReason ?? failureKind : failureKind;
		const finishEffects = this.#finish(call, dispatchOutcome, undefined, now);
		const error = {kind, detail: `The upstream of ${call.frame.service} sent no complete answer`};
		return [...this.#answer(call, outcome, undefined, error, false, now), ...finishEffects];
	}

	#finish(call: ServedCall, dispatchOutcome: DispatchOutcome, answer: AnswerPayload | undefined, now: number): ServingEffect[] {
		const admissionEffects = this.#definition.admission.finish(call.frame.callId, dispatchOutcome, call.nested.total(now), now);
		const atMostOnceCall = toAtMostOnceCall(call);
		const atMostOnceEffects = atMostOnceCall === undefined ? [] : this.#definition.atMostOnce.callFinished(atMostOnceCall, answer, now);
		return [...this.fromAtMostOnce(atMostOnceEffects, now), ...this.#applyAdmissionEffects(admissionEffects, now)];
	}

	#refuse(call: ServedCall, error: CallError, coversAction: boolean, now: number, share?: ShareUse): ServingEffect[] {
		return [this.#refusedEffect(call, {reason: error.kind, share}), ...this.#answer(call, Outcome.NotRun, undefined, error, coversAction, now)];
	}

	#refusedEffect(call: ServedCall, cause: RefusalCause): ServingEffect {
		return {
			type: ServingEffectType.Refused, frame: call.frame, work: call.work, ...cause,
		};
	}

	/** Keeps the entry if a later call with the same request id has replaced it. */
	#removeRequestId({frame}: ServedCall): void {
		if (this.#callIdByRequestId.get(frame.requestId) === frame.callId) {
			this.#callIdByRequestId.delete(frame.requestId);
		}
	}

	#answer(call: ServedCall, outcome: Outcome, answer: AnswerPayload | undefined, error: CallError | undefined, coversAction: boolean, now: number): ServingEffect[] {
		if (this.#calls.get(call.frame.callId) === call) {
			this.#calls.delete(call.frame.callId);
			this.#removeRequestId(call);
		}

		this.#answered.add(call.frame.callId, now);
		const {admission, upstreamWork} = this.#definition;
		const {headroom, level} = admission.load;
		const downstreamLevel = this.#definition.downstreamLevel(call.frame.kind, now);
		const work = upstreamWork === undefined ? undefined : createWorkReport(upstreamWork, call, this.#calls.values(), admission.capacity, now);
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
					...(work === undefined ? {} : {work}),
				},
			},
		}];
	}
}

function toAtMostOnceCall(call: ServedCall): AtMostOnceCall | undefined {
	const {key, callId, request} = call.frame;
	return key === undefined
		? undefined
		: {
			callId, key, digest: request.digest, deadline: call.work.deadline,
		};
}
