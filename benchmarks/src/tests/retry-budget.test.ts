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

/** Retry budget of all nodes together: in every window, at most this share of its requests plus a constant. */
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

type Arrival = {readonly at: number; readonly isRetry: boolean};

/** Largest excess of retries over the budget in any window; negative when every window stays below the budget. */
function maximumExcess(sendTimes: readonly number[], arrivals: readonly Arrival[]): number {
	const retries = arrivals.filter(arrival => arrival.isRetry);
	const excesses = retries.map(({at: until}) => {
		const isInside = (time: number): boolean => time > until - windowMilliseconds && time <= until;
		return retries.filter(({at}) => isInside(at)).length - (budgetShare * sendTimes.filter(time => isInside(time)).length) - budgetSlack;
	});
	return Math.max(-budgetSlack, ...excesses);
}

function runScenario(seed: number, failure: UpstreamFailure, retries: {readonly share: number; readonly burst: number}): {excess: number; retries: number} {
	const system = new VirtualSystem({
		seed, manifest, retries, services: [{
			service: 'shop', instances, slots: 8, behaviours: [{prefix: '/', milliseconds: 10}],
		}],
	});
	system.runUntil(settleMilliseconds);
	const random = seededRandom(seed);
	const sendTimes: number[] = [];
	while (system.now < settleMilliseconds + loadMilliseconds) {
		const node = system.nodes[Math.floor(random() * instances)]!;
		system.nodes[Math.floor(random() * instances)]!.upstreamFailure = random() < 0.6 ? failure : undefined;
		system.request(node.name, {host, method: 'GET', target: `/browse/${sendTimes.length}`}, () => undefined);
		sendTimes.push(system.now);
		system.runUntil(system.now + (1000 / requestsPerSecond));
	}

	const seen = new Set<string>();
	const arrivals = system.upstreamCalls.map(({target, startedAt}) => {
		const isRetry = seen.has(target);
		seen.add(target);
		return {at: startedAt, isRetry};
	});
	return {excess: maximumExcess(sendTimes, arrivals), retries: arrivals.filter(arrival => arrival.isRetry).length};
}

const deployedRetries = {share: 0.05, burst: 2};

for (const failure of [UpstreamFailure.Broken, UpstreamFailure.Refused]) {
	test(`retries of all nodes together stay within the budget in every window while upstreams fail with ${failure}`, async t => {
		const {excess, retries} = runScenario(1, failure, deployedRetries);
		t.ok(retries > instances, `${retries} retries`);
		t.ok(excess <= 0, `largest excess over the budget in a window: ${excess} retries`);
	});
}

test('the budget check detects nodes that retry without a limit', async t => {
	const {excess} = runScenario(1, UpstreamFailure.Broken, {share: 1, burst: 100});
	t.ok(excess > 0, `largest excess over the budget in a window: ${excess} retries`);
});
