/**
 * Coordinates the calls that enter the system at this node: sends each to a serving node, offers it to other nodes after a
 * refusal, retries it within the retry limits, and answers the caller with the outcome.
 *
 * @module
 */
import {type CallIdGenerator} from '../action/call-ids.js';
import {cancelWaitMilliseconds, nextHopTimeoutMilliseconds} from '../action/deadline.js';
import {CancelResult} from '../admission/work.js';
import {errorAnswers, ErrorKind, Outcome} from '../errors.js';
import {Importance} from '../importance.js';
import {frameSemantics} from '../manifest/request-policy.js';
import type {
	AnswerFrame, AnswerHead, CallError, CallFrame,
} from '../messages.js';
import {AttemptLimits} from './attempt-limits.js';
import {
	CallEnd, EntryEffectType, EntryPhase, LocateResultType, type Destination, type EntryEffect, type EntryRequest, type EntryState, type SentCall,
} from './entry-call.js';
import {SendFailure, type EntryDefinition} from './entry-definition.js';

const primaryLookupPauseMilliseconds = 50;
const gatewayTimeoutStatus = 504;

/** Refusals of calls that have reached an upstream; an offer to another one counts against the limits. */
const upstreamRefusalKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.UpstreamRefused, ErrorKind.NotServed]);

/** Errors of calls that may have run and that count against the upstream, unlike a disconnected caller. */
const upstreamFailureKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.UpstreamBroken, ErrorKind.TimedOut]);

/** Refusals of a call with a key that occur while the primary of its key range changes; the same node may accept the call later. */
const primaryChangeKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.StaleRange, ErrorKind.PeerConnectionLost, ErrorKind.Draining, ErrorKind.NotReady]);

/**
 * State of all calls that entered at one node. Every method returns the effects to carry out.
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
	readonly #limits: AttemptLimits;

	readonly #phaseHandlers: Readonly<Record<EntryPhase, (state: EntryState, now: number) => EntryEffect[]>> = {
		[EntryPhase.Locating]: (state, now) => this.#advanceLocating(state, now),
		[EntryPhase.Sent]: (state, now) => now >= state.request.deadline ? this.#startCancelling(state, now) : [],
		[EntryPhase.Cancelling]: (state, now) => now >= state.cancelDeadline ? this.#cancelTimedOut(state, now) : [],
	};

	constructor(definition: EntryDefinition) {
		this.#definition = definition;
		this.#limits = new AttemptLimits(definition);
	}

	/** Number of calls that are not answered yet. */
	get size(): number {
		return this.#calls.size;
	}

	open(request: EntryRequest, now: number): EntryEffect[] {
		const state: EntryState = {
			request,
			excluded: new Set(),
			phase: EntryPhase.Locating,
			sentCall: undefined,
			refusals: 0,
			attempts: 0,
			mayHaveRun: false,
			lastError: undefined,
			lastRefusalCoversAction: false,
			hasTriedLastResort: false,
			isCallerGone: false,
			hasStartedAnswer: false,
			end: CallEnd.Deadline,
			cancelDeadline: 0,
			nextLocateAt: 0,
		};
		this.#calls.set(request.entryId, state);
		return this.#locateAndSend(state, now);
	}

	/** Passes the head of an answer on to the caller. Its body follows in a stream, and `receive` ends it. */
	answerStarted(callId: string, head: AnswerHead): EntryEffect[] {
		const state = this.#stateOf(callId);
		if (state === undefined || state.isCallerGone) {
			return [];
		}

		state.hasStartedAnswer = true;
		return [{
			type: EntryEffectType.StartAnswer, entryId: state.request.entryId, callId, head,
		}];
	}

	/** Processes the answer of a serving node. An answer that belongs to no open call is reported as stale and dropped. */
	receive(frame: AnswerFrame, now: number): EntryEffect[] {
		const state = this.#stateOf(frame.callId);
		const sentCall = state?.sentCall;
		if (state === undefined || sentCall === undefined) {
			return [{type: EntryEffectType.StaleAnswer, callId: frame.callId}];
		}

		this.#definition.loads.callAnswered(sentCall.destination.member.name, state.request.policy.kind, frame.serving, now - sentCall.sentAt, now);
		this.#recordWork(state, sentCall, frame, now);
		this.#recordUpstreamRefusal(state, sentCall, frame, now);
		if (frame.answer !== undefined) {
			this.#recordUpstreamOutcome(state, sentCall, frame.answer.status !== gatewayTimeoutStatus, now);
		} else if (frame.outcome !== Outcome.NotRun && frame.error !== undefined && upstreamFailureKinds.has(frame.error.kind)) {
			this.#recordUpstreamOutcome(state, sentCall, false, now);
		}

		this.#closeSentCall(state);
		state.request.retryQuota.reclaim(sentCall.delegatedRetries, frame.retriesSpent);
		const isStreamMissing = frame.answer?.isStreamed === true && !state.hasStartedAnswer;
		if (frame.error === undefined && frame.answer !== undefined && !isStreamMissing) {
			this.#limits.recordSuccess(state.request.service);
			return this.#answerCaller(state, frame.outcome, undefined, frame);
		}

		const {kind, detail} = frame.error ?? {kind: ErrorKind.UpstreamBroken, detail: 'The answer frame carries neither a complete answer nor an error'};
		const error = {kind, detail: `${detail}, at ${sentCall.destination.member.name}`};
		state.lastRefusalCoversAction = frame.coversAction;
		return this.#afterFailure(state, sentCall.destination, frame.outcome, error, now);
	}

	/** Processes a failure to send. The delegated retries count as spent, unless the call never left this node. */
	sendFailed(callId: string, failure: SendFailure, now: number): EntryEffect[] {
		const state = this.#stateOf(callId);
		const sentCall = state?.sentCall;
		if (state === undefined || sentCall === undefined) {
			return [];
		}

		const isNotConnected = failure === SendFailure.NotConnected;
		this.#definition.loads.callFailed(sentCall.destination.member.name, true, now);
		this.#closeSentCall(state);
		if (isNotConnected) {
			state.request.retryQuota.reclaim(sentCall.delegatedRetries, 0);
		}

		const {name} = sentCall.destination.member;
		const error = {kind: ErrorKind.PeerConnectionLost, detail: isNotConnected ? `No connection to ${name}` : `The connection to ${name} was lost`};
		state.lastRefusalCoversAction = false;
		return this.#afterFailure(state, sentCall.destination, isNotConnected ? Outcome.NotRun : Outcome.Unknown, error, now);
	}

	/** Processes the reply to a cancellation. */
	cancelReplied(callId: string, result: CancelResult, now: number): EntryEffect[] {
		const state = this.#stateOf(callId);
		if (state?.sentCall === undefined || state.phase !== EntryPhase.Cancelling) {
			return [];
		}

		const isNotRun = result === CancelResult.NotRun;
		this.#definition.loads.callFailed(state.sentCall.destination.member.name, false, now);
		if (isNotRun) {
			state.request.retryQuota.reclaim(state.sentCall.delegatedRetries, 0);
		} else if (state.end === CallEnd.Deadline) {
			this.#recordUpstreamOutcome(state, state.sentCall, false, now);
		}

		this.#closeSentCall(state);
		state.mayHaveRun ||= !isNotRun;
		return this.#answerTimedOut(state);
	}

	/** Cancels the call, and with it the calls made on its behalf, after the caller closed its connection. */
	callerDisconnected(entryId: number): EntryEffect[] {
		const state = this.#calls.get(entryId);
		if (state === undefined) {
			return [];
		}

		state.isCallerGone = true;
		const {sentCall} = state;
		if (sentCall === undefined) {
			return this.#endUnanswered(state, this.#finalOutcome(state));
		}

		return [{type: EntryEffectType.CancelAtPeer, member: sentCall.destination.member, callId: sentCall.callId}];
	}

	/** Ends a call whose parent call was cancelled, as at its deadline. Its caller may still wait for the answer. */
	endNested(entryId: number, now: number): EntryEffect[] {
		const state = this.#calls.get(entryId);
		if (state === undefined || state.phase === EntryPhase.Cancelling) {
			return [];
		}

		state.end = CallEnd.ParentCancelled;
		return this.#startCancelling(state, now);
	}

	/**
	 * Ends all calls as at their deadlines: their callers learn whether the call was not run or may have run. The newest are
	 * cancelled first, so that the slot of a cancelled call is not given to one that waits and is cancelled next.
	 */
	endAll(now: number): EntryEffect[] {
		return [...this.#calls.values()].toReversed().flatMap(state => {
			state.end = CallEnd.Stop;
			return state.phase === EntryPhase.Cancelling ? [] : this.#startCancelling(state, now);
		});
	}

	/** Processes deadlines and pending lookups. */
	advance(now: number): EntryEffect[] {
		return [...this.#calls.values()].flatMap(state => this.#advanceCall(state, now));
	}

	#advanceCall(state: EntryState, now: number): EntryEffect[] {
		return this.#phaseHandlers[state.phase](state, now);
	}

	#advanceLocating(state: EntryState, now: number): EntryEffect[] {
		if (now >= state.request.deadline) {
			return this.#answerTimedOut(state);
		}

		return now >= state.nextLocateAt ? this.#locateAndSend(state, now) : [];
	}

	#startCancelling(state: EntryState, now: number): EntryEffect[] {
		const {sentCall} = state;
		if (sentCall === undefined) {
			return this.#answerTimedOut(state);
		}

		state.phase = EntryPhase.Cancelling;
		state.cancelDeadline = now + cancelWaitMilliseconds;
		return [{type: EntryEffectType.CancelAtPeer, member: sentCall.destination.member, callId: sentCall.callId}];
	}

	#cancelTimedOut(state: EntryState, now: number): EntryEffect[] {
		if (state.sentCall !== undefined) {
			this.#definition.loads.callFailed(state.sentCall.destination.member.name, true, now);
			this.#closeSentCall(state);
		}

		state.mayHaveRun = true;
		return this.#answerTimedOut(state);
	}

	#answerTimedOut(state: EntryState): EntryEffect[] {
		const {lastError, end, request: {service, policy}} = state;
		const kind = end === CallEnd.Stop ? ErrorKind.Draining : ErrorKind.TimedOut;
		const previousError = lastError === undefined ? '' : `; previous error: ${lastError.detail}`;
		const error = {kind, detail: `No answer to ${service}/${policy.kind} before ${end}${previousError}`};
		return this.#answerCaller(state, this.#finalOutcome(state), error);
	}

	#locateAndSend(state: EntryState, now: number): EntryEffect[] {
		const located = this.#definition.locator.locate(state.request, state.excluded, now);
		if (located.type === LocateResultType.Found) {
			return this.#send(state, located.destination, false, now);
		}

		if (located.type === LocateResultType.Wait) {
			state.phase = EntryPhase.Locating;
			return [];
		}

		return this.#sendLastResort(state, now)
			?? this.#answerCaller(state, this.#finalOutcome(state, located.outcome), state.lastError ?? located.error);
	}

	/** Sends a critical call that every candidate refused to the candidate with the most headroom, where it waits in the queue. */
	#sendLastResort(state: EntryState, now: number): EntryEffect[] | undefined {
		const isEligible = state.request.importance === Importance.Critical && !state.hasTriedLastResort && state.lastError !== undefined;
		const destination = isEligible ? this.#definition.locator.lastResort(state.request, now) : undefined;
		if (destination === undefined) {
			return undefined;
		}

		state.hasTriedLastResort = true;
		return this.#send(state, destination, true, now);
	}

	#send(state: EntryState, destination: Destination, lastResort: boolean, now: number): EntryEffect[] {
		const {request} = state;
		const callId = this.#definition.callIds.next();
		const {name} = destination.member;
		const delegatedRetries = request.retryQuota.delegate();
		state.phase = EntryPhase.Sent;
		state.sentCall = {
			callId, destination, delegatedRetries, sentAt: now, lastResort,
		};
		this.#entryIdByCallId.set(callId, request.entryId);
		this.#definition.loads.callSent(name);
		const frame: CallFrame = {
			callId,
			action: request.action,
			requestId: request.requestId,
			service: request.service,
			kind: request.policy.kind,
			semantics: frameSemantics(request.policy.semantics),
			answerBytesLimit: request.answerBytesLimit,
			importance: request.importance,
			priority: request.priority,
			timeLeftMilliseconds: nextHopTimeoutMilliseconds(request.deadline, now, this.#definition.loads.linkMilliseconds(name)),
			retries: delegatedRetries,
			key: request.key,
			epoch: destination.epoch,
			lastResort,
			revision: this.#definition.revision(),
			request: request.request,
		};
		return [{type: EntryEffectType.Send, destination, frame}];
	}

	#afterFailure(state: EntryState, destination: Destination, outcome: Outcome, error: CallError, now: number): EntryEffect[] {
		const isPrimaryChanging = state.request.key !== undefined && primaryChangeKinds.has(error.kind);
		state.lastError = error;
		if (!isPrimaryChanging) {
			state.excluded.add(destination.member.name);
		}

		if (state.isCallerGone) {
			return this.#endUnanswered(state, this.#finalOutcome(state, outcome));
		}

		const errorAnswer = errorAnswers[error.kind];
		if (now < state.request.deadline && state.phase !== EntryPhase.Cancelling && !state.hasStartedAnswer) {
			if (outcome === Outcome.NotRun && isPrimaryChanging && this.#limits.tryOfferAgain(state)) {
				return this.#locateLater(state, error, now);
			}

			if (outcome === Outcome.NotRun && errorAnswer.mayTryOtherNode && this.#limits.tryOfferAgain(state) && (!upstreamRefusalKinds.has(error.kind) || this.#limits.trySpendOffer(state))) {
				return this.#locateAndSend(state, now);
			}

			if (outcome === Outcome.Unknown && errorAnswer.isRetryable && this.#limits.tryRetry(state)) {
				state.mayHaveRun = true;
				return [{type: EntryEffectType.Retried, request: state.request, error}, ...this.#locateAndSend(state, now)];
			}
		}

		return this.#answerCaller(state, this.#finalOutcome(state, outcome), error);
	}

	/** Looks up the changing primary of the key again after a pause, by when a newer record may have arrived. */
	#locateLater(state: EntryState, error: CallError, now: number): EntryEffect[] {
		state.phase = EntryPhase.Locating;
		state.nextLocateAt = now + primaryLookupPauseMilliseconds;
		return [{type: EntryEffectType.RangeOutdated, service: state.request.service, error}];
	}

	/**
	 * Outcome of the whole request. It is `not-run` only when no attempt may have run; for a call with a key, the primary of
	 * the key range must also have confirmed it, since an earlier request with the key may have run.
	 */
	#finalOutcome(state: EntryState, last: Outcome = Outcome.NotRun): Outcome {
		if (last === Outcome.Ran) {
			return Outcome.Ran;
		}

		if (state.mayHaveRun || last === Outcome.Unknown) {
			return Outcome.Unknown;
		}

		return state.request.key !== undefined && !state.lastRefusalCoversAction ? Outcome.Unknown : Outcome.NotRun;
	}

	#answerCaller(state: EntryState, outcome: Outcome, error: CallError | undefined, frame?: AnswerFrame): EntryEffect[] {
		const {request} = state;
		if (state.isCallerGone) {
			return this.#endUnanswered(state, outcome);
		}

		this.#calls.delete(request.entryId);
		const answer = {
			outcome, attempts: 1 + request.retryQuota.spent, answer: frame?.answer, error,
		};
		return [{
			type: EntryEffectType.AnswerCaller, entryId: request.entryId, answer, request,
		}];
	}

	#endUnanswered({request: {entryId}}: EntryState, outcome: Outcome): EntryEffect[] {
		this.#calls.delete(entryId);
		return [{type: EntryEffectType.EndedUnanswered, entryId, outcome}];
	}

	#closeSentCall(state: EntryState): void {
		if (state.sentCall !== undefined) {
			this.#entryIdByCallId.delete(state.sentCall.callId);
			state.sentCall = undefined;
		}
	}

	#recordWork({request: {policy: {kind}, request: {body}}}: EntryState, {destination: {member: {name}}}: SentCall, {serving: {work}}: AnswerFrame, now: number): void {
		const {ends, loads} = this.#definition;
		if (work !== undefined) {
			ends?.reported(name, kind, body.length, work, loads.room(name, now), now);
		}
	}

	#recordUpstreamOutcome({request: {policy: {kind}}}: EntryState, {destination: {member}}: SentCall, isAnswered: boolean, now: number): void {
		this.#definition.loads.recordUpstreamOutcome(member.name, kind, isAnswered, now);
	}

	#recordUpstreamRefusal({request: {policy: {kind}}}: EntryState, {destination: {member}}: SentCall, {answer, error}: AnswerFrame, now: number): void {
		if (answer !== undefined || error?.kind === ErrorKind.UpstreamRefused) {
			this.#definition.loads.recordUpstreamRefusal(member.name, kind, answer === undefined, now);
		}
	}

	#stateOf(callId: string): EntryState | undefined {
		const entryId = this.#entryIdByCallId.get(callId);
		return entryId === undefined ? undefined : this.#calls.get(entryId);
	}
}
