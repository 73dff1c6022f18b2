/**
 * The choice of a serving node as a pure decision: it reads loads and expected ends, and changes nothing.
 *
 * @module
 */
import {Importance} from '../importance.js';
import {Distance, distances, type Candidate} from './candidates.js';
import type {ExpectedEnds} from './expected-end.js';
import type {PeerLoads} from './peer-loads.js';

const minimumKnownLevels = 2;
const maximumUnansweredShare = 0.5;
const maximumRefusedShare = 0.2;

/** Share of calls that may go to an unresponsive peer, to detect its recovery. */
export const trialShare = 0.03;

/**
 * Cost of leaving the nearest distance with headroom, in addition to the time of the link: traffic between failure domains is
 * billed by volume, so the expected end elsewhere has to be sooner by this share and this time.
 */
const distanceCostShare = 0.25;
const distanceCostMilliseconds = 2;

/**
 * Expected ends that differ by less than this share count as equal, and headroom decides. The learned work of equal upstreams
 * differs by some percent under heavy-tailed work, and a strict comparison would send most calls to the same ones.
 */
const equalEndsShare = 0.1;

/** Properties of a call that determine its route. */
export type RoutingRequest = {
	readonly service: string;
	readonly kind: string;
	readonly importance: Importance;
	readonly priority: number;
	/** Whether the call may leave the region. */
	readonly crossRegion: boolean;
	/** Names of nodes that refused this call or failed to answer it. */
	readonly excluded: ReadonlySet<string>;
	/** Length of the body, for the likely cost of the call; 0 by default. */
	readonly bodyBytes?: number;
};

/** Rule by which a serving node was chosen. */
export enum PlacementRule {
	/** More headroom of two, because one of them has no recent report of its work. */
	Headroom = 'headroom',
	/** Sooner expected end of two at the nearest distance with headroom. */
	ExpectedEnd = 'expected-end',
	/** An expected end beyond the nearest distance that was sooner by more than the cost of the distance. */
	LeftNearest = 'left-nearest',
}

export enum RouteType {
	/** Send the call to the candidate. */
	Send = 'send',
	/** The candidates are known not to admit the priority. */
	Shed = 'shed',
	/** All candidates were tried. */
	Exhausted = 'exhausted',
	/** There is no candidate. */
	None = 'none',
}

export type RouteChoice
	= | {readonly type: RouteType.Send; readonly candidate: Candidate}
		| {readonly type: RouteType.Shed | RouteType.Exhausted | RouteType.None};

/** What the candidates of a step had in common when the node was chosen among them. */
export enum RoutePool {
	/** The nearest ones with headroom and a responsive upstream. */
	NearestWithHeadroom = 'nearest-with-headroom',
	/** The nearest ones with headroom; no responsive upstream has any. */
	UnresponsiveWithHeadroom = 'unresponsive-with-headroom',
	/** None has headroom: the reachable ones of the own region, else any of the own region, else any. */
	WithoutHeadroom = 'without-headroom',
}

/** The better of two random candidates, and those it was compared with. */
export type PairChoice = {
	readonly candidate: Candidate;
	readonly rule: PlacementRule;
	/** The two candidates that were drawn; twice the same where there is only one. */
	readonly pair: readonly [Candidate, Candidate];
	/** The candidates from which the two were drawn. */
	readonly drawnFrom: readonly Candidate[];
};

/** How the node was chosen. */
export type RoutePick = PairChoice & {
	readonly pool: RoutePool;
	/** The best of the nearest distance, where a farther candidate was chosen in its place. */
	readonly leftNearest: PairChoice | undefined;
};

/** Candidates that passed each step of the decision; undefined for steps that were not reached. */
export type RouteSteps = {
	/** Candidates that are not draining and that the call may reach. */
	readonly eligible: readonly Candidate[];
	/** Those that are not known to refuse the priority. */
	readonly admitting?: readonly Candidate[];
	/** Those with a responsive upstream, or all of them for a trial or where there is none. */
	readonly responsive?: readonly Candidate[];
};

/** A choice with its steps. */
export type RouteDecision = {
	readonly choice: RouteChoice;
	readonly steps: RouteSteps;
	/** Present when the call is sent. */
	readonly pick?: RoutePick;
};

/** What a choice depends on besides the request. */
export type RouteContext = {
	/** Candidates of the service. */
	readonly candidates: readonly Candidate[];
	readonly loads: PeerLoads;
	/** Undefined while cost-aware placement is disabled. */
	readonly ends: ExpectedEnds | undefined;
	/** Uniformly distributed numbers in [0, 1). */
	readonly random: () => number;
};

/**
 * Decides where a call goes.
 *
 * @param now - milliseconds on the clock of the node
 * @example
 * decideRoute(request, {candidates, loads, ends: undefined, random}, now).choice; // {type: RouteType.Send, candidate}
 */
export function decideRoute(request: RoutingRequest, context: RouteContext, now: number): RouteDecision {
	const eligible = eligibleCandidates(request, context);
	if (eligible.length === 0) {
		return {choice: {type: RouteType.None}, steps: {eligible}};
	}

	const untried = eligible.filter(({member}) => !request.excluded.has(member.name));
	if (untried.length === 0) {
		return {choice: {type: RouteType.Exhausted}, steps: {eligible}};
	}

	const admitting = untried.filter(candidate => isAdmitting(candidate, request, context.loads, now));
	const isShed = request.importance !== Importance.Critical && lowestLevelOf(context, request.kind, now) > request.priority;
	if (admitting.length === 0 || isShed) {
		return {choice: {type: RouteType.Shed}, steps: {eligible, admitting}};
	}

	const responsive = responsiveCandidates(admitting, request.kind, context, now);
	const pick = nearestWithHeadroom(responsive, request, context, now)
		?? asUnresponsive(nearestWithHeadroom(admitting, request, context, now))
		?? leastLoaded(responsive, request, context, now);
	return {choice: {type: RouteType.Send, candidate: pick.candidate}, steps: {eligible, admitting, responsive}, pick};
}

/** The one with more headroom of two random candidates, including those that already refused the call; undefined without any. */
export function pickMostHeadroom(request: RoutingRequest, context: RouteContext, now: number): RoutePick | undefined {
	const eligible = eligibleCandidates(request, context);
	return eligible.length === 0 ? undefined : leastLoaded(responsiveCandidates(eligible, request.kind, context, now), request, context, now);
}

/**
 * Lowest priority that the candidates are known to admit for the kind, so that the entry node refuses calls below it
 * without sending them. The own level of a single candidate is not enough, since that candidate may be the only slow one. A lack
 * of capacity downstream affects all candidates. Each candidate knows the downstream level of a different moment, so
 * the mean of their reports is the best estimate of the current one.
 */
export function lowestLevelOf({candidates, loads}: Pick<RouteContext, 'candidates' | 'loads'>, kind: string, now: number): number {
	const levels = candidates.flatMap(({member}) => loads.level(member.name, kind, now) ?? []);
	const downstream = levels.length === 0 ? 0 : Math.round(levels.reduce((sum, level) => sum + level.downstream, 0) / levels.length);
	const isOwnKnown = levels.length >= Math.min(minimumKnownLevels, candidates.length) && levels.length > 0;
	return Math.max(downstream, isOwnKnown ? Math.min(...levels.map(level => level.own)) : 0);
}

/** Whether the region of the candidate is closed to the call. */
export function isBeyondRegion({distance}: Candidate, {crossRegion}: RoutingRequest): boolean {
	return !crossRegion && distance === Distance.OtherRegion;
}

/** Whether the upstream of the peer has recently answered and accepted enough of the calls of the kind. */
export function isResponsive({member: {name}}: Candidate, kind: string, loads: PeerLoads, now: number): boolean {
	return loads.unansweredShare(name, kind, now) < maximumUnansweredShare && loads.refusedShare(name, kind, now) < maximumRefusedShare;
}

function eligibleCandidates(request: RoutingRequest, {candidates, loads}: RouteContext): Candidate[] {
	return candidates.filter(candidate => !loads.isDraining(candidate.member.name) && !isBeyondRegion(candidate, request));
}

function isAdmitting({member}: Candidate, {importance, priority, kind}: RoutingRequest, loads: PeerLoads, now: number): boolean {
	return importance === Importance.Critical || (loads.level(member.name, kind, now)?.own ?? 0) <= priority;
}

/**
 * Candidates with a responsive upstream, or all if there is none. A slow or broken upstream ends its calls without an
 * answer, and one that sheds load refuses them at once, so both always report headroom and would attract the traffic.
 * This answers a load under which one upstream of the nearest group fails many of its calls while others have room.
 */
function responsiveCandidates(candidates: readonly Candidate[], kind: string, {loads, random}: RouteContext, now: number): readonly Candidate[] {
	const responsive = candidates.filter(candidate => isResponsive(candidate, kind, loads, now));
	const isTrial = responsive.length < candidates.length && random() < trialShare;
	return responsive.length === 0 || isTrial ? candidates : responsive;
}

function nearestWithHeadroom(candidates: readonly Candidate[], request: RoutingRequest, context: RouteContext, now: number): RoutePick | undefined {
	const {loads} = context;
	const withHeadroom = candidates.filter(({member}) => loads.headroom(member.name, now) > 0 && !loads.isUnreachable(member.name, now));
	const [nearest, ...farther] = distances.map(distance => withHeadroom.filter(candidate => candidate.distance === distance)).filter(group => group.length > 0);
	if (nearest === undefined) {
		return undefined;
	}

	const best = betterOfTwo(nearest, request, context, now);
	const beyond = soonerBeyond(best.candidate, farther, request, context, now);
	return beyond === undefined ? toPick(best, RoutePool.NearestWithHeadroom) : toPick(beyond, RoutePool.NearestWithHeadroom, best);
}

function asUnresponsive(pick: RoutePick | undefined): RoutePick | undefined {
	return pick === undefined ? undefined : toPick(pick, RoutePool.UnresponsiveWithHeadroom, pick.leftNearest);
}

/** Written out field by field, because spreading objects made each choice a third slower. */
function toPick({candidate, rule, pair, drawnFrom}: PairChoice, pool: RoutePool, leftNearest?: PairChoice): RoutePick {
	return {
		candidate, rule, pair, drawnFrom, pool, leftNearest,
	};
}

/** Without headroom anywhere: a reachable candidate of the own region, else any of the own region, else any candidate. */
function leastLoaded(candidates: readonly Candidate[], request: RoutingRequest, context: RouteContext, now: number): RoutePick {
	const near = candidates.filter(candidate => candidate.distance !== Distance.OtherRegion);
	const reachable = near.filter(({member}) => !context.loads.isUnreachable(member.name, now));
	const group = [reachable, near, candidates].find(({length}) => length > 0)!;
	return toPick(betterOfTwo(group, request, context, now), RoutePool.WithoutHeadroom);
}

/** A candidate of the own region beyond the nearest distance whose expected end is sooner by more than the cost of the distance. */
function soonerBeyond(nearest: Candidate, farther: ReadonlyArray<readonly Candidate[]>, request: RoutingRequest, context: RouteContext, now: number): PairChoice | undefined {
	const nearestEnd = expectedEnd(nearest, request, context, now);
	const groups = farther.filter(([candidate]) => candidate!.distance !== Distance.OtherRegion);
	if (nearestEnd === undefined || groups.length === 0) {
		return undefined;
	}

	const bound = (nearestEnd * (1 - distanceCostShare)) - distanceCostMilliseconds;
	const chosen = groups.map(group => betterOfTwo(group, request, context, now))
		.find(({candidate}) => (expectedEnd(candidate, request, context, now) ?? Infinity) < bound);
	return chosen === undefined ? undefined : {...chosen, rule: PlacementRule.LeftNearest};
}

function betterOfTwo(group: readonly Candidate[], request: RoutingRequest, context: RouteContext, now: number): PairChoice {
	const {loads, random} = context;
	const first = group[Math.floor(random() * group.length)]!;
	const others = group.filter(candidate => candidate !== first);
	const second = others.length === 0 ? first : others[Math.floor(random() * others.length)]!;
	const pair = [first, second] as const;
	const firstEnd = expectedEnd(first, request, context, now);
	const secondEnd = expectedEnd(second, request, context, now);
	const isKnown = firstEnd !== undefined && secondEnd !== undefined;
	if (isKnown && Math.abs(firstEnd - secondEnd) > equalEndsShare * Math.max(firstEnd, secondEnd)) {
		return {
			candidate: firstEnd <= secondEnd ? first : second, rule: PlacementRule.ExpectedEnd, pair, drawnFrom: group,
		};
	}

	const isFirstBetter = loads.headroom(first.member.name, now) >= loads.headroom(second.member.name, now);
	return {
		candidate: isFirstBetter ? first : second, rule: PlacementRule.Headroom, pair, drawnFrom: group,
	};
}

function expectedEnd({member: {name}}: Candidate, {kind, bodyBytes}: RoutingRequest, {ends, loads}: RouteContext, now: number): number | undefined {
	return ends?.expected(name, kind, bodyBytes ?? 0, loads.room(name, now), now);
}
