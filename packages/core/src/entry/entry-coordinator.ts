/**
 * The entry of calls: sends each to a node, asks elsewhere after refusals, retries within the action's account, and
 * tells the caller what became of it.
 *
 * @module
 */
import {type CallIdGenerator} from '../action/call-ids.js';
import {cancelWaitMilliseconds, nextHopTimeoutMilliseconds} from '../action/deadline.js';
import {CancelResult} from '../admission/work.js';
import {errorAnswers, ErrorKind, Outcome} from '../errors.js';
import {Importance} from '../importance.js';
import type {AnswerFrame, CallError, CallFrame} from '../messages.js';
import {AttemptBounds} from './attempt-limits.js';
import {
	EntryEffectType, EntryPhase, LocateType, type Destination, type EntryEffect, type EntryRequest, type EntryState, type Sending,
} from './entry-call.js';
import {SendFailure, type EntryDefinition} from './entry-definition.js';

const primaryPauseMilliseconds = 50;
const timedOutStatus = 504;

/** Refusals of calls that have reached an upstream, and so count like retries. */
const reachedKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.UpstreamRefused, ErrorKind.NotServed]);

/** Ends of calls that may have run and for which the upstream is to blame, and not a caller that left or more important work. */
const lostKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.UpstreamBroken, ErrorKind.TimedOut]);

/** Refusals that say nothing of the key's range but that its primary is changing. */
const passingKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.StaleRange, ErrorKind.PeerConnectionLost, ErrorKind.Draining, ErrorKind.NotReady]);

/**
 * All calls that entered at one node.
 *
 * @example
 * const entry = new EntryCoordinator(definition);
 * entry.open(request, now); // [{type: EntryEffectType.Send, destination, frame}]
 * entry.receive(answerFrame, now); // [{type: EntryEffectType.AnswerCaller, entryId, answer}]
 */
export class EntryCoordinator {
	readonly #definition: EntryDefinition;
	readonly #calls = new Map<number, EntryState>();
	readonly #entryIdByCallId = new Map<string, number>();
	readonly #bounds: AttemptBounds;

	readonly #phaseHandlers: Readonly<Record<EntryPhase, (state: EntryState, now: number) => EntryEffect[]>> = {
		[EntryPhase.Locating]: (state, now) => this.#advanceLocating(state, now),
		[EntryPhase.Sent]: (state, now) => now >= state.request.deadline ? this.#startCancelling(state, now) : [],
		[EntryPhase.Cancelling]: (state, now) => now >= state.cancelUntil ? this.#giveUp(state, now) : [],
	};

	constructor(definition: EntryDefinition) {
		this.#definition = definition;
		this.#bounds = new AttemptBounds(definition);
	}

	/** Calls not answered yet. */
	get size(): number {
		return this.#calls.size;
	}

	open(request: EntryRequest, now: number): EntryEffect[] {
		const state: EntryState = {
			request,
			excluded: new Set(),
			phase: EntryPhase.Locating,
			sending: undefined,
			asks: 0,
			attempts: 0,
			mayHaveRun: false,
			lastError: undefined,
			lastConfirmed: false,
			triedLastResort: false,
			isCallerGone: false,
			cancelUntil: 0,
			notBefore: 0,
		};
		this.#calls.set(request.entryId, state);
		return this.#sendOn(state, now);
	}

	/** Takes an answer. One that belongs to no open call is dropped. */
	receive(frame: AnswerFrame, now: number): EntryEffect[] {
		const state = this.#stateOf(frame.callId);
		const sending = state?.sending;
		if (state === undefined || sending === undefined) {
			return [{type: EntryEffectType.StaleAnswer, callId: frame.callId}];
		}

		this.#definition.loads.callAnswered(sending.destination.member.name, state.request.policy.kind, frame.serving, now - sending.sentAt, now);
		if (frame.answer !== undefined) {
			this.#noteRun(state, sending, frame.answer.status !== timedOutStatus, now);
		} else if (frame.outcome !== Outcome.NotRun && frame.error !== undefined && lostKinds.has(frame.error.kind)) {
			this.#noteRun(state, sending, false, now);
		}

		this.#closeSending(state);
		state.request.retryQuota.reclaim(sending.part, frame.retriesSpent);
		if (frame.error === undefined && frame.answer !== undefined) {
			this.#bounds.earn(state.request.service);
			return this.#answer(state, frame.outcome, undefined, frame);
		}

		const {kind, detail} = frame.error ?? {kind: ErrorKind.UpstreamBroken, detail: 'The answer was empty'};
		const error = {kind, detail: `${detail}, at ${sending.destination.member.name}`};
		state.lastConfirmed = frame.coversAction;
		return this.#afterFailure(state, sending.destination, frame.outcome, error, now);
	}

	/** Notes that a sent call failed without an answer. What was handed down with it counts as spent, unless it never left. */
	fail(callId: string, failure: SendFailure, now: number): EntryEffect[] {
		const state = this.#stateOf(callId);
		const sending = state?.sending;
		if (state === undefined || sending === undefined) {
			return [];
		}

		const isNotConnected = failure === SendFailure.NotConnected;
		this.#definition.loads.callFailed(sending.destination.member.name, true, now);
		this.#closeSending(state);
		if (isNotConnected) {
			state.request.retryQuota.reclaim(sending.part, 0);
		}

		const error = {kind: ErrorKind.PeerConnectionLost, detail: isNotConnected ? `No connection to ${sending.destination.member.name}` : `The connection to ${sending.destination.member.name} broke`};
		state.lastConfirmed = false;
		return this.#afterFailure(state, sending.destination, isNotConnected ? Outcome.NotRun : Outcome.Unknown, error, now);
	}

	/** Takes the reply to a cancellation. */
	cancelReplied(callId: string, result: CancelResult, now: number): EntryEffect[] {
		const state = this.#stateOf(callId);
		if (state?.sending === undefined || state.phase !== EntryPhase.Cancelling) {
			return [];
		}

		const isNotRun = result === CancelResult.NotRun;
		this.#definition.loads.callFailed(state.sending.destination.member.name, false, now);
		if (isNotRun) {
			state.request.retryQuota.reclaim(state.sending.part, 0);
		} else {
			this.#noteRun(state, state.sending, false, now);
		}

		this.#closeSending(state);
		state.mayHaveRun ||= !isNotRun;
		return this.#timeOut(state);
	}

	/** The caller has gone away: the call is cancelled all the way down. */
	callerDisconnected(entryId: number): EntryEffect[] {
		const state = this.#calls.get(entryId);
		if (state === undefined) {
			return [];
		}

		state.isCallerGone = true;
		const {sending} = state;
		if (sending === undefined) {
			this.#calls.delete(entryId);
			return [];
		}

		return [{type: EntryEffectType.CancelAtPeer, member: sending.destination.member, callId: sending.callId}];
	}

	advance(now: number): EntryEffect[] {
		return [...this.#calls.values()].flatMap(state => this.#advanceCall(state, now));
	}

	#advanceCall(state: EntryState, now: number): EntryEffect[] {
		return this.#phaseHandlers[state.phase](state, now);
	}

	#advanceLocating(state: EntryState, now: number): EntryEffect[] {
		if (now >= state.request.deadline) {
			return this.#timeOut(state);
		}

		return now >= state.notBefore ? this.#sendOn(state, now) : [];
	}

	#startCancelling(state: EntryState, now: number): EntryEffect[] {
		const {sending} = state;
		if (sending === undefined) {
			return this.#timeOut(state);
		}

		state.phase = EntryPhase.Cancelling;
		state.cancelUntil = now + cancelWaitMilliseconds;
		return [{type: EntryEffectType.CancelAtPeer, member: sending.destination.member, callId: sending.callId}];
	}

	#giveUp(state: EntryState, now: number): EntryEffect[] {
		if (state.sending !== undefined) {
			this.#definition.loads.callFailed(state.sending.destination.member.name, true, now);
			this.#closeSending(state);
		}

		state.mayHaveRun = true;
		return this.#timeOut(state);
	}

	#timeOut(state: EntryState): EntryEffect[] {
		const {lastError, request: {service, policy}} = state;
		const error = {kind: ErrorKind.TimedOut, detail: `No answer within the time for ${service}/${policy.kind}${lastError === undefined ? '' : `; before that: ${lastError.detail}`}`};
		return this.#answer(state, this.#finalOutcome(state), error);
	}

	#sendOn(state: EntryState, now: number): EntryEffect[] {
		const located = this.#definition.locator.locate(state.request, state.excluded, now);
		if (located.type === LocateType.Found) {
			return this.#send(state, located.destination, false, now);
		}

		if (located.type === LocateType.Wait) {
			state.phase = EntryPhase.Locating;
			return [];
		}

		return this.#sendLastResort(state, now)
			?? this.#answer(state, this.#finalOutcome(state, located.outcome), state.lastError ?? located.error);
	}

	/** Critical work that every candidate refused waits at the one with the most room. */
	#sendLastResort(state: EntryState, now: number): EntryEffect[] | undefined {
		const isWorthIt = state.request.importance === Importance.Critical && !state.triedLastResort && state.lastError !== undefined;
		const destination = isWorthIt ? this.#definition.locator.lastResort(state.request, now) : undefined;
		if (destination === undefined) {
			return undefined;
		}

		state.triedLastResort = true;
		return this.#send(state, destination, true, now);
	}

	#send(state: EntryState, destination: Destination, lastResort: boolean, now: number): EntryEffect[] {
		const {request} = state;
		const callId = this.#definition.callIds.next();
		const {name} = destination.member;
		const part = request.retryQuota.delegate();
		state.phase = EntryPhase.Sent;
		state.sending = {
			callId, destination, part, sentAt: now, lastResort,
		};
		this.#entryIdByCallId.set(callId, request.entryId);
		this.#definition.loads.callSent(name);
		const frame: CallFrame = {
			callId,
			action: request.action,
			requestId: request.requestId,
			service: request.service,
			kind: request.policy.kind,
			semantics: request.policy.semantics,
			answerBytesLimit: request.answerBytesLimit,
			importance: request.importance,
			priority: request.priority,
			timeLeftMilliseconds: nextHopTimeoutMilliseconds(request.deadline, now, this.#definition.loads.linkMilliseconds(name)),
			retries: part,
			key: request.key,
			epoch: destination.epoch,
			lastResort,
			revision: this.#definition.revision(),
			request: request.request,
		};
		return [{type: EntryEffectType.Send, destination, frame}];
	}

	#afterFailure(state: EntryState, destination: Destination, outcome: Outcome, error: CallError, now: number): EntryEffect[] {
		const isPassing = state.request.key !== undefined && passingKinds.has(error.kind);
		state.lastError = error;
		if (!isPassing) {
			state.excluded.add(destination.member.name);
		}

		if (state.isCallerGone) {
			this.#calls.delete(state.request.entryId);
			return [];
		}

		const rule = errorAnswers[error.kind];
		if (now < state.request.deadline && state.phase !== EntryPhase.Cancelling) {
			if (outcome === Outcome.NotRun && isPassing && this.#bounds.mayAskAgain(state)) {
				return this.#askLater(state, error, now);
			}

			if (outcome === Outcome.NotRun && rule.mayTryOtherNode && this.#bounds.mayAskAgain(state) && (!reachedKinds.has(error.kind) || this.#bounds.maySpendRetry(state))) {
				return this.#sendOn(state, now);
			}

			if (outcome === Outcome.Unknown && rule.isRetryable && this.#bounds.mayRetry(state)) {
				state.mayHaveRun = true;
				return [{type: EntryEffectType.Retried, request: state.request, error}, ...this.#sendOn(state, now)];
			}
		}

		return this.#answer(state, this.#finalOutcome(state, outcome), error);
	}

	/** The primary of the key is changing: asks again once a newer record can have come. */
	#askLater(state: EntryState, error: CallError, now: number): EntryEffect[] {
		state.phase = EntryPhase.Locating;
		state.notBefore = now + primaryPauseMilliseconds;
		return [{type: EntryEffectType.RangeOutdated, service: state.request.service, error}];
	}

	/** `not-run` is said only when no attempt may have run, and for a caller's key only on the word of its primary. */
	#finalOutcome(state: EntryState, last: Outcome = Outcome.NotRun): Outcome {
		if (last === Outcome.Ran) {
			return Outcome.Ran;
		}

		if (state.mayHaveRun || last === Outcome.Unknown) {
			return Outcome.Unknown;
		}

		return state.request.key !== undefined && !state.lastConfirmed ? Outcome.Unknown : Outcome.NotRun;
	}

	#answer(state: EntryState, outcome: Outcome, error: CallError | undefined, frame?: AnswerFrame): EntryEffect[] {
		const {request} = state;
		this.#calls.delete(request.entryId);
		if (state.isCallerGone) {
			return [];
		}

		const answer = {
			outcome, attempts: 1 + request.retryQuota.spent, answer: frame?.answer, error,
		};
		return [{
			type: EntryEffectType.AnswerCaller, entryId: request.entryId, answer, request,
		}];
	}

	#closeSending(state: EntryState): void {
		if (state.sending !== undefined) {
			this.#entryIdByCallId.delete(state.sending.callId);
			state.sending = undefined;
		}
	}

	#noteRun({request: {policy: {kind}}}: EntryState, {destination: {member}}: Sending, isAnswered: boolean, now: number): void {
		this.#definition.loads.recordUpstreamOutcome(member.name, kind, isAnswered, now);
	}

	#stateOf(callId: string): EntryState | undefined {
		const entryId = this.#entryIdByCallId.get(callId);
		return entryId === undefined ? undefined : this.#calls.get(entryId);
	}
}
