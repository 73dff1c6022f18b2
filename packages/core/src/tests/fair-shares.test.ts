import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {test} from 'tap';
import {
	AdmissionController, AdmissionEffectType, allAdmissionMechanisms, DispatchOutcome, FairDivision, FairShares, Importance, priorityOf, ShareAccounts, type AdmissionEffect, type Work,
} from '../index.js';
import {simulateStreams, type Stream, type StreamResult} from './fair-shares-simulation.js';

const seeds = Array.from({length: 20}, (_, index) => index + 1);
const otherCount = 20;
let count = 0;

function work(organisation: string | undefined, changes: Partial<Work> = {}): Work {
	count += 1;
	const importance = changes.importance ?? Importance.Normal;
	return {
		callId: `n.1.${count}`, kind: 'short', importance, priority: priorityOf(importance, 127), idempotent: true, deadline: 10_000, arrivedAt: 0, guaranteedShare: 0, lastResort: true, organisation, ...changes,
	};
}

/** A controller with one slot, taken by a call, that has learned 10 ms for `short` and 50 ms for `long`. */
function createBusyController(): {readonly controller: AdmissionController; readonly running: Work} {
	const controller = new AdmissionController(1, {...allAdmissionMechanisms, adaptiveLimit: false});
	[work(undefined), work(undefined, {kind: 'long'})].map(item => {
		controller.submit(item, 0);
		return controller.finish(item.callId, DispatchOutcome.Answered, 0, item.kind === 'long' ? 50 : 10);
	});
	const running = work(undefined, {importance: Importance.Critical});
	controller.submit(running, 50);
	return {controller, running};
}

/** Finishes the running call until no call waits; the works in the order of their dispatch. */
function drain(controller: AdmissionController, running: Work): Work[] {
	const dispatched: Work[] = [];
	let next: Work | undefined = running;
	while (next !== undefined) {
		next = controller.finish(next.callId, DispatchOutcome.Broken, 0, 60).find(({type}) => type === AdmissionEffectType.Dispatch)?.work;
		dispatched.push(...(next === undefined ? [] : [next]));
	}

	return dispatched;
}

const namesOf = (works: readonly Work[]): string => works.map(({organisation, importance}) => `${organisation ?? '-'}${importance === Importance.Normal ? '' : `:${importance}`}`).join(' ');
const submitAll = (controller: AdmissionController, works: readonly Work[]): AdmissionEffect[] => works.flatMap(item => controller.submit(item, 55));
const repeat = (times: number, create: () => Work): Work[] => Array.from({length: times}, create);

test('room is divided by max-min fairness with weights, and what one party does not need goes to the others', async t => {
	t.equal(new FairDivision([{demand: 10, weight: 1}, {demand: 1, weight: 1}]).levelFor(5), 4);
	t.equal(new FairDivision([{demand: 10, weight: 1}, {demand: 10, weight: 3}]).levelFor(8), 2);
	t.same([5, 1, 0].map(room => new FairDivision([{demand: 1, weight: 1}]).levelFor(room)), [Infinity, Infinity, 0]);
	const generator = xoroshiro128plus(1);
	const random = (): number => uniformFloat64(generator);
	Array.from({length: 50}, () => {
		const parties = Array.from({length: 1 + Math.floor(random() * 30)}, () => ({demand: (random() ** 4) * 100, weight: 0.1 + random()}));
		const room = random() * parties.reduce((sum, {demand}) => sum + demand, 0);
		const level = new FairDivision(parties).levelFor(room);
		return t.ok(Math.abs(parties.reduce((sum, {demand, weight}) => sum + Math.min(demand, weight * level), 0) - room) < 1e-6, `all of the room ${room} is used`);
	});
});

/** Guards against a flood of early deadlines that goes before the calls of all others. */
test('the calls of two organisations alternate by expected work and weight, whatever their deadlines', async t => {
	const alternating = createBusyController();
	submitAll(alternating.controller, [...repeat(12, () => work('a', {deadline: 5000})), ...repeat(4, () => work('b'))]);
	const names = namesOf(drain(alternating.controller, alternating.running)).split(' ');
	t.equal(names.slice(0, 10).filter(name => name === 'b').length, 4, names.join(' '));
	const byWork = createBusyController();
	submitAll(byWork.controller, [...repeat(6, () => work('a', {kind: 'long', deadline: 5000})), ...repeat(20, () => work('b'))]);
	const inOrder = drain(byWork.controller, byWork.running).slice(0, 18);
	t.ok(Math.abs(inOrder.filter(({organisation}) => organisation === 'a').length - 3) <= 1, namesOf(inOrder));
	const weighted = createBusyController();
	weighted.controller.shares.setWeights(new Map([['a', 3]]));
	submitAll(weighted.controller, [...repeat(30, () => work('b', {deadline: 5000})), ...repeat(30, () => work('a'))]);
	const first = drain(weighted.controller, weighted.running).slice(0, 32);
	t.ok(Math.abs(first.filter(({organisation}) => organisation === 'a').length - 24) <= 4, namesOf(first));
});

test('importance, critical calls and guaranteed shares go before the shares of organisations', async t => {
	const {controller, running} = createBusyController();
	submitAll(controller, [
		...repeat(8, () => work('a', {importance: Importance.High})),
		work('b'),
		work('c', {importance: Importance.Low, kind: 'guaranteed', guaranteedShare: 0.5}),
		work('a', {importance: Importance.Critical}),
	]);
	t.equal(namesOf(drain(controller, running)), `a:critical c:low ${Array.from({length: 8}, () => 'a:high').join(' ')} b`);
});

/** Guards against a full queue that an organisation keeps for itself. */
test('a call takes the place of the last call of an organisation above its share in a full queue, and the effect states use and share', async t => {
	const {controller} = createBusyController();
	const filling = repeat(36, () => work('a'));
	t.same(submitAll(controller, filling), []);
	t.match(submitAll(controller, [work('a')]), [{type: AdmissionEffectType.Refuse, work: {organisation: 'a'}}]);
	const effects = submitAll(controller, [work('b', {deadline: 20_000})]);
	t.match(effects, [{type: AdmissionEffectType.Refuse, work: filling.at(-1), share: {organisation: 'a', useMilliseconds: 0}}]);
	t.equal(controller.shares.refused, 1);
});

/** Guards against an expected wait that counts calls of others which are dispatched later, or leaves out those dispatched earlier. */
test('the expected wait is that in the order by shares, and a refusal that the shares decide states use and share', async t => {
	const {controller} = createBusyController();
	submitAll(controller, repeat(20, () => work('a', {deadline: 250})));
	const limited = {deadline: 280, lastResort: false};
	t.match(submitAll(controller, [work('a', limited)]), [{type: AdmissionEffectType.Refuse, work: {organisation: 'a'}, share: undefined}], 'the deadline orders the calls of one organisation');
	t.same(submitAll(controller, [work('b', limited)]), [], 'most calls of a are due after the first of b');
	const late = createBusyController();
	submitAll(late.controller, [...repeat(5, () => work('a', {deadline: 250})), ...repeat(10, () => work('b', {deadline: 9000}))]);
	t.match(submitAll(late.controller, [work('a', limited)]), [{type: AdmissionEffectType.Refuse, share: {organisation: 'a'}}], 'some calls of b are due before, though their deadlines are later');
});

/** Guards against debt or credit that an organisation brings back from a pause. */
test('an organisation that returns competes as a new one, also after refusals and after it had all the room', async t => {
	const accounts = new ShareAccounts(() => 1);
	Array.from({length: 100}, (_, index) => accounts.charge('alone', 20, accounts.startOf('alone', index), index));
	t.ok(accounts.startOf('alone', 100) - accounts.startOf('new', 100) <= 20, 'use of idle room leaves a debt of one call at most');
	t.equal(accounts.startOf('alone', 1100), accounts.startOf('new', 1100), 'and none after a second');
	Array.from({length: 100}, (_, index) => accounts.arrived('refused', 20, index));
	t.equal(accounts.startOf('refused', 100), accounts.startOf('new', 100));
});

test('state is bounded at the design size, and idle organisations are forgotten', async t => {
	const shares = new FairShares();
	Array.from({length: 20_000}, (_, index) => {
		shares.arrived(work(`o${index}`), 10, 0);
		return index;
	});
	t.ok(shares.size <= 5001, `${shares.size} accounts`);
	t.equal(shares.largest(5, 0).largest.length, 5);
	shares.advance(0, 11_000);
	t.same([shares.size, shares.isActive], [0, false]);
});

test('an uneven demand raises the level of the organisation above its share alone, within the importance that the level divides', async t => {
	const shares = new FairShares();
	const [big, small] = [work('big'), work('small')];
	const level = priorityOf(Importance.Normal, 64);
	shares.arrived(big, 1000, 0);
	shares.arrived(small, 100, 0);
	shares.advance(level, 0);
	t.same([shares.levelOf(small, level, 0), shares.announcedLevel(level)], [128, 128], 'the small one is within its share');
	t.equal(shares.levelOf(big, level, 0), 128 + Math.round((1 - 0.45) * 128), 'half of all work is admitted: 100 and 450');
	t.equal(shares.levelOf(work('big', {importance: Importance.High}), level, 0), level, 'other importances are above or below the level as a whole');
	shares.arrived(small, 900, 0);
	shares.advance(level, 100);
	t.same([shares.levelOf(big, level, 100), shares.levelOf(small, level, 100), shares.announcedLevel(level)], [level, level, level], 'equal organisations are treated as without shares');
});

const streamsOf = (load: number, importance = Importance.Normal): Stream[] => Array.from({length: otherCount}, (_, index) => ({organisation: `o${index}`, importance, load: () => load}));
const big = (load: (now: number) => number, importance = Importance.Normal): Stream => ({organisation: 'big', importance, load});
const worstOf = (results: readonly StreamResult[]): number => Math.min(...results.slice(0, otherCount).map(({share}) => share));
const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

function play(streams: readonly Stream[], fairShares: boolean): {readonly worst: number; readonly others: number} {
	const results = seeds.map(seed => simulateStreams(streams, fairShares, seed));
	return {worst: mean(results.map(result => worstOf(result))), others: mean(results.map(result => mean(result.slice(0, otherCount).map(({share}) => share))))};
}

const usual = 0.04;

/** The target: an organisation far above its usual costs the others nothing, where it cost them a quarter of their answers. */
const quiet = play([...streamsOf(usual), big(() => usual)], true);
for (const factor of [10, 100]) {
	test(`one organisation at ${factor} times its usual costs the others at most 0.05 of their answers, over 20 seeds`, async t => {
		const [off, fair] = [false, true].map(isFair => play([...streamsOf(usual), big(() => usual * factor)], isFair));
		t.ok(fair!.others >= quiet.others - 0.05, `others ${fair!.others}, without the flood ${quiet.others}`);
		t.ok(fair!.worst >= quiet.worst - 0.05, `worst ${fair!.worst}, without the flood ${quiet.worst}`);
		t.ok(fair!.worst > off!.worst && fair!.others > off!.others, `worst ${fair!.worst}, without shares ${off!.worst}`);
	});
}

test('equal organisations are served no worse than without shares, over 20 seeds', async t => {
	[1.3, 2].map(load => {
		const [off, fair] = [false, true].map(isFair => play(streamsOf(load / otherCount), isFair));
		t.ok(fair!.worst >= off!.worst - 0.01 && fair!.others >= off!.others - 0.01, `load ${load}: worst ${fair!.worst}, without shares ${off!.worst}; mean ${fair!.others}, without ${off!.others}`);
		return load;
	});
});

test('a flood at one importance leaves the other importances as without shares, over 20 seeds', async t => {
	const streams = [...streamsOf(0.02, Importance.High), big(() => 0.4), ...streamsOf(0.02, Importance.Normal), ...streamsOf(0.02, Importance.Low)];
	const [off, fair] = [false, true].map(isFair => seeds.map(seed => simulateStreams(streams, isFair, seed)));
	const shareOf = (results: readonly StreamResult[][], from: number): number => mean(results.map(result => mean(result.slice(from, from + otherCount).map(({share}) => share))));
	t.ok(shareOf(fair!, 0) >= shareOf(off!, 0) - 0.01, `high ${shareOf(fair!, 0)}, without shares ${shareOf(off!, 0)}`);
	t.ok(shareOf(fair!, otherCount + 1) > shareOf(off!, otherCount + 1), 'normal: the others of the flooded importance');
});

/** Guards against a tolerance for chance that hides the weights. */
test('organisations of weight 3 have three times as many calls answered as those of weight 1, over 20 seeds', async t => {
	const streams = streamsOf(2 / otherCount);
	const weights = new Map(streams.slice(0, 10).map(({organisation}) => [organisation!, 3]));
	const answered = seeds.map(seed => simulateStreams(streams, true, seed, weights).map(result => result.answered));
	const [heavy, light] = [mean(answered.map(result => mean(result.slice(0, 10)))), mean(answered.map(result => mean(result.slice(10))))];
	t.ok(Math.abs((heavy / light) - 3) <= 0.5, `${heavy} and ${light} calls`);
});

/** Guards against an account that lets an organisation back in too late, or with room that it has saved up. */
test('an organisation that returns after a pause is served like the others, over 20 seeds', async t => {
	const returning = {...big(now => now < 3500 ? 0 : usual), organisation: 'returning'};
	const flooding = big(now => now < 2500 ? usual * 10 : 0);
	const after = seeds.map(seed => simulateStreams([...streamsOf(usual * 1.2), {...returning, organisation: flooding.organisation}, flooding], true, seed));
	const back = mean(after.map(result => result[otherCount]!.share));
	const quietShare = mean(after.map(result => mean(result.slice(0, otherCount).map(({share}) => share))));
	t.ok(back >= quietShare - 0.1, `after a flood ${back}, others ${quietShare}`);
	const results = seeds.map(seed => simulateStreams([...streamsOf(usual), returning, big(() => usual * 10)], true, seed));
	const [others, returned] = [mean(results.map(result => mean(result.slice(0, otherCount).map(({share}) => share)))), mean(results.map(result => result[otherCount]!.share))];
	t.ok(Math.abs(others - returned) <= 0.1, `returned ${returned}, others ${others}`);
});

/** Guards against a change of any decision in a deployment without organisations. */
test('calls without an organisation are decided exactly as without shares, and leave no state', async t => {
	const streams = [...streamsOf(0.1), big(() => 0.4, Importance.High)].map(stream => ({...stream, organisation: undefined}));
	seeds.slice(0, 5).map(seed => t.same(simulateStreams(streams, true, seed), simulateStreams(streams, false, seed)));
	const {controller} = createBusyController();
	submitAll(controller, repeat(50, () => work(undefined)));
	t.same([controller.shares.size, controller.shares.isActive, controller.load.level === controller.level], [0, false, true]);
});
