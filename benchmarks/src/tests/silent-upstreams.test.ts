import {test} from 'tap';
import {
	safeParseManifest, UpstreamFailure, type CallerAnswer, type Manifest,
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
		browse: route('catalogue', '/browse/', 2, 2000),
		status: route('orders', '/status/', 2, 1000),
		ledger: route('deposits', '/ledger/', 2, 2000),
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
		service: 'catalogue', instances: 6, slots: 60, behaviours: [{prefix: '/', milliseconds: 300, calls: calls('/status/1', 1)}],
	},
	{
		service: 'orders', instances: 4, slots: 80, behaviours: [{prefix: '/', milliseconds: 15, calls: calls('/ledger/1', 1)}],
	},
	{
		service: 'deposits', instances: 4, slots: 80, behaviours: [{
			prefix: '/', milliseconds: 15, calls: calls('/lookup/1', 4), isInTurn: true,
		}],
	},
	{
		service: 'deliveries', instances: 6, slots: 60, behaviours: [{prefix: '/', milliseconds: 75}],
	},
];

const settleMilliseconds = 3000;
const adaptMilliseconds = 1500;
const loadMilliseconds = 5000;

type Asked = {readonly at: number; readonly answers: CallerAnswer[]};

/** Asks at random times, at nodes in turn. */
function ask(system: VirtualSystem, perSecond: number, random: () => number): Asked[] {
	const asked: Asked[] = [];
	let at = 0;
	while (at < loadMilliseconds) {
		at -= Math.log(1 - random()) * 1000 / perSecond;
		const entry = {at, answers: [] as CallerAnswer[]};
		const node = system.nodes[asked.length % system.nodes.length]!;
		asked.push(entry);
		system.schedule(at, () => {
			system.request(node.name, {host, method: 'GET', target: '/browse/1'}, answer => entry.answers.push(answer));
		});
	}

	return asked.filter(entry => entry.at > adaptMilliseconds);
}

test('upstreams that answer nothing do not go on taking the calls of their failure domain', async t => {
	[1, 2, 3].map(seed => {
		const system = new VirtualSystem({seed, manifest, services});
		const random = seededRandom(seed + 100);
		system.runUntil(settleMilliseconds);
		['deposits-0', 'deposits-2'].map(name => {
			const node = system.node(name);
			node.upstreamFailure = UpstreamFailure.Broken;
			node.slowFactor = 0.1;
			return name;
		});
		const asked = ask(system, 100, random);
		system.runUntil(system.now + loadMilliseconds + 2000);
		const served = asked.filter(({answers: [answer]}) => answer?.answer?.status === 200).length / asked.length;
		t.ok(served > 0.9, `served ${served.toFixed(3)} with half of the deposits' upstreams broken`);
		return system;
	});
});

test('callers that leave do not make an upstream pass for one that answers nothing', async t => {
	const system = new VirtualSystem({seed: 1, manifest, services});
	system.runUntil(settleMilliseconds);
	const entry = 'deposits-0';
	for (let count = 0; count < 30; count += 1) {
		const leave = system.request(entry, {host, method: 'GET', target: '/lookup/1'}, () => undefined);
		system.runUntil(system.now + 5);
		leave();
		system.runUntil(system.now + 20);
	}

	const domainOf = (name: string): string => system.node(name).core.own.location.failureDomain;
	t.ok(system.work.length >= 30);
	t.same(system.work.filter(({node}) => domainOf(node) !== domainOf(entry)), [], 'none went to another failure domain');
});
