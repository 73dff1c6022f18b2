import {test} from 'tap';
import {
	NodeCore, NodeEffectType, safeParseManifest, type Manifest, type Member, type NodeEffect,
} from '../index.js';
import {createMember} from './fixtures.js';

const regions = ['north', 'central', 'south'];
const tickMilliseconds = 20;
const checkMilliseconds = 200;
const manifestAgeMilliseconds = 1900;

/** The maximum age, the interval at which it is checked, and the time of a read. */
const longestAgeMilliseconds = manifestAgeMilliseconds + checkMilliseconds + (2 * tickMilliseconds);
const {manifest} = safeParseManifest({name: 'shop', retriesPerAction: 0, services: {}}) as {manifest: Manifest};

/** Nodes that gossip, and a store whose newest revision each of them can read. Reads are answered at the next tick. */
class Fleet {
	readonly nodes: ReadonlyMap<string, NodeCore>;
	/** Number of reads and watches by the name of the node. */
	readonly reads = new Map<string, number>();
	/** Nodes that exchange no datagrams with the others. */
	readonly cutOff = new Set<string>();
	/** Nodes whose calls to the store get no answer. */
	readonly withoutStore = new Set<string>();
	/** Whether no datagram crosses regions. */
	cutRegions = false;
	lostShare = 0;
	now = 0;
	#state = 7;
	#inTransit: Array<() => void> = [];
	readonly #watchEnds = new Map<string, number>();

	constructor(size: number) {
		const random = (): number => {
			this.#state = (this.#state * 16_807) % 2_147_483_647;
			return this.#state / 2_147_483_647;
		};

		const members = Array.from({length: size}, (_, index): Member => createMember(`node-${index}`, {
			host: `10.0.0.${index}`, location: {region: regions[index % regions.length]!, failureDomain: `domain-${index % 6}`},
		}));
		this.nodes = new Map(members.map(own => [own.host, new NodeCore({
			own,
			wallClock: () => 0,
			random,
			newActionId: () => '0'.repeat(32),
			membershipTimes: {probeIntervalMilliseconds: 1000, suspicionMilliseconds: 3000, exchangeIntervalMilliseconds: 10_000},
			claimLimits: {maximumClaims: 1, maximumAnswerBytes: 1},
			storeOutageLimitMilliseconds: 1000,
			clockErrorMilliseconds: 0,
			manifestAgeMilliseconds,
		})]));
		[...this.nodes].map(([host, node]) => {
			this.#perform(host, node.viewArrived(members, [], 0));
			this.#perform(host, node.manifestArrived({number: 1, document: '', manifest}, 0));
			return node;
		});
	}

	run(milliseconds: number): void {
		const until = this.now + milliseconds;
		while (this.now < until) {
			this.now += tickMilliseconds;
			const delivered = this.#inTransit;
			this.#inTransit = [];
			delivered.map(deliver => {
				deliver();
				return deliver;
			});
			[...this.nodes].map(([host, node]) => {
				this.#perform(host, node.advance(this.now));
				this.#followManifest(host, node);
				return node;
			});
		}
	}

	/** Longest time since the last confirmation, over the nodes that match. */
	oldest(test: (name: string) => boolean = () => true): number {
		return Math.max(...[...this.nodes.values()].filter(node => test(node.own.name)).map(node => node.manifestWatch.age(this.now)));
	}

	/** Runs the fleet, and returns the longest time since a confirmation, sampled every 100 ms. */
	oldestDuring(milliseconds: number, test: (name: string) => boolean = () => true): number {
		const until = this.now + milliseconds;
		let oldest = 0;
		while (this.now < until) {
			this.run(100);
			oldest = Math.max(oldest, this.oldest(test));
		}

		return oldest;
	}

	/** Reads the store when that is due, and watches it at the nodes that do so. */
	#followManifest(host: string, node: NodeCore): void {
		if (this.now % checkMilliseconds !== 0) {
			return;
		}

		const {name} = node.own;
		if (node.manifestWatch.takeRead(this.now)) {
			this.#call(host, node, 0);
		}

		const waitMilliseconds = node.manifestWatch.watchMilliseconds(this.now);
		if (waitMilliseconds !== undefined && this.now >= (this.#watchEnds.get(name) ?? 0)) {
			this.#watchEnds.set(name, this.now + waitMilliseconds);
			this.#call(host, node, waitMilliseconds);
		}
	}

	#call(host: string, node: NodeCore, waitMilliseconds: number): void {
		const {name} = node.own;
		this.reads.set(name, (this.reads.get(name) ?? 0) + 1);
		this.#at(this.now + waitMilliseconds + tickMilliseconds, () => {
			if (!this.withoutStore.has(name)) {
				this.#perform(host, node.manifestConfirmed({number: 1, ageMilliseconds: tickMilliseconds}, this.now));
			}
		});
	}

	#at(time: number, action: () => void): void {
		this.#inTransit.push(() => {
			if (this.now >= time) {
				action();
			} else {
				this.#at(time, action);
			}
		});
	}

	#perform(from: string, effects: readonly NodeEffect[]): void {
		effects.map(effect => {
			if (effect.type === NodeEffectType.SendGossip) {
				this.#state = (this.#state * 16_807) % 2_147_483_647;
				const isLost = this.#state / 2_147_483_647 < this.lostShare;
				const target = this.nodes.get(effect.to.host);
				const crossesRegions = this.nodes.get(from)?.own.location.region !== target?.own.location.region;
				const isCut = (this.cutRegions && crossesRegions) || [from, effect.to.host].some(host => this.cutOff.has(this.nodes.get(host)?.own.name ?? ''));
				this.#inTransit.push(() => {
					if (!isLost && !isCut && target !== undefined) {
						this.#perform(effect.to.host, target.gossipArrived(effect.message, effect.clock, this.now));
					}
				});
			}

			return effect;
		});
	}
}

test('in calm, one node reads the store about every 0.8 seconds, and the others hardly ever, with one datagram in a hundred lost', async t => {
	const fleet = new Fleet(24);
	fleet.run(5000);
	fleet.reads.clear();
	fleet.lostShare = 0.01;
	fleet.run(60_000);
	const counts = [...fleet.reads.values()].toSorted((left, right) => right - left);
	t.ok(counts[0]! > 55 && counts[0]! < 90, `${counts[0]} reads of the watcher`);
	const others = counts.slice(1).reduce((sum, count) => sum + count, 0);
	t.ok(others <= 23, `${others} reads of the 23 other nodes in a minute`);
});

test('no node uses a manifest without a confirmation for longer than the maximum age, with one datagram in ten lost', async t => {
	const fleet = new Fleet(24);
	fleet.run(5000);
	fleet.lostShare = 0.1;
	const oldest = fleet.oldestDuring(60_000);
	t.ok(oldest <= longestAgeMilliseconds, `${oldest} ms`);
});

// Guards against docs/incidents/review-silent-store.md: a node that was cut off from the others noticed it only by its failure detector, after seconds.
test('a node that is cut off from the others, but not from the store, reads the store itself', async t => {
	const fleet = new Fleet(24);
	fleet.run(5000);
	['node-1', 'node-5', 'node-9', 'node-22'].map(name => fleet.cutOff.add(name));
	const oldest = fleet.oldestDuring(10_000);
	t.ok(oldest <= longestAgeMilliseconds, `${oldest} ms`);
});

test('other nodes read the store while the watcher gets no answer from it', async t => {
	const fleet = new Fleet(24);
	fleet.run(10_000);
	const watchers = [...fleet.nodes.values()].filter(node => (node.manifestWatch.watchMilliseconds(fleet.now) ?? Infinity) < manifestAgeMilliseconds).map(node => node.own.name);
	t.equal(watchers.length, 1);
	watchers.map(name => fleet.withoutStore.add(name));
	const oldest = fleet.oldestDuring(10_000, name => !watchers.includes(name));
	t.ok(oldest <= longestAgeMilliseconds, `${oldest} ms`);
});

test('a region that is cut off from the others relies on one of its nodes', async t => {
	const fleet = new Fleet(24);
	fleet.run(5000);
	fleet.cutRegions = true;
	fleet.reads.clear();
	const oldest = fleet.oldestDuring(30_000);
	t.ok(oldest <= longestAgeMilliseconds, `${oldest} ms`);
	const reads = [...fleet.reads.values()].reduce((sum, count) => sum + count, 0);
	t.ok(reads < 300, `${reads} reads of 24 nodes in 30 seconds`);
});
