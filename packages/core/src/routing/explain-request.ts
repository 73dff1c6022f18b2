/**
 * Explains where a request would go now, and why, without sending it. It asks the code that serves requests, with random
 * numbers of its own, and changes, reserves and counts nothing.
 *
 * @module
 */
import {nextHopTimeoutMilliseconds} from '../action/deadline.js';
import type {AdmissionController} from '../admission/admission-controller.js';
import {arrivalRefusalKinds} from '../admission/arrival-refusal.js';
import type {Work} from '../admission/work.js';
import {LocateResultType, type EntryRequest, type LocateResult} from '../entry/entry-call.js';
import {cohortCount} from '../importance.js';
import {frameSemantics, type RequestPolicy} from '../manifest/request-policy.js';
import type {ActiveManifest} from '../node/active-manifest.js';
import type {RequestResult} from '../node/caller-requests.js';
import type {CallerRequest} from '../node/effects.js';
import {toKeyLocateResult, toLocateResult, toRoutingRequest} from '../node/locator.js';
import type {ManifestWatch} from '../node/manifest-watch.js';
import {
	ArrivalType, decideArrival, decideByManifest, type Arrival, type ArrivalState,
} from '../node/request-arrival.js';
import type {Member} from '../membership/member.js';
import {PrimaryLookupType, type RangeDirectory} from '../at-most-once/range-directory.js';
import {CountedRequests} from '../organisations/counted-requests.js';
import {quotasOf} from '../organisations/manifest-quotas.js';
import type {QuotaGate} from '../organisations/quota-gate.js';
import {toWork} from '../serving/served-work.js';
import {explainCandidates, type CandidatesContext} from './explain-candidates.js';
import {explainArrival, passedCheck, refusedCheck} from './explain-checks.js';
import {describeChoice} from './explain-choice.js';
import {
	CheckResult, EntryCheck, type CheckExplanation, type Explanation, type QuotaExplanation, type RequestExplanation,
} from './explanation.js';
import type {RouteDecision} from './route-choice.js';
import type {Router} from './router.js';

/** Largest room of a quota that is counted, since each counted request is one decision of the quota. */
export const previewedRequests = 100;

/** Number of decisions by which the shares of a random choice are estimated. They take a few milliseconds at the most. */
const drawCount = 64;

/** The request in question. Its body is not needed. */
export type RequestQuestion = {
	/** As the callers' port would pass it to the core, with an empty body. */
	readonly caller: CallerRequest;
	/** Length of the body. */
	readonly bodyBytes: number;
	/** Checks that the host makes before the core, none by default. */
	readonly hostChecks?: readonly CheckExplanation[];
};

/** Parts of the node that are asked. */
export type ExplanationSources = {
	readonly own: Member;
	readonly members: readonly Member[];
	readonly memberOf: (name: string) => Member | undefined;
	readonly manifest: ActiveManifest;
	readonly manifestWatch: ManifestWatch;
	readonly router: Router;
	readonly directory: RangeDirectory;
	readonly admission: AdmissionController;
	readonly quotaGate: QuotaGate;
	/** State by which the arrival is decided, where no turn of a split is taken and action ids come from the given source. */
	readonly arrivalState: (caller: CallerRequest, newActionId: () => string, now: number) => ArrivalState;
};

type Accepted = Extract<RequestResult, {success: true}>;
type Located = {readonly result: LocateResult; readonly decision: RouteDecision | undefined};
type Sourced = {readonly sources: ExplanationSources; readonly question: RequestQuestion; readonly random: () => number};

/**
 * Explains one request.
 *
 * @param random - uniformly distributed numbers in [0, 1), which the node's own decisions do not use
 * @param now - milliseconds on the clock of the node
 * @example
 * explainRequest(sources, {caller, bodyBytes: 0}, random, now).choice; // {rule: 'headroom', node: 'node-2', ...}
 */
export function explainRequest(sources: ExplanationSources, question: RequestQuestion, random: () => number, now: number): Explanation {
	const sourced: Sourced = {sources, question, random};
	const actionId = randomActionId(random);
	const arrival = decideArrival(sources.arrivalState(question.caller, () => actionId, now), now);
	const resolved = resolveHeld(arrival, sourced, actionId, now);
	const accepted = 'result' in resolved && resolved.result.success ? resolved.result : undefined;
	const located = accepted === undefined ? undefined : locate(accepted.entryRequest, sourced, now);
	const quotaCheck = accepted === undefined ? undefined : checkQuota(accepted, sourced, now);
	const ownWork = accepted === undefined ? undefined : toOwnWork(accepted.entryRequest, sources, now);
	const checks = [
		...question.hostChecks ?? [],
		...explainArrival(arrival, resolved, sources.manifest, now),
		...(quotaCheck === undefined ? [] : [quotaCheck]),
		...(located === undefined ? [] : [explainRoute(located)]),
		...(located === undefined || ownWork === undefined ? [] : explainOwnUpstream(located, ownWork, sources, now)),
	];
	return {
		...explainNode(sources, now),
		...(accepted === undefined ? {} : {request: explainAccepted(accepted, sourced, now)}),
		...(accepted?.entryRequest.organisation === undefined ? {} : {organisation: explainOrganisation(accepted, sourced, now)}),
		checks,
		candidates: accepted === undefined ? [] : explainCandidates(toCandidatesContext(accepted.entryRequest, located, ownWork, sourced, now), now),
		choice: describeChoice({
			checks, result: located?.result, decision: located?.decision, draws: accepted === undefined ? [] : drawAgain(accepted.entryRequest, sourced, now),
		}),
	};
}

/** A held request is decided later by a manifest that is not known yet; it is explained by the active one. */
function resolveHeld(arrival: Arrival, {sources, question}: Sourced, actionId: string, now: number): Arrival {
	const {current} = sources.manifest;
	return arrival.type === ArrivalType.Held && current !== undefined
		? decideByManifest(sources.arrivalState(question.caller, () => actionId, now), current)
		: arrival;
}

function locate(request: EntryRequest, {sources, question, random}: Sourced, now: number): Located {
	const {router, directory, memberOf} = sources;
	if (request.key !== undefined) {
		return {result: toKeyLocateResult(request, directory.find(request.service, request.key, memberOf), new Set()), decision: undefined};
	}

	const decision = router.decide(toRoutingRequest(request, new Set(), question.bodyBytes), random, now);
	return {result: toLocateResult(request, decision.choice), decision};
}

function toCandidatesContext(request: EntryRequest, located: Located | undefined, ownWork: Work | undefined, {sources, question}: Sourced, now: number): CandidatesContext {
	const {own, router, members, admission} = sources;
	return {
		own,
		router,
		members,
		request: toRoutingRequest(request, new Set(), question.bodyBytes),
		decision: located?.decision,
		chosen: located?.result.type === LocateResultType.Found ? located.result.destination.member.name : undefined,
		ownExpectation: ownWork === undefined ? undefined : admission.expectation(ownWork, now),
	};
}

/** Nodes that the decision about the same request chooses with other random numbers. */
function drawAgain(request: EntryRequest, sourced: Sourced, now: number): string[] {
	return Array.from({length: drawCount}, () => locate(request, sourced, now).result)
		.flatMap(result => result.type === LocateResultType.Found ? [result.destination.member.name] : []);
}

function explainNode({own, manifest, manifestWatch, router}: ExplanationSources, now: number): Pick<Explanation, 'node' | 'manifest'> {
	const {name, location, service, state} = own;
	const age = manifestWatch.age(now);
	const node = {
		name, ...location, service, state, costAware: router.ends !== undefined,
	};
	return manifest.current === undefined
		? {node}
		: {
			node, manifest: {
				revision: manifest.current.number, newestRevision: manifest.adoption.highestObserved, ...(Number.isFinite(age) ? {ageMilliseconds: age} : {}),
			},
		};
}

function checkQuota({entryRequest: {organisation}, parentCallId}: Accepted, {sources: {quotaGate}, random}: Sourced, now: number): CheckExplanation | undefined {
	if (organisation === undefined) {
		return undefined;
	}

	if (parentCallId !== undefined) {
		return passedCheck(EntryCheck.Quota, 'calls of upstreams do not count');
	}

	const preview = quotaGate.preview?.(organisation, random);
	if (preview === undefined) {
		return passedCheck(EntryCheck.Quota, 'the quota gate of the host cannot be asked without an effect');
	}

	const error = new CountedRequests(preview).admit(0, organisation, now);
	return error === undefined ? passedCheck(EntryCheck.Quota, 'the quota has room, or there is none') : refusedCheck(EntryCheck.Quota, error);
}

function explainOrganisation({entryRequest: {organisation = ''}}: Accepted, sourced: Sourced, now: number): NonNullable<Explanation['organisation']> {
	const organisations = sourced.sources.manifest.current?.manifest.organisations?.filter(({name}) => name === organisation) ?? [];
	const quota = quotasOf({organisations}).get(organisation);
	return quota === undefined ? {name: organisation} : {name: organisation, quota: {...quota, ...countRoom(organisation, sourced, now)}};
}

/** The number of requests that would be admitted one after the other at this moment. */
function countRoom(organisation: string, {sources: {quotaGate}, random}: Sourced, now: number): Pick<QuotaExplanation, 'room' | 'retryAfterMilliseconds'> {
	const preview = quotaGate.preview?.(organisation, random);
	if (preview === undefined) {
		return {};
	}

	let room = 0;
	while (room < previewedRequests) {
		const decision = preview.admit(organisation, now);
		if (!decision.admitted) {
			return room === 0 ? {room, retryAfterMilliseconds: decision.retryAfterMilliseconds} : {room};
		}

		room += 1;
	}

	return {room};
}

function explainRoute({result, decision}: Located): CheckExplanation {
	if (result.type === LocateResultType.Refused) {
		return refusedCheck(EntryCheck.Route, result.error, result.outcome);
	}

	if (result.type === LocateResultType.Wait) {
		return {check: EntryCheck.Route, result: CheckResult.Delayed, detail: 'the primary of the key is not known yet and is looked up again every 50 ms'};
	}

	return passedCheck(EntryCheck.Route, decision === undefined ? 'the primary of the key is known' : `${decision.steps.admitting?.length} of ${decision.steps.eligible.length} candidates admit the priority`);
}

/** The own upstream is asked as its admission control would be; other nodes are known by their reports only. */
function explainOwnUpstream({result}: Located, work: Work, {own, admission}: ExplanationSources, now: number): CheckExplanation[] {
	if (result.type !== LocateResultType.Found || result.destination.member.name !== own.name) {
		return [];
	}

	const {inFlight, waiting, capacity, load: {level}} = admission;
	const detail = `${inFlight} of ${capacity} run, ${waiting} wait, overload level ${level}`;
	const refusal = admission.arrivalRefusal(work, now);
	return [refusal === undefined
		? passedCheck(EntryCheck.OwnUpstream, detail)
		: refusedCheck(EntryCheck.OwnUpstream, {kind: arrivalRefusalKinds[refusal], detail: `${refusal}: ${detail}; the call is offered to other nodes`})];
}

function toOwnWork(request: EntryRequest, {own, router, manifest}: ExplanationSources, now: number): Work | undefined {
	if (request.service !== own.service) {
		return undefined;
	}

	const {policy, importance, priority, deadline, organisation} = request;
	const ownPolicy: RequestPolicy | undefined = manifest.policies.get(`${own.service}/${policy.kind}`);
	return toWork({
		// Larger than any id in use, and therefore neither cancelled nor seen before.
		callId: `${own.name}.${own.incarnation}.${Number.MAX_SAFE_INTEGER}`,
		kind: policy.kind,
		importance,
		priority,
		semantics: frameSemantics(policy.semantics),
		timeLeftMilliseconds: nextHopTimeoutMilliseconds(deadline, now, router.loads.linkMilliseconds(own.name)),
		lastResort: false,
		organisation,
	}, ownPolicy, now);
}

function explainAccepted({entryRequest, parentCallId}: Accepted, sourced: Sourced, now: number): RequestExplanation {
	const {policy, service, importance, priority, deadline} = entryRequest;
	const range = priorityRange(sourced, now);
	const split = sourced.sources.manifest.routes?.findRoute(sourced.question.caller.host ?? '', sourced.question.caller.request.target);
	return {
		kind: policy.kind,
		service,
		semantics: policy.semantics,
		importance,
		priority,
		...(range[0] === range[1] ? {} : {priorityRange: range}),
		timeLeftMilliseconds: deadline - now,
		bodyBytes: sourced.question.bodyBytes,
		isNested: parentCallId !== undefined,
		...(split !== undefined && 'services' in split && split.services.length > 1 ? {split: split.services} : {}),
	};
}

/** Lowest and highest priority over all action ids: those of the first and the last cohort. Both are the same where the request names its action. */
function priorityRange({sources, question}: Sourced, now: number): readonly [number, number] {
	const {current} = sources.manifest;
	const priorities = [0, cohortCount - 1].map(cohort => cohort.toString(16).padStart(32, '0')).flatMap(actionId => {
		const result = sources.arrivalState(question.caller, () => actionId, now).resolve(current!);
		return result.success ? [result.entryRequest.priority] : [];
	});
	return [Math.min(...priorities), Math.max(...priorities)];
}

function randomActionId(random: () => number): string {
	return Array.from({length: 32}, () => Math.floor(random() * 16).toString(16)).join('');
}
