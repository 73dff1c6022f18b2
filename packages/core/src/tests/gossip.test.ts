import {test} from 'tap';
import {
	defaultMembershipTimes, Liveness, Membership, MembershipEffectType, UpstreamState, type Member, type MembershipEffect,
} from '../index.js';
import {createMember} from './fixtures.js';

const regions = ['north', 'central', 'south'];
const tickMilliseconds = 20;

/** Nodes in three regions that know each other. Messages are delivered at the next tick. */
class SimulatedCluster {
	readonly memberships: Map<string, Membership>;
	now = 0;
	sentMessages = 0;
	crossRegionMessages = 0;
	readonly #regionOf: ReadonlyMap<string, string>;
	readonly #stoppedHosts = new Set<string>();
	#inTransit: Array<{readonly from: string; readonly effect: MembershipEffect}> = [];

	constructor(size: number) {
		let state = 7;
		const random = (): number => {
			state = (state * 16_807) % 2_147_483_647;
			return state / 2_147_483_647;
		};

		const members = Array.from({length: size}, (_, index): Member => createMember(`node-${index}`, {
			host: `10.0.0.${index}`, state: UpstreamState.Ready, location: {region: regions[index % regions.length]!, failureDomain: `domain-${index % 6}`},
		}));
		this.#regionOf = new Map(members.map(member => [member.host, member.location.region]));
		this.memberships = new Map(members.map(own => [own.host, new Membership({own, random, times: defaultMembershipTimes})]));
		[...this.memberships.values()].map(membership => membership.mergeView(members, 0));
	}

	stop(host: string): void {
		this.#stoppedHosts.add(host);
	}

	/** Advances the time until the condition holds or the time has passed; returns the milliseconds that passed. */
	run(milliseconds: number, condition = (): boolean => false): number {
		const start = this.now;
		while (this.now - start < milliseconds && !condition()) {
			this.now += tickMilliseconds;
			const delivered = this.#inTransit;
			this.#inTransit = [];
			delivered.map(({from, effect}) => this.#deliver(from, effect));
			[...this.memberships].filter(([host]) => !this.#stoppedHosts.has(host)).map(([host, membership]) => this.#post(host, membership.advance(this.now)));
		}

		return this.now - start;
	}

	update(host: string, state: UpstreamState): void {
		this.#post(host, this.memberships.get(host)!.updateOwn({state}, this.now));
	}

	/** Whether the condition holds for the member in the views of all running nodes. */
	allKnow(name: string, condition: (member: Member) => boolean): boolean {
		return [...this.memberships].filter(([host]) => !this.#stoppedHosts.has(host)).every(([, membership]) => condition(membership.get(name)!));
	}

	#post(from: string, effects: readonly MembershipEffect[]): void {
		this.#inTransit.push(...effects.map(effect => ({from, effect})));
	}

	#deliver(from: string, effect: MembershipEffect): void {
		if (effect.type !== MembershipEffectType.Send) {
			return;
		}

		this.sentMessages += 1;
		this.crossRegionMessages += this.#regionOf.get(from) === this.#regionOf.get(effect.to.host) ? 0 : 1;
		if (!this.#stoppedHosts.has(effect.to.host)) {
			this.#post(effect.to.host, this.memberships.get(effect.to.host)!.receive(effect.message, this.now));
		}
	}
}

test('less than a third of the gossip crosses regions when two thirds of the members are in other regions', async t => {
	const cluster = new SimulatedCluster(24);
	cluster.run(2000);
	cluster.update('10.0.0.1', UpstreamState.Draining);
	cluster.run(28_000);
	t.ok(cluster.crossRegionMessages * 3 < cluster.sentMessages, `${cluster.crossRegionMessages} of ${cluster.sentMessages} messages`);
});

test('a draining member is known in all regions within three seconds', async t => {
	const cluster = new SimulatedCluster(240);
	cluster.run(2000);
	cluster.update('10.0.0.1', UpstreamState.Draining);
	const isKnown = (): boolean => cluster.allKnow('node-1', member => member.state === UpstreamState.Draining);
	const milliseconds = cluster.run(3000, isKnown);
	t.ok(isKnown(), `known after ${milliseconds} ms`);
});

test('when all nodes of a region stop, the other regions mark them as dead within 30 seconds', async t => {
	const cluster = new SimulatedCluster(24);
	cluster.run(2000);
	const stopped = Array.from({length: 8}, (_, index) => 2 + (index * 3));
	stopped.map(index => cluster.stop(`10.0.0.${index}`));
	const isKnown = (): boolean => stopped.every(index => cluster.allKnow(`node-${index}`, member => member.liveness === Liveness.Dead));
	cluster.run(30_000, isKnown);
	t.ok(isKnown());
});

test('a node that is alone in its region spreads its new state to all nodes within a second', async t => {
	const cluster = new SimulatedCluster(4);
	cluster.run(2000);
	cluster.update('10.0.0.1', UpstreamState.Draining);
	const isKnown = (): boolean => cluster.allKnow('node-1', member => member.state === UpstreamState.Draining);
	cluster.run(1000, isKnown);
	t.ok(isKnown());
});
