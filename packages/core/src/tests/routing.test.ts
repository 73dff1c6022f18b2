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

test('a newcomer of which nothing is known is tried beside a busy one', async t => {
	const router = createRouter([member('known', 'a'), member('new', 'a')]);
	answer(router, 'known', serving({headroom: 3}), 1000);
	const choice = router.route(request, 1010);
	t.match(choice, {type: RouteType.Send, candidate: {member: {name: 'new'}}});
});

test('want of room below one peer is enough to refuse at the entry, want of its own room is not', async t => {
	const router = createRouter([member('near', 'a'), member('other', 'b')]);
	answer(router, 'near', serving({level: 250}), 1000);
	t.match(router.route(request, 1010), {type: RouteType.Send, candidate: {member: {name: 'other'}}});
	answer(router, 'near', serving({downstreamLevel: 250}), 1020);
	t.equal(router.route(request, 1030).type, RouteType.Shed);
	t.equal(router.route({...request, importance: Importance.Critical}, 1030).type, RouteType.Send);
	t.equal(router.route(request, 1700).type, RouteType.Send, 'what was known has grown old');
});

test('the entry refuses when two peers have said that they have no room', async t => {
	const router = createRouter([member('near', 'a'), member('other', 'b'), member('third', 'b')]);
	answer(router, 'near', serving({level: 250}), 1000);
	answer(router, 'other', serving({level: 240}), 1000);
	t.equal(router.lowestLevel('deep', 'fetch', 1010), 240);
	t.equal(router.route(request, 1010).type, RouteType.Shed);
});

test('want of room below is the mean of what the peers say, not the least that one of them still believes', async t => {
	const router = createRouter([member('near', 'a'), member('other', 'b'), member('stale', 'b')]);
	answer(router, 'near', serving({downstreamLevel: 240}), 1000);
	answer(router, 'other', serving({downstreamLevel: 240}), 1000);
	answer(router, 'stale', serving({downstreamLevel: 150}), 1000);
	t.equal(router.lowestLevel('deep', 'fetch', 1010), 210);
	t.equal(router.route(request, 1010).type, RouteType.Shed);
});

test('an upstream that answers nothing is passed over, though it has the most room, until it answers again', async t => {
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
	t.equal(chosen(100, 10_000), 100, 'what was known has grown old');
	[1, 2, 3].map(() => {
		router.loads.recordUpstreamOutcome('silent', 'fetch', false, 10_000);
		return undefined;
	});
	router.loads.recordUpstreamOutcome('silent', 'fetch', true, 10_010);
	router.loads.recordUpstreamOutcome('silent', 'fetch', true, 10_020);
	t.equal(chosen(100, 10_030), 100, 'it answers again');
});

test('where no upstream answers none is passed over', async t => {
	const router = createRouter([member('near', 'a'), member('other', 'b')]);
	['near', 'other', 'near', 'other'].map(name => {
		router.loads.recordUpstreamOutcome(name, 'fetch', false, 1000);
		return name;
	});
	t.match(router.route(request, 1010), {type: RouteType.Send, candidate: {member: {name: 'near'}}});
	t.match(router.mostHeadroom(request, 1010), {member: {}});
});
