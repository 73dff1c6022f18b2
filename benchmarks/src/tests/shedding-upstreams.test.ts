import {allAdmissionMechanisms} from '@laburnumspool/core';
import {test} from 'tap';
import {seededRandom} from '@laburnumspool/load';
import type {VirtualService} from '../virtual-node.js';
import {VirtualSystem} from '../virtual-system.js';
import {
	scheduleRequests, nestedCalls, createChainManifest, isServed, settleMilliseconds, shareOf, type ScheduledRequest,
} from './deep-chain.js';

const manifest = createChainManifest({
	browse: 2000, order: 2000, status: 1000, ledger: 2000, lookup: 700,
});

const services: readonly VirtualService[] = [
	{
		service: 'catalogue', instances: 6, slots: 60, behaviours: [{prefix: '/', milliseconds: 100, calls: nestedCalls('/status/1', 1)}],
	},
	{
		service: 'orders', instances: 6, slots: 80, behaviours: [{prefix: '/', milliseconds: 15, calls: nestedCalls('/ledger/1', 1)}],
	},
	{
		service: 'deposits', instances: 6, slots: 80, behaviours: [{
			prefix: '/', milliseconds: 15, calls: nestedCalls('/lookup/1', 4), isSequential: true,
		}],
	},
	{
		service: 'deliveries', instances: 6, slots: 60, behaviours: [{prefix: '/', milliseconds: 30}],
	},
];

const adaptationMilliseconds = 2000;
const loadMilliseconds = 8000;
const refusedShare = 0.5;
const seeds = [1, 2, 3];

/** Few requests are served while half of all calls are refused, so a comparison needs more of them. */
const comparedSeeds = Array.from({length: 12}, (_, index) => index + 1);

/** Twice the standard error of the difference between two arms. */
const tolerance = 0.012;
const deployedRetries = {burst: 2, share: 0.05};

type Served = {readonly browses: number; readonly orders: number; readonly offers: number; readonly lookups: number};

/** Shares of the customers' requests that are served while the matching upstreams of the deepest service refuse half of their calls. */
function run(seed: number, offerShare: number, isShedding: (name: string) => boolean): Served {
	const system = new VirtualSystem({
		seed, manifest, services, retries: {...deployedRetries, offerShare}, admissionMechanisms: {...allAdmissionMechanisms, adaptiveLimit: false},
	});
	const random = seededRandom(seed + 100);
	system.runUntil(settleMilliseconds);
	system.nodes.filter(node => node.service.service === 'deliveries' && isShedding(node.name)).map(node => {
		node.refusedShare = refusedShare;
		return node;
	});
	const load = (target: string, perSecond: number): ScheduledRequest[] => scheduleRequests(system, {
		target, perSecond, milliseconds: loadMilliseconds, random,
	}).filter(entry => entry.sendAt > adaptationMilliseconds);
	const browses = load('/browse/1', 60);
	const orders = load('/order/1', 20);
	system.runUntil(system.now + loadMilliseconds + 2000);
	const lookups = system.refusedCalls + system.upstreamCalls.filter(({target}) => target === '/lookup/1').length;
	return {
		browses: shareOf(browses, isServed), orders: shareOf(orders, isServed), offers: system.refusedCalls, lookups,
	};
}

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

test('while one upstream of a deep service refuses half of its calls, the others get nearly all of them', async t => {
	const results = seeds.map(seed => run(seed, 0.1, name => name === 'deliveries-0'));
	const refused = mean(results.map(({offers, lookups}) => offers / lookups));
	t.ok(refused < 0.03, `${refused.toFixed(3)} of the calls were refused`);
	t.ok(mean(results.map(({orders}) => orders)) > 0.95);
	t.ok(mean(results.map(({browses}) => browses)) > 0.95);
});

test('while all upstreams of a deep service refuse half of their calls, offers to others serve more orders and no fewer browses', async t => {
	const withOffers = comparedSeeds.map(seed => run(seed, 0.1, () => true));
	const without = comparedSeeds.map(seed => run(seed, 0, () => true));
	const [orders, ordersBefore] = [withOffers, without].map(results => mean(results.map(result => result.orders)));
	const [browses, browsesBefore] = [withOffers, without].map(results => mean(results.map(result => result.browses)));
	t.ok(orders! > ordersBefore!, `orders ${orders!.toFixed(3)}, without offers ${ordersBefore!.toFixed(3)}`);
	t.ok(browses! >= browsesBefore! - tolerance, `browses ${browses!.toFixed(3)}, without offers ${browsesBefore!.toFixed(3)}`);
});
