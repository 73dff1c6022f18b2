/**
 * Membership by gossip: failure detection, suspicion, refutation, dissemination and anti-entropy.
 *
 * Follows the SWIM protocol (Das, Gupta, Motivala, DSN 2002): random probes, indirect probes, suspicion and
 * incarnations, with updates piggybacked on the probes. Updates are also sent in dissemination rounds of their own.
 *
 * @module
 */
import {
	addressOf, hasSameAddress, isSameEntry, Liveness, maximumMemberVersion, UpstreamState, type Address, type Member,
} from './member.js';
import {isDeadOrLeft, MemberTable, supersedes} from './member-table.js';
import {
	GossipType, MembershipEffectType, type GossipMessage, type MembershipEffect,
} from './messages.js';
import {isReachableTime} from '../clock-lead.js';
import {DisseminationQueue} from './dissemination-queue.js';
import type {MembershipDefinition} from './membership-definition.js';
import {NameClaims} from './name-claims.js';
import {Prober} from './prober.js';
import {Rumors, type Rumor} from './rumors.js';

const disseminationIntervalMilliseconds = 200;
const disseminationFanOut = 3;

/** Share of the rounds that send updates about other members to another region too; updates about the own node always go there. */
const crossRegionRoundShare = 1 / 3;
const deadMemberPingProbability = 0.2;
const membersPerMessage = 7;
const rumorsPerMessage = 8;
const contactsPerView = 3;

/**
 * State of the membership protocol at one node.
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
	readonly #memberQueue = new DisseminationQueue();
	readonly #rumorQueue = new DisseminationQueue();
	readonly #prober: Prober;
	readonly #suspectedAt = new Map<string, number>();
	readonly #nameClaims = new NameClaims();
	#own: Member;
	#seeds: readonly Address[] = [];
	#isSeedPingDue = false;
	#isDisseminating = true;
	#nextDisseminationAt = 0;
	#nextExchangeAt = 0;

	constructor(definition: MembershipDefinition) {
		this.#definition = definition;
		this.#own = definition.own;
		this.#table.merge(definition.own, 0);
		this.#prober = new Prober({
			intervalMilliseconds: definition.times.probeIntervalMilliseconds,
			random: definition.random,
			members: () => this.others,
			isInOwnRegion: member => this.#isInOwnRegion(member),
		});
	}

	get own(): Member {
		return this.#own;
	}

	/** All known members, including the own node and tombstones. */
	get members(): Member[] {
		return this.#table.all;
	}

	/** Members that are neither dead nor left, without the own node. */
	get others(): Member[] {
		return this.#table.all.filter(member => member.name !== this.#own.name && !isDeadOrLeft(member));
	}

	get rumors(): Rumor[] {
		return this.#rumors.all;
	}

	get(name: string): Member | undefined {
		return this.#table.get(name);
	}

	/** Highest known version of the topic; 0 when none is known. */
	version(topic: string): number {
		return this.#rumors.version(topic);
	}

	/** Sets the addresses to ping while no other member is known. The own address is left out. */
	setSeeds(seeds: readonly Address[]): void {
		this.#isSeedPingDue = true;
		this.#seeds = seeds.filter(seed => !(seed.host === this.#own.host && seed.port === this.#own.controlPort));
	}

	/** Changes the own entry and broadcasts it; does nothing when all values are the same. */
	updateOwn(changes: Partial<Pick<Member, 'service' | 'state' | 'slots'>>, now: number): MembershipEffect[] {
		const isSame = Object.entries(changes).every(([key, value]) => this.#own[key as 'service'] === value);
		return isSame ? [] : this.#setOwn({...this.#own, ...changes, version: this.#own.version + 1}, now);
	}

	/** Spreads a version number by gossip, unless it is not newer than the known one. */
	broadcast(rumor: Rumor): MembershipEffect[] {
		if (!this.#rumors.observe(rumor)) {
			return [];
		}

		this.#rumorQueue.add(rumor.topic, this.#table.size);
		return [{type: MembershipEffectType.RumorReceived, rumor}];
	}

	/** Handles a gossip message. */
	receive(message: GossipMessage, now: number): MembershipEffect[] {
		const merged = [
			...this.#mergeSender(message.sender, now),
			...this.mergeMembers(message.members, now),
			...message.rumors.flatMap(rumor => this.broadcast(rumor)),
		];
		const handlers: Readonly<Record<GossipType, () => MembershipEffect[]>> = {
			[GossipType.Ping]: () => [this.#send(addressOf(message.sender), GossipType.Acknowledgement, message.sequence, '', this.#knownInstead(message.sender))],
			[GossipType.Acknowledgement]: () => this.#acknowledgementReceived(message),
			[GossipType.PingRequest]: () => this.#pingOnBehalf(message),
			[GossipType.Update]: () => [],
		};
		return [...merged, ...handlers[message.type]()];
	}

	/** Merges the result of a view exchange. A few members, which other nodes may lack too, are gossiped further; a whole view is not. */
	mergeView(members: readonly Member[], now: number): MembershipEffect[] {
		this.#isDisseminating = members.length <= membersPerMessage;
		const effects = this.mergeMembers(members, now);
		this.#isDisseminating = true;
		return [...effects, ...this.#contactContradicted(members)];
	}

	/** Merges updates about members, and gossips those that change the view. */
	mergeMembers(members: readonly Member[], now: number): MembershipEffect[] {
		return members.filter(member => this.#isReachable(member)).flatMap(member => member.name === this.#own.name ? this.#mergeOwn(member, now) : this.#mergeOther(member, now));
	}

	/** Requests a gossip message from a member, for the content that such messages carry. The failure detector ignores the reply. */
	ping(member: Member): MembershipEffect {
		return this.#send(addressOf(member), GossipType.Ping, 0);
	}

	/** Digests for a view exchange. */
	bucketDigests(): number[] {
		return this.#table.bucketDigests();
	}

	/** Members of the buckets in which the other node's digests differ. */
	differingMembers(otherDigests: readonly number[]): Member[] {
		return this.#table.differingMembers(otherDigests);
	}

	/** Performs everything that is due: probes, expiry of suspicions, dissemination and view exchanges. */
	advance(now: number): MembershipEffect[] {
		this.#table.removeExpiredTombstones(now);
		return [...this.#refuteClaim(now), ...this.#probe(now), ...this.#expireSuspicions(now), ...this.#disseminate(now), ...this.#startExchange(now)];
	}

	/** Random other members that match, at most the given number. */
	sample(count: number, test: (member: Member) => boolean = () => true): Member[] {
		const pool = this.others.filter(member => test(member));
		return Array.from({length: Math.min(count, pool.length)}, () => pool.splice(Math.floor(this.#definition.random() * pool.length), 1)[0]!);
	}

	#setOwn(own: Member, now: number): MembershipEffect[] {
		this.#own = own;
		this.#table.merge(own, now);
		this.#memberQueue.add(own.name, this.#table.size);
		this.#nextDisseminationAt = now;
		return [{type: MembershipEffectType.Changed, member: own}];
	}

	/** A process that sends under the own name from another address, and started later, is proven to run. */
	#mergeSender(sender: Member, now: number): MembershipEffect[] {
		const isLaterStart = sender.name === this.#own.name && sender.incarnation > this.#own.incarnation && !hasSameAddress(sender, this.#own);
		return isLaterStart && this.#isReachable(sender)
			? [{type: MembershipEffectType.Superseded, by: sender}]
			: this.mergeMembers([sender], now);
	}

	#isReachable({incarnation}: Member): boolean {
		const {wallClock} = this.#definition;
		return wallClock === undefined || isReachableTime(incarnation, wallClock());
	}

	#mergeOwn(member: Member, now: number): MembershipEffect[] {
		if (member.incarnation > this.#own.incarnation) {
			return hasSameAddress(member, this.#own) ? this.#raiseIncarnation(member, now) : this.#verifyClaim(member, now);
		}

		const needsRefutation = member.incarnation === this.#own.incarnation && member.version >= this.#own.version && !isSameEntry(member, this.#own);
		if (!needsRefutation) {
			return [];
		}

		return member.version < maximumMemberVersion ? this.#setOwn({...this.#own, version: member.version + 1}, now) : this.#raiseIncarnation(member, now);
	}

	/** Pings the nodes of entries that the table contradicts, so that a living one learns of the false entry and refutes it. */
	#contactContradicted(members: readonly Member[]): MembershipEffect[] {
		const contradicted = members.flatMap(member => {
			const [known] = member.name === this.#own.name || isDeadOrLeft(member) ? [] : this.#knownInstead(member);
			return known !== undefined && (isDeadOrLeft(known) || !hasSameAddress(known, member)) ? [{member, known}] : [];
		});
		return contradicted.slice(0, contactsPerView).map(({member, known}) => this.#send(addressOf(member), GossipType.Ping, 0, '', [known]));
	}

	/** The entry that stands in the way of the sender's own one. The sender refutes it when it is false. */
	#knownInstead(sender: Member): Member[] {
		const known = this.#table.get(sender.name);
		return known !== undefined && !isSameEntry(known, sender) && !supersedes(sender, known) ? [known] : [];
	}

	/** No other node can have the own address, so a higher incarnation is from an earlier start, before the clock was set back. */
	#raiseIncarnation(member: Member, now: number): MembershipEffect[] {
		return this.#setOwn({...this.#own, incarnation: member.incarnation + 1, version: 1}, now);
	}

	/** Contacts the address that an entry of the own name states. A node that runs there answers, and is then known to have started later. */
	#verifyClaim(member: Member, now: number): MembershipEffect[] {
		return this.#nameClaims.add(member, now) ? [this.#send(addressOf(member), GossipType.Ping, 0)] : [];
	}

	/** Refutes an entry of the own name whose address has not answered. */
	#refuteClaim(now: number): MembershipEffect[] {
		const claim = this.#nameClaims.takeUnanswered(now);
		return claim === undefined || claim.incarnation <= this.#own.incarnation ? [] : this.#raiseIncarnation(claim, now);
	}

	#mergeOther(member: Member, now: number): MembershipEffect[] {
		const isFirstOther = this.others.length === 0;
		if (!this.#table.merge(member, now)) {
			return [];
		}

		if (isFirstOther) {
			this.#nextExchangeAt = now;
		}

		if (this.#isDisseminating) {
			this.#memberQueue.add(member.name, this.#table.size);
		}

		if (member.liveness === Liveness.Suspect) {
			this.#suspectedAt.set(member.name, now);
		} else {
			this.#suspectedAt.delete(member.name);
		}

		return [{type: MembershipEffectType.Changed, member}, ...this.#resolveAddressConflict(member, now)];
	}

	/**
	 * Of two entries with the same address, the one with the lower incarnation is marked as dead. No other node can have the own
	 * address, so an entry that states it is refuted.
	 */
	#resolveAddressConflict(member: Member, now: number): MembershipEffect[] {
		if (isDeadOrLeft(member)) {
			return [];
		}

		const conflicting = this.#table.all.filter(other => other.name !== member.name && !isDeadOrLeft(other) && hasSameAddress(other, member));
		return conflicting.flatMap(other => {
			const older = other.incarnation < member.incarnation ? other : member;
			if (older.name === this.#own.name) {
				return [...this.#raiseIncarnation(member, now), ...this.#mergeOther({...member, liveness: Liveness.Dead}, now)];
			}

			return this.#mergeOther({...older, liveness: Liveness.Dead}, now);
		});
	}

	#acknowledgementReceived(message: GossipMessage): MembershipEffect[] {
		const requester = this.#prober.acknowledged(message.sequence, message.sender.name);
		return requester === undefined ? [] : [this.#send(requester.address, GossipType.Acknowledgement, requester.sequence)];
	}

	#pingOnBehalf(message: GossipMessage): MembershipEffect[] {
		const target = this.#table.get(message.target);
		if (target === undefined) {
			return [];
		}

		const sequence = this.#prober.startRelayedProbe(target.name, {address: addressOf(message.sender), sequence: message.sequence});
		return [this.#send(addressOf(target), GossipType.Ping, sequence)];
	}

	#probe(now: number): MembershipEffect[] {
		const step = this.#prober.advance(now);
		const direct = step.pings.map(({name, sequence}) => this.#sendTo(name, GossipType.Ping, sequence));
		const indirect = step.pingRequests.flatMap(({name, sequence, relays}) => relays.map(relay => this.#sendTo(relay, GossipType.PingRequest, sequence, name)));
		const failed = step.failed.flatMap(name => this.#suspect(name, now));
		const seedPings = (step.isNewInterval || this.#isSeedPingDue) && this.others.length === 0 ? this.#pingSeeds() : [];
		const deadMemberPings = step.isNewInterval ? this.#pingDeadMember() : [];
		return [...direct.flat(), ...indirect.flat(), ...failed, ...seedPings, ...deadMemberPings];
	}

	#pingSeeds(): MembershipEffect[] {
		this.#isSeedPingDue = false;
		return this.#seeds.map(seed => this.#send(seed, GossipType.Ping, 0));
	}

	/** Pings a random dead member in some intervals, so that the two sides of a network partition rejoin after it heals. */
	#pingDeadMember(): MembershipEffect[] {
		const dead = this.#table.all.filter(member => member.liveness === Liveness.Dead && member.state !== UpstreamState.Left);
		if (dead.length === 0 || this.#definition.random() > deadMemberPingProbability) {
			return [];
		}

		const member = dead[Math.floor(this.#definition.random() * dead.length)]!;
		return [this.#send(addressOf(member), GossipType.Ping, 0, '', [member])];
	}

	#suspect(name: string, now: number): MembershipEffect[] {
		const member = this.#table.get(name);
		return member?.liveness === Liveness.Alive && !isDeadOrLeft(member) ? this.#mergeOther({...member, liveness: Liveness.Suspect}, now) : [];
	}

	#expireSuspicions(now: number): MembershipEffect[] {
		const due = [...this.#suspectedAt].filter(([, since]) => now - since >= this.#definition.times.suspicionMilliseconds);
		return due.flatMap(([name]) => {
			this.#suspectedAt.delete(name);
			const member = this.#table.get(name);
			return member === undefined ? [] : this.#mergeOther({...member, liveness: Liveness.Dead}, now);
		});
	}

	#disseminate(now: number): MembershipEffect[] {
		const isIdle = this.#memberQueue.isEmpty && this.#rumorQueue.isEmpty;
		if (isIdle || now < this.#nextDisseminationAt) {
			return [];
		}

		this.#nextDisseminationAt = now + disseminationIntervalMilliseconds;
		return this.#chooseDisseminationTargets().map(member => this.#send(addressOf(member), GossipType.Update, 0));
	}

	/** Traffic between regions is billed by volume, so most updates stay in the region; each region spreads them further on its own. */
	#chooseDisseminationTargets(): Member[] {
		const isCrossRegionRound = this.#memberQueue.has(this.#own.name) || this.#definition.random() < crossRegionRoundShare;
		const otherRegions = isCrossRegionRound ? this.sample(1, member => !this.#isInOwnRegion(member)) : [];
		const ownRegion = this.sample(disseminationFanOut - otherRegions.length, member => this.#isInOwnRegion(member));
		return ownRegion.length > 0 ? [...ownRegion, ...otherRegions] : this.sample(disseminationFanOut);
	}

	#isInOwnRegion(member: Member): boolean {
		return member.location.region === this.#own.location.region;
	}

	#startExchange(now: number): MembershipEffect[] {
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
		const members = this.#memberQueue.take(membersPerMessage).flatMap(name => this.#table.get(name) ?? []);
		const rumors = this.#rumorQueue.take(rumorsPerMessage).map(topic => ({topic, version: this.#rumors.version(topic)}));
		return {
			type: MembershipEffectType.Send,
			to,
			message: {
				type, sequence, sender: this.#own, target, members: [...extra, ...members], rumors,
			},
		};
	}
}
