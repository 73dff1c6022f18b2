import {test} from 'tap';
import {
	Outcome, safeParseManifest, type CallerAnswer, type Manifest,
} from '@laburnumspool/core';
import {seededRandom} from '@laburnumspool/load';
import type {VirtualInnerCall, VirtualService} from '../virtual-node.js';
import {VirtualSystem} from '../virtual-system.js';

const host = 'shop.example';
const route = (service: string, prefix: string, rank: number, waitMilliseconds: number): Record<string, unknown> => ({
	host, prefix, semantics: 'idempotent', rank, waitMilliseconds, attempts: 2, service,
});
const result = safeParseManifest({
	version: 1,
	routes: {
		browse: route('catalogue', '/browse/', 2, 1500),
		order: route('orders', '/order/', 0, 1500),
		status: route('orders', '/status/', 2, 1000),
		ledger: route('deposits', '/ledger/', 2, 800),
		lookup: route('deliveries', '/lookup/', 2, 700),
	},
	services: {
		catalogue: {}, orders: {}, deposits: {}, deliveries: {},
	},
});
const {manifest} = (result as {manifest: Manifest});

const calls = (target: string, times: number): VirtualInnerCall[] => Array.from({length: times}, () => ({
	service: '', host, method: 'GET', target,
}));

const services: readonly VirtualService[] = [
	{
		service: 'catalogue', instances: 6, slots: 60, behaviours: [{prefix: '/', milliseconds: 120, calls: calls('/status/1', 1)}],
	},
	{
		service: 'orders', instances: 4, slots: 80, behaviours: [{prefix: '/status/', milliseconds: 15, calls: calls('/ledger/1', 1)}, {
			prefix: '/', milliseconds: 160, calls: calls('/ledger/1', 2), isInTurn: true,
		}],
	},
	{
		service: 'deposits', instances: 4, slots: 80, behaviours: [{
			prefix: '/', milliseconds: 15, calls: calls('/lookup/1', 4), isInTurn: true,
		}],
	},
	{
		service: 'deliveries', instances: 4, slots: 8, behaviours: [{prefix: '/', milliseconds: 30}],
	},
];

const settleMilliseconds = 3000;
const warmMilliseconds = 2000;
const loadMilliseconds = 8000;

type Asked = {readonly at: number; readonly answers: CallerAnswer[]};

/** Asks at random times, at nodes in turn. */
function ask(system: VirtualSystem, target: string, perSecond: number, random: () => number): Asked[] {
	const asked: Asked[] = [];
	let at = 0;
	while (at < loadMilliseconds) {
		at -= Math.log(1 - random()) * 1000 / perSecond;
		const entry = {at, answers: [] as CallerAnswer[]};
		const node = system.nodes[asked.length % system.nodes.length]!;
		asked.push(entry);
		system.schedule(at, () => {
			system.request(node.name, {host, method: 'GET', target}, answer => entry.answers.push(answer));
		});
	}

	return asked.filter(entry => entry.at > warmMilliseconds);
}

const isServed = ({answers: [answer]}: Asked): boolean => answer?.answer?.status === 200;
const isRefused = ({answers: [answer]}: Asked): boolean => answer?.outcome === Outcome.NotRun;

test('with too little room three services below, what cannot be served is refused at its entry', async t => {
	[1, 2, 3].map(seed => {
		const system = new VirtualSystem({seed, manifest, services});
		const random = seededRandom(seed + 100);
		system.runUntil(settleMilliseconds);
		const orders = ask(system, '/order/1', 62, random);
		const browses = ask(system, '/browse/1', 190, random);
		system.runUntil(system.now + loadMilliseconds + 3000);
		const share = (asked: readonly Asked[], is: (entry: Asked) => boolean): number => asked.filter(entry => is(entry)).length / asked.length;
		const text = `orders served ${share(orders, isServed).toFixed(3)}, browses served ${share(browses, isServed).toFixed(3)}, refused ${share(browses, isRefused).toFixed(3)}`;
		t.ok(share(orders, isServed) > 0.95, text);
		t.ok(share(browses, isServed) > 0.5, text);
		t.ok(1 - share(browses, isServed) - share(browses, isRefused) < 0.2, text);
		return system;
	});
});
