/**
 * The flow of calls through a node: handles the effects of the entry and serving coordinators, and connects the two
 * directly when one node is both entry node and serving node.
 *
 * @module
 */
import {CallIdGenerator} from '../action/call-ids.js';
import {formatTraceContext} from '../action/trace-context.js';
import type {AdmissionController} from '../admission/admission-controller.js';
import type {ShareUse} from '../admission/fair-shares.js';
import {UpstreamWork} from '../admission/work-left.js';
import type {CancelResult, Work} from '../admission/work.js';
import {EarlyRefusal} from '../entry/early-refusal.js';
import {EntryCoordinator} from '../entry/entry-coordinator.js';
import {EntryEffectType, type EntryEffect, type EntryRequest} from '../entry/entry-call.js';
import {Outcome} from '../errors.js';
import {EventType} from '../events/event.js';
import type {HybridClock} from '../events/hybrid-clock.js';
import type {ManifestAdoption} from '../manifest/adoption.js';
import {Semantics, type RequestPolicy} from '../manifest/model.js';
import {UpstreamState, type Member} from '../membership/member.js';
import type {Membership} from '../membership/membership.js';
import {CountedRequests} from '../organisations/counted-requests.js';
import {organisationOf} from '../organisations/identification.js';
import type {QuotaGate} from '../organisations/quota-gate.js';
import type {
	AnswerFrame, AnswerHead, CallerAnswer, CallError, CallFrame, RawHeaders,
} from '../messages.js';
import type {AtMostOnceCoordinator} from '../at-most-once/at-most-once-coordinator.js';
import type {RangeDirectory} from '../at-most-once/range-directory.js';
import type {Router} from '../routing/router.js';
import {ServingCoordinator} from '../serving/serving-coordinator.js';
import {ServingEffectType, type ServingEffect} from '../serving/served-call.js';
import {flatMapEffects, concatenateEffects} from './effect-lists.js';
import {
	NodeEffectType, type CallerRequest, type EventEffectFactory, type NodeEffect,
} from './effects.js';
import {createLocator} from './locator.js';
import type {NodeDefinition} from './node-definition.js';
import type {AtMostOnceEffects} from './at-most-once-effects.js';

const spanIdDigits = 16;
const maximumObservedCalls = 64;

type EntryHandlers = {readonly [Type in EntryEffectType]: (effect: Extract<EntryEffect, {type: Type}>, now: number) => NodeEffect[]};
type ServingHandlers = {readonly [Type in ServingEffectType]: (effect: Extract<ServingEffect, {type: Type}>, now: number) => NodeEffect[]};

/** Parts of the node that calls pass through. */
export type CallFlowDependencies = {
	readonly node: NodeDefinition;
	readonly membership: Membership;
	readonly router: Router;
	readonly directory: RangeDirectory;
	readonly adoption: ManifestAdoption;
	readonly admission: AdmissionController;
	readonly atMostOnce: AtMostOnceCoordinator;
	/** Policies by `SERVICE/KIND`. */
	readonly policies: ReadonlyMap<string, RequestPolicy>;
	/** Whether the active manifest has organisations. */
	readonly hasOrganisations: () => boolean;
	readonly clock: HybridClock;
	readonly quotaGate: QuotaGate;
	readonly atMostOnceEffects: AtMostOnceEffects;
	readonly makeEvent: EventEffectFactory;
};

/**
 * Calls of one node, as entry node and as serving node.
 *
 * @example
 * const flow = new CallFlow(dependencies);
 * flow.open(entryRequest, undefined, now);
 */
export class CallFlow {
	readonly entry: EntryCoordinator;
	readonly serving: ServingCoordinator;
	readonly #dependencies: CallFlowDependencies;
	readonly #countedRequests: CountedRequests;
	/** Undefined while early refusal is disabled. */
	readonly #earlyRefusal: EarlyRefusal | undefined;
	/** Ids of calls that this node sent to itself. */
	readonly #localCalls = new Set<string>();
	readonly #parentByEntryId = new Map<number, string>();
	/** Nested calls that the upstream has made, by the request kind that it made them for. */
	readonly #observedCalls = new Map<string, Map<string, {readonly service: string; readonly kind: string}>>();
	readonly #entryHandlers: EntryHandlers = {
		[EntryEffectType.Send]: ({destination, frame}, now) => this.#sendCall(destination.member, frame, now),
		[EntryEffectType.CancelAtPeer]: ({member, callId}, now) => this.#cancelCall(member, callId, now),
		[EntryEffectType.AnswerCaller]: ({entryId, answer, request}, now) => this.#answerCaller(entryId, answer, request, now),
		[EntryEffectType.EndedUnanswered]: ({entryId, outcome}, now) => {
			this.#countedRequests.ended(entryId, outcome, now);
			this.#earlyRefusal?.ended(entryId, undefined, now);
			return [];
		},
		[EntryEffectType.StartAnswer]: ({entryId, callId, head}) => [{
			type: NodeEffectType.StartCallerAnswer, entryId, callId, head,
		}],
		[EntryEffectType.Retried]: ({request, error}) => [this.#requestEvent(EventType.Retried, request, error.kind, error.detail)],
		[EntryEffectType.StaleAnswer]: ({callId}) => [this.#dependencies.makeEvent({type: EventType.StaleAnswer, detail: callId})],
		[EntryEffectType.RangeOutdated]: ({service}) => {
			this.#dependencies.directory.requestPull(service);
			return [];
		},
	};

	readonly #servingHandlers: ServingHandlers = {
		[ServingEffectType.Dispatch]: ({frame, timeLeftMilliseconds}) => [this.#dispatch(frame, timeLeftMilliseconds)],
		[ServingEffectType.CancelDispatch]: ({callId}) => [{type: NodeEffectType.CancelDispatch, callId}],
		[ServingEffectType.CancelNested]: ({callId}, now) => this.#cancelNestedCalls(callId, now),
		[ServingEffectType.Answer]: ({frame}, now) => this.#answerCall(frame, now),
		[ServingEffectType.AnswerStarted]: ({callId, head}, now) => this.#startAnswer(callId, head, now),
		[ServingEffectType.AtMostOnce]: ({effect}) => this.#dependencies.atMostOnceEffects.translate(effect),
		[ServingEffectType.Admitted]: ({frame}) => [this.#admittedEvent(frame)],
		[ServingEffectType.Refused]: ({frame, work, reason, share}, now) => [this.#refusedEvent(frame, reason, this.#refusalCause(work, share, now))],
	};

	constructor(dependencies: CallFlowDependencies) {
		this.#dependencies = dependencies;
		this.#countedRequests = new CountedRequests(dependencies.quotaGate);
		this.#earlyRefusal = dependencies.node.earlyRefusal === true ? new EarlyRefusal(dependencies.node.random) : undefined;
		this.entry = this.#createEntry();
		this.serving = this.#createServing();
	}

	/**
	 * Opens a call; the parent call is the one on whose behalf the upstream makes it. A caller's request is refused when it
	 * most probably fails further down the chain, or when it is above the quota of its organisation.
	 */
	open(request: EntryRequest, parentCallId: string | undefined, now: number): NodeEffect[] {
		const parent = this.serving.parentOf(parentCallId);
		if (parentCallId !== undefined && parent !== undefined) {
			this.#parentByEntryId.set(request.entryId, parentCallId);
			this.serving.nestedCallStarted(parentCallId, now);
			this.#recordNestedCall(parent.frame.kind, request);
		}

		const error = parentCallId === undefined ? this.#earlyRefusal?.admit(request, now) ?? this.#quotaError(request, now) : undefined;
		if (error !== undefined) {
			return this.#answerCaller(request.entryId, {
				outcome: Outcome.NotRun, attempts: 0, answer: undefined, error,
			}, request, now);
		}

		return this.handleEntryEffects(this.entry.open(request, now), now);
	}

	/** Answers a caller's request that was not opened with an error, and records it. */
	reject({entryId, requestId}: CallerRequest, kind: string, error: CallError): NodeEffect[] {
		const answer = {
			outcome: Outcome.NotRun, attempts: 0, answer: undefined, error,
		};
		const event = this.#dependencies.makeEvent({
			type: EventType.Answered, request: requestId ?? '', kind, detail: error.kind, cause: this.#answerCause(answer, error),
		});
		return [event, {type: NodeEffectType.AnswerCaller, entryId, answer}];
	}

	/** Cancels a served call at the request of its entry node, which may be this node. */
	cancel(callId: string, now: number): {readonly result: CancelResult; readonly effects: NodeEffect[]} {
		const {result, effects} = this.serving.cancel(callId, now);
		const event = this.#dependencies.makeEvent({type: EventType.Cancelled, detail: `${callId} ${result}`});
		return {result, effects: [event, ...this.handleServingEffects(effects, now)]};
	}

	advance(now: number): NodeEffect[] {
		return concatenateEffects(this.handleServingEffects(this.serving.advance(now), now), this.handleEntryEffects(this.entry.advance(now), now));
	}

	handleEntryEffects(effects: readonly EntryEffect[], now: number): NodeEffect[] {
		return flatMapEffects(effects, effect => (this.#entryHandlers[effect.type] as (effect: EntryEffect, now: number) => NodeEffect[])(effect, now));
	}

	handleServingEffects(effects: readonly ServingEffect[], now: number): NodeEffect[] {
		return flatMapEffects(effects, effect => (this.#servingHandlers[effect.type] as (effect: ServingEffect, now: number) => NodeEffect[])(effect, now));
	}

	/** Number of requests that were refused early, by `SERVICE/KIND`. */
	get earlyRefusals(): ReadonlyMap<string, number> {
		return this.#earlyRefusal?.refusals ?? new Map();
	}

	get #retryShare(): number {
		return this.#dependencies.node.retries?.share ?? this.#dependencies.adoption.current?.manifest.retryShare ?? 0;
	}

	#quotaError({entryId, organisation}: EntryRequest, now: number): CallError | undefined {
		return organisation === undefined ? undefined : this.#countedRequests.admit(entryId, organisation, now);
	}

	#createEntry(): EntryCoordinator {
		const memberOf = (name: string): Member | undefined => this.#dependencies.membership.get(name);
		return new EntryCoordinator({
			callIds: new CallIdGenerator(this.#dependencies.node.own.name, this.#dependencies.node.own.incarnation),
			locator: createLocator({router: this.#dependencies.router, directory: this.#dependencies.directory, memberOf}),
			loads: this.#dependencies.router.loads,
			ends: this.#dependencies.router.ends,
			revision: () => this.#dependencies.adoption.number,
			retryBudgetRatio: () => this.#retryShare,
			offerRatio: () => this.#dependencies.node.retries?.offerShare ?? this.#retryShare,
			...(this.#dependencies.node.retries === undefined ? {} : {retryBurst: this.#dependencies.node.retries.burst}),
			...(this.#dependencies.node.entryMechanisms === undefined ? {} : {mechanisms: this.#dependencies.node.entryMechanisms}),
		});
	}

	#createServing(): ServingCoordinator {
		return new ServingCoordinator({
			admission: this.#dependencies.admission,
			atMostOnce: this.#dependencies.atMostOnce,
			service: () => this.#dependencies.membership.own.service,
			policyOf: (service, kind) => this.#dependencies.policies.get(`${service}/${kind}`),
			organisationOf: headers => this.#dependencies.hasOrganisations() ? this.#organisationOf(headers) : undefined,
			revision: () => this.#dependencies.adoption.number,
			isNotReady: () => this.#dependencies.membership.own.state !== UpstreamState.Ready,
			downstreamLevel: (kind, now) => this.#downstreamLevel(kind, now),
			upstreamWork: this.#dependencies.node.costAwarePlacement === true ? new UpstreamWork() : undefined,
		});
	}

	#sendCall(member: Member, frame: CallFrame, now: number): NodeEffect[] {
		if (member.name !== this.#dependencies.membership.own.name) {
			return [{
				type: NodeEffectType.SendCall, to: member, frame, clock: this.#dependencies.clock.next(),
			}];
		}

		this.#localCalls.add(frame.callId);
		return this.handleServingEffects(this.serving.receive(frame, now), now);
	}

	#cancelCall(member: Member, callId: string, now: number): NodeEffect[] {
		if (member.name !== this.#dependencies.membership.own.name) {
			return [{type: NodeEffectType.SendCancel, to: member, callId}];
		}

		const {result, effects} = this.cancel(callId, now);
		return [...effects, ...this.handleEntryEffects(this.entry.cancelReplied(callId, result, now), now)];
	}

	#answerCaller(entryId: number, answer: CallerAnswer, request: EntryRequest, now: number): NodeEffect[] {
		this.#endNestedCall(entryId, now);
		this.#countedRequests.ended(entryId, answer.outcome, now);
		this.#earlyRefusal?.ended(entryId, answer, now);
		const cause = answer.error === undefined ? undefined : this.#answerCause(answer, answer.error);
		return [this.#requestEvent(EventType.Answered, request, answer.error?.kind ?? answer.outcome, cause), {type: NodeEffectType.AnswerCaller, entryId, answer}];
	}

	#answerCause({outcome, attempts}: CallerAnswer, {detail}: CallError): string {
		return `${outcome} after ${attempts} attempts, revision ${this.#dependencies.adoption.number}: ${detail}`;
	}

	#requestEvent(type: EventType, {action, requestId, service, policy, organisation}: EntryRequest, detail: string, cause?: string): NodeEffect {
		return this.#dependencies.makeEvent({
			type, action: action.actionId, request: requestId, service, kind: policy.kind, organisation, detail, ...(cause === undefined ? {} : {cause}),
		});
	}

	#dispatch(frame: CallFrame, timeLeftMilliseconds: number): NodeEffect {
		const spanId = this.#dependencies.node.newActionId().slice(0, spanIdDigits);
		const context = {traceId: frame.action.actionId, vendorTraceState: frame.action.vendorTraceState};
		return {
			type: NodeEffectType.Dispatch,
			callId: frame.callId,
			requestId: frame.requestId,
			request: frame.request,
			...formatTraceContext(context, spanId, frame.callId),
			timeLeftMilliseconds,
			answerBytesLimit: frame.answerBytesLimit,
			canStream: frame.semantics === Semantics.Download,
		};
	}

	#startAnswer(callId: string, head: AnswerHead, now: number): NodeEffect[] {
		return this.#localCalls.has(callId)
			? this.handleEntryEffects(this.entry.answerStarted(callId, head), now)
			: [{type: NodeEffectType.SendAnswerHead, callId, head}];
	}

	#answerCall(frame: AnswerFrame, now: number): NodeEffect[] {
		return this.#localCalls.delete(frame.callId)
			? this.handleEntryEffects(this.entry.receive(frame, now), now)
			: [{type: NodeEffectType.SendAnswer, frame, clock: this.#dependencies.clock.next()}];
	}

	/** Cancels the calls that the upstream made on behalf of a cancelled call. */
	#cancelNestedCalls(callId: string, now: number): NodeEffect[] {
		const nested = [...this.#parentByEntryId].filter(([, parent]) => parent === callId).map(([entryId]) => entryId);
		return nested.flatMap(entryId => this.handleEntryEffects(this.entry.endNested(entryId, now), now));
	}

	#endNestedCall(entryId: number, now: number): void {
		const parent = this.#parentByEntryId.get(entryId);
		if (parent !== undefined) {
			this.#parentByEntryId.delete(entryId);
			this.serving.nestedCallEnded(parent, now);
		}
	}

	#admittedEvent({action: {actionId}, requestId, service, kind, callId}: CallFrame): NodeEffect {
		return this.#dependencies.makeEvent({
			type: EventType.Admitted, action: actionId, request: requestId, service, kind, detail: callId,
		});
	}

	#refusedEvent({action: {actionId}, requestId, service, kind, request}: CallFrame, detail: string, cause: string): NodeEffect {
		const organisation = this.#organisationOf(request.headers);
		return this.#dependencies.makeEvent({
			type: EventType.Refused, action: actionId, request: requestId, service, kind, organisation, detail, cause,
		});
	}

	#organisationOf(headers: RawHeaders): string | undefined {
		const {organisationHeader} = this.#dependencies.node;
		return organisationHeader === undefined ? undefined : organisationOf(headers, organisationHeader);
	}

	#refusalCause({arrivedAt, deadline, priority}: Work, share: ShareUse | undefined, now: number): string {
		const {inFlight, waiting, capacity, level} = this.#dependencies.admission;
		const shareCause = share === undefined ? '' : `, share of the organisation decided: uses ${Math.round(share.useMilliseconds)} ms/s, share ${Math.round(share.shareMilliseconds)} ms/s`;
		return `after ${Math.round(now - arrivedAt)} ms with ${Math.round(deadline - now)} ms left: ${inFlight} of ${capacity} run, ${waiting} wait, priority ${priority}, level ${level}${shareCause}`;
	}

	/** Highest overload level among the nested calls of a request kind, both those declared in the manifest and those observed. */
	#downstreamLevel(kind: string, now: number): number {
		const {policies, membership, router} = this.#dependencies;
		const declared = policies.get(`${membership.own.service}/${kind}`)?.calls ?? [];
		const observed = this.#observedCalls.get(kind)?.values() ?? [];
		return [...declared, ...observed].reduce((level, call) => Math.max(level, router.lowestLevel(call.service, call.kind, now)), 0);
	}

	#recordNestedCall(parentKind: string, {service, policy}: EntryRequest): void {
		const observed = this.#observedCalls.get(parentKind) ?? new Map<string, {service: string; kind: string}>();
		this.#observedCalls.set(parentKind, observed);
		const key = `${service}/${policy.kind}`;
		if (!observed.has(key) && observed.size < maximumObservedCalls) {
			observed.set(key, {service, kind: policy.kind});
		}
	}
}
