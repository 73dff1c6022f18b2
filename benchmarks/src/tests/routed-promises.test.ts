import {test} from 'tap';
import {
	ErrorKind, EventType, Outcome, safeParseManifest, UpstreamFailure, type CallerAnswer, type Manifest,
} from '@laburnumspool/core';
import type {VirtualService} from '../virtual-node.js';
import {VirtualSystem} from '../virtual-system.js';

const host = 'shop.example';
const result = safeParseManifest({
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
const {manifest} = (result as {manifest: Manifest});

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

const startsOf = (system: VirtualSystem, target: string): number => system.work.filter(work => work.target === target).length;

test('a request without a route is refused, and one with a route served', async t => {
	const system = startSystem(1);
	const unknown = send(system, 'deep-0', '/nothing/1');
	const known = send(system, 'deep-0', '/browse/1');
	system.runUntil(system.now + 500);
	t.match(unknown, [{outcome: Outcome.NotRun, error: {kind: ErrorKind.UnknownRequestKind}}]);
	t.match(known, [{outcome: Outcome.Ran, error: undefined}]);
});

test('at-most-once work without a key needs no claim, and is not sent again when it may have run', async t => {
	const system = startSystem(2);
	setFailure(system, 'shop', UpstreamFailure.Broken);
	const answers = Array.from({length: 10}, (_, index) => send(system, 'deep-0', `/pay/${index}`));
	system.runUntil(system.now + 3000);
	t.ok(answers.every(([answer]) => answer?.outcome === Outcome.Unknown));
	t.same(answers.map((_, index) => startsOf(system, `/pay/${index}`)), answers.map(() => 1));
	t.equal(system.store.records.size, 0, 'nothing of it is in the store');
});

test('at-most-once work goes to another upstream after a proof that it has not run, within its attempts', async t => {
	const system = startSystem(3);
	setFailure(system, 'shop', UpstreamFailure.Refused);
	const [refused] = [send(system, 'deep-0', '/pay/1')];
	system.runUntil(system.now + 1000);
	t.match(refused, [{outcome: Outcome.NotRun}]);
	t.equal(startsOf(system, '/pay/1'), 2);
	setFailure(system, 'shop', UpstreamFailure.OtherInstance);
	const misdirected = send(system, 'deep-0', '/pay/2');
	system.runUntil(system.now + 1000);
	t.match(misdirected, [{outcome: Outcome.NotRun}]);
});

test('refusals by upstreams cost retries, so that they cannot multiply the arrivals', async t => {
	const system = startSystem(4);
	setFailure(system, 'shop', UpstreamFailure.Refused);
	const count = 200;
	const burst = 10;
	for (let index = 0; index < count; index += 1) {
		send(system, 'deep-0', `/browse/${index}`);
		system.runUntil(system.now + 20);
	}

	system.runUntil(system.now + 1500);
	t.ok(system.work.length <= count + burst, `${system.work.length} arrivals of ${count} requests`);
});

test('a call named after a running request belongs to its action, and another does not', async t => {
	const system = startSystem(5);
	send(system, 'shop-0', '/browse/1', 'r-1');
	system.runUntil(system.now + 5);
	const parent = system.work.find(work => work.target === '/browse/1')!;
	send(system, parent.node, '/fetch/own', 'r-1.c-1');
	send(system, parent.node, '/fetch/other', 'r-2.c-1');
	system.runUntil(system.now + 500);
	const actionOf = (target: string): string | undefined => system.work.find(work => work.target === target)?.actionId;
	t.equal(actionOf('/fetch/own'), parent.actionId);
	t.not(actionOf('/fetch/other'), parent.actionId);
});

test('calls that wait at a node whose upstream leaves are refused at once and served elsewhere', async t => {
	const system = startSystem(6);
	const leaving = system.node('shop-0');
	leaving.slowFactor = 20;
	const answers = Array.from({length: 12}, (_, index) => send(system, 'shop-0', `/browse/${index}`));
	system.runUntil(system.now + 10);
	system.leave(leaving);
	const startedBefore = system.work.filter(work => work.node === 'shop-0').length;
	system.runUntil(system.now + 1500);
	t.equal(system.work.filter(work => work.node === 'shop-0').length, startedBefore, 'nothing new reaches the leaving upstream');
	t.ok(answers.every(list => list.length === 1));
	t.ok(system.events.some(event => event.type === EventType.Refused && event.detail === ErrorKind.Draining), 'what waited was refused');
});
