/**
 * A whole node without input or output: takes what arrives, and returns what has to be done.
 *
 * @module
 */
import {allAdmissionMechanisms, AdmissionController} from '../admission/admission-controller.js';
import type {CancelResult} from '../admission/work.js';
import type {SendFailure} from '../entry/entry-definition.js';
import {ErrorKind, Outcome} from '../errors.js';
import {EventType, toEvent, type EventDetails} from '../events/event.js';
import {HybridClock, type HybridTime} from '../events/hybrid-clock.js';
import type {Revision} from '../manifest/adoption.js';
import {UpstreamState, type Member} from '../membership/member.js';
import {Membership} from '../membership/membership.js';
import type {GossipMessage} from '../membership/messages.js';
import {manifestTopic, rangesTopic} from '../membership/rumors.js';
import type {AnswerFrame, AnswerPayload, CallFrame} from '../messages.js';
import type {AtMostOnceMessage} from '../at-most-once/messages.js';
import type {WriteResult} from '../at-most-once/at-most-once-definition.js';
import {AtMostOnceCoordinator} from '../at-most-once/at-most-once-coordinator.js';
import {RangeDirectory} from '../at-most-once/range-directory.js';
import {holderOf, type Holder, type VersionedRecord} from '../at-most-once/record.js';
import {Router} from '../routing/router.js';
import type {UpstreamFailure} from '../serving/served-call.js';
import {CallFlow} from './call-flow.js';
import {toEntryRequest} from './caller-requests.js';
import {joinEffects} from './effect-lists.js';
import {
	NodeEffectType, type Announcement, type CallerRequest, type NodeEffect, type Withdrawal,
} from './effects.js';
import {ActiveManifest} from './active-manifest.js';
import {MembershipEffects} from './membership-effects.js';
import type {NodeDefinition} from './node-definition.js';
import {AtMostOnceEffects} from './at-most-once-effects.js';
import {UpstreamLifecycle} from './upstream-lifecycle.js';
import {VersionUpdates} from './version-updates.js';

const slowIntervalMilliseconds = 100;

/**
 * One node. Times are milliseconds on one clock that never runs backwards.
 *
 * @example
 * const node = new NodeCore(definition);
 * node.manifestArrived(revision, now);
 * node.upstreamAnnounced({service: 'catalogue', slots: 140, state: AnnouncedState.Ready, load: undefined}, now);
 * node.callerRequested(request, now); // [{type: NodeEffectType.Dispatch, ...}]
 */
export class NodeCore {
	readonly #definition: NodeDefinition;
	readonly #clock: HybridClock;
	readonly #manifest = new ActiveManifest();
	readonly #router: Router;
	readonly #guard: AdmissionController;
	readonly #once: AtMostOnceCoordinator;
	readonly #directory = new RangeDirectory();
	readonly #flow: CallFlow;
	readonly #membership: Membership;
	readonly #membershipEffects: MembershipEffects;
	readonly #presence: UpstreamLifecycle;
	readonly #versions: VersionUpdates;
	#nextSlowAt = 0;
	#lastLimit = 0;

	constructor(definition: NodeDefinition) {
		this.#definition = definition;
		this.#clock = new HybridClock(definition.wallClock);
		this.#router = new Router(definition.own, definition.random);
		this.#guard = new AdmissionController(1, definition.admissionMechanisms ?? allAdmissionMechanisms);
		this.#membership = new Membership({own: definition.own, random: definition.random, times: definition.membershipTimes});
		this.#versions = new VersionUpdates({manifest: this.#manifest, directory: this.#directory, membership: this.#membership});
		this.#once = this.#createOnce();
		const makeEvent = (details: EventDetails): NodeEffect => this.#event(details);
		this.#membershipEffects = new MembershipEffects({clock: this.#clock, makeEvent});
		this.#flow = new CallFlow({
			node: definition,
			membership: this.#membership,
			router: this.#router,
			directory: this.#directory,
			adoption: this.#manifest.adoption,
			guard: this.#guard,
			once: this.#once,
			policies: this.#manifest.policies,
			clock: this.#clock,
			onceEffects: new AtMostOnceEffects({own: holderOf(definition.own), membership: this.#membership, makeEvent}),
			makeEvent,
		});
		this.#presence = new UpstreamLifecycle({
			guard: this.#guard,
			membership: this.#membership,
			once: this.#once,
			flow: this.#flow,
			slotShare: definition.slotShare ?? 1,
			fromMembership: (effects, now) => this.#fromMembership(effects, now),
			serviceAnnounced: () => {
				this.#setOnceService();
			},
			makeEvent,
		});
	}

	get own(): Member {
		return this.#membership.own;
	}

	get members(): readonly Member[] {
		return this.#membership.members;
	}

	get manifest(): Revision | undefined {
		return this.#manifest.current;
	}

	get atMostOnce(): AtMostOnceCoordinator {
		return this.#once;
	}

	get membership(): Membership {
		return this.#membership;
	}

	get admission(): AdmissionController {
		return this.#guard;
	}

	/** Calls that are open at this node, as entry or as serving node. */
	get openCalls(): number {
		return this.#flow.entry.size + this.#flow.serving.size + this.#manifest.heldCount;
	}

	/** Whether a leaving node has nothing left to finish. */
	get isDrained(): boolean {
		return this.#presence.isDraining && this.openCalls === 0 && this.#guard.isIdle && this.#once.hasHandedOver;
	}

	/** Incarnation of the upstream that announced itself last. */
	get upstreamInstance(): string | undefined {
		return this.#presence.instance;
	}

	/** Whether requests are found by host and path prefix, and not by the service that their path names. */
	get usesRoutes(): boolean {
		return this.#manifest.routes !== undefined;
	}

	/** Why the node does not serve callers; undefined when it does. */
	get notReadyReason(): string | undefined {
		return this.#manifest.current === undefined ? 'No manifest revision is in force yet' : undefined;
	}

	/** Highest version known of a service's key ranges, for peers that pull it. */
	record(service: string): VersionedRecord | undefined {
		return this.#directory.record(service);
	}

	callerRequested(caller: CallerRequest, now: number): NodeEffect[] {
		const {current} = this.#manifest;
		if (current === undefined) {
			// An earlier try of the key may have run elsewhere; only the key's primary can say that none has.
			const outcome = caller.key === undefined ? Outcome.NotRun : Outcome.Unknown;
			return [this.#answerCaller(caller.entryId, outcome, {kind: ErrorKind.NotReady, detail: 'The node has no manifest yet'})];
		}

		return this.#manifest.hold(caller, now) ? [] : this.#openCall(caller, current, now);
	}

	callerDisconnected(entryId: number, now: number): NodeEffect[] {
		return this.#flow.fromEntry(this.#flow.entry.callerDisconnected(entryId), now);
	}

	/** A call of another node has come. */
	callArrived(frame: CallFrame, clock: HybridTime, now: number): NodeEffect[] {
		this.#clock.observe(clock);
		const heard = this.#versions.hearRevision(frame.revision, now);
		return joinEffects(heard, this.#flow.fromServing(this.#flow.serving.receive(frame, now), now));
	}

	/** The answer to a call of this node has come. */
	callAnswered(frame: AnswerFrame, clock: HybridTime, now: number): NodeEffect[] {
		this.#clock.observe(clock);
		const heard = this.#versions.hearRevision(frame.serving.revision, now);
		return joinEffects(heard, this.#flow.fromEntry(this.#flow.entry.receive(frame, now), now));
	}

	callFailed(callId: string, failure: SendFailure, now: number): NodeEffect[] {
		return this.#flow.fromEntry(this.#flow.entry.fail(callId, failure, now), now);
	}

	/** Another node, or this node's own entry, gives a call up. */
	cancelArrived(callId: string, now: number): {readonly result: CancelResult; readonly effects: NodeEffect[]} {
		return this.#flow.cancel(callId, now);
	}

	cancelReplied(callId: string, result: CancelResult, now: number): NodeEffect[] {
		return this.#flow.fromEntry(this.#flow.entry.cancelReplied(callId, result, now), now);
	}

	upstreamAnswered(callId: string, answer: AnswerPayload, now: number): NodeEffect[] {
		return this.#flow.fromServing(this.#flow.serving.upstreamAnswered(callId, answer, now), now);
	}

	upstreamFailed(callId: string, failure: UpstreamFailure, now: number): NodeEffect[] {
		return this.#flow.fromServing(this.#flow.serving.upstreamFailed(callId, failure, now), now);
	}

	/** The upstream has announced itself. Announcements that a later word has overtaken are passed over. */
	upstreamAnnounced(announcement: Announcement, now: number): NodeEffect[] {
		return this.#presence.announced(announcement, now);
	}

	/** The upstream, asked at the node's start, does not serve: it may be leaving, which an earlier life of the node has acknowledged. */
	upstreamSuspected(instance: string, now: number): NodeEffect[] {
		return this.#presence.doubted(instance, now);
	}

	/** The upstream has withdrawn: it gets no new work any more. */
	upstreamWithdrawn(withdrawal: Withdrawal, now: number): NodeEffect[] {
		return this.#presence.withdrawn(withdrawal, now);
	}

	gossipArrived(message: GossipMessage, clock: HybridTime, now: number): NodeEffect[] {
		this.#clock.observe(clock);
		return this.#fromMembership(this.#membership.receive(message, now), now);
	}

	/** Members and versions that another node knows, from an exchange of views. */
	viewArrived(members: readonly Member[], rumors: ReadonlyArray<{readonly topic: string; readonly version: number}>, now: number): NodeEffect[] {
		const heard = rumors.flatMap(rumor => this.#membership.broadcast(rumor));
		return this.#fromMembership([...this.#membership.mergeView(members, now), ...heard], now);
	}

	manifestArrived(revision: Revision, now: number): NodeEffect[] {
		if (!this.#manifest.offer(revision)) {
			return [];
		}

		this.#setOnceService();
		const announced = this.#fromMembership(this.#membership.broadcast({topic: manifestTopic, version: revision.number}), now);
		const event = this.#event({type: EventType.ManifestAdopted, detail: `revision ${revision.number}`});
		return [event, ...announced, ...this.#releaseHeld(now)];
	}

	atMostOnceMessageArrived(from: Holder, message: AtMostOnceMessage, now: number): NodeEffect[] {
		return this.#flow.fromServing(this.#flow.serving.fromAtMostOnce(this.#once.receive(from, message, now), now), now);
	}

	/** A record was read from the store, or pulled from a peer; undefined when the store has none. */
	recordArrived(record: VersionedRecord | undefined, now: number): NodeEffect[] {
		const isOwn = record === undefined || record.record.service === this.own.service;
		const effects = isOwn ? this.#once.recordReceived(record, now) : [];
		return [...this.#noteRecord(record, now), ...this.#flow.fromServing(this.#flow.serving.fromAtMostOnce(effects, now), now)];
	}

	recordWritten(result: WriteResult, now: number): NodeEffect[] {
		const effects = this.#once.writeCompleted(result, now);
		return [...this.#noteRecord(this.#once.record, now), ...this.#flow.fromServing(this.#flow.serving.fromAtMostOnce(effects, now), now)];
	}

	holdersRead(asked: readonly Holder[], present: ReadonlySet<string>, now: number): void {
		this.#once.holdersRead(asked, present, now);
	}

	/** The store confirmed a renewal of the node's lease that was sent at the given time. */
	leaseRenewed(sentAt: number): void {
		this.#once.leaseRenewed(sentAt);
	}

	/** The node's lease had lapsed before it was granted anew. */
	leaseLapsed(): void {
		this.#once.leaseLapsed();
	}

	/** Begins a planned stop: no new work for the upstream, ranges handed over, everything in flight finished. */
	startDraining(now: number): NodeEffect[] {
		return this.#presence.leave(now);
	}

	/** Tells the others that the node has left; the last thing before it stops. */
	announceLeft(now: number): NodeEffect[] {
		return this.#fromMembership(this.#membership.updateOwn({state: UpstreamState.Left}, now), now);
	}

	/** Carries out what time alone brings about. Call it every few milliseconds. */
	advance(now: number): NodeEffect[] {
		const calls = this.#flow.advance(now);
		if (now < this.#nextSlowAt) {
			return calls;
		}

		this.#nextSlowAt = now + slowIntervalMilliseconds;
		return [...calls, ...this.#advanceSlowly(now)];
	}

	#createOnce(): AtMostOnceCoordinator {
		const {own, claimLimits, wallClock, random, storeOutageLimitMilliseconds, clockErrorMilliseconds} = this.#definition;
		return new AtMostOnceCoordinator({
			own: holderOf(own),
			limits: claimLimits,
			wallClock,
			random,
			rememberForMilliseconds: () => (this.#manifest.current?.manifest.rememberForSeconds ?? 600) * 1000,
			clockErrorMilliseconds,
			longestCallMilliseconds: 600_000,
			storeOutageLimitMilliseconds,
		});
	}

	#openCall(caller: CallerRequest, current: Revision, now: number): NodeEffect[] {
		const result = toEntryRequest(caller, {
			manifest: current.manifest,
			routes: this.#manifest.routes,
			splits: this.#manifest.splits,
			enclosing: callId => this.#flow.serving.parentOf(callId),
			enclosingOfRequest: requestId => this.#flow.serving.parentOfRequest(requestId),
			newActionId: this.#definition.newActionId,
		}, now);
		if (!result.success) {
			return [this.#answerCaller(caller.entryId, Outcome.NotRun, result.error)];
		}

		return this.#flow.open(result.entryRequest, result.enclosingCallId, now);
	}

	#fromMembership(effects: Parameters<MembershipEffects['carryOut']>[0], now: number): NodeEffect[] {
		if (this.#membershipEffects.changesMembers(effects)) {
			this.#router.setMembers(this.#membership.members);
			this.#once.setMembers(this.#membership.members);
		}

		const heard = this.#membershipEffects.heardVersions(effects).flatMap(rumor => this.#versions.hear(rumor.topic, rumor.version, now));
		return [...this.#membershipEffects.carryOut(effects), ...heard];
	}

	#releaseHeld(now: number): NodeEffect[] {
		return this.#manifest.release(now).flatMap(caller => this.callerRequested(caller, now));
	}

	#noteRecord(record: VersionedRecord | undefined, now: number): NodeEffect[] {
		if (record === undefined) {
			return [];
		}

		this.#directory.put(record);
		const rumor = {topic: rangesTopic(record.record.service), version: record.version};
		return this.#fromMembership(this.#membership.broadcast(rumor), now);
	}

	#setOnceService(): void {
		const {service} = this.own;
		this.#once.setService(service, this.#manifest.hasAtMostOnce(service));
		this.#once.setMembers(this.#membership.members);
	}

	#advanceSlowly(now: number): NodeEffect[] {
		const silenced = this.#presence.advance(now);
		const membership = this.#fromMembership(this.#membership.advance(now), now);
		const atMostOnce = this.#flow.fromServing(this.#flow.serving.fromAtMostOnce(this.#once.advance(now), now), now);
		const pulls = this.#versions.advance(now);
		const held = this.#releaseHeld(now);
		return [...silenced, ...membership, ...atMostOnce, ...pulls, ...held, ...this.#limitEvent()];
	}

	#limitEvent(): NodeEffect[] {
		const limit = this.#guard.capacity;
		if (limit === this.#lastLimit) {
			return [];
		}

		const detail = `${this.#lastLimit} to ${limit}`;
		this.#lastLimit = limit;
		return [this.#event({
			type: EventType.LimitChanged, service: this.own.service, detail, cause: this.#guard.limit.cause,
		})];
	}

	#answerCaller(entryId: number, outcome: Outcome, error: {readonly kind: ErrorKind; readonly detail: string}): NodeEffect {
		return {
			type: NodeEffectType.AnswerCaller, entryId, answer: {
				outcome, attempts: 0, answer: undefined, error,
			},
		};
	}

	#event(details: EventDetails): NodeEffect {
		return {type: NodeEffectType.Event, event: toEvent(details, this.#clock.next(), this.own.name)};
	}
}
