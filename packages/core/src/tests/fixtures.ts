/**
 * Members and at-most-once work as several tests need them.
 *
 * @module
 */
import {
	Liveness, AtMostOnceCoordinator, UpstreamState, type Member, type AtMostOnceDefinition,
} from '../index.js';

/** A ready member of service `s` in a failure domain of its own. */
export function createMember(name: string, changes: Partial<Member> = {}): Member {
	return {
		name,
		incarnation: 1,
		version: 1,
		location: {region: 'r', failureDomain: name},
		host: name,
		callersPort: 1,
		peersPort: 2,
		controlPort: 3,
		service: 's',
		state: UpstreamState.Ready,
		slots: 4,
		liveness: Liveness.Alive,
		...changes,
	};
}

/** At-most-once work of service `s` at the node of the given name. */
export function createAtMostOnceCoordinator(name: string, members: readonly Member[], changes: Partial<AtMostOnceDefinition> = {}): AtMostOnceCoordinator {
	const once = new AtMostOnceCoordinator({
		own: {name, incarnation: 1},
		limits: {maximumClaims: 2, maximumAnswerBytes: 1000},
		wallClock: () => 0,
		random: () => 0.5,
		rememberForMilliseconds: () => 60_000,
		clockErrorMilliseconds: 10,
		longestCallMilliseconds: 1000,
		storeOutageLimitMilliseconds: 1500,
		...changes,
	});
	once.setService('s', true);
	once.setMembers(members);
	return once;
}
