/**
 * Members and at-most-once coordinators for tests.
 *
 * @module
 */
import {
	Liveness, AtMostOnceCoordinator, UpstreamState, type Member, type AtMostOnceDefinition,
} from '../index.js';

/** Creates a ready member of service `s` in its own failure domain. */
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

/** Creates the at-most-once coordinator of service `s` at the named node. */
export function createAtMostOnceCoordinator(name: string, members: readonly Member[], changes: Partial<AtMostOnceDefinition> = {}): AtMostOnceCoordinator {
	const coordinator = new AtMostOnceCoordinator({
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
	coordinator.setService('s', true);
	coordinator.setMembers(members);
	return coordinator;
}
