/**
 * The members as the quotas need them: who owns a part of a quota, and which share of the members is reachable.
 *
 * @module
 */
import {Liveness, UpstreamState, type Member} from '../membership/member.js';
import {chooseByRendezvous, rendezvousWeight} from '../routing/rendezvous.js';

/** Time for which a lost member counts as one that may be alive on the other side of a partition. */
const lostMilliseconds = 60_000;

/** Time for which a member that has left or restarted counts among those that admit requests: two windows of a quota. */
const admittingMilliseconds = 10_000;

/** A new owner grants nothing for this time, in which the other nodes and the previous owner learn of the change. */
const takeoverMilliseconds = 1000;

type Choice = {readonly owner: string; readonly weight: number};

/**
 * Members of the system.
 *
 * @example
 * members.set(allMembers, now);
 * members.ownerOf('acme', 0); // the member that grants the tokens of this part
 */
export class QuotaMembers {
	readonly #choices: Map<string, Choice>;
	#candidates = new Map<string, Member>();
	#byName = new Map<string, Member>();
	#suspected = new Set<string>();
	readonly #lostAt = new Map<string, number>();
	/** Times at which incarnations of members stopped being candidates, for whatever reason. */
	readonly #removedAt = new Map<string, number>();
	#changedAt = -Infinity;

	constructor(choices = new Map<string, Choice>()) {
		this.#choices = choices;
	}

	/**
	 * Members in the same state, whose changes do not affect these. Only the known owners are shared, which are a memory of
	 * hashes: without it each copy would hash all members again, 3,200 of them in the largest fleet.
	 */
	copy(): QuotaMembers {
		const members = new QuotaMembers(this.#choices);
		[...this.#lostAt].map(([name, at]) => members.#lostAt.set(name, at));
		[...this.#removedAt].map(([name, at]) => members.#removedAt.set(name, at));
		members.#candidates = this.#candidates;
		members.#byName = this.#byName;
		members.#suspected = this.#suspected;
		members.#changedAt = this.#changedAt;
		return members;
	}

	/** Number of members that count in the division of a quota: candidates, and members lost within the last minute. */
	get count(): number {
		return this.#candidates.size + this.#lostAt.size;
	}

	/**
	 * Number of members that may have admitted requests in advance within the last seconds: candidates, lost members, and
	 * those that have left or restarted. A member that leaves still admits requests, and nobody pays back what it, or an
	 * earlier incarnation, has admitted.
	 */
	admittingCount(now: number): number {
		[...this.#removedAt].filter(([, at]) => now - at >= admittingMilliseconds).map(([key]) => this.#removedAt.delete(key));
		return this.#candidates.size + Math.max(this.#lostAt.size, this.#removedAt.size);
	}

	get candidates(): readonly Member[] {
		return [...this.#candidates.values()];
	}

	get(name: string): Member | undefined {
		return this.#byName.get(name);
	}

	/** Milliseconds since a new owner could begin to grant after the last change of the candidates; negative before. */
	stableFor(now: number): number {
		return now - this.#changedAt - takeoverMilliseconds;
	}

	/** Share of the members known in the last minute that are neither lost nor suspected. */
	reach(now: number): number {
		[...this.#lostAt].filter(([, at]) => now - at >= lostMilliseconds).map(([name]) => this.#lostAt.delete(name));
		return this.count === 0 ? 1 : (this.#candidates.size - this.#suspected.size) / this.count;
	}

	/** Sets the members; true when a candidate has come, gone or restarted. */
	set(members: readonly Member[], now: number): boolean {
		const previous = this.#candidates;
		this.#byName = new Map(members.map(member => [member.name, member]));
		this.#candidates = new Map(members.filter(member => isCandidate(member)).map(member => [member.name, member]));
		this.#suspected = new Set(this.candidates.filter(member => member.liveness === Liveness.Suspect).map(member => member.name));
		const removed = [...previous.keys()].filter(name => !this.#candidates.has(name));
		const added = this.candidates.filter(member => previous.get(member.name)?.incarnation !== member.incarnation);
		removed.filter(name => this.#byName.get(name)?.liveness === Liveness.Dead).map(name => this.#lostAt.set(name, now));
		added.map(member => this.#lostAt.delete(member.name));
		[...previous.values()].filter(({name, incarnation}) => this.#candidates.get(name)?.incarnation !== incarnation)
			.map(({name, incarnation}) => this.#removedAt.set(`${name}/${incarnation}`, now));
		if (removed.length === 0 && added.length === 0) {
			return false;
		}

		this.#changedAt = now;
		this.#updateChoices(new Set(removed), added.map(member => member.name));
		return true;
	}

	/** The member that owns a part of the quota, by rendezvous hashing; undefined without candidates. */
	ownerOf(organisation: string, part: number): Member | undefined {
		const key = `${part}/${organisation}`;
		const known = this.#choices.get(key) ?? this.#choose(key);
		return known === undefined ? undefined : this.#candidates.get(known.owner);
	}

	/** Forgets the owners of organisations that have no quota any more. */
	clear(): void {
		this.#choices.clear();
	}

	#choose(key: string): Choice | undefined {
		const [member] = chooseByRendezvous(key, this.candidates, ({name}) => name, 1);
		if (member === undefined) {
			return undefined;
		}

		const choice = {owner: member.name, weight: rendezvousWeight(key, member.name)};
		this.#choices.set(key, choice);
		return choice;
	}

	/** Only added members can displace an owner that is still there, so that a change costs one hash for each known part. */
	#updateChoices(removed: ReadonlySet<string>, added: readonly string[]): void {
		[...this.#choices].map(([key, choice]) => {
			if (removed.has(choice.owner)) {
				return this.#choices.delete(key);
			}

			const best = added.map(owner => ({owner, weight: rendezvousWeight(key, owner)})).reduce((left, right) => right.weight > left.weight ? right : left, choice);
			return this.#choices.set(key, best);
		});
	}
}

function isCandidate(member: Member): boolean {
	return member.liveness !== Liveness.Dead && (member.state === UpstreamState.Starting || member.state === UpstreamState.Ready);
}
