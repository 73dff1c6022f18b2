/**
 * Picks the node that serves a call: the nearest with room whose upstream answers, by the better of two random choices.
 *
 * @module
 */
import {Importance} from '../importance.js';
import type {Location, Member} from '../membership/member.js';
import {
	chooseCandidates, Distance, distances, type Candidate,
} from './candidates.js';
import {PeerLoads} from './peer-loads.js';

const fewestLevels = 2;
const mostLost = 0.5;

/** Share of the calls that pass over no peer, so that an upstream's recovery is seen. */
const trialShare = 0.03;

/** What the router needs to know of a call. */
export type RoutingRequest = {
	readonly service: string;
	readonly kind: string;
	readonly importance: Importance;
	readonly priority: number;
	/** Whether the call may leave the region. */
	readonly crossRegion: boolean;
	/** Names of nodes that have refused or failed this call. */
	readonly excluded: ReadonlySet<string>;
};

export enum RouteType {
	/** Send the call to the candidate. */
	Send = 'send',
	/** Every candidate said lately that it does not admit the priority. */
	Shed = 'shed',
	/** Every candidate has been tried. */
	Exhausted = 'exhausted',
	/** No candidate exists. */
	None = 'none',
}

/** Answer of the router. */
export type RouteChoice
	= | {readonly type: RouteType.Send; readonly candidate: Candidate}
		| {readonly type: RouteType.Shed | RouteType.Exhausted | RouteType.None};

/**
 * Routes calls to services.
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
			this.loads.noteMember(member);
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
		const all = this.#permitted(request);
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

		const answering = this.#answering(admitting, request.kind, now);
		const candidate = this.#nearestWithRoom(answering, now) ?? this.#nearestWithRoom(admitting, now) ?? this.#leastLoaded(answering, now);
		return {type: RouteType.Send, candidate};
	}

	/**
	 * Level below which the candidates refuse the kind, as far as it is known: an entry need not ask. One candidate's
	 * want of room says nothing of the others, since it may be the slow one of many; what is short below is short for all. Each
	 * candidate knows of it as of another moment, so the mean of what they say is nearest to what is so now.
	 */
	lowestLevel(service: string, kind: string, now: number): number {
		const candidates = this.candidates(service);
		const levels = candidates.flatMap(({member}) => this.loads.level(member.name, kind, now) ?? []);
		const below = levels.length === 0 ? 0 : Math.round(levels.reduce((sum, level) => sum + level.below, 0) / levels.length);
		const isOwnKnown = levels.length >= Math.min(fewestLevels, candidates.length) && levels.length > 0;
		return Math.max(below, isOwnKnown ? Math.min(...levels.map(level => level.own)) : 0);
	}

	/** The candidate with the most room, whether it has refused before or not. */
	mostHeadroom(request: RoutingRequest, now: number): Candidate | undefined {
		const all = this.#permitted(request);
		return all.length === 0 ? undefined : this.#leastLoaded(this.#answering(all, request.kind, now), now);
	}

	#permitted(request: RoutingRequest): Candidate[] {
		return this.candidates(request.service)
			.filter(({member, distance}) => !this.loads.isDraining(member.name) && (request.crossRegion || distance !== Distance.OtherRegion));
	}

	/** An upstream that is slow or broken ends its calls without an answer and so always has room; it is passed over while others answer. */
	#answering(candidates: readonly Candidate[], kind: string, now: number): readonly Candidate[] {
		const answering = candidates.filter(({member}) => this.loads.unansweredShare(member.name, kind, now) < mostLost);
		const isTrial = answering.length < candidates.length && this.#random() < trialShare;
		return answering.length === 0 || isTrial ? candidates : answering;
	}

	#nearestWithRoom(candidates: readonly Candidate[], now: number): Candidate | undefined {
		const withRoom = candidates.filter(({member}) => this.loads.headroom(member.name, now) > 0 && !this.loads.isUnreachable(member.name, now));
		const nearest = distances.map(distance => withRoom.filter(candidate => candidate.distance === distance)).find(group => group.length > 0);
		return nearest === undefined ? undefined : this.#betterOfTwo(nearest, now);
	}

	/** With no room known anywhere, the best of the own region, or else the best of all. */
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
