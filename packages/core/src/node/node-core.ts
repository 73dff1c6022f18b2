/**
 * The logic of a node without input or output: each method processes one input and returns the effects to carry out.
 *
 * @module
 */
import {AdmissionController} from '../admission/admission-controller.js';
import {allAdmissionMechanisms} from '../admission/admission-mechanisms.js';
import type {CancelResult} from '../admission/work.js';
import type {SendFailure} from '../entry/entry-definition.js';
import {Outcome} from '../errors.js';
import {EventType, toEvent, type EventDetails} from '../events/event.js';
import type {Importance} from '../importance.js';
import {HybridClock, type HybridTime} from '../events/hybrid-clock.js';
import {describeIssues, type Revision} from '../manifest/adoption.js';
import type {ManifestConfirmation} from '../manifest/freshness.js';
import {addressOf, type Member} from '../membership/member.js';
import {Membership} from '../membership/membership.js';
import type {GossipMessage} from '../membership/messages.js';
import {manifestTopic, rangesTopic} from '../membership/rumors.js';
import type {
	AnswerFrame, AnswerHead, AnswerPayload, CallError, CallFrame,
} from '../messages.js';
import type {AtMostOnceMessage} from '../at-most-once/messages.js';
import type {WriteResult} from '../at-most-once/at-most-once-definition.js';
import {AtMostOnceCoordinator} from '../at-most-once/at-most-once-coordinator.js';
import {RangeDirectory} from '../at-most-once/range-directory.js';
import {holderOf, type Holder, type VersionedRecord} from '../at-most-once/record.js';
import {quotasOf} from '../organisations/manifest-quotas.js';
import {weightsOf} from '../organisations/manifest-weights.js';
import type {QuotaMessage} from '../organisations/messages.js';
import {QuotaCoordinator, type QuotaDatagram} from '../organisations/quota-coordinator.js';
import {explainRequest, type RequestQuestion} from '../routing/explain-request.js';
import type {Explanation} from '../routing/explanation.js';
import {Router} from '../routing/router.js';
import type {UpstreamFailure} from '../serving/served-call.js';
import {CallFlow} from './call-flow.js';
import {toEntryRequest, type RequestContext} from './caller-requests.js';
import {concatenateEffects} from './effect-lists.js';
import {
	NodeEffectType, type Announcement, type CallerRequest, type NodeEffect, type Withdrawal,
} from './effects.js';
import {ActiveManifest} from './active-manifest.js';
import {ManifestWatch} from './manifest-watch.js';
import {MembershipEffects} from './membership-effects.js';
import type {NodeDefinition} from './node-definition.js';
import {AtMostOnceEffects} from './at-most-once-effects.js';
import {
	ArrivalType, decideArrival, type Arrival, type ArrivalState,
} from './request-arrival.js';
import {importanceOf, type RequestTarget} from './request-importance.js';
import {UpstreamLifecycle} from './upstream-lifecycle.js';
import {VersionUpdates} from './version-updates.js';

const maintenanceIntervalMilliseconds = 100;

/** Time for which claims are remembered before a manifest is active. */
const defaultRememberSeconds = 600;
const longestCallMilliseconds = 600_000;
const defaultManifestAgeMilliseconds = 1900;

type ArrivalHandlers = {readonly [Type in Exclude<ArrivalType, ArrivalType.NoManifest>]: (caller: CallerRequest, arrival: Extract<Arrival, {type: Type}>, now: number) => NodeEffect[]};

/**
 * One node. Times are milliseconds on one monotonic clock.
 *
 * @example
 * const node = new NodeCore(definition);
 * node.manifestArrived(revision, now);
 * node.upstreamAnnounced({service: 'catalogue', slots: 140, state: AnnouncedState.Ready, load: undefined}, now);
 * node.callerRequested(request, now); // [{type: NodeEffectType.Dispatch, ...}]
 */
export class NodeCore {
	/** Quotas of organisations; the entry asks them for each request of a caller. */
	readonly quotas: QuotaCoordinator;
	readonly #definition: NodeDefinition;
	readonly #clock: HybridClock;
	readonly #manifest = new ActiveManifest();
	readonly #router: Router;
	readonly #admission: AdmissionController;
	readonly #atMostOnce: AtMostOnceCoordinator;
	readonly #directory = new RangeDirectory();
	readonly #flow: CallFlow;
	readonly #membership: Membership;
	readonly #manifestWatch: ManifestWatch;
	readonly #membershipEffects: MembershipEffects;
	readonly #lifecycle: UpstreamLifecycle;
	readonly #versions: VersionUpdates;
	readonly #arrivalHandlers: ArrivalHandlers = {
		[ArrivalType.Held]: (caller, _arrival, now) => {
			this.#manifest.hold(caller, now);
			return [];
		},
		[ArrivalType.Rejected]: (caller, {result: {error, rejectedKind}}) => rejectedKind === undefined
			? [this.#answerCaller(caller.entryId, Outcome.NotRun, error)]
			: this.#flow.reject(caller, rejectedKind, error),
		[ArrivalType.Stopping]: (caller, {result, error}) => [this.#refuseCaller(caller.entryId, result.entryRequest.key, error)],
		[ArrivalType.Opened]: (_caller, {result}, now) => this.#flow.open(result.entryRequest, result.parentCallId, now),
	};

	#refusesNewRequests = false;
	#hasEndedCalls = false;
	#nextMaintenanceAt = 0;
	#reportedLimit = 0;

	constructor(definition: NodeDefinition) {
		this.#definition = definition;
		this.#clock = new HybridClock(definition.wallClock);
		this.#router = new Router(definition.own, definition.random, definition.costAwarePlacement);
		this.#admission = new AdmissionController(1, definition.admissionMechanisms ?? allAdmissionMechanisms);
		this.#membership = new Membership({
			own: definition.own, random: definition.random, times: definition.membershipTimes, wallClock: definition.wallClock,
		});
		this.#manifestWatch = new ManifestWatch({
			manifest: this.#manifest, membership: this.#membership, maximumAgeMilliseconds: definition.manifestAgeMilliseconds ?? defaultManifestAgeMilliseconds,
		});
		this.quotas = new QuotaCoordinator({own: () => this.#membership.own, random: definition.random});
		this.#versions = new VersionUpdates({manifest: this.#manifest, directory: this.#directory, membership: this.#membership});
		this.#atMostOnce = this.#createAtMostOnce();
		const makeEvent = (details: EventDetails): NodeEffect => this.#event(details);
		this.#membershipEffects = new MembershipEffects({clock: this.#clock, makeEvent, confirmation: now => this.#manifestWatch.confirmation(now)});
		this.#flow = new CallFlow({
			node: definition,
			membership: this.#membership,
			router: this.#router,
			directory: this.#directory,
			adoption: this.#manifest.adoption,
			admission: this.#admission,
			atMostOnce: this.#atMostOnce,
			policies: this.#manifest.policies,
			hasOrganisations: () => this.#manifest.organisations !== undefined,
			clock: this.#clock,
			quotaGate: definition.quotaGate ?? this.quotas,
			atMostOnceEffects: new AtMostOnceEffects({own: holderOf(definition.own), membership: this.#membership, makeEvent}),
			makeEvent,
		});
		this.#lifecycle = new UpstreamLifecycle({
			admission: this.#admission,
			membership: this.#membership,
			atMostOnce: this.#atMostOnce,
			flow: this.#flow,
			hasManifest: () => this.#manifest.current !== undefined,
			slotShare: definition.slotShare ?? 1,
			handleMembershipEffects: (effects, now) => this.#handleMembershipEffects(effects, now),
			onServiceAnnounced: () => {
				this.#updateAtMostOnceService();
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

	/** Supervision of the age of the active manifest. */
	get manifestWatch(): ManifestWatch {
		return this.#manifestWatch;
	}

	/** Number of choices of serving nodes by rule; empty while cost-aware placement is disabled. */
	get placementChoices(): Router['choices'] {
		return this.#router.choices;
	}

	/** Number of requests that were refused early, by `SERVICE/KIND`; empty while early refusal is disabled. */
	get earlyRefusals(): ReadonlyMap<string, number> {
		return this.#flow.earlyRefusals;
	}

	get atMostOnce(): AtMostOnceCoordinator {
		return this.#atMostOnce;
	}

	get membership(): Membership {
		return this.#membership;
	}

	get admission(): AdmissionController {
		return this.#admission;
	}

	/** Number of calls that are open at this node as entry node or serving node, and of held requests. */
	get openCalls(): number {
		return this.#flow.entry.size + this.#flow.serving.size + this.#manifest.heldCount;
	}

	/** Whether a draining node has finished its calls and handed over its key ranges. */
	get isDrained(): boolean {
		return this.#lifecycle.isDraining && this.openCalls === 0 && this.#admission.isIdle && this.#atMostOnce.hasHandedOver;
	}

	/** Incarnation of the upstream whose announcement was accepted last. */
	get upstreamInstance(): string | undefined {
		return this.#lifecycle.instance;
	}

	/** Whether requests are matched by host and path prefix, and not by the service that their path names. */
	get usesRoutes(): boolean {
		return this.#manifest.routes !== undefined;
	}

	/** Importance of a caller's request by its head, before its body is read. It changes nothing. */
	importanceOf(target: RequestTarget): Importance {
		return importanceOf(target, this.#manifest.current?.manifest, this.#manifest.routes);
	}

	/** Reason why the node does not serve callers; undefined when it does. */
	get notReadyReason(): string | undefined {
		return this.#manifest.current === undefined ? 'No manifest revision is in force yet' : undefined;
	}

	/** Newest known key-range record of a service; peers pull it. */
	record(service: string): VersionedRecord | undefined {
		return this.#directory.record(service);
	}

	callerRequested(caller: CallerRequest, now: number): NodeEffect[] {
		const arrival = decideArrival(this.#arrivalState(caller, {splitSelector: this.#manifest.splitSelector, newActionId: this.#definition.newActionId}, now), now);
		if (arrival.type === ArrivalType.NoManifest) {
			return [this.#refuseCaller(caller.entryId, caller.key, arrival.error)];
		}

		const handler = this.#arrivalHandlers[arrival.type] as (caller: CallerRequest, arrival: Arrival, now: number) => NodeEffect[];
		return concatenateEffects(handler(caller, arrival, now), this.#sendQuotas(this.quotas.takeDatagrams(now)));
	}

	/**
	 * Explains where a caller's request would go now, and why. It has no effect on the node.
	 *
	 * @param random - uniformly distributed numbers in [0, 1), other than those of the node's decisions
	 */
	explain(question: RequestQuestion, random: () => number, now: number): Explanation {
		const {splitSelector} = this.#manifest;
		return explainRequest({
			own: this.own,
			members: this.members,
			memberOf: name => this.#membership.get(name),
			manifest: this.#manifest,
			manifestWatch: this.#manifestWatch,
			router: this.#router,
			directory: this.#directory,
			admission: this.#admission,
			quotaGate: this.#definition.quotaGate ?? this.quotas,
			arrivalState: (caller, newActionId, at) => this.#arrivalState(caller, {splitSelector: {select: route => splitSelector.peek(route)}, newActionId}, at),
		}, question, random, now);
	}

	callerDisconnected(entryId: number, now: number): NodeEffect[] {
		return this.#flow.handleEntryEffects(this.#flow.entry.callerDisconnected(entryId), now);
	}

	/**
	 * Processes a call of another node.
	 *
	 * @param refusal - error of a call whose body was discarded; it is answered as not run, and no copy of it ever runs
	 */
	callArrived(frame: CallFrame, clock: HybridTime, now: number, refusal?: CallError): NodeEffect[] {
		this.#clock.observe(clock);
		const pulls = this.#versions.observeRevision(frame.revision, now);
		return concatenateEffects(pulls, this.#flow.handleServingEffects(this.#flow.serving.receive(frame, now, refusal), now));
	}

	/** Processes the answer to a call of this node. */
	callAnswered(frame: AnswerFrame, clock: HybridTime, now: number): NodeEffect[] {
		this.#clock.observe(clock);
		const pulls = this.#versions.observeRevision(frame.serving.revision, now);
		return concatenateEffects(pulls, this.#flow.handleEntryEffects(this.#flow.entry.receive(frame, now), now));
	}

	/** Processes the head of an answer to a call of this node. Its body follows in a stream, and `callAnswered` ends it. */
	callStarted(callId: string, head: AnswerHead, now: number): NodeEffect[] {
		return this.#flow.handleEntryEffects(this.#flow.entry.answerStarted(callId, head), now);
	}

	callFailed(callId: string, failure: SendFailure, now: number): NodeEffect[] {
		return this.#flow.handleEntryEffects(this.#flow.entry.sendFailed(callId, failure, now), now);
	}

	/** Cancels a served call at the request of its entry node. */
	cancelArrived(callId: string, now: number): {readonly result: CancelResult; readonly effects: NodeEffect[]} {
		return this.#flow.cancel(callId, now);
	}

	cancelReplied(callId: string, result: CancelResult, now: number): NodeEffect[] {
		return this.#flow.handleEntryEffects(this.#flow.entry.cancelReplied(callId, result, now), now);
	}

	/** @param slowdown - factor by which work takes longer than usual on the machine of the upstream, if it reported one */
	upstreamAnswered(callId: string, answer: AnswerPayload, now: number, slowdown?: number): NodeEffect[] {
		return this.#flow.handleServingEffects(this.#flow.serving.upstreamAnswered(callId, answer, now, slowdown), now);
	}

	/** Processes the head of an answer whose body follows in a stream, which `upstreamAnswered` or `upstreamFailed` ends. */
	upstreamStarted(callId: string, head: AnswerHead, now: number): NodeEffect[] {
		return this.#flow.handleServingEffects(this.#flow.serving.upstreamStarted(callId, head), now);
	}

	upstreamFailed(callId: string, failure: UpstreamFailure, now: number): NodeEffect[] {
		return this.#flow.handleServingEffects(this.#flow.serving.upstreamFailed(callId, failure, now), now);
	}

	/** Processes an announcement of the upstream. An outdated announcement is ignored. */
	upstreamAnnounced(announcement: Announcement, now: number): NodeEffect[] {
		return this.#lifecycle.announced(announcement, now);
	}

	/**
	 * Marks the upstream as suspected after a probe at the node's start found that it does not serve. It may be draining, which
	 * an earlier incarnation of the node has acknowledged.
	 */
	upstreamSuspected(instance: string, now: number): NodeEffect[] {
		return this.#lifecycle.suspected(instance, now);
	}

	/** Stops sending new calls to an upstream that has withdrawn. */
	upstreamWithdrawn(withdrawal: Withdrawal, now: number): NodeEffect[] {
		return this.#lifecycle.withdrawn(withdrawal, now);
	}

	gossipArrived(message: GossipMessage, clock: HybridTime, now: number): NodeEffect[] {
		this.#clock.observe(clock);
		const pulls = message.manifest === undefined ? [] : this.manifestConfirmed(message.manifest, now);
		return [...pulls, ...this.#handleMembershipEffects(this.#membership.receive(message, now), now)];
	}

	/** Merges the members and versions that another node returned in a view exchange. */
	viewArrived(members: readonly Member[], rumors: ReadonlyArray<{readonly topic: string; readonly version: number}>, now: number): NodeEffect[] {
		const broadcast = rumors.flatMap(rumor => this.#membership.broadcast(rumor));
		return this.#handleMembershipEffects([...this.#membership.mergeView(members, now), ...broadcast], now);
	}

	/** Processes a report or a grant of another node. */
	quotaArrived(message: QuotaMessage, now: number): NodeEffect[] {
		return this.#sendQuotas(this.quotas.receive(message, now));
	}

	manifestArrived(revision: Revision, now: number): NodeEffect[] {
		if (!this.#manifest.offer(revision)) {
			return [];
		}

		this.#manifestWatch.adopted(now);
		this.quotas.setMembers(this.#membership.members, now);
		this.quotas.setQuotas(quotasOf(revision.manifest), now);
		this.#admission.shares.setWeights(weightsOf(revision.manifest));
		this.#updateAtMostOnceService();
		const broadcast = this.#handleMembershipEffects(this.#membership.broadcast({topic: manifestTopic, version: revision.number}), now);
		const event = this.#event({type: EventType.ManifestAdopted, detail: `revision ${revision.number}`, ...describeIssues(revision)});
		return [event, ...broadcast, ...this.#lifecycle.manifestAdopted(now), ...this.#resumeHeldRequests(now)];
	}

	/** Processes a statement of the store or of another node that a revision is the newest. A node that lacks it pulls it. */
	manifestConfirmed(confirmation: ManifestConfirmation, now: number): NodeEffect[] {
		this.#manifestWatch.confirmed(confirmation, now);
		return this.#versions.observeRevision(confirmation.number, now);
	}

	atMostOnceMessageArrived(from: Holder, message: AtMostOnceMessage, now: number): NodeEffect[] {
		return this.#flow.handleServingEffects(this.#flow.serving.fromAtMostOnce(this.#atMostOnce.receive(from, message, now), now), now);
	}

	/** Processes a record that was read from the store or pulled from a peer; undefined when the store has none. */
	recordArrived(record: VersionedRecord | undefined, now: number): NodeEffect[] {
		const isOwn = record === undefined || record.record.service === this.own.service;
		const effects = isOwn ? this.#atMostOnce.recordReceived(record, now) : [];
		return [...this.#storeRecord(record, now), ...this.#flow.handleServingEffects(this.#flow.serving.fromAtMostOnce(effects, now), now)];
	}

	recordWritten(result: WriteResult, now: number): NodeEffect[] {
		const effects = this.#atMostOnce.writeCompleted(result, now);
		return [...this.#storeRecord(this.#atMostOnce.record, now), ...this.#flow.handleServingEffects(this.#flow.serving.fromAtMostOnce(effects, now), now)];
	}

	holdersRead(holders: readonly Holder[], present: ReadonlySet<string>, now: number): void {
		this.#atMostOnce.holdersRead(holders, present, now);
	}

	/** Records that the store confirmed the lease renewal that was sent at the given time. */
	leaseRenewed(sentAt: number): void {
		this.#atMostOnce.leaseRenewed(sentAt);
	}

	/** Records that the lease of the node had lapsed before it was granted again. */
	leaseLapsed(): void {
		this.#atMostOnce.leaseLapsed();
	}

	/** Begins a planned stop: the upstream gets no new calls, key ranges are handed over, and calls in flight finish. */
	startDraining(now: number): NodeEffect[] {
		return this.#lifecycle.startDraining(now);
	}

	/**
	 * Refuses callers' requests from now on, since the time left of a planned stop belongs to the calls in flight. Calls that
	 * the upstream makes for a running call of this node are still opened, because the running call needs them to finish.
	 */
	refuseNewRequests(): void {
		this.#refusesNewRequests = true;
	}

	/** Ends the calls that entered at this node, since a planned stop has no time left for them, and refuses all later ones. */
	endOpenCalls(now: number): NodeEffect[] {
		this.#hasEndedCalls = true;
		const refused = this.#manifest.releaseAll().flatMap(caller => this.callerRequested(caller, now));
		return [...refused, ...this.#flow.handleEntryEffects(this.#flow.entry.endAll(now), now)];
	}

	/** Announces to the other nodes that this one has left. Call it last, before the process stops. */
	announceLeft(now: number): NodeEffect[] {
		return this.#lifecycle.leave(now);
	}

	/** Processes timers and deadlines. Call it every few milliseconds. */
	advance(now: number): NodeEffect[] {
		const calls = concatenateEffects(this.#flow.advance(now), this.#sendQuotas(this.quotas.takeDatagrams(now)));
		if (now < this.#nextMaintenanceAt) {
			return calls;
		}

		this.#nextMaintenanceAt = now + maintenanceIntervalMilliseconds;
		return [...calls, ...this.#runMaintenance(now)];
	}

	#createAtMostOnce(): AtMostOnceCoordinator {
		const {own, claimLimits, wallClock, random, storeOutageLimitMilliseconds, clockErrorMilliseconds} = this.#definition;
		return new AtMostOnceCoordinator({
			own: holderOf(own),
			limits: claimLimits,
			wallClock,
			random,
			rememberForMilliseconds: () => (this.#manifest.current?.manifest.rememberForSeconds ?? defaultRememberSeconds) * 1000,
			clockErrorMilliseconds,
			longestCallMilliseconds,
			storeOutageLimitMilliseconds,
		});
	}

	/** State by which the arrival of a request is decided. The turn of a split and the action id come from the given sources. */
	#arrivalState(caller: CallerRequest, sources: Pick<RequestContext, 'splitSelector' | 'newActionId'>, now: number): ArrivalState {
		return {
			manifest: this.#manifest,
			hasEndedCalls: this.#hasEndedCalls,
			refusesNewRequests: this.#refusesNewRequests,
			resolve: ({manifest}) => toEntryRequest(caller, {
				...sources,
				manifest,
				routes: this.#manifest.routes,
				organisations: this.#manifest.organisations,
				organisationHeader: this.#definition.organisationHeader,
				parentOf: callId => this.#flow.serving.parentOf(callId),
				parentOfRequest: requestId => this.#flow.serving.parentOfRequest(requestId),
			}, now),
		};
	}

	#handleMembershipEffects(effects: Parameters<MembershipEffects['translate']>[0], now: number): NodeEffect[] {
		if (this.#membershipEffects.hasMemberChanges(effects)) {
			this.#manifestWatch.membersChanged();
			this.#router.setMembers(this.#membership.members);
			this.quotas.setMembers(this.#membership.members, now);
			this.#atMostOnce.setMembers(this.#membership.members);
		}

		const pulls = this.#membershipEffects.receivedRumors(effects).flatMap(rumor => this.#versions.observe(rumor.topic, rumor.version, now));
		return [...this.#membershipEffects.translate(effects, now), ...pulls];
	}

	#sendQuotas(datagrams: readonly QuotaDatagram[]): NodeEffect[] {
		return datagrams.map(({to, message}) => ({type: NodeEffectType.SendQuota, to: addressOf(to), message}));
	}

	#resumeHeldRequests(now: number): NodeEffect[] {
		return this.#manifest.release(now).flatMap(caller => this.callerRequested(caller, now));
	}

	#storeRecord(record: VersionedRecord | undefined, now: number): NodeEffect[] {
		if (record === undefined) {
			return [];
		}

		this.#directory.put(record);
		const rumor = {topic: rangesTopic(record.record.service), version: record.version};
		return this.#handleMembershipEffects(this.#membership.broadcast(rumor), now);
	}

	#updateAtMostOnceService(): void {
		const {service} = this.own;
		this.#atMostOnce.setService(service, this.#manifest.hasAtMostOnce(service));
		this.#atMostOnce.setMembers(this.#membership.members);
	}

	#runMaintenance(now: number): NodeEffect[] {
		const lifecycleEffects = this.#lifecycle.advance(now);
		const membership = this.#handleMembershipEffects(this.#membership.advance(now), now);
		const atMostOnce = this.#flow.handleServingEffects(this.#flow.serving.fromAtMostOnce(this.#atMostOnce.advance(now), now), now);
		const pulls = [...this.#versions.advance(now), ...this.#handleMembershipEffects(this.#manifestWatch.advance(now), now)];
		const resumed = this.#resumeHeldRequests(now);
		return [...lifecycleEffects, ...membership, ...atMostOnce, ...pulls, ...resumed, ...this.#limitEvent()];
	}

	#limitEvent(): NodeEffect[] {
		const limit = this.#admission.capacity;
		if (limit === this.#reportedLimit) {
			return [];
		}

		const detail = `${this.#reportedLimit} to ${limit}`;
		this.#reportedLimit = limit;
		return [this.#event({
			type: EventType.LimitChanged, service: this.own.service, detail, cause: this.#admission.limit.cause,
		})];
	}

	/** An earlier request with the key may have run at another node. Only the primary of the key can exclude that. */
	#refuseCaller(entryId: number, key: string | undefined, error: CallError): NodeEffect {
		return this.#answerCaller(entryId, key === undefined ? Outcome.NotRun : Outcome.Unknown, error);
	}

	#answerCaller(entryId: number, outcome: Outcome, error: CallError): NodeEffect {
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
