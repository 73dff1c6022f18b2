/**
 * Nodes with quotas in virtual time, with an unreliable network and failure detectors of several seconds.
 *
 * @module
 */
import {
	boundOf, Liveness, QuotaCoordinator, UpstreamState, type Member, type Quota, type QuotaDatagram,
} from '../index.js';
import {createMember} from './fixtures.js';

const stepMilliseconds = 5;
const windowMilliseconds = 5000;
const tickMilliseconds = 50;
const viewMilliseconds = 200;

/** Faults of the network, and injected faults of nodes that the checks must detect. */
export type NetworkDefinition = {
	readonly size: number;
	readonly seed: number;
	readonly loss?: number;
	readonly doubled?: number;
	readonly latencyMilliseconds?: number;
	/** Replaces the gate of a node, to inject a fault. */
	readonly create?: (definition: ConstructorParameters<typeof QuotaCoordinator>[0], previous: QuotaCoordinator | undefined) => QuotaCoordinator;
};

type Node = {
	readonly index: number;
	own: Member;
	coordinator: QuotaCoordinator;
	side: number;
	downUntil: number;
	pausedUntil: number;
	restartedAt: number;
	tickAt: number;
	readonly heardAt: number[];
	views: string;
};

type Transit = {readonly at: number; readonly from: number; readonly datagram: QuotaDatagram};

/** Generates numbers in [0, 1) from a seed. */
export function createRandom(seed: number): () => number {
	let state = (seed * 7919 % 2_147_483_646) + 1;
	return () => {
		state = state * 16_807 % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

/** Counts of one organisation. */
export class Tally {
	readonly ran: number[] = [];
	asked = 0;
	refused = 0;
	/** Refusals of requests that one token bucket for all nodes would have admitted. */
	refusedBelowQuota = 0;
	#level: number;
	#at = 0;

	constructor(public quota: Quota) {
		this.#level = quota.burst;
	}

	record(isAdmitted: boolean, now: number): void {
		this.#level = Math.min(this.quota.burst, this.#level + ((now - this.#at) * this.quota.requestsPerSecond / 1000));
		this.#at = now;
		this.asked += 1;
		this.refused += Number(!isAdmitted);
		this.refusedBelowQuota += Number(!isAdmitted && this.#level >= 1);
		this.#level -= isAdmitted ? 1 : 0;
	}

	/** Largest part of the bound that a window used which begins at the given time or later; above 1 is an overrun. */
	worstWindow(from = 0, quota = this.quota): number {
		const times = this.ran.filter(time => time >= from).toSorted((left, right) => left - right);
		let first = 0;
		return times.reduce((worst, time, index) => {
			while (times[first]! <= time - windowMilliseconds) {
				first += 1;
			}

			return Math.max(worst, (index - first + 1) / boundOf(quota));
		}, 0);
	}
}

/** The nodes and the datagrams between them. */
export class QuotaNetwork {
	now = 0;
	sentMessages = 0;
	readonly random: () => number;
	readonly tallies = new Map<string, Tally>();
	readonly nodes: Node[];
	readonly #definition: NetworkDefinition;
	#inTransit: Transit[] = [];
	#viewsAt = 0;

	constructor(definition: NetworkDefinition, quotas: ReadonlyMap<string, Quota>) {
		this.#definition = definition;
		this.random = createRandom(definition.seed);
		const members = Array.from({length: definition.size}, (_, index) => createMember(`node-${index}`));
		this.nodes = members.map((own, index) => ({
			index, own, coordinator: undefined as never, side: 0, downUntil: 0, pausedUntil: 0, restartedAt: -Infinity,
			tickAt: this.random() * tickMilliseconds, heardAt: members.map(() => 0), views: '',
		}));
		[...quotas].map(([name, quota]) => this.tallies.set(name, new Tally(quota)));
		this.nodes.map(node => this.#start(node));
	}

	setQuota(name: string, quota: Quota): void {
		this.tallies.get(name)!.quota = quota;
		this.nodes.map(node => node.coordinator.setQuotas(this.#quotas, this.now));
	}

	restart(index: number, downMilliseconds: number): void {
		this.nodes[index]!.downUntil = this.now + downMilliseconds;
	}

	pause(index: number, milliseconds: number): void {
		this.nodes[index]!.pausedUntil = this.now + milliseconds;
	}

	/** The upstream of a node drains: the node owns no quotas any more, and still admits requests. */
	drain(index: number): void {
		const node = this.nodes[index]!;
		node.own = {...node.own, state: UpstreamState.Draining};
		this.nodes.map(other => {
			other.views = '';
			return other;
		});
	}

	/** Splits the nodes into the first ones and the others; 0 joins them again. */
	partition(count: number): void {
		this.nodes.map(node => {
			node.side = Number(node.index < count);
			return node;
		});
	}

	/** Sends a request to a node, and returns a function that ends it as not run. A node that is down or paused runs nothing. */
	request(organisation: string, index: number): (() => void) | undefined {
		const node = this.nodes[index]!;
		if (!this.#isRunning(node)) {
			return undefined;
		}

		const tally = this.tallies.get(organisation)!;
		const {coordinator} = node;
		const isAdmitted = coordinator.admit(organisation, this.now).admitted;
		tally.record(isAdmitted, this.now);
		this.#send(node, coordinator.takeDatagrams(this.now));
		if (!isAdmitted) {
			return undefined;
		}

		const time = this.now;
		tally.ran.push(time);
		return () => {
			if (node.coordinator === coordinator) {
				tally.ran.splice(tally.ran.lastIndexOf(time), 1);
				coordinator.giveBack(organisation, this.now);
			}
		};
	}

	/** Advances the time; `onStep` sends the requests of each step, given its length in seconds. */
	run(milliseconds: number, onStep: (seconds: number) => void): void {
		const end = this.now + milliseconds;
		while (this.now < end) {
			this.now += stepMilliseconds;
			this.#updateViews();
			this.#deliver();
			this.nodes.filter(node => this.#isRunning(node) && this.now >= node.tickAt).map(node => {
				node.tickAt = this.now + tickMilliseconds;
				return this.#send(node, node.coordinator.takeDatagrams(this.now));
			});
			onStep(stepMilliseconds / 1000);
		}
	}

	get #quotas(): Map<string, Quota> {
		return new Map([...this.tallies].map(([name, {quota}]) => [name, quota]));
	}

	#isRunning(node: Node): boolean {
		if (node.downUntil > this.now || node.pausedUntil > this.now) {
			return false;
		}

		if (node.downUntil > 0) {
			node.own = {...node.own, incarnation: node.own.incarnation + 1};
			node.restartedAt = this.now;
			this.#start(node);
		}

		if (node.downUntil > 0 || node.pausedUntil > 0) {
			[node.downUntil, node.pausedUntil] = [0, 0];
			node.heardAt.fill(this.now);
		}

		return true;
	}

	#start(node: Node): void {
		const definition = {own: () => node.own, random: this.random};
		node.coordinator = this.#definition.create?.(definition, node.coordinator) ?? new QuotaCoordinator(definition);
		node.views = '';
		node.coordinator.setMembers(this.#viewOf(node), this.now);
		node.coordinator.setQuotas(this.#quotas, this.now);
	}

	/** Views change seconds after a fault, at slightly different times at each node. */
	#updateViews(): void {
		if (this.now < this.#viewsAt) {
			return;
		}

		this.#viewsAt = this.now + viewMilliseconds;
		const running = this.nodes.filter(node => this.#isRunning(node));
		running.map(node => {
			running.filter(({side}) => side === node.side).map(other => {
				node.heardAt[other.index] = this.now;
				return other;
			});
			const view = this.#viewOf(node);
			const views = view.map(({liveness, incarnation}) => `${liveness}${incarnation}`).join(' ');
			if (views !== node.views) {
				node.views = views;
				node.coordinator.setMembers(view, this.now);
			}

			return node;
		});
	}

	#viewOf(node: Node): Member[] {
		return this.nodes.map(other => {
			const silent = this.now - node.heardAt[other.index]!;
			const jitter = (((node.index * 31) + (other.index * 17)) % 10) * 100;
			const isRestartKnown = node === other || this.now - other.restartedAt > 200 + jitter;
			const liveness = silent > 4000 + jitter ? Liveness.Dead : (silent > 1000 + jitter ? Liveness.Suspect : Liveness.Alive);
			return {...other.own, liveness, incarnation: other.own.incarnation - Number(!isRestartKnown)};
		});
	}

	#send(node: Node, datagrams: readonly QuotaDatagram[]): void {
		const {loss = 0, doubled = 0, latencyMilliseconds = 10} = this.#definition;
		this.sentMessages += datagrams.length;
		datagrams.map(datagram => {
			const copies = this.random() < loss ? 0 : (this.random() < doubled ? 2 : 1);
			return Array.from({length: copies}, () => this.#inTransit.push({at: this.now + (this.random() * latencyMilliseconds), from: node.side, datagram}));
		});
	}

	/** Datagrams to a paused node wait in its socket; those across a partition are lost. */
	#deliver(): void {
		const due = this.#inTransit.filter(({at}) => at <= this.now);
		this.#inTransit = this.#inTransit.filter(({at}) => at > this.now);
		due.toSorted((left, right) => left.at - right.at).map(transit => {
			const node = this.nodes.find(({own}) => own.name === transit.datagram.to.name)!;
			if (node.pausedUntil > this.now) {
				return this.#inTransit.push({...transit, at: node.pausedUntil});
			}

			return this.#isRunning(node) && node.side === transit.from && this.#send(node, node.coordinator.receive(transit.datagram.message, this.now));
		});
	}
}
