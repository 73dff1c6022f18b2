/**
 * Chooses the serving node of a call: among the nearest nodes with headroom and a responsive upstream, the better of two
 * random choices.
 *
 * @module
 */
import {Importance} from '../importance.js';
import type {Location, Member} from '../membership/member.js';
import {
	chooseCandidates, Distance, distances, type Candidate,
} from './candidates.js';
import {ExpectedEnds} from './expected-end.js';
import {PeerLoads} from './peer-loads.js';

const minimumKnownLevels = 2;
const maximumUnansweredShare = 0.5;
const maximumRefusedShare = 0.2;

/** Share of calls that may go to an unresponsive peer, to detect its recovery. */
const trialShare = 0.03;

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

/** Rule by which a serving node was chosen while cost-aware placement was enabled. */
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

type RuledChoice = {readonly candidate: Candidate; readonly rule: PlacementRule};

/**
 * Routes calls to the nodes that serve their service.
 *
 * @example
 * const router = new Router({name: 'node-1', location}, () => generator.next());
 * router.setMembers(members);
 * router.route(request, now); // {type: RouteType.Send, candidate}
 */
export class Router {
	readonly loads = new PeerLoads();
	/** Expected ends of calls; undefined while cost-aware placement is disabled. */
	readonly ends: ExpectedEnds | undefined;
	readonly #choices = new Map<PlacementRule, number>();
	readonly #own: {readonly name: string; readonly location: Location};
	readonly #random: () => number;
	#members: readonly Member[] = [];
	#candidates = new Map<string, Candidate[]>();

	constructor(own: {readonly name: string; readonly location: Location}, random: () => number, isCostAware = false) {
		this.#own = own;
		this.#random = random;
		this.ends = isCostAware ? new ExpectedEnds() : undefined;
	}

	/** Number of choices by rule; empty while cost-aware placement is disabled. */
	get choices(): ReadonlyMap<PlacementRule, number> {
		return this.#choices;
	}

	setMembers(members: readonly Member[]): void {
		members.map(member => {
			this.loads.updateMember(member);
		});
		this.#members = members;
		this.#candidates = new Map();
		const names = new Set(members.map(member => member.name));
		this.loads.keepOnly(names);
		this.ends?.keepOnly(names);
	}

	candidates(service: string): readonly Candidate[] {
		const known = this.#candidates.get(service);
		if (known !== undefined) {
			return known;
		}

		const chosen = chooseCandidates(this.#own, service, this.#members);
		this.#candidates.set(service, chosen);
		return chosen;
	}

	route(request: RoutingRequest, now: number): RouteChoice {
		const all = this.#eligible(request);
		if (all.length === 0) {
			return {type: RouteType.None};
		}

		const untried = all.filter(({member}) => !request.excluded.has(member.name));
		if (untried.length === 0) {
			return {type: RouteType.Exhausted};
		}

		const admitting = request.importance === Importance.Critical
			? untried
			: untried.filter(({member}) => (this.loads.level(member.name, request.kind, now)?.own ?? 0) <= request.priority);
		const isShed = request.importance !== Importance.Critical && this.lowestLevel(request.service, request.kind, now) > request.priority;
		if (admitting.length === 0 || isShed) {
			return {type: RouteType.Shed};
		}

		const responsive = this.#responsive(admitting, request.kind, now);
		const candidate = this.#nearestWithHeadroom(responsive, request, now) ?? this.#nearestWithHeadroom(admitting, request, now) ?? this.#leastLoaded(responsive, request, now);
		return {type: RouteType.Send, candidate};
	}

	/**
	 * Lowest priority that the candidates are known to admit for the kind, so that the entry node refuses calls below it
	 * without sending them. The own level of a single candidate is not enough, since that candidate may be the only slow one. A lack
	 * of capacity downstream affects all candidates. Each candidate knows the downstream level of a different moment, so
	 * the mean of their reports is the best estimate of the current one.
	 */
	lowestLevel(service: string, kind: string, now: number): number {
		const candidates = this.candidates(service);
		const levels = candidates.flatMap(({member}) => this.loads.level(member.name, kind, now) ?? []);
		const downstream = levels.length === 0 ? 0 : Math.round(levels.reduce((sum, level) => sum + level.downstream, 0) / levels.length);
		const isOwnKnown = levels.length >= Math.min(minimumKnownLevels, candidates.length) && levels.length > 0;
		return Math.max(downstream, isOwnKnown ? Math.min(...levels.map(level => level.own)) : 0);
	}

	/** The one with more headroom of two random candidates, including those that already refused the call. */
	mostHeadroom(request: RoutingRequest, now: number): Candidate | undefined {
		const all = this.#eligible(request);
		return all.length === 0 ? undefined : this.#leastLoaded(this.#responsive(all, request.kind, now), request, now);
	}

	#eligible(request: RoutingRequest): Candidate[] {
		return this.candidates(request.service)
			.filter(({member, distance}) => !this.loads.isDraining(member.name) && (request.crossRegion || distance !== Distance.OtherRegion));
	}

	/**
	 * Candidates with a responsive upstream, or all if there is none. A slow or broken upstream ends its calls without an
	 * answer, and one that sheds load refuses them at once, so both always report headroom and would attract the traffic.
	 * This answers a load under which one upstream of the nearest group fails many of its calls while others have room.
	 */
	#responsive(candidates: readonly Candidate[], kind: string, now: number): readonly Candidate[] {
		const responsive = candidates.filter(({member: {name}}) => this.loads.unansweredShare(name, kind, now) < maximumUnansweredShare
			&& this.loads.refusedShare(name, kind, now) < maximumRefusedShare);
		const isTrial = responsive.length < candidates.length && this.#random() < trialShare;
		return responsive.length === 0 || isTrial ? candidates : responsive;
	}

	#nearestWithHeadroom(candidates: readonly Candidate[], request: RoutingRequest, now: number): Candidate | undefined {
		const withHeadroom = candidates.filter(({member}) => this.loads.headroom(member.name, now) > 0 && !this.loads.isUnreachable(member.name, now));
		const [nearest, ...farther] = distances.map(distance => withHeadroom.filter(candidate => candidate.distance === distance)).filter(group => group.length > 0);
		if (nearest === undefined) {
			return undefined;
		}

		const best = this.#betterOfTwo(nearest, request, now);
		const beyond = this.#soonerBeyond(best.candidate, farther, request, now);
		return this.#count(beyond ?? best);
	}

	/** Without headroom anywhere: a reachable candidate of the own region, else any of the own region, else any candidate. */
	#leastLoaded(candidates: readonly Candidate[], request: RoutingRequest, now: number): Candidate {
		const near = candidates.filter(candidate => candidate.distance !== Distance.OtherRegion);
		const reachable = near.filter(({member}) => !this.loads.isUnreachable(member.name, now));
		const pool = [reachable, near, candidates].find(group => group.length > 0)!;
		return this.#count(this.#betterOfTwo(pool, request, now));
	}

	/** A candidate of the own region beyond the nearest distance whose expected end is sooner by more than the cost of the distance. */
	#soonerBeyond(nearest: Candidate, farther: ReadonlyArray<readonly Candidate[]>, request: RoutingRequest, now: number): RuledChoice | undefined {
		const nearestEnd = this.#expectedEnd(nearest, request, now);
		const groups = farther.filter(([candidate]) => candidate!.distance !== Distance.OtherRegion);
		if (nearestEnd === undefined || groups.length === 0) {
			return undefined;
		}

		const bound = (nearestEnd * (1 - distanceCostShare)) - distanceCostMilliseconds;
		const chosen = groups.map(group => this.#betterOfTwo(group, request, now))
			.find(({candidate}) => (this.#expectedEnd(candidate, request, now) ?? Infinity) < bound);
		return chosen === undefined ? undefined : {...chosen, rule: PlacementRule.LeftNearest};
	}

	#betterOfTwo(group: readonly Candidate[], request: RoutingRequest, now: number): RuledChoice {
		const first = group[Math.floor(this.#random() * group.length)]!;
		const others = group.filter(candidate => candidate !== first);
		const second = others.length === 0 ? first : others[Math.floor(this.#random() * others.length)]!;
		const firstEnd = this.#expectedEnd(first, request, now);
		const secondEnd = this.#expectedEnd(second, request, now);
		const isKnown = firstEnd !== undefined && secondEnd !== undefined;
		if (isKnown && Math.abs(firstEnd - secondEnd) > equalEndsShare * Math.max(firstEnd, secondEnd)) {
			return {candidate: firstEnd <= secondEnd ? first : second, rule: PlacementRule.ExpectedEnd};
		}

		const isFirstBetter = this.loads.headroom(first.member.name, now) >= this.loads.headroom(second.member.name, now);
		return {candidate: isFirstBetter ? first : second, rule: PlacementRule.Headroom};
	}

	#expectedEnd({member: {name}}: Candidate, {kind, bodyBytes}: RoutingRequest, now: number): number | undefined {
		return this.ends?.expected(name, kind, bodyBytes ?? 0, this.loads.room(name, now), now);
	}

	#count({candidate, rule}: RuledChoice): Candidate {
		if (this.ends !== undefined) {
			this.#choices.set(rule, (this.#choices.get(rule) ?? 0) + 1);
		}

		return candidate;
	}
}
