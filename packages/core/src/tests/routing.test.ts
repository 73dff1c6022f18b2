import {test} from 'tap';
import {
	Importance, Router, RouteType, type Member, type RoutingRequest, type ServingState,
} from '../index.js';
import {createMember} from './fixtures.js';

const member = (name: string, failureDomain: string): Member => createMember(name, {location: {region: 'r', failureDomain}, service: 'deep', slots: 30});

const request: RoutingRequest = {
	service: 'deep', kind: 'fetch', importance: Importance.Normal, priority: 200, crossRegion: true, excluded: new Set(),
};

const serving = (changes: Partial<ServingState> = {}): ServingState => ({
	headroom: 3, level: 0, downstreamLevel: 0, draining: false, revision: 1, servedMilliseconds: 5, ...changes,
});

function createRouter(members: readonly Member[]): Router {
	let turn = 0;
	const router = new Router({name: 'entry', location: {region: 'r', failureDomain: 'a'}}, () => {
		turn += 0.37;
		return turn % 1;
	});
	router.setMembers(members);
	return router;
}

function answer(router: Router, name: string, state: ServingState, now: number): void {
	router.loads.callSent(name);
	router.loads.callAnswered(name, 'fetch', state, 6, now);
}

test('a new peer without a report receives calls if its assumed headroom exceeds the reported headroom of another', async t => {
	const router = createRouter([member('known', 'a'), member('new', 'a')]);
	answer(router, 'known', serving({headroom: 3}), 1000);
	const choice = router.route(request, 1010);
	t.match(choice, {type: RouteType.Send, candidate: {member: {name: 'new'}}});
});

test('the entry node refuses a call if one peer reported a downstream level above its priority, but not if it reported only its own level', async t => {
	const router = createRouter([member('near', 'a'), member('other', 'b')]);
	answer(router, 'near', serving({level: 250}), 1000);
	t.match(router.route(request, 1010), {type: RouteType.Send, candidate: {member: {name: 'other'}}});
	answer(router, 'near', serving({downstreamLevel: 250}), 1020);
	t.equal(router.route(request, 1030).type, RouteType.Shed);
	t.equal(router.route({...request, importance: Importance.Critical}, 1030).type, RouteType.Send);
	t.equal(router.route(request, 1700).type, RouteType.Send, 'the reported level has expired');
});

test('the entry node refuses a call if two peers reported an own level above its priority', async t => {
	const router = createRouter([member('near', 'a'), member('other', 'b'), member('third', 'b')]);
	answer(router, 'near', serving({level: 250}), 1000);
	answer(router, 'other', serving({level: 240}), 1000);
	t.equal(router.lowestLevel('deep', 'fetch', 1010), 240);
	t.equal(router.route(request, 1010).type, RouteType.Shed);
});

test('the downstream level is the mean of the reports of the peers, so one outdated report does not determine it', async t => {
	const router = createRouter([member('near', 'a'), member('other', 'b'), member('stale', 'b')]);
	answer(router, 'near', serving({downstreamLevel: 240}), 1000);
	answer(router, 'other', serving({downstreamLevel: 240}), 1000);
	answer(router, 'stale', serving({downstreamLevel: 150}), 1000);
	t.equal(router.lowestLevel('deep', 'fetch', 1010), 210);
	t.equal(router.route(request, 1010).type, RouteType.Shed);
});

test('a peer whose upstream does not answer receives only a few trial calls until the upstream answers again', async t => {
	const router = createRouter([member('silent', 'a'), member('other', 'b')]);
	const chosen = (count: number, now: number): number => Array.from({length: count}, () => router.route(request, now))
		.filter(choice => choice.type === RouteType.Send && choice.candidate.member.name === 'silent').length;
	answer(router, 'other', serving(), 1000);
	t.equal(chosen(100, 1000), 100, 'the nearest');
	[1, 2, 3].map(() => {
		router.loads.recordUpstreamOutcome('silent', 'fetch', false, 1000);
		return undefined;
	});
	t.ok(chosen(100, 1010) < 10, 'a few trials');
	t.ok(chosen(100, 1010) > 0, 'a few trials');
	t.equal(chosen(100, 10_000), 100, 'the record of unanswered calls has decayed');
	[1, 2, 3].map(() => {
		router.loads.recordUpstreamOutcome('silent', 'fetch', false, 10_000);
		return undefined;
	});
	router.loads.recordUpstreamOutcome('silent', 'fetch', true, 10_010);
	router.loads.recordUpstreamOutcome('silent', 'fetch', true, 10_020);
	t.equal(chosen(100, 10_030), 100, 'the upstream answers again');
});

test('if no upstream answers, calls still go to the nearest peer', async t => {
	const router = createRouter([member('near', 'a'), member('other', 'b')]);
	['near', 'other', 'near', 'other'].map(name => {
		router.loads.recordUpstreamOutcome(name, 'fetch', false, 1000);
		return name;
	});
	t.match(router.route(request, 1010), {type: RouteType.Send, candidate: {member: {name: 'near'}}});
	t.match(router.mostHeadroom(request, 1010), {member: {}});
});
