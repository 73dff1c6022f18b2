import {test} from 'tap';
import {
	ErrorKind, EventType, NodeEffectType, Outcome, safeParseManifest, UpstreamFailure, UpstreamState, type CallerAnswer, type Manifest, type NodeEffect,
} from '@laburnumspool/core';
import type {MessageDelivery, VirtualService} from '../virtual-node.js';
import {VirtualSystem} from '../virtual-system.js';

const parseResult = safeParseManifest({
	name: 'promises',
	retriesPerAction: 2,
	services: {
		shop: {
			requests: [
				{
					kind: 'pay', methods: ['POST'], path: '/pay', importance: 'critical', semantics: 'at-most-once', waitMilliseconds: 2000,
				},
				{
					kind: 'read', methods: ['GET'], path: '/read*', importance: 'normal', semantics: 'idempotent', waitMilliseconds: 1000, calls: [{service: 'deep', kind: 'fetch'}],
				},
				{
					kind: 'browse', methods: ['GET'], path: '/browse*', importance: 'low', semantics: 'idempotent', waitMilliseconds: 1000,
				},
			],
		},
		deep: {
			requests: [{
				kind: 'fetch', methods: ['GET'], path: '/fetch', importance: 'normal', semantics: 'idempotent', waitMilliseconds: 800, customer: false,
			}],
		},
	},
});
const {manifest} = (parseResult as {manifest: Manifest});

const services: readonly VirtualService[] = [
	{
		service: 'shop', instances: 3, slots: 4, behaviours: [{prefix: '/read', milliseconds: 5, calls: [{service: 'deep', method: 'GET', target: '/fetch'}]}, {prefix: '/', milliseconds: 20}],
	},
	{
		service: 'deep', instances: 2, slots: 4, behaviours: [{prefix: '/', milliseconds: 5}],
	},
];

const settleMilliseconds = 3000;

function startSystem(seed: number, deliveryOf?: (effect: NodeEffect, from: string) => MessageDelivery): VirtualSystem {
	const system = new VirtualSystem({
		seed, manifest, services, ...(deliveryOf === undefined ? {} : {deliveryOf}),
	});
	system.runUntil(settleMilliseconds);
	return system;
}

/** Sends a request and returns the list that receives its answers; exactly one is expected. */
function send(system: VirtualSystem, node: string, target: string, overrides: {readonly key?: string; readonly method?: string; readonly digest?: string; readonly timeoutMilliseconds?: number} = {}): CallerAnswer[] {
	const answers: CallerAnswer[] = [];
	const service = target.startsWith('/fetch') ? 'deep' : 'shop';
	system.request(node, {
		service, method: target === '/pay' ? 'POST' : 'GET', target, ...overrides,
	}, answer => answers.push(answer));
	return answers;
}

const countStarts = (system: VirtualSystem, target: string): number => system.upstreamCalls.filter(call => call.target === target).length;

/** Advances in steps of 1 ms until an upstream starts a call to the target, for at most 2 s. */
function runUntilStarted(system: VirtualSystem, target: string): void {
	for (let step = 0; step < 2000 && countStarts(system, target) === 0; step += 1) {
		system.runUntil(system.now + 1);
	}
}

test('a call receives its own complete answer with its outcome and its number of attempts', async t => {
	const system = startSystem(1);
	const answers = send(system, 'deep-0', '/browse/7');
	system.runUntil(system.now + 500);
	const served = system.upstreamCalls.find(call => call.target === '/browse/7');
	t.match(answers, [{outcome: Outcome.Ran, attempts: 1, error: undefined}]);
	t.equal(new TextDecoder().decode(answers[0]?.answer?.body), served?.callId);
});

test('a call whose messages are delivered twice runs once and is answered once', async t => {
	const system = startSystem(2, effect => ({copies: effect.type === NodeEffectType.SendCall || effect.type === NodeEffectType.SendAnswer ? 2 : 1, delayMilliseconds: 0}));
	const answers = Array.from({length: 20}, (_, index) => send(system, 'deep-0', `/browse/${index}`));
	system.runUntil(system.now + 1500);
	t.ok(answers.every(list => list.length === 1 && list[0]?.outcome === Outcome.Ran));
	t.same(answers.map((_, index) => countStarts(system, `/browse/${index}`)), answers.map(() => 1));
});

test('answers that arrive out of order reach the callers that sent the requests', async t => {
	let count = 0;
	const system = startSystem(3, effect => {
		count += 1;
		return {copies: 1, delayMilliseconds: effect.type === NodeEffectType.SendAnswer ? (count * 37) % 90 : 0};
	});
	const answers = Array.from({length: 20}, (_, index) => send(system, 'deep-0', `/browse/${index}`));
	system.runUntil(system.now + 1500);
	const own = answers.map((_, index) => system.upstreamCalls.find(call => call.target === `/browse/${index}`)?.callId);
	t.same(answers.map(list => new TextDecoder().decode(list[0]?.answer?.body)), own);
});

test('an answer that arrives after the deadline leaves the outcome unknown and is recorded as stale', async t => {
	const system = startSystem(4, effect => ({copies: 1, delayMilliseconds: effect.type === NodeEffectType.SendAnswer ? 1500 : 0}));
	const answers = send(system, 'deep-0', '/browse/1');
	system.runUntil(system.now + 4000);
	t.match(answers, [{outcome: Outcome.Unknown, error: {kind: ErrorKind.TimedOut}}]);
	t.ok(system.events.some(event => event.type === EventType.StaleAnswer));
});

test('a call that arrives after its deadline is answered as not run and never runs', async t => {
	const system = startSystem(5, effect => ({copies: 1, delayMilliseconds: effect.type === NodeEffectType.SendCall ? 1050 : 0}));
	const answers = send(system, 'deep-0', '/browse/1');
	system.runUntil(system.now + 5000);
	t.match(answers, [{outcome: Outcome.NotRun, error: {kind: ErrorKind.TimedOut}}]);
	t.equal(countStarts(system, '/browse/1'), 0);
});

test('a call that ran and whose answer is lost has the outcome unknown, not not-run', async t => {
	const system = startSystem(6, effect => ({copies: effect.type === NodeEffectType.SendAnswer || effect.type === NodeEffectType.SendCancel ? 0 : 1, delayMilliseconds: 0}));
	const answers = send(system, 'deep-0', '/browse/1');
	system.runUntil(system.now + 5000);
	t.match(answers, [{outcome: Outcome.Unknown}]);
	t.equal(countStarts(system, '/browse/1'), 1);
});

test('retries over the whole call chain stay within the retry quota of the action', async t => {
	const system = startSystem(7);
	system.nodes.map(node => {
		node.upstreamFailure = node.service.service === 'deep' ? UpstreamFailure.Broken : undefined;
		return node;
	});
	Array.from({length: 10}, (_, index) => send(system, 'shop-0', `/read/${index}`));
	system.runUntil(system.now + 3000);
	const byAction = new Map<string, number>();
	system.upstreamCalls.filter(call => call.service === 'deep').map(call => byAction.set(call.actionId, (byAction.get(call.actionId) ?? 0) + 1));
	t.equal(byAction.size, 10);
	t.ok(Math.max(...byAction.values()) <= 1 + manifest.retriesPerAction, `starts per action: ${[...byAction.values()].join(', ')}`);
	t.ok(Math.max(...byAction.values()) > 1, 'at least one call was retried');
});

test('an at-most-once call that may have run is not sent again', async t => {
	const system = startSystem(8);
	system.nodes.map(node => {
		node.upstreamFailure = UpstreamFailure.Broken;
		return node;
	});
	const answers = send(system, 'deep-0', '/pay');
	system.runUntil(system.now + 3000);
	t.match(answers, [{outcome: Outcome.Unknown, error: {kind: ErrorKind.UpstreamBroken}}]);
	t.equal(countStarts(system, '/pay'), 1);
});

test('a retry with the same key joins the running call and receives the same answer', async t => {
	const system = startSystem(9);
	const first = send(system, 'deep-0', '/pay', {key: 'k-1'});
	system.runUntil(system.now + 5);
	const second = send(system, 'deep-1', '/pay', {key: 'k-1'});
	system.runUntil(system.now + 500);
	const third = send(system, 'shop-2', '/pay', {key: 'k-1'});
	system.runUntil(system.now + 500);
	t.equal(countStarts(system, '/pay'), 1);
	t.same([first, second, third].map(list => list[0]?.outcome), [Outcome.Ran, Outcome.Ran, Outcome.Ran]);
	t.same(second[0]?.answer?.body, first[0]?.answer?.body);
});

test('a request that reuses the key of a different request is refused and does not run', async t => {
	const system = startSystem(10);
	send(system, 'deep-0', '/pay', {key: 'k-1', digest: 'one'});
	system.runUntil(system.now + 500);
	const other = send(system, 'deep-0', '/pay', {key: 'k-1', digest: 'two'});
	system.runUntil(system.now + 500);
	t.match(other, [{error: {kind: ErrorKind.KeyReused}}]);
	t.equal(countStarts(system, '/pay'), 1);
});

test('after a primary dies, its keys never run again and new keys run at the backup', async t => {
	const system = startSystem(11);
	const first = send(system, 'deep-0', '/pay', {key: 'k-1'});
	runUntilStarted(system, '/pay');
	const started = system.upstreamCalls.find(call => call.target === '/pay');
	system.kill(system.node(started!.node));
	system.runUntil(system.now + 4000);
	const again = send(system, 'deep-0', '/pay', {key: 'k-1'});
	const others = Array.from({length: 20}, (_, index) => send(system, 'deep-0', '/pay', {key: `other-${index}`}));
	system.runUntil(system.now + 4000);
	t.equal(first[0]?.outcome, Outcome.Unknown);
	t.match(again, [{outcome: Outcome.Unknown, error: {kind: ErrorKind.KeyStateUnknown}}]);
	t.ok(others.every(list => list[0]?.outcome === Outcome.Ran), others.map(list => list[0]?.error?.kind ?? 'ran').join(', '));
	t.equal(countStarts(system, '/pay'), 21);
});

test('a primary that resumes after its backup took over runs no key twice', async t => {
	const system = startSystem(12);
	const keys = Array.from({length: 30}, (_, index) => `k-${index}`);
	const paused = system.node('shop-1');
	paused.isPaused = true;
	keys.map(key => send(system, 'deep-0', '/pay', {key}));
	system.runUntil(system.now + 6000);
	paused.isPaused = false;
	system.runUntil(system.now + 20);
	keys.map(key => send(system, 'deep-1', '/pay', {key}));
	system.runUntil(system.now + 6000);
	const starts = system.upstreamCalls.filter(call => call.target === '/pay');
	t.ok(starts.length <= keys.length, `${starts.length} starts for ${keys.length} keys`);
});

test('at-most-once calls with keys still run during an outage of the store', async t => {
	const system = startSystem(13);
	system.store.isDown = true;
	system.runUntil(system.now + 20_000);
	const answers = Array.from({length: 10}, (_, index) => send(system, 'deep-0', '/pay', {key: `k-${index}`}));
	system.runUntil(system.now + 2000);
	t.ok(answers.every(list => list[0]?.outcome === Outcome.Ran));
});

test('when both holders of a range die, its keys are unknown until the range is adopted without their claims', async t => {
	const system = new VirtualSystem({
		seed: 14, manifest, services, storeOutageLimitMilliseconds: 2000,
	});
	system.runUntil(settleMilliseconds);
	system.kill(system.node('shop-0'));
	system.kill(system.node('shop-1'));
	system.runUntil(system.now + 1500);
	const during = Array.from({length: 20}, (_, index) => send(system, 'deep-0', '/pay', {key: `k-${index}`}));
	system.runUntil(system.now + 100);
	t.ok(during.some(list => list[0]?.outcome === Outcome.Unknown && list[0].error?.kind === ErrorKind.KeyStateUnknown));
	system.runUntil(system.now + 12_000);
	t.ok(system.events.some(event => event.type === EventType.RangeAdopted));
	const after = send(system, 'deep-0', '/pay');
	system.runUntil(system.now + 3000);
	t.equal(after.length, 1);
});

test('a draining node receives no new calls, finishes the running ones and hands its ranges over', async t => {
	const system = startSystem(15);
	const leaving = system.node('shop-1');
	const inFlight = Array.from({length: 12}, (_, index) => send(system, 'deep-0', `/browse/slow-${index}`));
	system.runUntil(system.now + 3);
	system.startDraining(leaving);
	const leftAt = system.now;
	system.runUntil(leftAt + 3000);
	const after = Array.from({length: 30}, (_, index) => send(system, 'deep-0', '/pay', {key: `k-${index}`}));
	system.runUntil(system.now + 3000);
	t.ok(inFlight.every(list => list[0]?.outcome === Outcome.Ran), 'every call in flight finished');
	t.ok(after.every(list => list[0]?.outcome === Outcome.Ran), after.map(list => list[0]?.error?.kind ?? 'ran').join(', '));
	t.notOk(system.upstreamCalls.some(call => call.node === 'shop-1' && call.startedAt > leftAt + 3000));
	t.ok(leaving.core.isDrained);
	t.equal(system.node('deep-0').core.membership.get('shop-1')?.state, UpstreamState.Draining);
});

test('a stopping node refuses new requests, and opens the nested calls that its running work needs', async t => {
	const system = startSystem(17);
	const stopping = system.node('shop-1');
	stopping.slowdownFactor = 20;
	const running = send(system, 'shop-1', '/read/1');
	system.runUntil(system.now + 10);
	system.startDraining(stopping);
	stopping.core.refuseNewRequests();
	const refused = [send(system, 'shop-1', '/browse/late'), send(system, 'shop-1', '/pay', {key: 'late'})];
	system.runUntil(system.now + 1000);
	t.match(running, [{outcome: Outcome.Ran}]);
	t.equal(system.upstreamCalls.find(({target}) => target === '/read/1')?.node, 'shop-1');
	t.match(refused, [[{outcome: Outcome.NotRun, error: {kind: ErrorKind.Draining}}], [{outcome: Outcome.Unknown, error: {kind: ErrorKind.Draining}}]]);
	t.same(system.upstreamCalls.map(({target}) => target).toSorted(), ['/fetch', '/read/1']);
});

test('a caller that disconnects cancels its call and the nested calls', async t => {
	const system = startSystem(16);
	system.nodes.filter(node => node.service.service === 'deep').map(node => {
		node.slowdownFactor = 100;
		return node;
	});
	const cancel = system.request('shop-0', {service: 'shop', method: 'GET', target: '/read/1'}, () => t.fail('a disconnected caller received an answer'));
	system.runUntil(system.now + 50);
	t.equal(system.nodes.reduce((sum, node) => sum + node.runningCalls.size, 0), 2);
	cancel();
	system.runUntil(system.now + 20);
	t.equal(system.nodes.reduce((sum, node) => sum + node.runningCalls.size, 0), 0);
});

test('payments of critical importance all run while requests of low importance are refused', async t => {
	const system = startSystem(17);
	const browsing = Array.from({length: 400}, (_, index) => send(system, `shop-${index % 3}`, `/browse/${index}`));
	const paying = Array.from({length: 30}, (_, index) => send(system, `shop-${index % 3}`, '/pay', {key: `k-${index}`}));
	system.runUntil(system.now + 4000);
	t.ok(browsing.some(list => list[0]?.outcome !== Outcome.Ran), 'some browse requests were refused');
	t.ok(paying.every(list => list[0]?.outcome === Outcome.Ran), paying.map(list => list[0]?.error?.kind ?? 'ran').join(', '));
});

test('a request of an unknown service or request kind is refused with the matching error kind', async t => {
	const system = startSystem(18);
	const answers: CallerAnswer[] = [];
	system.request('shop-0', {service: 'none', method: 'GET', target: '/'}, answer => answers.push(answer));
	system.request('shop-0', {service: 'shop', method: 'GET', target: '/none'}, answer => answers.push(answer));
	t.match(answers, [{outcome: Outcome.NotRun, error: {kind: ErrorKind.UnknownService}}, {outcome: Outcome.NotRun, error: {kind: ErrorKind.UnknownRequestKind}}]);
});

test('the cause of a refusal states the wait, the remaining time and the load', async t => {
	const system = startSystem(19);
	Array.from({length: 400}, (_, index) => send(system, `shop-${index % 3}`, `/browse/${index}`));
	system.runUntil(system.now + 2000);
	const refusals = system.events.filter(event => event.type === EventType.Refused);
	t.ok(refusals.length > 0);
	t.same(refusals.filter(({cause}) => !/^after \d+ ms with -?\d+ ms left: \d+ of \d+ run, \d+ wait, priority \d+, level \d+$/u.test(cause ?? '')), []);
	t.same(system.events.filter(event => event.type === EventType.LimitChanged && event.cause === undefined), []);
});
