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
import {PeerLoads} from './peer-loads.js';

const minimumKnownLevels = 2;
const maximumUnansweredShare = 0.5;
const maximumRefusedShare = 0.2;

/** Share of calls that may go to an unresponsive peer, to detect its recovery. */
const trialShare = 0.03;

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
};

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
	readonly #own: {readonly name: string; readonly location: Location};
	readonly #random: () => number;
	#members: readonly Member[] = [];
	#candidates = new Map<string, Candidate[]>();

	constructor(own: {readonly name: string; readonly location: Location}, random: () => number) {
		this.#own = own;
		this.#random = random;
	}

	setMembers(members: readonly Member[]): void {
		members.map(member => {
			this.loads.updateMember(member);
		});
		this.#members = members;
		this.#candidates = new Map();
		this.loads.keepOnly(new Set(members.map(member => member.name)));
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
		const candidate = this.#nearestWithHeadroom(responsive, now) ?? this.#nearestWithHeadroom(admitting, now) ?? this.#leastLoaded(responsive, now);
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
		return all.length === 0 ? undefined : this.#leastLoaded(this.#responsive(all, request.kind, now), now);
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

	#nearestWithHeadroom(candidates: readonly Candidate[], now: number): Candidate | undefined {
		const withHeadroom = candidates.filter(({member}) => this.loads.headroom(member.name, now) > 0 && !this.loads.isUnreachable(member.name, now));
		const nearest = distances.map(distance => withHeadroom.filter(candidate => candidate.distance === distance)).find(group => group.length > 0);
		return nearest === undefined ? undefined : this.#betterOfTwo(nearest, now);
	}

	/** Without headroom anywhere: a reachable candidate of the own region, else any of the own region, else any candidate. */
	#leastLoaded(candidates: readonly Candidate[], now: number): Candidate {
		const near = candidates.filter(candidate => candidate.distance !== Distance.OtherRegion);
		const reachable = near.filter(({member}) => !this.loads.isUnreachable(member.name, now));
		const pool = [reachable, near, candidates].find(group => group.length > 0)!;
		return this.#betterOfTwo(pool, now);
	}

	#betterOfTwo(group: readonly Candidate[], now: number): Candidate {
		const first = group[Math.floor(this.#random() * group.length)]!;
		const others = group.filter(candidate => candidate !== first);
		if (others.length === 0) {
			return first;
		}

		const second = others[Math.floor(this.#random() * others.length)]!;
		return this.loads.headroom(first.member.name, now) >= this.loads.headroom(second.member.name, now) ? first : second;
	}
}
