/**
 * Measures the membership cost per node and the time that a change takes to reach all nodes, at growing fleet sizes.
 * The cores run in one process in virtual time; every datagram is encoded as on the wire.
 *
 * @module
 */
import process from 'node:process';
import {gzipSync} from 'node:zlib';
import {
	createRecord, Liveness, manifestTopic, Membership, MembershipEffectType, UpstreamState, type Member, type MembershipEffect,
} from '@laburnumspool/core';
import {formatTable, seededRandom} from '@laburnumspool/load';
import {encodeGossip} from '@laburnumspool/protocol';
import {cac} from 'cac';
import {stringify} from 'yaml';

const stepMilliseconds = 50;
const linkLatencySteps = 1;
/** IPv4 and UDP headers. */
const datagramOverheadBytes = 28;
const warmUpSeconds = 4;
const measuredSeconds = 12;
const wallClockStartMilliseconds = 1_800_000_000_000;

type Fleet = {readonly nodes: Membership[]; readonly byHost: Map<string, Membership>};

/** Results of one fleet size. */
export type ControlMetrics = {
	readonly members: number;
	readonly idleBytesPerSecond: number;
	/** Bytes sent per node for one change of a member, without the idle traffic. */
	readonly changeBytesPerNode: number;
	/** Processor time of one node per second of virtual time. */
	readonly processorShare: number;
	readonly leaveMilliseconds: number;
	readonly deathMilliseconds: number;
	readonly revisionMilliseconds: number;
	readonly heapBytesPerMember: number;
};

function createMember(index: number): Member {
	return {
		name: `node-${index}`, incarnation: wallClockStartMilliseconds + index, version: 1, location: {region: `region-${index % 3}`, failureDomain: `domain-${index % 10}`}, host: `10.0.${Math.floor(index / 250)}.${index % 250}`, callersPort: 7001, peersPort: 7101, controlPort: 7201, service: `service-${index % 110}`, state: UpstreamState.Ready, slots: 140, liveness: Liveness.Alive,
	};
}

class FleetSimulation {
	sentBytes = 0;
	readonly #fleet: Fleet;
	readonly #killedHosts = new Set<string>();
	readonly #matchedAt = new Map<string, number>();
	#inFlight: Array<{at: number; host: string; deliver: (node: Membership) => MembershipEffect[]}> = [];
	#now = 0;
	#watch: {readonly test: (effect: MembershipEffect) => boolean} | undefined;

	constructor(size: number, seed: number) {
		const random = seededRandom(seed);
		const members = Array.from({length: size}, (_, index) => createMember(index));
		const nodes = members.map(own => new Membership({own, random, times: {probeIntervalMilliseconds: 1000, suspicionMilliseconds: 3000, exchangeIntervalMilliseconds: 1e9}}));
		nodes.map(node => node.mergeView(members, 0));
		this.#fleet = {nodes, byHost: new Map(nodes.map(node => [node.own.host, node]))};
	}

	get now(): number {
		return this.#now;
	}

	get nodes(): Membership[] {
		return this.#fleet.nodes;
	}

	get matchedCount(): number {
		return this.#matchedAt.size;
	}

	kill(node: Membership): void {
		this.#killedHosts.add(node.own.host);
	}

	/** Starts to record when each node last emitted an effect that passes the test. */
	watch(test: (effect: MembershipEffect) => boolean): void {
		this.#matchedAt.clear();
		this.#watch = {test};
	}

	applyEffects(node: Membership, effects: readonly MembershipEffect[]): void {
		effects.map(effect => {
			if (this.#watch?.test(effect) === true) {
				this.#matchedAt.set(node.own.host, this.#now);
			}

			if (effect.type === MembershipEffectType.Send) {
				this.sentBytes += encodeGossip(effect.message, wallClockStartMilliseconds).length + datagramOverheadBytes;
				this.#inFlight.push({at: this.#now + (linkLatencySteps * stepMilliseconds), host: effect.to.host, deliver: receiver => receiver.receive(effect.message, this.#now)});
			}

			return effect;
		});
	}

	run(seconds: number, isDone: () => boolean = () => false): void {
		const until = this.#now + (seconds * 1000);
		while (this.#now < until && !isDone()) {
			this.#now += stepMilliseconds;
			const due = this.#inFlight.filter(item => item.at <= this.#now);
			this.#inFlight = this.#inFlight.filter(item => item.at > this.#now);
			due.map(item => {
				const node = this.#fleet.byHost.get(item.host);
				if (node !== undefined && !this.#killedHosts.has(item.host)) {
					this.applyEffects(node, item.deliver(node));
				}

				return item;
			});
			this.#fleet.nodes.filter(node => !this.#killedHosts.has(node.own.host)).map(node => {
				this.applyEffects(node, node.advance(this.#now));
				return node;
			});
		}
	}
}

/**
 * Measures one fleet size in a seeded simulation.
 *
 * @example
 * measureFleet(400, 1).idleBytesPerSecond;
 */
export function measureFleet(size: number, seed: number): ControlMetrics {
	const heapBefore = process.memoryUsage().heapUsed;
	const simulation = new FleetSimulation(size, seed);
	simulation.run(warmUpSeconds);
	const heapBytesPerMember = (process.memoryUsage().heapUsed - heapBefore) / size / size;
	const cpuBefore = process.cpuUsage();
	simulation.sentBytes = 0;
	simulation.run(measuredSeconds);
	const cpu = process.cpuUsage(cpuBefore);
	const idleBytesPerSecond = simulation.sentBytes / size / measuredSeconds;

	const measureSpread = (start: () => void, test: (effect: MembershipEffect) => boolean, expectedCount: number): number => {
		simulation.watch(test);
		const startedAt = simulation.now;
		start();
		simulation.run(30, () => simulation.matchedCount >= expectedCount);
		return simulation.now - startedAt;
	};

	const [leaving, killed, broadcasting] = simulation.nodes as [Membership, Membership, Membership];
	simulation.sentBytes = 0;
	const leaveMilliseconds = measureSpread(() => {
		simulation.applyEffects(leaving, leaving.updateOwn({state: UpstreamState.Draining}, simulation.now));
	}, effect => effect.type === MembershipEffectType.Changed && effect.member.name === leaving.own.name, size);
	simulation.run(3);
	const changeSeconds = (leaveMilliseconds / 1000) + 3;
	const changeBytesPerNode = (simulation.sentBytes / size) - (idleBytesPerSecond * changeSeconds);
	const revisionMilliseconds = measureSpread(() => {
		simulation.applyEffects(broadcasting, broadcasting.broadcast({topic: manifestTopic, version: 2}));
	}, effect => effect.type === MembershipEffectType.RumorReceived, size);
	const deathMilliseconds = measureSpread(() => {
		simulation.kill(killed);
	}, effect => effect.type === MembershipEffectType.Changed && effect.member.name === killed.own.name && effect.member.liveness === Liveness.Dead, size - 1);
	return {
		members: size,
		idleBytesPerSecond,
		changeBytesPerNode,
		processorShare: (cpu.user + cpu.system) / 1e6 / size / measuredSeconds,
		leaveMilliseconds,
		deathMilliseconds,
		revisionMilliseconds,
		heapBytesPerMember,
	};
}

/** Size in bytes, plain and with gzip, of a manifest of the size that users expect in two years. */
function measureManifest(): {plain: number; compressed: number} {
	const requests = Array.from({length: 8}, (_, index) => ({
		kind: `kind-${index}`, methods: ['GET'], path: `/path-${index}/*`, importance: 'normal', semantics: 'idempotent', waitMilliseconds: 800 + index, calls: [{service: `service-${index * 7}`, kind: `kind-${index}`}],
	}));
	const services = Object.fromEntries(Array.from({length: 110}, (_, index) => [`service-${index}`, {requests}]));
	const text = stringify({name: 'large', retriesPerAction: 3, services}, {aliasDuplicateObjects: false});
	return {plain: text.length, compressed: gzipSync(text).length};
}

const cli = cac('control-cost');
cli.option('--sizes <sizes>', 'Fleet sizes', {default: '100,400,1600'});
cli.option('--seed <seed>', 'Seed', {default: 1});
const {options} = cli.parse();
const sizes = String(options.sizes).split(',').map(Number);
const rows = sizes.map(size => {
	const metrics = measureFleet(size, Number(options.seed));
	return [
		String(size), metrics.idleBytesPerSecond.toFixed(0), metrics.changeBytesPerNode.toFixed(0), (metrics.processorShare * 100).toFixed(3), String(metrics.leaveMilliseconds), String(metrics.deathMilliseconds), String(metrics.revisionMilliseconds), metrics.heapBytesPerMember.toFixed(0),
	];
});
const {plain, compressed} = measureManifest();
const record = JSON.stringify(createRecord('service-1', Array.from({length: 29}, (_, index) => createMember(index)))).length;
process.stdout.write(`${formatTable([['members', 'bytes/s sent, idle', 'bytes sent for one change', '% of a core', 'leaving known ms', 'death known ms', 'revision known ms', 'heap bytes/member'], ...rows])}\n`);
process.stdout.write(`manifest of 110 services with 8 kinds each: ${plain} bytes, ${compressed} with gzip; record of key ranges with 29 nodes: ${record} bytes\n`);
