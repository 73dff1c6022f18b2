/**
 * What membership costs each node, and how fast news spreads, at growing fleet sizes: cores in one process, in virtual
 * time, with every datagram encoded as on the wire.
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
const linkSteps = 1;
const datagramOverheadBytes = 28;
const warmSeconds = 4;
const measuredSeconds = 12;
const wallStart = 1_800_000_000_000;

type Fleet = {readonly nodes: Membership[]; readonly byHost: Map<string, Membership>};

/** Figures of one fleet size. */
export type ControlFigures = {
	readonly members: number;
	readonly idleBytesPerSecond: number;
	readonly newsBytesPerNode: number;
	readonly processorShare: number;
	readonly leaveMilliseconds: number;
	readonly deathMilliseconds: number;
	readonly revisionMilliseconds: number;
	readonly heapBytesPerMember: number;
};

function toMember(index: number): Member {
	return {
		name: `node-${index}`, incarnation: wallStart + index, version: 1, location: {region: `region-${index % 3}`, failureDomain: `domain-${index % 10}`}, host: `10.0.${Math.floor(index / 250)}.${index % 250}`, callersPort: 7001, peersPort: 7101, controlPort: 7201, service: `service-${index % 110}`, state: UpstreamState.Ready, slots: 140, liveness: Liveness.Alive,
	};
}

class FleetRun {
	bytes = 0;
	readonly #fleet: Fleet;
	readonly #down = new Set<string>();
	readonly #heard = new Map<string, number>();
	#inFlight: Array<{at: number; host: string; deliver: (node: Membership) => MembershipEffect[]}> = [];
	#now = 0;
	#watched: {readonly test: (effect: MembershipEffect) => boolean} | undefined;

	constructor(size: number, seed: number) {
		const random = seededRandom(seed);
		const members = Array.from({length: size}, (_, index) => toMember(index));
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

	get heardCount(): number {
		return this.#heard.size;
	}

	kill(node: Membership): void {
		this.#down.add(node.own.host);
	}

	watch(test: (effect: MembershipEffect) => boolean): void {
		this.#heard.clear();
		this.#watched = {test};
	}

	act(node: Membership, effects: readonly MembershipEffect[]): void {
		effects.map(effect => {
			if (this.#watched?.test(effect) === true) {
				this.#heard.set(node.own.host, this.#now);
			}

			if (effect.type === MembershipEffectType.Send) {
				this.bytes += encodeGossip(effect.message, wallStart).length + datagramOverheadBytes;
				this.#inFlight.push({at: this.#now + (linkSteps * stepMilliseconds), host: effect.to.host, deliver: receiver => receiver.receive(effect.message, this.#now)});
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
				if (node !== undefined && !this.#down.has(item.host)) {
					this.act(node, item.deliver(node));
				}

				return item;
			});
			this.#fleet.nodes.filter(node => !this.#down.has(node.own.host)).map(node => {
				this.act(node, node.advance(this.#now));
				return node;
			});
		}
	}
}

/**
 * Measures one fleet size.
 *
 * @example
 * measureFleet(400, 1).idleBytesPerSecond;
 */
export function measureFleet(size: number, seed: number): ControlFigures {
	const heapBefore = process.memoryUsage().heapUsed;
	const run = new FleetRun(size, seed);
	run.run(warmSeconds);
	const heapBytesPerMember = (process.memoryUsage().heapUsed - heapBefore) / size / size;
	const cpuBefore = process.cpuUsage();
	run.bytes = 0;
	run.run(measuredSeconds);
	const cpu = process.cpuUsage(cpuBefore);
	const idleBytesPerSecond = run.bytes / size / measuredSeconds;

	const spread = (start: () => void, test: (effect: MembershipEffect) => boolean, others: number): number => {
		run.watch(test);
		const startedAt = run.now;
		start();
		run.run(30, () => run.heardCount >= others);
		return run.now - startedAt;
	};

	const [leaving, dying, announcing] = run.nodes as [Membership, Membership, Membership];
	run.bytes = 0;
	const leaveMilliseconds = spread(() => {
		run.act(leaving, leaving.updateOwn({state: UpstreamState.Draining}, run.now));
	}, effect => effect.type === MembershipEffectType.Changed && effect.member.name === leaving.own.name, size);
	run.run(3);
	const newsSeconds = (leaveMilliseconds / 1000) + 3;
	const newsBytesPerNode = (run.bytes / size) - (idleBytesPerSecond * newsSeconds);
	const revisionMilliseconds = spread(() => {
		run.act(announcing, announcing.broadcast({topic: manifestTopic, version: 2}));
	}, effect => effect.type === MembershipEffectType.RumorReceived, size);
	const deathMilliseconds = spread(() => {
		run.kill(dying);
	}, effect => effect.type === MembershipEffectType.Changed && effect.member.name === dying.own.name && effect.member.liveness === Liveness.Dead, size - 1);
	return {
		members: size,
		idleBytesPerSecond,
		newsBytesPerNode,
		processorShare: (cpu.user + cpu.system) / 1e6 / size / measuredSeconds,
		leaveMilliseconds,
		deathMilliseconds,
		revisionMilliseconds,
		heapBytesPerMember,
	};
}

/** Size of a manifest of the users' size in two years, plain and compressed. */
function manifestBytes(): {plain: number; compressed: number} {
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
	const figures = measureFleet(size, Number(options.seed));
	return [
		String(size), figures.idleBytesPerSecond.toFixed(0), figures.newsBytesPerNode.toFixed(0), (figures.processorShare * 100).toFixed(3), String(figures.leaveMilliseconds), String(figures.deathMilliseconds), String(figures.revisionMilliseconds), figures.heapBytesPerMember.toFixed(0),
	];
});
const {plain, compressed} = manifestBytes();
const record = JSON.stringify(createRecord('service-1', Array.from({length: 29}, (_, index) => toMember(index)))).length;
process.stdout.write(`${formatTable([['members', 'bytes/s sent, idle', 'bytes sent for one change', '% of a core', 'leaving known ms', 'death known ms', 'revision known ms', 'heap bytes/member'], ...rows])}\n`);
process.stdout.write(`manifest of 110 services with 8 kinds each: ${plain} bytes, ${compressed} with gzip; record of key ranges with 29 nodes: ${record} bytes\n`);
