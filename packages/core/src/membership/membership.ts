/**
 * Membership by gossip: probes, suspicion, refutation, and the spreading of news.
 *
 * The scheme follows the published SWIM protocol (Das, Gupta, Motivala, DSN 2002): random probes, indirect probes,
 * suspicion and incarnations, with news carried on the probes; news travels in rounds of its own as well.
 *
 * @module
 */
import {
	Liveness, UpstreamState, type Member,
} from './member.js';
import {isGone, MemberTable} from './member-table.js';
import {
	GossipType, MembershipEffectType, type Address, type GossipMessage, type MembershipEffect,
} from './messages.js';
import {DisseminationQueue} from './dissemination-queue.js';
import {Prober} from './prober.js';
import {Rumors, type Rumor} from './rumors.js';

const newsIntervalMilliseconds = 200;
const newsFanOut = 3;

/** Share of the rounds in which news of others goes to another region as well; news of the own node always does. */
const farNewsShare = 1 / 3;
const membersPerMessage = 7;
const rumorsPerMessage = 8;

/** Times that operators may set. */
export type MembershipTimes = {
	readonly probeIntervalMilliseconds: number;
	readonly suspicionMilliseconds: number;
	readonly exchangeIntervalMilliseconds: number;
};

export const defaultMembershipTimes: MembershipTimes = {
	probeIntervalMilliseconds: 1000,
	suspicionMilliseconds: 3000,
	exchangeIntervalMilliseconds: 10_000,
};

export type MembershipDefinition = {
	readonly own: Member;
	readonly random: () => number;
	readonly times: MembershipTimes;
};

/**
 * One node's membership.
 *
 * @example
 * const membership = new Membership(definition);
 * membership.setSeeds([{host: '127.0.0.1', port: 7203}]);
 * membership.advance(now); // messages to send
 */
export class Membership {
	readonly #definition: MembershipDefinition;
	readonly #table = new MemberTable();
	readonly #rumors = new Rumors();
	readonly #memberNews = new DisseminationQueue();
	readonly #rumorNews = new DisseminationQueue();
	readonly #prober: Prober;
	readonly #suspectedAt = new Map<string, number>();
	#own: Member;
	#seeds: readonly Address[] = [];
	#seedCallsDue = false;
	#isSpreading = true;
	#nextNewsAt = 0;
	#nextExchangeAt = 0;

	constructor(definition: MembershipDefinition) {
		this.#definition = definition;
		this.#own = definition.own;
		this.#table.merge(definition.own, 0);
		this.#prober = new Prober({
			intervalMilliseconds: definition.times.probeIntervalMilliseconds,
			random: definition.random,
			members: () => this.others,
			isNear: member => this.#isNear(member),
		});
	}

	get own(): Member {
		return this.#own;
	}

	/** All members known, the own node and those that are gone included. */
	get members(): Member[] {
		return this.#table.all;
	}

	/** Members other than the own node that are not gone. */
	get others(): Member[] {
		return this.#table.all.filter(member => member.name !== this.#own.name && !isGone(member));
	}

	get rumors(): Rumor[] {
		return this.#rumors.all;
	}

	get(name: string): Member | undefined {
		return this.#table.get(name);
	}

	version(topic: string): number {
		return this.#rumors.version(topic);
	}

	setSeeds(seeds: readonly Address[]): void {
		this.#seedCallsDue = true;
		this.#seeds = seeds.filter(seed => !(seed.host === this.#own.host && seed.port === this.#own.controlPort));
	}

	/** Says something new about the own node. */
	updateOwn(changes: Partial<Pick<Member, 'service' | 'state' | 'slots'>>, now: number): MembershipEffect[] {
		const isSame = Object.entries(changes).every(([key, value]) => this.#own[key as 'service'] === value);
		return isSame ? [] : this.#setOwn({...this.#own, ...changes, version: this.#own.version + 1}, now);
	}

	/** Spreads a version number. */
	broadcast(rumor: Rumor): MembershipEffect[] {
		if (!this.#rumors.observe(rumor)) {
			return [];
		}

		this.#rumorNews.add(rumor.topic, this.#table.size);
		return [{type: MembershipEffectType.RumorReceived, rumor}];
	}

	receive(message: GossipMessage, now: number): MembershipEffect[] {
		const learned = [
			...this.mergeMembers([message.sender, ...message.members], now),
			...message.rumors.flatMap(rumor => this.broadcast(rumor)),
		];
		const handlers: Readonly<Record<GossipType, () => MembershipEffect[]>> = {
			[GossipType.Ping]: () => [this.#send(addressOf(message.sender), GossipType.Acknowledgement, message.sequence)],
			[GossipType.Acknowledgement]: () => this.#acknowledged(message),
			[GossipType.PingRequest]: () => this.#pingFor(message),
			[GossipType.Update]: () => [],
		};
		return [...learned, ...handlers[message.type]()];
	}

	/** Takes the result of an exchange of views. A few members are news for others; a whole view is not passed on. */
	mergeView(members: readonly Member[], now: number): MembershipEffect[] {
		this.#isSpreading = members.length <= membersPerMessage;
		const effects = this.mergeMembers(members, now);
		this.#isSpreading = true;
		return effects;
	}

	/** Takes statements about members, and passes on what is new. */
	mergeMembers(members: readonly Member[], now: number): MembershipEffect[] {
		return members.flatMap(member => member.name === this.#own.name ? this.#learnOfOwn(member, now) : this.#learnOfOther(member, now));
	}

	/** Digests for an exchange of views. */
	bucketDigests(): number[] {
		return this.#table.buckets();
	}

	/** What another node lacks, judged by its digests. */
	differingMembers(buckets: readonly number[]): Member[] {
		return this.#table.differing(buckets);
	}

	advance(now: number): MembershipEffect[] {
		this.#table.forgetGone(now);
		return [...this.#probe(now), ...this.#expireSuspicions(now), ...this.#spreadNews(now), ...this.#exchange(now)];
	}

	/** A few other members, chosen at random. */
	sample(count: number, test: (member: Member) => boolean = () => true): Member[] {
		const pool = this.others.filter(member => test(member));
		return Array.from({length: Math.min(count, pool.length)}, () => pool.splice(Math.floor(this.#definition.random() * pool.length), 1)[0]!);
	}

	#setOwn(own: Member, now: number): MembershipEffect[] {
		this.#own = own;
		this.#table.merge(own, now);
		this.#memberNews.add(own.name, this.#table.size);
		this.#nextNewsAt = now;
		return [{type: MembershipEffectType.Changed, member: own}];
	}

	#learnOfOwn(member: Member, now: number): MembershipEffect[] {
		if (member.incarnation > this.#own.incarnation) {
			return hasSameAddress(member, this.#own) ? this.#outbid(member, now) : [{type: MembershipEffectType.Superseded, by: member}];
		}

		const isWrong = member.incarnation === this.#own.incarnation && member.version >= this.#own.version && member.liveness !== Liveness.Alive;
		return isWrong ? this.#setOwn({...this.#own, version: member.version + 1}, now) : [];
	}

	/** Nobody else can hold the own address, so a statement of a later start is an earlier life's, made before the clock was set back. */
	#outbid(member: Member, now: number): MembershipEffect[] {
		return this.#setOwn({...this.#own, incarnation: member.incarnation + 1, version: 1}, now);
	}

	#learnOfOther(member: Member, now: number): MembershipEffect[] {
		const isFirst = this.others.length === 0;
		if (!this.#table.merge(member, now)) {
			return [];
		}

		if (isFirst) {
			this.#nextExchangeAt = now;
		}

		if (this.#isSpreading) {
			this.#memberNews.add(member.name, this.#table.size);
		}

		if (member.liveness === Liveness.Suspect) {
			this.#suspectedAt.set(member.name, now);
		} else {
			this.#suspectedAt.delete(member.name);
		}

		return [{type: MembershipEffectType.Changed, member}, ...this.#resolveAddress(member, now)];
	}

	/** Of two nodes with one address, the one that started later stands. */
	#resolveAddress(member: Member, now: number): MembershipEffect[] {
		if (isGone(member)) {
			return [];
		}

		const rivals = this.#table.all.filter(other => other.name !== member.name && !isGone(other) && hasSameAddress(other, member));
		return rivals.flatMap(rival => {
			const loser = rival.incarnation < member.incarnation ? rival : member;
			if (loser.name === this.#own.name) {
				return [{type: MembershipEffectType.Superseded as const, by: member}];
			}

			return this.#learnOfOther({...loser, liveness: Liveness.Dead}, now);
		});
	}

	#acknowledged(message: GossipMessage): MembershipEffect[] {
		const waiting = this.#prober.acknowledged(message.sequence, message.sender.name);
		return waiting === undefined ? [] : [this.#send(waiting.address, GossipType.Acknowledgement, waiting.sequence)];
	}

	#pingFor(message: GossipMessage): MembershipEffect[] {
		const target = this.#table.get(message.target);
		if (target === undefined) {
			return [];
		}

		const sequence = this.#prober.startForOther(target.name, {address: addressOf(message.sender), sequence: message.sequence});
		return [this.#send(addressOf(target), GossipType.Ping, sequence)];
	}

	#probe(now: number): MembershipEffect[] {
		const step = this.#prober.advance(now);
		const direct = step.ping.map(({name, sequence}) => this.#sendTo(name, GossipType.Ping, sequence));
		const indirect = step.pingRequests.flatMap(({name, sequence, through}) => through.map(helper => this.#sendTo(helper, GossipType.PingRequest, sequence, name)));
		const failed = step.failed.flatMap(name => this.#suspect(name, now));
		const lonely = (step.isTurn || this.#seedCallsDue) && this.others.length === 0 ? this.#callSeeds() : [];
		const revived = step.isTurn ? this.#callGone() : [];
		return [...direct.flat(), ...indirect.flat(), ...failed, ...lonely, ...revived];
	}

	#callSeeds(): MembershipEffect[] {
		this.#seedCallsDue = false;
		return this.#seeds.map(seed => this.#send(seed, GossipType.Ping, 0));
	}

	/** Now and then a member held dead is called, so that the two halves of a cut find each other again. */
	#callGone(): MembershipEffect[] {
		const gone = this.#table.all.filter(member => member.liveness === Liveness.Dead && member.state !== UpstreamState.Left);
		if (gone.length === 0 || this.#definition.random() > 0.2) {
			return [];
		}

		const member = gone[Math.floor(this.#definition.random() * gone.length)]!;
		return [this.#send(addressOf(member), GossipType.Ping, 0, '', [member])];
	}

	#suspect(name: string, now: number): MembershipEffect[] {
		const member = this.#table.get(name);
		return member?.liveness === Liveness.Alive && !isGone(member) ? this.#learnOfOther({...member, liveness: Liveness.Suspect}, now) : [];
	}

	#expireSuspicions(now: number): MembershipEffect[] {
		const due = [...this.#suspectedAt].filter(([, since]) => now - since >= this.#definition.times.suspicionMilliseconds);
		return due.flatMap(([name]) => {
			this.#suspectedAt.delete(name);
			const member = this.#table.get(name);
			return member === undefined ? [] : this.#learnOfOther({...member, liveness: Liveness.Dead}, now);
		});
	}

	#spreadNews(now: number): MembershipEffect[] {
		const isIdle = this.#memberNews.isEmpty && this.#rumorNews.isEmpty;
		if (isIdle || now < this.#nextNewsAt) {
			return [];
		}

		this.#nextNewsAt = now + newsIntervalMilliseconds;
		return this.#chooseForNews().map(member => this.#send(addressOf(member), GossipType.Update, 0));
	}

	/** Links between regions are paid by volume, so most news stays in the region and spreads anew in the others. */
	#chooseForNews(): Member[] {
		const isFarRound = this.#memberNews.has(this.#own.name) || this.#definition.random() < farNewsShare;
		const far = isFarRound ? this.sample(1, member => !this.#isNear(member)) : [];
		const near = this.sample(newsFanOut - far.length, member => this.#isNear(member));
		return near.length > 0 ? [...near, ...far] : this.sample(newsFanOut);
	}

	#isNear(member: Member): boolean {
		return member.location.region === this.#own.location.region;
	}

	#exchange(now: number): MembershipEffect[] {
		if (now < this.#nextExchangeAt) {
			return [];
		}

		const {exchangeIntervalMilliseconds} = this.#definition.times;
		this.#nextExchangeAt = now + (exchangeIntervalMilliseconds * (0.75 + (this.#definition.random() / 2)));
		return this.sample(1).map(member => ({type: MembershipEffectType.Exchange, to: member}));
	}

	#sendTo(name: string, type: GossipType, sequence: number, target = ''): MembershipEffect[] {
		const member = this.#table.get(name);
		return member === undefined ? [] : [this.#send(addressOf(member), type, sequence, target)];
	}

	#send(to: Address, type: GossipType, sequence: number, target = '', extra: readonly Member[] = []): MembershipEffect {
		const members = this.#memberNews.take(membersPerMessage).flatMap(name => this.#table.get(name) ?? []);
		const rumors = this.#rumorNews.take(rumorsPerMessage).map(topic => ({topic, version: this.#rumors.version(topic)}));
		return {
			type: MembershipEffectType.Send,
			to,
			message: {
				type, sequence, sender: this.#own, target, members: [...extra, ...members], rumors,
			},
		};
	}
}

function addressOf(member: Member): Address {
	return {host: member.host, port: member.controlPort};
}

function hasSameAddress(left: Member, right: Member): boolean {
	return left.host === right.host && left.controlPort === right.controlPort;
}
