import {test} from 'tap';
import {
	ErrorKind, EventType, Outcome, safeParseManifest, UpstreamFailure, type CallerAnswer, type Manifest,
} from '@laburnumspool/core';
import type {VirtualService} from '../virtual-node.js';
import {VirtualSystem} from '../virtual-system.js';

const host = 'shop.example';
const parseResult = safeParseManifest({
	version: 1,
	routes: {
		pay: {
			host, prefix: '/pay/', semantics: 'at-most-once', rank: 0, waitMilliseconds: 2000, attempts: 2, service: 'shop',
		},
		browse: {
			host, prefix: '/browse/', semantics: 'idempotent', rank: 2, waitMilliseconds: 1000, attempts: 2, service: 'shop',
		},
		fetch: {
			host, prefix: '/fetch/', semantics: 'idempotent', rank: 1, waitMilliseconds: 800, attempts: 2, service: 'deep',
		},
	},
	services: {shop: {}, deep: {}},
});
const {manifest} = (parseResult as {manifest: Manifest});

const services: readonly VirtualService[] = [
	{
		service: 'shop', instances: 3, slots: 4, behaviours: [{prefix: '/', milliseconds: 20}],
	},
	{
		service: 'deep', instances: 2, slots: 4, behaviours: [{prefix: '/', milliseconds: 5}],
	},
];

const settleMilliseconds = 3000;

function startSystem(seed: number): VirtualSystem {
	const system = new VirtualSystem({seed, manifest, services});
	system.runUntil(settleMilliseconds);
	return system;
}

function send(system: VirtualSystem, node: string, target: string, requestId = ''): CallerAnswer[] {
	const answers: CallerAnswer[] = [];
	system.request(node, {
		host, requestId, method: 'GET', target,
	}, answer => answers.push(answer));
	return answers;
}

const setFailure = (system: VirtualSystem, service: string, failure: UpstreamFailure | undefined): void => {
	system.nodes.filter(node => node.service.service === service).map(node => {
		node.upstreamFailure = failure;
		return node;
	});
};

const countStarts = (system: VirtualSystem, target: string): number => system.upstreamCalls.filter(call => call.target === target).length;

test('a request without a route is refused, and a request with a route is served', async t => {
	const system = startSystem(1);
	const unknown = send(system, 'deep-0', '/nothing/1');
	const known = send(system, 'deep-0', '/browse/1');
	system.runUntil(system.now + 500);
	t.match(unknown, [{outcome: Outcome.NotRun, error: {kind: ErrorKind.UnknownRequestKind}}]);
	t.match(known, [{outcome: Outcome.Ran, error: undefined}]);
});

test('an at-most-once call without a key makes no claim and is not sent again when it may have run', async t => {
	const system = startSystem(2);
	setFailure(system, 'shop', UpstreamFailure.Broken);
	const answers = Array.from({length: 10}, (_, index) => send(system, 'deep-0', `/pay/${index}`));
	system.runUntil(system.now + 3000);
	t.ok(answers.every(([answer]) => answer?.outcome === Outcome.Unknown));
	t.same(answers.map((_, index) => countStarts(system, `/pay/${index}`)), answers.map(() => 1));
	t.equal(system.store.records.size, 0, 'no record was written to the store');
});

test('an at-most-once call that is proven not to have run is retried at another upstream within its attempts', async t => {
	const system = startSystem(3);
	setFailure(system, 'shop', UpstreamFailure.Refused);
	const [refused] = [send(system, 'deep-0', '/pay/1')];
	system.runUntil(system.now + 1000);
	t.match(refused, [{outcome: Outcome.NotRun}]);
	t.equal(countStarts(system, '/pay/1'), 2);
	setFailure(system, 'shop', UpstreamFailure.OtherInstance);
	const misdirected = send(system, 'deep-0', '/pay/2');
	system.runUntil(system.now + 1000);
	t.match(misdirected, [{outcome: Outcome.NotRun}]);
});

test('retries after refusals by upstreams count against the retry budget and do not multiply arrivals', async t => {
	const system = startSystem(4);
	setFailure(system, 'shop', UpstreamFailure.Refused);
	const count = 200;
	const burst = 10;
	for (let index = 0; index < count; index += 1) {
		send(system, 'deep-0', `/browse/${index}`);
		system.runUntil(system.now + 20);
	}

	system.runUntil(system.now + 1500);
	t.ok(system.upstreamCalls.length <= count + burst, `${system.upstreamCalls.length} arrivals of ${count} requests`);
});

test('a call whose request ID extends that of a running request joins its action, and another call does not', async t => {
	const system = startSystem(5);
	send(system, 'shop-0', '/browse/1', 'r-1');
	system.runUntil(system.now + 5);
	const parent = system.upstreamCalls.find(call => call.target === '/browse/1')!;
	send(system, parent.node, '/fetch/own', 'r-1.c-1');
	send(system, parent.node, '/fetch/other', 'r-2.c-1');
	system.runUntil(system.now + 500);
	const actionOf = (target: string): string | undefined => system.upstreamCalls.find(call => call.target === target)?.actionId;
	t.equal(actionOf('/fetch/own'), parent.actionId);
	t.not(actionOf('/fetch/other'), parent.actionId);
});

test('calls that wait at a node that starts draining are refused there, and each caller receives one answer', async t => {
	const system = startSystem(6);
	const leaving = system.node('shop-0');
	leaving.slowdownFactor = 20;
	const answers = Array.from({length: 12}, (_, index) => send(system, 'shop-0', `/browse/${index}`));
	system.runUntil(system.now + 10);
	system.startDraining(leaving);
	const startedBefore = system.upstreamCalls.filter(call => call.node === 'shop-0').length;
	system.runUntil(system.now + 1500);
	t.equal(system.upstreamCalls.filter(call => call.node === 'shop-0').length, startedBefore, 'the upstream of the draining node receives no new calls');
	t.ok(answers.every(list => list.length === 1));
	t.ok(system.events.some(event => event.type === EventType.Refused && event.detail === ErrorKind.Draining), 'the waiting calls were refused');
});
