import {test} from 'tap';
import {
	defaultMembershipTimes, Liveness, Membership, MembershipEffectType, UpstreamState, type Member, type MembershipEffect,
} from '../index.js';
import {createMember} from './fixtures.js';

const regions = ['north', 'central', 'south'];
const tickMilliseconds = 20;

/** Nodes in three regions that know each other, and whose messages arrive with the next tick. */
class Fleet {
	readonly memberships: Map<string, Membership>;
	now = 0;
	sent = 0;
	crossed = 0;
	readonly #regionOf: ReadonlyMap<string, string>;
	readonly #down = new Set<string>();
	#waiting: Array<{readonly from: string; readonly effect: MembershipEffect}> = [];

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
		this.#down.add(host);
	}

	/** Lets time pass until the test holds, or the time is over; returns the milliseconds that passed. */
	run(milliseconds: number, test = (): boolean => false): number {
		const start = this.now;
		while (this.now - start < milliseconds && !test()) {
			this.now += tickMilliseconds;
			const arriving = this.#waiting;
			this.#waiting = [];
			arriving.map(({from, effect}) => this.#deliver(from, effect));
			[...this.memberships].filter(([host]) => !this.#down.has(host)).map(([host, membership]) => this.#post(host, membership.advance(this.now)));
		}

		return this.now - start;
	}

	update(host: string, state: UpstreamState): void {
		this.#post(host, this.memberships.get(host)!.updateOwn({state}, this.now));
	}

	/** Whether all nodes that run say so of the member. */
	everyoneKnows(name: string, test: (member: Member) => boolean): boolean {
		return [...this.memberships].filter(([host]) => !this.#down.has(host)).every(([, membership]) => test(membership.get(name)!));
	}

	#post(from: string, effects: readonly MembershipEffect[]): void {
		this.#waiting.push(...effects.map(effect => ({from, effect})));
	}

	#deliver(from: string, effect: MembershipEffect): void {
		if (effect.type !== MembershipEffectType.Send) {
			return;
		}

		this.sent += 1;
		this.crossed += this.#regionOf.get(from) === this.#regionOf.get(effect.to.host) ? 0 : 1;
		if (!this.#down.has(effect.to.host)) {
			this.#post(effect.to.host, this.memberships.get(effect.to.host)!.receive(effect.message, this.now));
		}
	}
}

test('less than a third of gossip crosses regions, though two thirds of the members stand there', async t => {
	const fleet = new Fleet(24);
	fleet.run(2000);
	fleet.update('10.0.0.1', UpstreamState.Draining);
	fleet.run(28_000);
	t.ok(fleet.crossed * 3 < fleet.sent, `${fleet.crossed} of ${fleet.sent} messages`);
});

test('a leaving member is known in all regions within three seconds', async t => {
	const fleet = new Fleet(240);
	fleet.run(2000);
	fleet.update('10.0.0.1', UpstreamState.Draining);
	const isKnown = (): boolean => fleet.everyoneKnows('node-1', member => member.state === UpstreamState.Draining);
	const milliseconds = fleet.run(3000, isKnown);
	t.ok(isKnown(), `known after ${milliseconds} ms`);
});

test('a whole region that goes dark is found by the others', async t => {
	const fleet = new Fleet(24);
	fleet.run(2000);
	const dark = Array.from({length: 8}, (_, index) => 2 + (index * 3));
	dark.map(index => fleet.stop(`10.0.0.${index}`));
	const isKnown = (): boolean => dark.every(index => fleet.everyoneKnows(`node-${index}`, member => member.liveness === Liveness.Dead));
	fleet.run(30_000, isKnown);
	t.ok(isKnown());
});

test('a node that is alone in its region tells the others of itself', async t => {
	const fleet = new Fleet(4);
	fleet.run(2000);
	fleet.update('10.0.0.1', UpstreamState.Draining);
	const isKnown = (): boolean => fleet.everyoneKnows('node-1', member => member.state === UpstreamState.Draining);
	fleet.run(1000, isKnown);
	t.ok(isKnown());
});
