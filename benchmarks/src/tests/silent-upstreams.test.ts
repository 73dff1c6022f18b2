import {test} from 'tap';
import {UpstreamFailure} from '@laburnumspool/core';
import {seededRandom} from '@laburnumspool/load';
import type {VirtualService} from '../virtual-node.js';
import {VirtualSystem} from '../virtual-system.js';
import {
	scheduleRequests, nestedCalls, createChainManifest, host, isServed, settleMilliseconds, shareOf,
} from './deep-chain.js';

const manifest = createChainManifest({
	browse: 2000, order: 2000, status: 1000, ledger: 2000, lookup: 700,
});

const services: readonly VirtualService[] = [
	{
		service: 'catalogue', instances: 6, slots: 60, behaviours: [{prefix: '/', milliseconds: 300, calls: nestedCalls('/status/1', 1)}],
	},
	{
		service: 'orders', instances: 4, slots: 80, behaviours: [{prefix: '/', milliseconds: 15, calls: nestedCalls('/ledger/1', 1)}],
	},
	{
		service: 'deposits', instances: 4, slots: 80, behaviours: [{
			prefix: '/', milliseconds: 15, calls: nestedCalls('/lookup/1', 4), isSequential: true,
		}],
	},
	{
		service: 'deliveries', instances: 6, slots: 60, behaviours: [{prefix: '/', milliseconds: 75}],
	},
];

const adaptationMilliseconds = 1500;
const loadMilliseconds = 5000;

test('upstreams that break every call stop receiving the calls of their failure domain', async t => {
	[1, 2, 3].map(seed => {
		const system = new VirtualSystem({seed, manifest, services});
		const random = seededRandom(seed + 100);
		system.runUntil(settleMilliseconds);
		['deposits-0', 'deposits-2'].map(name => {
			const node = system.node(name);
			node.upstreamFailure = UpstreamFailure.Broken;
			node.slowdownFactor = 0.1;
			return name;
		});
		const requests = scheduleRequests(system, {
			target: '/browse/1', perSecond: 100, milliseconds: loadMilliseconds, random,
		}).filter(entry => entry.sendAt > adaptationMilliseconds);
		system.runUntil(system.now + loadMilliseconds + 2000);
		const served = shareOf(requests, isServed);
		t.ok(served > 0.9, `served ${served.toFixed(3)} with half of the deposits' upstreams broken`);
		return system;
	});
});

test('calls cancelled by disconnecting callers do not count against the upstream', async t => {
	const system = new VirtualSystem({seed: 1, manifest, services});
	system.runUntil(settleMilliseconds);
	const entry = 'deposits-0';
	for (let count = 0; count < 30; count += 1) {
		const disconnect = system.request(entry, {host, method: 'GET', target: '/lookup/1'}, () => undefined);
		system.runUntil(system.now + 5);
		disconnect();
		system.runUntil(system.now + 20);
	}

	const domainOf = (name: string): string => system.node(name).core.own.location.failureDomain;
	t.ok(system.upstreamCalls.length >= 30);
	t.same(system.upstreamCalls.filter(({node}) => domainOf(node) !== domainOf(entry)), [], 'every call stayed in the failure domain of its entry node');
});
