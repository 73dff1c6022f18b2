/**
 * Chooses the serving node of a call: among the nearest nodes with headroom and a responsive upstream, the better of two
 * random choices.
 *
 * @module
 */
import type {Location, Member} from '../membership/member.js';
import {chooseCandidates, type Candidate} from './candidates.js';
import {ExpectedEnds} from './expected-end.js';
import {PeerLoads} from './peer-loads.js';
import {
	decideRoute, lowestLevelOf, pickMostHeadroom, type PlacementRule, type RouteChoice, type RouteContext, type RouteDecision, type RoutePick, type RoutingRequest,
} from './route-choice.js';

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
		const {choice, pick} = decideRoute(request, this.#contextOf(request.service), now);
		this.#count(pick);
		return choice;
	}

	/**
	 * The decision that `route` would take with the given random numbers. It counts nothing and takes none of the router's own
	 * random numbers.
	 */
	decide(request: RoutingRequest, random: () => number, now: number): RouteDecision {
		return decideRoute(request, {...this.#contextOf(request.service), random}, now);
	}

	/** Lowest priority that the candidates are known to admit for the kind. */
	lowestLevel(service: string, kind: string, now: number): number {
		return lowestLevelOf({candidates: this.candidates(service), loads: this.loads}, kind, now);
	}

	/** The one with more headroom of two random candidates, including those that already refused the call. */
	mostHeadroom(request: RoutingRequest, now: number): Candidate | undefined {
		const pick = pickMostHeadroom(request, this.#contextOf(request.service), now);
		this.#count(pick);
		return pick?.candidate;
	}

	#contextOf(service: string): RouteContext {
		return {
			candidates: this.candidates(service), loads: this.loads, ends: this.ends, random: this.#random,
		};
	}

	#count(pick: RoutePick | undefined): void {
		if (this.ends !== undefined && pick !== undefined) {
			this.#choices.set(pick.rule, (this.#choices.get(pick.rule) ?? 0) + 1);
		}
	}
}
