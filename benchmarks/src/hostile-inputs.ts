/**
 * Runs a system in virtual time while one of its nodes receives hostile input, and checks what callers get.
 *
 * @module
 */
import {
	CancelResult, ErrorKind, isDeadOrLeft, Liveness, Outcome, safeParseManifest, UpstreamState, type CallerAnswer, type HybridTime, type Manifest, type Member, type NodeCore, type NodeEffect,
} from '@laburnumspool/core';
import fc from 'fast-check';
import type {FuzzTarget} from './fuzz-targets.js';
import {VirtualSystem} from './virtual-system.js';

const host = 'shop.example';
const settleMilliseconds = 2000;
const requestIntervalMilliseconds = 20;
const requestCount = 60;
/** Time after the last hostile input, in which suspicions end and each node exchanges its view twice. */
const recoveryMilliseconds = 30_000;
const storeReadMilliseconds = 2000;

const {manifest} = safeParseManifest({
	version: 1,
	routes: {
		pay: {
			host, prefix: '/pay/', semantics: 'at-most-once', rank: 0, waitMilliseconds: 1000, attempts: 2, service: 'shop',
		},
		browse: {
			host, prefix: '/browse/', semantics: 'idempotent', rank: 2, waitMilliseconds: 1000, attempts: 2, service: 'shop',
		},
	},
	services: {shop: {}},
}) as {manifest: Manifest};

/** One hostile input: the node that receives it, and what it receives. */
export type HostileInput = {readonly node: number; readonly describe: string; readonly apply: (core: NodeCore, now: number) => NodeEffect[]};

const nodeNames = ['shop-0', 'shop-1', 'shop-2'];
const nodeIndex = fc.nat(nodeNames.length - 1);

/** A member as a decoder lets it pass: valid in itself, and false. */
const falseMember: fc.Arbitrary<Member> = fc.record({
	name: fc.constantFrom(...nodeNames, 'ghost-1'),
	incarnation: fc.oneof(fc.constantFrom(0, 1, 2, 1_800_000_000_000, 8.64e15), fc.nat()),
	version: fc.oneof(fc.constantFrom(0, 1, 4_294_967_295), fc.nat(50)),
	location: fc.constant({region: 'r', failureDomain: 'f0'}),
	host: fc.constantFrom(...nodeNames, '10.9.9.9'),
	callersPort: fc.constant(1),
	peersPort: fc.constant(2),
	controlPort: fc.constantFrom(3, 4),
	service: fc.constantFrom('shop', 'other', ''),
	state: fc.constantFrom(...Object.values(UpstreamState)),
	slots: fc.constantFrom(0, 1, 100_000),
	liveness: fc.constantFrom(...Object.values(Liveness)),
});

const hybridTime: fc.Arbitrary<HybridTime> = fc.oneof(fc.constantFrom(0, -1, 1.7e308, Number.MAX_SAFE_INTEGER), fc.integer());

/** A view that arrives at the node with the index. */
export function createFalseView(node: number, members: readonly Member[]): HostileInput {
	return {node, describe: `view ${JSON.stringify(members)}`, apply: (core, now) => core.viewArrived(members, [], now)};
}

const falseView: fc.Arbitrary<HostileInput> = fc.tuple(nodeIndex, fc.array(falseMember, {maxLength: 3})).map(([node, members]) => createFalseView(node, members));

const unknownCallIds = fc.constantFrom('shop-0.1.1', 'shop-1.1.2', 'nothing', '');

const staleMessages: fc.Arbitrary<HostileInput> = fc.tuple(nodeIndex, unknownCallIds, hybridTime, fc.nat(3)).map(([node, callId, clock, choice]): HostileInput => {
	const serving = {
		headroom: -5, level: 0, downstreamLevel: 0, draining: false, revision: 1, servedMilliseconds: 0,
	};
	const inputs: ReadonlyArray<HostileInput['apply']> = [
		(core, now) => core.callAnswered({
			callId, outcome: Outcome.NotRun, coversAction: true, answer: undefined, error: {kind: ErrorKind.Overloaded, detail: ''}, retriesSpent: 0, serving,
		}, clock, now),
		(core, now) => core.callStarted(callId, {status: 200, headers: [], bodyBytes: undefined}, now),
		(core, now) => core.cancelReplied(callId, CancelResult.NotRun, now),
		(core, now) => core.upstreamStarted(callId, {status: 200, headers: [], bodyBytes: undefined}, now),
	];
	// Call ids of the system's own calls are not guessed, since only the two nodes of a link can send them.
	return {node, describe: `stale ${choice} ${callId} ${clock}`, apply: callId === 'nothing' || callId === '' ? inputs[choice]! : () => []};
});

const falseRumors: fc.Arbitrary<HostileInput> = fc.tuple(nodeIndex, fc.constantFrom('ranges/shop', 'ranges/other'), fc.nat()).map(([node, topic, version]) => ({
	node, describe: `rumor ${topic} ${version}`, apply: (core, now) => core.viewArrived([], [{topic, version}], now),
}));

type Sent = {readonly node: string; readonly target: string; readonly answers: CallerAnswer[]};

/** Violations of the promises in one run; empty when all hold. */
export function runHostileInputs(seed: number, inputs: readonly HostileInput[]): string[] {
	const system = new VirtualSystem({
		seed, manifest, services: [{
			service: 'shop', instances: nodeNames.length, slots: 4, behaviours: [{prefix: '/', milliseconds: 10}],
		}],
	});
	system.runUntil(settleMilliseconds);
	const sent: Sent[] = [];
	inputs.map(({node, apply}, index) => system.schedule((index + 1) * requestIntervalMilliseconds, () => {
		system.inject(nodeNames[node]!, (core, now) => apply(core, now));
	}));
	Array.from({length: requestCount}, (_, index) => system.schedule((index + 0.5) * requestIntervalMilliseconds, () => {
		const request: Sent = {node: nodeNames[index % nodeNames.length]!, target: `/${index % 2 === 0 ? 'pay' : 'browse'}/${index}`, answers: []};
		sent.push(request);
		system.request(request.node, {host, method: 'POST', target: request.target}, answer => request.answers.push(answer));
	}));
	scheduleStoreReads(system);
	system.runUntil(settleMilliseconds + (requestIntervalMilliseconds * Math.max(requestCount, inputs.length)) + recoveryMilliseconds);
	return [
		...sent.flatMap(request => findBrokenPromises(request, system)),
		...system.nodes.flatMap(node => findMissingMembers(node.core)),
	];
}

/** All nodes read the entries that the living nodes keep in the store, again and again. */
function scheduleStoreReads(system: VirtualSystem): void {
	system.schedule(storeReadMilliseconds, () => {
		const entries = system.nodes.map(({core}) => core.own);
		nodeNames.map(name => {
			system.inject(name, (core, now) => core.viewArrived(entries, [], now));
			return name;
		});
		scheduleStoreReads(system);
	});
}

function findBrokenPromises({target, answers}: Sent, system: VirtualSystem): string[] {
	const starts = system.upstreamCalls.filter(call => call.target === target).length;
	const outcome = answers[0]?.outcome;
	return [
		...(answers.length === 1 ? [] : [`${target} has ${answers.length} answers`]),
		...(outcome === Outcome.NotRun && starts > 0 ? [`${target} was reported as not run and ran ${starts} times`] : []),
		...(target.startsWith('/pay/') && starts > 1 ? [`${target} ran ${starts} times`] : []),
		...(outcome === Outcome.Ran && starts === 0 ? [`${target} was reported as run and did not run`] : []),
	];
}

function findMissingMembers(core: NodeCore): string[] {
	const living = core.members.filter(member => !isDeadOrLeft(member) && member.host === member.name);
	return nodeNames.filter(name => !living.some(member => member.name === name)).map(name => `${core.own.name} does not see ${name}`);
}

/** Sequences of hostile inputs to a running system. */
export const hostileNodeTarget: FuzzTarget = {
	name: 'hostile node inputs',
	property: fc.property(fc.record({seed: fc.nat(1_000_000), inputs: fc.array(fc.oneof(falseView, staleMessages, falseRumors), {maxLength: 40})}), value => {
		const {seed, inputs} = value;
		const violations = runHostileInputs(seed, inputs);
		if (violations.length > 0) {
			throw new Error(`${violations.slice(0, 3).join('; ')} after ${inputs.map(({describe, node}) => `${node}: ${describe}`).join(' | ')}`);
		}
	}),
};
