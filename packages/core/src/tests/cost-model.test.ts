import {test} from 'tap';
import {
	CostModel, MachineSpeed, Router, type Member, type RoutingRequest, Importance, type ServingState,
} from '../index.js';
import {createMember} from './fixtures.js';

const record = (costs: CostModel, kind: string, bodyBytes: number, values: readonly number[], now: number): void => {
	values.map(value => {
		costs.record(kind, bodyBytes, value, now);
		return value;
	});
};

const repeat = (count: number, value: number): number[] => Array.from({length: count}, () => value);

test('a call that has run for long has more work left, not less', async t => {
	const costs = new CostModel();
	record(costs, 'k', 0, [...repeat(97, 20), ...repeat(3, 140)], 0);
	t.ok(Math.abs(costs.expected('k', 0) - 23.6) < 0.1, 'mean');
	t.ok(Math.abs(costs.remaining('k', 0, 0, 0) - 23.6) < 0.1, 'a new call');
	t.ok(costs.remaining('k', 0, 40, 0) > 80, 'a call in the tail');
	t.ok(costs.remaining('k', 0, 1000, 0) > 500, 'longer than any known call');
});

test('an unknown size class has the cost of its kind, and an unknown kind that of the service', async t => {
	const costs = new CostModel();
	t.equal(costs.expected('k', 0), 0);
	record(costs, 'small', 0, repeat(20, 10), 0);
	record(costs, 'small', 100_000, repeat(20, 50), 0);
	t.ok(Math.abs(costs.expected('small', 100_000) - 50) < 0.1);
	t.ok(Math.abs(costs.expected('small', 2_000_000) - 30) < 0.1, 'of the kind');
	t.ok(Math.abs(costs.expected('other', 0) - 30) < 0.1, 'of the service');
});

test('old samples decay, also over hours, and the number of kinds is bounded', async t => {
	const costs = new CostModel();
	record(costs, 'k', 0, repeat(1000, 10), 0);
	record(costs, 'k', 0, repeat(20, 40), 300_000);
	t.ok(costs.expected('k', 0) > 30);
	record(costs, 'k', 0, repeat(20, 5), 36_000_000);
	t.ok(Math.abs(costs.expected('k', 0) - 5) < 0.1);
	Array.from({length: 1000}, (_, index) => record(costs, `k${index}`, 0, [1], 36_000_000));
	t.ok(costs.size <= 256);
});

test('a report never makes a machine faster than measured, decays with its age, and counts for less when times do not confirm it', async t => {
	const speed = new MachineSpeed();
	t.equal(speed.slowdown(0), 1);
	speed.report(0.5, 0);
	t.equal(speed.slowdown(0), 1);
	speed.report(3, 10);
	t.equal(speed.slowdown(10), 3);
	t.ok(speed.slowdown(200) < 2.5);
	t.ok(speed.slowdown(5000) < 1.01);
	speed.report(1, 5);
	t.equal(speed.slowdown(10), 3, 'an older report changes nothing');
	repeat(100, 1).map(ratio => speed.confirm(3, ratio));
	t.ok(speed.slowdown(10) < 1.2);
});

const members: readonly Member[] = ['p', 'q', 's'].map(name => createMember(name, {location: {region: 'r', failureDomain: 'a'}}));
const request: RoutingRequest = {
	service: 's', kind: 'k', importance: Importance.Normal, priority: 200, crossRegion: true, excluded: new Set(),
};
const serving: ServingState = {
	headroom: 3, level: 0, downstreamLevel: 0, draining: false, revision: 1, servedMilliseconds: 5,
};

test('without reports of work, cost-aware placement makes the choices of today', async t => {
	const play = (isCostAware: boolean): unknown[] => {
		let turn = 0;
		const router = new Router({name: 'entry', location: {region: 'r', failureDomain: 'a'}}, () => {
			turn += 0.377;
			return turn % 1;
		}, isCostAware);
		router.setMembers(members);
		return repeat(200, 0).map((_, index) => {
			const choice = router.route(request, index);
			if (index % 3 > 0 && 'candidate' in choice) {
				router.loads.callSent(choice.candidate.member.name);
				router.loads.callAnswered(choice.candidate.member.name, 'k', {...serving, headroom: index % 5}, 6, index);
			}

			return choice;
		});
	};

	t.same(play(true), play(false));
});

// Guards against placement by time that sends calls to other regions under load, where it lost before.
test('a sooner end attracts calls from another failure domain only by more than the cost of the distance, and never from another region', async t => {
	const located = (name: string, region: string, failureDomain: string): Member => createMember(name, {location: {region, failureDomain}});
	const chosenWith = (otherMilliseconds: number, region: string): string | undefined => {
		const router = new Router({name: 'entry', location: {region: 'r', failureDomain: 'a'}}, () => 0.5, true);
		router.setMembers([located('near', 'r', 'a'), located('other', region, 'b')]);
		Object.entries({near: 40, other: otherMilliseconds}).map(([name, ownMilliseconds]) => {
			router.loads.callSent(name);
			router.loads.callAnswered(name, 'k', serving, 6, 0);
			return router.ends!.reported(name, 'k', 0, {
				workLeftMilliseconds: 0, ownMilliseconds, slowdown: 1, ageMilliseconds: 0,
			}, router.loads.room(name, 0), 0);
		});
		const choice = router.route(request, 1);
		return 'candidate' in choice ? choice.candidate.member.name : undefined;
	};

	t.equal(chosenWith(36, 'r'), 'near');
	t.equal(chosenWith(10, 'r'), 'other');
	t.equal(chosenWith(1, 'elsewhere'), 'near');
});
