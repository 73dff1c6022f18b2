import {Buffer} from 'node:buffer';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {test} from 'tap';
import {
	AnnouncedState, EarlyRefusal, ErrorKind, Importance, NodeCore, NodeEffectType, Outcome, priorityOf, safeParseManifest, Semantics,
	type CallerAnswer, type CallerRequest, type CallError, type Manifest, type NodeEffect,
} from '../index.js';
import {
	play, type Kind, type Play, type Scenario,
} from './early-refusal-simulation.js';
import {createMember} from './fixtures.js';

const seeds = Array.from({length: 20}, (_, index) => index + 1);
const windowStart = 4000;
const windowEnd = 10_000;
const kinds: readonly Kind[] = [
	{
		name: 'floorplan', requestsPerSecond: 80, calls: 8, importance: Importance.Normal, isRepeatable: true,
	},
	{
		name: 'reserve-seat', requestsPerSecond: 40, calls: 4, importance: Importance.High, isRepeatable: false,
	},
	{
		name: 'seat-map', requestsPerSecond: 40, calls: 1, importance: Importance.Low, isRepeatable: true,
	},
];
const calm: Scenario = {
	kinds, entries: 6, upstreams: 30, milliseconds: 14_000, refusedShare: () => 0.02,
};
const troubled: Scenario = {...calm, refusedShare: now => now >= windowStart && now < windowEnd ? 0.55 : 0};
const playAll = (scenario: Scenario, isEnabled: boolean): Play[] => seeds.map(seed => play(scenario, isEnabled, seed));
type Figure = 'served' | 'inAim' | 'failed' | 'refusals' | 'requests';
const total = (plays: readonly Play[], kind: string, figure: Figure): number => plays.reduce((sum, {ends}) => sum + ends[kind]![figure], 0);

// Guards against refusals, and changed results, while the share of failing requests is usual.
test('nothing is refused and nothing changes while a few calls are refused, or one of 30 upstreams is broken', async t => {
	for (const scenario of [calm, {...calm, refusedShare: () => 0, isBroken: (upstream: number) => upstream === 0}]) {
		t.same(playAll(scenario, true).map(({ends}) => ends), playAll(scenario, false).map(({ends}) => ends));
	}
});

// Guards against requests that run and fail while most requests of their kind fail.
test('while a deep service refuses 55 % of its calls, fewer requests fail and more are served, of each kind', async t => {
	const today = playAll(troubled, false);
	const early = playAll(troubled, true);
	for (const {name} of kinds) {
		const [failedToday, failed] = [today, early].map(plays => total(plays, name, 'failed')) as [number, number];
		const [servedToday, served] = [today, early].map(plays => total(plays, name, 'served')) as [number, number];
		const [inAimToday, inAim] = [today, early].map(plays => total(plays, name, 'inAim')) as [number, number];
		t.ok(failed <= failedToday && served >= servedToday * 0.99, `${name}: failed ${failedToday} to ${failed}, served ${servedToday} to ${served}`);
		t.ok(inAim >= inAimToday * 0.99, `${name}: in aim ${inAimToday} to ${inAim}`);
	}

	t.ok(total(early, 'floorplan', 'failed') <= total(today, 'floorplan', 'failed') / 2, 'failed requests of eight calls are at most half');
	t.ok(total(early, 'seat-map', 'refusals') <= total(early, 'seat-map', 'requests') * 0.02, 'requests of one call are not refused');
	t.ok(early.every(({longestRetryAfterShare}) => longestRetryAfterShare <= 1 / 3), 'retry-after is within a third of the remaining time');
});

// Guards against a slow return after the trouble has ended: half a second to notice it, and at most one to reopen.
test('nine in ten requests are served again within 1.5 s after the trouble', async t => {
	const endsAt = 5000;
	const ending: Scenario = {...troubled, milliseconds: endsAt + 2000, refusedShare: now => now >= 2000 && now < endsAt ? 0.55 : 0};
	for (const entries of [3, 6, 30]) {
		const arrived = playAll({...ending, entries}, true).flatMap(({actions}) => actions)
			.filter(({kind, at}) => kind.name === 'floorplan' && at >= endsAt + 1500);
		const served = arrived.filter(({at, end, endedAt}) => end === 'served' && endedAt - at <= 500).length;
		t.ok(served >= arrived.length * 0.9, `${served} of ${arrived.length} at ${entries} entry nodes`);
	}
});

const answer = (status: number): CallerAnswer => ({
	outcome: Outcome.Ran, attempts: 1, error: undefined, answer: {status, headers: [], body: Buffer.alloc(0)},
});
const good = answer(200);
const bad = answer(500);

/** Offers one request of a kind each few milliseconds; each that is let through ends 20 ms later. */
function offer(refusal: EarlyRefusal, kind: string, importance: Importance, {from, count, interval = 10, end = () => bad, key, timeLeft = 5000}: {
	from: number; count: number; interval?: number; end?: (index: number) => CallerAnswer; key?: string; timeLeft?: number;
}): Array<{readonly error: CallError | undefined; readonly priority: number}> {
	const open: Array<{readonly entryId: number; readonly at: number; readonly answer: CallerAnswer}> = [];
	return Array.from({length: count}, (_, index) => {
		const now = from + (index * interval);
		while (open[0] !== undefined && open[0].at <= now) {
			const ended = open.shift()!;
			refusal.ended(ended.entryId, ended.answer, ended.at);
		}

		const entryId = now + (kind.length / 100);
		const priority = priorityOf(importance, (index * 37) % 128);
		const error = refusal.admit({
			entryId, service: 's', importance, priority, deadline: now + timeLeft, key, policy: {kind, waitMilliseconds: 5000},
		}, now);
		open.push(...(error === undefined ? [{entryId, at: now + 20, answer: end(index)}] : []));
		return {error, priority};
	});
}

const createRefusal = (): EarlyRefusal => new EarlyRefusal(() => 0.5);
const refusedOf = (offers: ReturnType<typeof offer>): number => offers.filter(({error}) => error !== undefined).length;

test('outcomes without weight cause no refusals: rare requests, refusals, short timeouts', async t => {
	const notRun: CallerAnswer = {
		...bad, outcome: Outcome.NotRun, answer: undefined, error: {kind: ErrorKind.TimedOut, detail: ''},
	};
	t.equal(refusedOf(offer(createRefusal(), 'rare', Importance.Low, {from: 0, count: 100, interval: 700})), 0);
	t.equal(refusedOf(offer(createRefusal(), 'refused', Importance.Low, {from: 0, count: 500, end: () => notRun})), 0);
	t.equal(refusedOf(offer(createRefusal(), 'short', Importance.Low, {from: 0, count: 500, timeLeft: 1000})), 0);
	const generator = xoroshiro128plus(7);
	const mixed = offer(createRefusal(), 'mixed', Importance.Low, {from: 0, count: 20_000, end: () => uniformFloat64(generator) < 0.45 ? good : bad});
	t.ok(refusedOf(mixed) <= 400, `${refusedOf(mixed)} of 20,000 with a share of 0.45`);
});

// Guards against refusals that begin only when the successes of the time before have lost their weight.
test('a kind with many requests is refused within half a second after all of them begin to fail', async t => {
	const offers = offer(createRefusal(), 'k', Importance.Normal, {
		from: 0, count: 1200, interval: 5, end: index => index < 1000 ? good : bad,
	});
	t.equal(refusedOf(offers.slice(0, 1000)), 0);
	t.ok(refusedOf(offers.slice(1100)) >= 80, `${refusedOf(offers.slice(1100))} of 100 after half a second`);
});

test('a kind that fails lets at most a fifth through, the higher priorities first, and says when to come back', async t => {
	const offers = offer(createRefusal(), 'k', Importance.Normal, {from: 0, count: 3000}).slice(50);
	const letThrough = offers.filter(({error}) => error === undefined);
	t.ok(letThrough.length <= offers.length / 5 && letThrough.length > 0, `${letThrough.length} of ${offers.length}`);
	const mean = (list: typeof offers): number => list.reduce((sum, {priority}) => sum + priority, 0) / list.length;
	t.ok(mean(letThrough) > mean(offers) + 32, `mean priority ${mean(letThrough)} of ${mean(offers)}`);
	const {error} = offers.find(offered => offered.error !== undefined)!;
	t.match(error, {kind: ErrorKind.Overloaded, retryAfterMilliseconds: 1250, detail: /share 0.00, evidence .*, age \d+ ms, retry after 1250 ms/u});
});

// Guards against refusals of critical requests before less important ones, and of requests whose key may have run before.
test('critical requests are refused only while less important ones are, and requests with a key never', async t => {
	const refusal = createRefusal();
	t.equal(refusedOf(offer(refusal, 'critical', Importance.Critical, {from: 0, count: 300})), 0);
	t.ok(refusedOf(offer(refusal, 'low', Importance.Low, {from: 3000, count: 100})) > 50);
	t.ok(refusedOf(offer(refusal, 'critical', Importance.Critical, {from: 4000, count: 50})) > 30);
	t.equal(refusedOf(offer(refusal, 'critical', Importance.Critical, {from: 5100, count: 50})), 0);
	t.equal(refusedOf(offer(createRefusal(), 'keyed', Importance.Low, {from: 0, count: 300, key: 'k'})), 0);
});

test('the state is bounded and empty after all requests have ended', async t => {
	const refusal = createRefusal();
	offer(refusal, 'k', Importance.Low, {from: 0, count: 300});
	t.ok(refusal.size <= 3, `${refusal.size} open`);
	Array.from({length: 3000}, (_, index) => offer(refusal, `kind-${index}`, Importance.Low, {from: 10_000 + index, count: 1}));
	t.ok(refusal.refusals.size <= 1000);
});

const {manifest} = safeParseManifest({
	name: 'shop',
	retriesPerAction: 0,
	services: {
		s: {
			requests: [{
				kind: 'look', methods: ['GET'], path: '/items*', importance: 'normal', semantics: 'idempotent', waitMilliseconds: 10_000,
			}],
		},
	},
}) as {manifest: Manifest};

const createRequest = (entryId: number, requestId: string): CallerRequest => ({
	entryId, service: 's', requestId, request: {
		method: 'GET', target: '/items', headers: [], body: Buffer.alloc(0), digest: '',
	}, key: undefined, timeoutMilliseconds: undefined, traceparent: undefined, tracestate: undefined,
});

/** A node whose peer answers each call with 500; returns the node's effects for a caller's request and for a nested one. */
function playNode(earlyRefusal: boolean): {readonly caller: NodeEffect[]; readonly nested: NodeEffect[]; readonly refusals: number} {
	const node = new NodeCore({
		own: createMember('p'),
		wallClock: () => 0,
		random: () => 0.5,
		newActionId: () => '0'.repeat(32),
		membershipTimes: {probeIntervalMilliseconds: 1000, suspicionMilliseconds: 3000, exchangeIntervalMilliseconds: 10_000},
		claimLimits: {maximumClaims: 10, maximumAnswerBytes: 1000},
		storeOutageLimitMilliseconds: 1000,
		clockErrorMilliseconds: 0,
		earlyRefusal,
	});
	node.manifestArrived({number: 1, document: '', manifest}, 0);
	node.upstreamAnnounced({
		service: 's', slots: 4, state: AnnouncedState.Ready, load: undefined,
	}, 0);
	node.viewArrived([createMember('q')], [], 0);
	node.callArrived({
		callId: 'n.1.1', action: {actionId: 'a'.repeat(32), vendorTraceState: []}, requestId: 'parent', service: 's', kind: 'look', semantics: Semantics.Idempotent,
		answerBytesLimit: 1000, importance: Importance.Normal, priority: priorityOf(Importance.Normal, 64), timeLeftMilliseconds: 10_000, retries: 0, key: undefined,
		epoch: 0, lastResort: false, revision: 1, request: createRequest(0, '').request,
	}, 0, 0);
	const serving = {
		headroom: 1, level: 0, downstreamLevel: 0, draining: false, revision: 1, servedMilliseconds: 1,
	};
	Array.from({length: 10}, (_, index) => node.callerRequested(createRequest(index, `r${index}`), 10 + index)
		.flatMap(effect => effect.type === NodeEffectType.SendCall
			? node.callAnswered({
				callId: effect.frame.callId, outcome: Outcome.Ran, coversAction: false, answer: bad.answer, error: undefined, retriesSpent: 0, serving,
			}, 0, 10 + index)
			: []));
	const caller = node.callerRequested(createRequest(100, 'caller'), 30);
	return {caller, nested: node.callerRequested(createRequest(101, 'parent.1'), 31), refusals: node.earlyRefusals.get('s/look') ?? 0};
}

// Guards against refusals of calls that belong to a running request, which would make work that has run useless.
test('a node refuses callers\' requests early only where it is enabled, and never the calls of running requests', async t => {
	const refusal = {outcome: Outcome.NotRun, error: {kind: ErrorKind.Overloaded, retryAfterMilliseconds: 2500}};
	const refused = [{type: NodeEffectType.Event, event: {cause: /share 0.00/u}}, {type: NodeEffectType.AnswerCaller, answer: refusal}];
	const {caller, nested, refusals} = playNode(true);
	t.match(caller, refused);
	t.ok(refusals > 0, `${refusals} counted`);
	t.ok(nested.some(({type}) => type === NodeEffectType.SendCall));
	t.ok(playNode(false).caller.some(({type}) => type === NodeEffectType.SendCall));
});
