import {test} from 'tap';
import {safeParseManifest, UpstreamFailure, type Manifest} from '@laburnumspool/core';
import {seededRandom} from '@laburnumspool/load';
import {VirtualSystem} from '../virtual-system.js';

const host = 'shop.example';
const instances = 24;
const requestsPerSecond = 96;
const settleMilliseconds = 3000;
const loadMilliseconds = 14_000;
const windowMilliseconds = 10_000;

/** The budget of all nodes together: repeats in a window are a share of its requests and a slack. */
const budgetShare = 0.2;
const budgetSlack = 50;

const {manifest} = safeParseManifest({
	version: 1,
	routes: {
		browse: {
			host, prefix: '/browse/', semantics: 'idempotent', rank: 2, waitMilliseconds: 1000, attempts: 4, service: 'shop',
		},
	},
	services: {shop: {}},
}) as {manifest: Manifest};

type Arrival = {readonly at: number; readonly isRepeat: boolean};

/** Repeats beyond the budget, in the window that has most. */
function worstExcess(sent: readonly number[], arrivals: readonly Arrival[]): number {
	const repeats = arrivals.filter(arrival => arrival.isRepeat);
	const excesses = repeats.map(({at: until}) => {
		const isInside = (at: number): boolean => at > until - windowMilliseconds && at <= until;
		return repeats.filter(({at}) => isInside(at)).length - (budgetShare * sent.filter(at => isInside(at)).length) - budgetSlack;
	});
	return Math.max(-budgetSlack, ...excesses);
}

function play(seed: number, failure: UpstreamFailure, retries: {readonly share: number; readonly burst: number}): {excess: number; repeats: number} {
	const system = new VirtualSystem({
		seed, manifest, retries, services: [{
			service: 'shop', instances, slots: 8, behaviours: [{prefix: '/', milliseconds: 10}],
		}],
	});
	system.runUntil(settleMilliseconds);
	const random = seededRandom(seed);
	const sent: number[] = [];
	while (system.now < settleMilliseconds + loadMilliseconds) {
		const node = system.nodes[Math.floor(random() * instances)]!;
		system.nodes[Math.floor(random() * instances)]!.upstreamFailure = random() < 0.6 ? failure : undefined;
		system.request(node.name, {host, method: 'GET', target: `/browse/${sent.length}`}, () => undefined);
		sent.push(system.now);
		system.runUntil(system.now + (1000 / requestsPerSecond));
	}

	const seen = new Set<string>();
	const arrivals = system.work.map(({target, at}) => {
		const isRepeat = seen.has(target);
		seen.add(target);
		return {at, isRepeat};
	});
	return {excess: worstExcess(sent, arrivals), repeats: arrivals.filter(arrival => arrival.isRepeat).length};
}

const deployed = {share: 0.05, burst: 2};

for (const failure of [UpstreamFailure.Broken, UpstreamFailure.Refused]) {
	test(`repeats of all nodes together stay within the budget in every window while upstreams fail: ${failure}`, async t => {
		const {excess, repeats} = play(1, failure, deployed);
		t.ok(repeats > instances, `${repeats} requests were sent again`);
		t.ok(excess <= 0, `the worst window is ${-excess} below the budget`);
	});
}

test('the check of the budget finds nodes that send again without a bound', async t => {
	const {excess} = play(1, UpstreamFailure.Broken, {share: 1, burst: 100});
	t.ok(excess > 0, `${excess} beyond the budget`);
});
