import {test} from 'tap';
import {
	ErrorKind, EventType, NodeEffectType, Outcome, safeParseManifest, UpstreamFailure, UpstreamState, type CallerAnswer, type Manifest, type NodeEffect,
} from '@laburnumspool/core';
import type {MessageFate, VirtualService} from '../virtual-node.js';
import {VirtualSystem} from '../virtual-system.js';

const result = safeParseManifest({
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
const {manifest} = (result as {manifest: Manifest});

const services: readonly VirtualService[] = [
	{
		service: 'shop', instances: 3, slots: 4, behaviours: [{prefix: '/read', milliseconds: 5, calls: [{service: 'deep', method: 'GET', target: '/fetch'}]}, {prefix: '/', milliseconds: 20}],
	},
	{
		service: 'deep', instances: 2, slots: 4, behaviours: [{prefix: '/', milliseconds: 5}],
	},
];

const settleMilliseconds = 3000;

function startSystem(seed: number, fateOf?: (effect: NodeEffect, from: string) => MessageFate): VirtualSystem {
	const system = new VirtualSystem({
		seed, manifest, services, ...(fateOf === undefined ? {} : {fateOf}),
	});
	system.runUntil(settleMilliseconds);
	return system;
}

/** Sends a request and returns the list its one answer goes to. */
function send(system: VirtualSystem, node: string, target: string, changes: {readonly key?: string; readonly method?: string; readonly digest?: string; readonly timeoutMilliseconds?: number} = {}): CallerAnswer[] {
	const answers: CallerAnswer[] = [];
	const service = target.startsWith('/fetch') ? 'deep' : 'shop';
	system.request(node, {
		service, method: target === '/pay' ? 'POST' : 'GET', target, ...changes,
	}, answer => answers.push(answer));
	return answers;
}

const worksOf = (system: VirtualSystem, target: string): number => system.work.filter(work => work.target === target).length;

/** Goes on in small steps until an upstream has begun the work. */
function runUntilWork(system: VirtualSystem, target: string): void {
	for (let step = 0; step < 2000 && worksOf(system, target) === 0; step += 1) {
		system.runUntil(system.now + 1);
	}
}

test('a call gets its own whole answer, and tells what became of it', async t => {
	const system = startSystem(1);
	const answers = send(system, 'deep-0', '/browse/7');
	system.runUntil(system.now + 500);
	const served = system.work.find(work => work.target === '/browse/7');
	t.match(answers, [{outcome: Outcome.Ran, attempts: 1, error: undefined}]);
	t.equal(new TextDecoder().decode(answers[0]?.answer?.body), served?.callId);
});

test('calls and answers that come twice run once and are answered once', async t => {
	const system = startSystem(2, effect => ({copies: effect.type === NodeEffectType.SendCall || effect.type === NodeEffectType.SendAnswer ? 2 : 1, delayMilliseconds: 0}));
	const answers = Array.from({length: 20}, (_, index) => send(system, 'deep-0', `/browse/${index}`));
	system.runUntil(system.now + 1500);
	t.ok(answers.every(list => list.length === 1 && list[0]?.outcome === Outcome.Ran));
	t.same(answers.map((_, index) => worksOf(system, `/browse/${index}`)), answers.map(() => 1));
});

test('answers that cross on their way reach their own callers', async t => {
	let count = 0;
	const system = startSystem(3, effect => {
		count += 1;
		return {copies: 1, delayMilliseconds: effect.type === NodeEffectType.SendAnswer ? (count * 37) % 90 : 0};
	});
	const answers = Array.from({length: 20}, (_, index) => send(system, 'deep-0', `/browse/${index}`));
	system.runUntil(system.now + 1500);
	const own = answers.map((_, index) => system.work.find(work => work.target === `/browse/${index}`)?.callId);
	t.same(answers.map(list => new TextDecoder().decode(list[0]?.answer?.body)), own);
});

test('an answer that comes after the time is over changes nothing', async t => {
	const system = startSystem(4, effect => ({copies: 1, delayMilliseconds: effect.type === NodeEffectType.SendAnswer ? 1500 : 0}));
	const answers = send(system, 'deep-0', '/browse/1');
	system.runUntil(system.now + 4000);
	t.match(answers, [{outcome: Outcome.Unknown, error: {kind: ErrorKind.TimedOut}}]);
	t.ok(system.events.some(event => event.type === EventType.StaleAnswer));
});

test('a call whose frame is late is told as not run, and never runs', async t => {
	const system = startSystem(5, effect => ({copies: 1, delayMilliseconds: effect.type === NodeEffectType.SendCall ? 1050 : 0}));
	const answers = send(system, 'deep-0', '/browse/1');
	system.runUntil(system.now + 5000);
	t.match(answers, [{outcome: Outcome.NotRun, error: {kind: ErrorKind.TimedOut}}]);
	t.equal(worksOf(system, '/browse/1'), 0);
});

test('a lost call is told as unknown at best, never as not run after it ran', async t => {
	const system = startSystem(6, effect => ({copies: effect.type === NodeEffectType.SendAnswer || effect.type === NodeEffectType.SendCancel ? 0 : 1, delayMilliseconds: 0}));
	const answers = send(system, 'deep-0', '/browse/1');
	system.runUntil(system.now + 5000);
	t.match(answers, [{outcome: Outcome.Unknown}]);
	t.equal(worksOf(system, '/browse/1'), 1);
});

test('retries over the whole chain stay within the account', async t => {
	const system = startSystem(7);
	system.nodes.map(node => {
		node.upstreamFailure = node.service.service === 'deep' ? UpstreamFailure.Broken : undefined;
		return node;
	});
	Array.from({length: 10}, (_, index) => send(system, 'shop-0', `/read/${index}`));
	system.runUntil(system.now + 3000);
	const byAction = new Map<string, number>();
	system.work.filter(work => work.service === 'deep').map(work => byAction.set(work.actionId, (byAction.get(work.actionId) ?? 0) + 1));
	t.equal(byAction.size, 10);
	t.ok(Math.max(...byAction.values()) <= 1 + manifest.retriesPerAction, `starts per action: ${[...byAction.values()].join(', ')}`);
	t.ok(Math.max(...byAction.values()) > 1, 'retries did happen');
});

test('at-most-once work that may have run is not sent again', async t => {
	const system = startSystem(8);
	system.nodes.map(node => {
		node.upstreamFailure = UpstreamFailure.Broken;
		return node;
	});
	const answers = send(system, 'deep-0', '/pay');
	system.runUntil(system.now + 3000);
	t.match(answers, [{outcome: Outcome.Unknown, error: {kind: ErrorKind.UpstreamBroken}}]);
	t.equal(worksOf(system, '/pay'), 1);
});

test('a second try of a key joins the running one and gets its answer', async t => {
	const system = startSystem(9);
	const first = send(system, 'deep-0', '/pay', {key: 'k-1'});
	system.runUntil(system.now + 5);
	const second = send(system, 'deep-1', '/pay', {key: 'k-1'});
	system.runUntil(system.now + 500);
	const third = send(system, 'shop-2', '/pay', {key: 'k-1'});
	system.runUntil(system.now + 500);
	t.equal(worksOf(system, '/pay'), 1);
	t.same([first, second, third].map(list => list[0]?.outcome), [Outcome.Ran, Outcome.Ran, Outcome.Ran]);
	t.same(second[0]?.answer?.body, first[0]?.answer?.body);
});

test('a key used with another request is refused and does not run', async t => {
	const system = startSystem(10);
	send(system, 'deep-0', '/pay', {key: 'k-1', digest: 'one'});
	system.runUntil(system.now + 500);
	const other = send(system, 'deep-0', '/pay', {key: 'k-1', digest: 'two'});
	system.runUntil(system.now + 500);
	t.match(other, [{error: {kind: ErrorKind.KeyReused}}]);
	t.equal(worksOf(system, '/pay'), 1);
});

test('when a primary dies, its keys never run again, and new keys run at the backup', async t => {
	const system = startSystem(11);
	const first = send(system, 'deep-0', '/pay', {key: 'k-1'});
	runUntilWork(system, '/pay');
	const started = system.work.find(work => work.target === '/pay');
	system.kill(system.node(started!.node));
	system.runUntil(system.now + 4000);
	const again = send(system, 'deep-0', '/pay', {key: 'k-1'});
	const others = Array.from({length: 20}, (_, index) => send(system, 'deep-0', '/pay', {key: `other-${index}`}));
	system.runUntil(system.now + 4000);
	t.equal(first[0]?.outcome, Outcome.Unknown);
	t.match(again, [{outcome: Outcome.Unknown, error: {kind: ErrorKind.KeyStateUnknown}}]);
	t.ok(others.every(list => list[0]?.outcome === Outcome.Ran), others.map(list => list[0]?.error?.kind ?? 'ran').join(', '));
	t.equal(worksOf(system, '/pay'), 21);
});

test('a primary that was paused through a takeover runs nothing twice', async t => {
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
	const digests = system.work.filter(work => work.target === '/pay');
	t.ok(digests.length <= keys.length, `${digests.length} starts for ${keys.length} keys`);
});

test('at-most-once work goes on through an outage of the store', async t => {
	const system = startSystem(13);
	system.store.isDown = true;
	system.runUntil(system.now + 20_000);
	const answers = Array.from({length: 10}, (_, index) => send(system, 'deep-0', '/pay', {key: `k-${index}`}));
	system.runUntil(system.now + 2000);
	t.ok(answers.every(list => list[0]?.outcome === Outcome.Ran));
});

test('when both holders of a range are gone its keys are unknown, and it comes back without the old keys', async t => {
	const system = new VirtualSystem({
		seed: 14, manifest, services, withoutStoreMilliseconds: 2000,
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

test('a leaving node gets no new work, finishes what runs, and hands its ranges over', async t => {
	const system = startSystem(15);
	const leaving = system.node('shop-1');
	const slow = Array.from({length: 12}, (_, index) => send(system, 'deep-0', `/browse/slow-${index}`));
	system.runUntil(system.now + 3);
	system.leave(leaving);
	const leftAt = system.now;
	system.runUntil(leftAt + 3000);
	const after = Array.from({length: 30}, (_, index) => send(system, 'deep-0', '/pay', {key: `k-${index}`}));
	system.runUntil(system.now + 3000);
	t.ok(slow.every(list => list[0]?.outcome === Outcome.Ran), 'nothing in flight was cut off');
	t.ok(after.every(list => list[0]?.outcome === Outcome.Ran), after.map(list => list[0]?.error?.kind ?? 'ran').join(', '));
	t.notOk(system.work.some(work => work.node === 'shop-1' && work.at > leftAt + 3000));
	t.ok(leaving.core.isDrained);
	t.equal(system.node('deep-0').core.membership.get('shop-1')?.state, UpstreamState.Draining);
});

test('a caller that goes away cancels the call all the way down', async t => {
	const system = startSystem(16);
	system.nodes.filter(node => node.service.service === 'deep').map(node => {
		node.slowFactor = 100;
		return node;
	});
	const cancel = system.request('shop-0', {service: 'shop', method: 'GET', target: '/read/1'}, () => t.fail('the caller has gone'));
	system.runUntil(system.now + 50);
	t.equal(system.nodes.reduce((sum, node) => sum + node.running.size, 0), 2);
	cancel();
	system.runUntil(system.now + 20);
	t.equal(system.nodes.reduce((sum, node) => sum + node.running.size, 0), 0);
});

test('deposits are refused only after less important work', async t => {
	const system = startSystem(17);
	const browsing = Array.from({length: 400}, (_, index) => send(system, `shop-${index % 3}`, `/browse/${index}`));
	const paying = Array.from({length: 30}, (_, index) => send(system, `shop-${index % 3}`, '/pay', {key: `k-${index}`}));
	system.runUntil(system.now + 4000);
	t.ok(browsing.some(list => list[0]?.outcome !== Outcome.Ran), 'browsing was refused');
	t.ok(paying.every(list => list[0]?.outcome === Outcome.Ran), paying.map(list => list[0]?.error?.kind ?? 'ran').join(', '));
});

test('unknown services and request kinds are told as such', async t => {
	const system = startSystem(18);
	const answers: CallerAnswer[] = [];
	system.request('shop-0', {service: 'none', method: 'GET', target: '/'}, answer => answers.push(answer));
	system.request('shop-0', {service: 'shop', method: 'GET', target: '/none'}, answer => answers.push(answer));
	t.match(answers, [{outcome: Outcome.NotRun, error: {kind: ErrorKind.UnknownService}}, {outcome: Outcome.NotRun, error: {kind: ErrorKind.UnknownRequestKind}}]);
});

test('a refusal tells how long the call waited and what was in its way', async t => {
	const system = startSystem(19);
	Array.from({length: 400}, (_, index) => send(system, `shop-${index % 3}`, `/browse/${index}`));
	system.runUntil(system.now + 2000);
	const refusals = system.events.filter(event => event.type === EventType.Refused);
	t.ok(refusals.length > 0);
	t.same(refusals.filter(({cause}) => !/^after \d+ ms with -?\d+ ms left: \d+ of \d+ run, \d+ wait, priority \d+, level \d+$/u.test(cause ?? '')), []);
	t.same(system.events.filter(event => event.type === EventType.LimitChanged && event.cause === undefined), []);
});
