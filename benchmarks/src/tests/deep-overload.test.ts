import {test} from 'tap';
import {Outcome} from '@laburnumspool/core';
import {seededRandom} from '@laburnumspool/load';
import type {VirtualService} from '../virtual-node.js';
import {VirtualSystem} from '../virtual-system.js';
import {
	scheduleRequests, nestedCalls, createChainManifest, isServed, settleMilliseconds, shareOf, type ScheduledRequest,
} from './deep-chain.js';

const manifest = createChainManifest({
	browse: 1500, order: 1500, status: 1000, ledger: 800, lookup: 700,
});

const services: readonly VirtualService[] = [
	{
		service: 'catalogue', instances: 6, slots: 60, behaviours: [{prefix: '/', milliseconds: 120, calls: nestedCalls('/status/1', 1)}],
	},
	{
		service: 'orders', instances: 4, slots: 80, behaviours: [{prefix: '/status/', milliseconds: 15, calls: nestedCalls('/ledger/1', 1)}, {
			prefix: '/', milliseconds: 160, calls: nestedCalls('/ledger/1', 2), isSequential: true,
		}],
	},
	{
		service: 'deposits', instances: 4, slots: 80, behaviours: [{
			prefix: '/', milliseconds: 15, calls: nestedCalls('/lookup/1', 4), isSequential: true,
		}],
	},
	{
		service: 'deliveries', instances: 4, slots: 8, behaviours: [{prefix: '/', milliseconds: 30}],
	},
];

const warmUpMilliseconds = 2000;
const loadMilliseconds = 8000;

const isRefused = ({answers: [answer]}: ScheduledRequest): boolean => answer?.outcome === Outcome.NotRun;

test('when the last service of a chain lacks capacity, orders are served and excess browses are refused rather than timed out', async t => {
	[1, 2, 3].map(seed => {
		const system = new VirtualSystem({seed, manifest, services});
		const random = seededRandom(seed + 100);
		system.runUntil(settleMilliseconds);
		const scheduleMeasuredRequests = (target: string, perSecond: number): ScheduledRequest[] => scheduleRequests(system, {
			target, perSecond, milliseconds: loadMilliseconds, random,
		}).filter(entry => entry.sendAt > warmUpMilliseconds);
		const orders = scheduleMeasuredRequests('/order/1', 62);
		const browses = scheduleMeasuredRequests('/browse/1', 190);
		system.runUntil(system.now + loadMilliseconds + 3000);
		const text = `orders served ${shareOf(orders, isServed).toFixed(3)}, browses served ${shareOf(browses, isServed).toFixed(3)}, refused ${shareOf(browses, isRefused).toFixed(3)}`;
		t.ok(shareOf(orders, isServed) > 0.95, text);
		t.ok(shareOf(browses, isServed) > 0.5, text);
		t.ok(1 - shareOf(browses, isServed) - shareOf(browses, isRefused) < 0.2, text);
		return system;
	});
});
