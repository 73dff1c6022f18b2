/**
 * The flow of calls through a node: carries what entry and serving want over to the node's effects, and joins the two
 * where one node is both.
 *
 * @module
 */
import {CallIdGenerator} from '../action/call-ids.js';
import {formatTraceContext} from '../action/trace-context.js';
import type {AdmissionController} from '../admission/admission-controller.js';
import type {CancelResult, Work} from '../admission/work.js';
import {EntryCoordinator} from '../entry/entry-coordinator.js';
import {EntryEffectType, type EntryEffect, type EntryRequest} from '../entry/entry-call.js';
import {EventType} from '../events/event.js';
import type {HybridClock} from '../events/hybrid-clock.js';
import type {ManifestAdoption} from '../manifest/adoption.js';
import type {RequestPolicy} from '../manifest/model.js';
import {UpstreamState, type Member} from '../membership/member.js';
import type {Membership} from '../membership/membership.js';
import type {AnswerFrame, CallerAnswer, CallFrame} from '../messages.js';
import type {AtMostOnceCoordinator} from '../at-most-once/at-most-once-coordinator.js';
import type {RangeDirectory} from '../at-most-once/range-directory.js';
import type {Router} from '../routing/router.js';
import {ServingCoordinator} from '../serving/serving-coordinator.js';
import {ServingEffectType, type ServingEffect} from '../serving/served-call.js';
import {carryOutAll, joinEffects} from './effect-lists.js';
import {NodeEffectType, type EventEffectFactory, type NodeEffect} from './effects.js';
import {createLocator} from './locator.js';
import type {NodeDefinition} from './node-definition.js';
import type {AtMostOnceEffects} from './at-most-once-effects.js';

const spanDigits = 16;
const maximumSeenCalls = 64;

type EntryHandlers = {readonly [Type in EntryEffectType]: (effect: Extract<EntryEffect, {type: Type}>, now: number) => NodeEffect[]};
type ServingHandlers = {readonly [Type in ServingEffectType]: (effect: Extract<ServingEffect, {type: Type}>, now: number) => NodeEffect[]};

/** Parts of the node that calls pass through. */
export type CallFlowParts = {
	readonly node: NodeDefinition;
	readonly membership: Membership;
	readonly router: Router;
	readonly directory: RangeDirectory;
	readonly adoption: ManifestAdoption;
	readonly guard: AdmissionController;
	readonly once: AtMostOnceCoordinator;
	/** Policies by service and kind. */
	readonly policies: ReadonlyMap<string, RequestPolicy>;
	readonly clock: HybridClock;
	readonly onceEffects: AtMostOnceEffects;
	readonly makeEvent: EventEffectFactory;
};

/**
 * Calls of one node.
 *
 * @example
 * const flow = new CallFlow(parts);
 * flow.open(entryRequest, undefined, now);
 */
export class CallFlow {
	readonly entry: EntryCoordinator;
	readonly serving: ServingCoordinator;
	readonly #parts: CallFlowParts;
	readonly #localCalls = new Set<string>();
	readonly #nestedParents = new Map<number, string>();
	/** Calls that the upstream was seen to make, by the kind it made them for. */
	readonly #seenCalls = new Map<string, Map<string, {readonly service: string; readonly kind: string}>>();
	readonly #entryHandlers: EntryHandlers = {
		[EntryEffectType.Send]: ({destination, frame}, now) => this.#sendCall(destination.member, frame, now),
		[EntryEffectType.CancelAtPeer]: ({member, callId}, now) => this.#cancelCall(member, callId, now),
		[EntryEffectType.AnswerCaller]: ({entryId, answer, request}, now) => this.#answerCaller(entryId, answer, request, now),
		[EntryEffectType.Retried]: ({request, error}) => [this.#requestEvent(EventType.Retried, request, error.kind, error.detail)],
		[EntryEffectType.StaleAnswer]: ({callId}) => [this.#parts.makeEvent({type: EventType.StaleAnswer, detail: callId})],
		[EntryEffectType.RangeOutdated]: ({service}) => {
			this.#parts.directory.requestPull(service);
			return [];
		},
	};

	readonly #servingHandlers: ServingHandlers = {
		[ServingEffectType.Dispatch]: ({frame, timeLeftMilliseconds}) => [this.#dispatch(frame, timeLeftMilliseconds)],
		[ServingEffectType.CancelDispatch]: ({callId}) => [{type: NodeEffectType.CancelDispatch, callId}],
		[ServingEffectType.CancelNested]: ({callId}, now) => this.#cancelNested(callId, now),
		[ServingEffectType.Answer]: ({frame}, now) => this.#answerCall(frame, now),
		[ServingEffectType.AtMostOnce]: ({effect}) => this.#parts.onceEffects.carryOut(effect),
		[ServingEffectType.Admitted]: ({frame}) => [this.#callEvent(EventType.Admitted, frame, frame.callId)],
		[ServingEffectType.Preempted]: ({frame}) => [this.#callEvent(EventType.Preempted, frame, frame.callId)],
		[ServingEffectType.Refused]: ({frame, work, reason}, now) => [this.#callEvent(EventType.Refused, frame, reason, this.#refusalCause(work, now))],
	};

	constructor(parts: CallFlowParts) {
		this.#parts = parts;
		this.entry = this.#createEntry();
		this.serving = this.#createServing();
	}

	/** Opens a call; the enclosing call is the one on whose behalf the upstream makes it. */
	open(request: EntryRequest, enclosingCallId: string | undefined, now: number): NodeEffect[] {
		const parent = this.serving.parentOf(enclosingCallId);
		if (enclosingCallId !== undefined && parent !== undefined) {
			this.#nestedParents.set(request.entryId, enclosingCallId);
			this.serving.nestedCallStarted(enclosingCallId, now);
			this.#noteCall(parent.frame.kind, request);
		}

		return this.fromEntry(this.entry.open(request, now), now);
	}

	/** Another node, or this node's own entry, gives a call up. */
	cancel(callId: string, now: number): {readonly result: CancelResult; readonly effects: NodeEffect[]} {
		const {result, effects} = this.serving.cancel(callId, now);
		const event = this.#parts.makeEvent({type: EventType.Cancelled, detail: `${callId} ${result}`});
		return {result, effects: [event, ...this.fromServing(effects, now)]};
	}

	advance(now: number): NodeEffect[] {
		return joinEffects(this.fromServing(this.serving.advance(now), now), this.fromEntry(this.entry.advance(now), now));
	}

	fromEntry(effects: readonly EntryEffect[], now: number): NodeEffect[] {
		return carryOutAll(effects, effect => (this.#entryHandlers[effect.type] as (effect: EntryEffect, now: number) => NodeEffect[])(effect, now));
	}

	fromServing(effects: readonly ServingEffect[], now: number): NodeEffect[] {
		return carryOutAll(effects, effect => (this.#servingHandlers[effect.type] as (effect: ServingEffect, now: number) => NodeEffect[])(effect, now));
	}

	#createEntry(): EntryCoordinator {
		const memberOf = (name: string): Member | undefined => this.#parts.membership.get(name);
		return new EntryCoordinator({
			callIds: new CallIdGenerator(this.#parts.node.own.name, this.#parts.node.own.incarnation),
			locator: createLocator({router: this.#parts.router, directory: this.#parts.directory, memberOf}),
			loads: this.#parts.router.loads,
			revision: () => this.#parts.adoption.number,
			retryBudgetRatio: () => this.#parts.node.retries?.share ?? this.#parts.adoption.current?.manifest.retryShare ?? 0,
			...(this.#parts.node.retries === undefined ? {} : {retryBurst: this.#parts.node.retries.burst}),
			...(this.#parts.node.entryMechanisms === undefined ? {} : {mechanisms: this.#parts.node.entryMechanisms}),
		});
	}

	#createServing(): ServingCoordinator {
		return new ServingCoordinator({
			admission: this.#parts.guard,
			atMostOnce: this.#parts.once,
			service: () => this.#parts.membership.own.service,
			policyOf: (service, kind) => this.#parts.policies.get(`${service}/${kind}`),
			revision: () => this.#parts.adoption.number,
			isNotReady: () => this.#parts.membership.own.state !== UpstreamState.Ready,
			downstreamLevel: (kind, now) => this.#levelBelow(kind, now),
		});
	}

	#sendCall(member: Member, frame: CallFrame, now: number): NodeEffect[] {
		if (member.name !== this.#parts.membership.own.name) {
			return [{
				type: NodeEffectType.SendCall, to: member, frame, clock: this.#parts.clock.next(),
			}];
		}

		this.#localCalls.add(frame.callId);
		return this.fromServing(this.serving.receive(frame, now), now);
	}

	#cancelCall(member: Member, callId: string, now: number): NodeEffect[] {
		if (member.name !== this.#parts.membership.own.name) {
			return [{type: NodeEffectType.SendCancel, to: member, callId}];
		}

		const {result, effects} = this.cancel(callId, now);
		return [...effects, ...this.fromEntry(this.entry.cancelReplied(callId, result, now), now)];
	}

	#answerCaller(entryId: number, answer: CallerAnswer, request: EntryRequest, now: number): NodeEffect[] {
		this.#endNested(entryId, now);
		const cause = answer.error === undefined ? undefined : `${answer.outcome} after ${answer.attempts} attempts, revision ${this.#parts.adoption.number}: ${answer.error.detail}`;
		return [this.#requestEvent(EventType.Answered, request, answer.error?.kind ?? answer.outcome, cause), {type: NodeEffectType.AnswerCaller, entryId, answer}];
	}

	#requestEvent(type: EventType, {action, requestId, service, policy}: EntryRequest, detail: string, cause?: string): NodeEffect {
		return this.#parts.makeEvent({
			type, action: action.actionId, request: requestId, service, kind: policy.kind, detail, ...(cause === undefined ? {} : {cause}),
		});
	}

	#dispatch(frame: CallFrame, timeLeftMilliseconds: number): NodeEffect {
		const spanId = this.#parts.node.newActionId().slice(0, spanDigits);
		const context = {traceId: frame.action.actionId, vendorTraceState: frame.action.vendorTraceState};
		return {
			type: NodeEffectType.Dispatch,
			callId: frame.callId,
			requestId: frame.requestId,
			request: frame.request,
			...formatTraceContext(context, spanId, frame.callId),
			timeLeftMilliseconds,
			answerBytesLimit: frame.answerBytesLimit,
		};
	}

	#answerCall(frame: AnswerFrame, now: number): NodeEffect[] {
		return this.#localCalls.delete(frame.callId)
			? this.fromEntry(this.entry.receive(frame, now), now)
			: [{type: NodeEffectType.SendAnswer, frame, clock: this.#parts.clock.next()}];
	}

	/** Calls that the upstream made for a cancelled call lose their caller. */
	#cancelNested(callId: string, now: number): NodeEffect[] {
		const nested = [...this.#nestedParents].filter(([, parent]) => parent === callId).map(([entryId]) => entryId);
		return nested.flatMap(entryId => this.fromEntry(this.entry.callerDisconnected(entryId), now));
	}

	#endNested(entryId: number, now: number): void {
		const parent = this.#nestedParents.get(entryId);
		if (parent !== undefined) {
			this.#nestedParents.delete(entryId);
			this.serving.nestedCallEnded(parent, now);
		}
	}

	#callEvent(type: EventType, frame: CallFrame, detail: string, cause?: string): NodeEffect {
		return this.#parts.makeEvent({
			type, action: frame.action.actionId, request: frame.requestId, service: frame.service, kind: frame.kind, detail, ...(cause === undefined ? {} : {cause}),
		});
	}

	#refusalCause({arrivedAt, deadline, priority}: Work, now: number): string {
		const {inFlight, waiting, capacity, load: {level}} = this.#parts.guard;
		return `after ${Math.round(now - arrivedAt)} ms with ${Math.round(deadline - now)} ms left: ${inFlight} of ${capacity} run, ${waiting} wait, priority ${priority}, level ${level}`;
	}

	/** Calls that the manifest states and calls that the upstream was seen to make for the kind. */
	#levelBelow(kind: string, now: number): number {
		const {policies, membership, router} = this.#parts;
		const stated = policies.get(`${membership.own.service}/${kind}`)?.calls ?? [];
		const seen = this.#seenCalls.get(kind)?.values() ?? [];
		return [...stated, ...seen].reduce((level, call) => Math.max(level, router.lowestLevel(call.service, call.kind, now)), 0);
	}

	#noteCall(enclosingKind: string, {service, policy}: EntryRequest): void {
		const seen = this.#seenCalls.get(enclosingKind) ?? new Map<string, {service: string; kind: string}>();
		this.#seenCalls.set(enclosingKind, seen);
		const key = `${service}/${policy.kind}`;
		if (!seen.has(key) && seen.size < maximumSeenCalls) {
			seen.set(key, {service, kind: policy.kind});
		}
	}
}
