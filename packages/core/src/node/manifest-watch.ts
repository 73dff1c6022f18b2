/**
 * Decides which nodes read the manifest from the store, and bounds the time for which a node uses a manifest that nobody has
 * confirmed to be the newest.
 *
 * One node, or a few in a large fleet, watches the store in short waits, whose ends confirm the manifest. Some nodes of each
 * region ask it for confirmations, and the other nodes of the region ask these. A node whose latest confirmation becomes too
 * old reads the store itself, whatever the reason is: a silent connection, a watcher that stands still, or a partition.
 *
 * @module
 */
import {ManifestFreshness, type ManifestConfirmation} from '../manifest/freshness.js';
import type {Member} from '../membership/member.js';
import {isDeadOrLeft} from '../membership/member-table.js';
import type {Membership} from '../membership/membership.js';
import type {MembershipEffect} from '../membership/messages.js';
import {chooseByRendezvous} from '../routing/rendezvous.js';
import type {ActiveManifest} from './active-manifest.js';

/** Largest numbers of members for each watcher, and of members of a region for each relay. They bound the requests that one answers. */
const membersPerWatcher = 1024;
const membersPerRelay = 32;

/** Shares of the maximum age. A confirmation passes from the store through a watcher and a relay to a node within it. */
const watchShare = 0.4;
const relayAskShare = 0.2;
const askShare = 0.3;
const overdueShare = 0.7;

/** Share of the maximum age at which a node reads the store, by its role. Those on whom others rely do so first. */
const readShares = {
	/** Reached only when the answer to a watch is late. */
	watcher: 0.5, deputy: 0.75, relay: 0.85, other: 1,
};

/** Interval of the requests for a confirmation while it is overdue. */
const overdueAskMilliseconds = 200;

/** Wait of a watch that brings news early. The bound on the age does not rely on it. */
const newsWatchMilliseconds = 20_000;

/** Time for which a relay or deputy watches the store like a watcher after it had to read the store itself. */
const standInMilliseconds = 5000;

/** Part of a node in the supervision of the manifest, as its view of the members gives it. */
type ManifestRole = {
	readonly isWatcher: boolean;
	/** Asks the watchers, and is asked by other nodes of its region. */
	readonly isRelay: boolean;
	/** Takes the place of the watchers when none of them confirms the manifest. */
	readonly isDeputy: boolean;
	/** Reads the first manifest from the store: the relays of a region and one more node of it. */
	readonly isFirstReader: boolean;
	/** The member to ask; undefined at a watcher. */
	readonly source: Member | undefined;
	/** The members to ask in turn while a confirmation is overdue. */
	readonly overdueSources: readonly Member[];
};

export type ManifestWatchDefinition = {
	readonly manifest: ActiveManifest;
	readonly membership: Membership;
	/** Age of a confirmation from which on a node reads the store itself. */
	readonly maximumAgeMilliseconds: number;
};

/**
 * Supervision of the active manifest at one node.
 *
 * @example
 * const watch = new ManifestWatch({manifest, membership, maximumAgeMilliseconds: 1900});
 * watch.takeRead(now); // true when the latest confirmation is too old
 * watch.confirmed({number: 7, ageMilliseconds: 0}, now);
 */
export class ManifestWatch {
	readonly #definition: ManifestWatchDefinition;
	readonly #freshness: ManifestFreshness;
	#knownRole: ManifestRole | undefined;
	#askedAt = -Infinity;
	#askCount = 0;
	#standsInUntil = -Infinity;

	constructor(definition: ManifestWatchDefinition) {
		this.#definition = definition;
		this.#freshness = new ManifestFreshness(definition.manifest.adoption);
	}

	/** Longest wait of the node's next watch of the store, in milliseconds; undefined if it does not watch the store. */
	watchMilliseconds(now: number): number | undefined {
		if (this.#role.isWatcher || now < this.#standsInUntil) {
			return this.#definition.maximumAgeMilliseconds * watchShare;
		}

		return this.#role.isRelay ? newsWatchMilliseconds : undefined;
	}

	/** Whether the node is among those of its region that read the first manifest. */
	get isFirstReader(): boolean {
		return this.#role.isFirstReader;
	}

	/** Milliseconds since the active revision was last confirmed to be the newest; infinite without a confirmation. */
	age(now: number): number {
		return this.#freshness.age(now);
	}

	/** The confirmation that gossip messages carry. */
	confirmation(now: number): ManifestConfirmation | undefined {
		return this.#freshness.confirmation(now, this.#definition.maximumAgeMilliseconds);
	}

	confirmed(confirmation: ManifestConfirmation, now: number): void {
		this.#freshness.observe(confirmation, now);
	}

	/** Must be called when a revision was adopted. */
	adopted(now: number): void {
		this.#freshness.adopted(now, this.#definition.maximumAgeMilliseconds * overdueShare);
	}

	/** Must be called when a member has changed. */
	membersChanged(): void {
		this.#knownRole = undefined;
	}

	/**
	 * Whether a node with a manifest must read the store now, since its latest confirmation is too old. A relay or deputy then
	 * stands in for the watchers for some time.
	 */
	takeRead(now: number): boolean {
		const {isWatcher, isDeputy, isRelay} = this.#role;
		const shares: ReadonlyArray<readonly [boolean, number]> = [[isWatcher || now < this.#standsInUntil, readShares.watcher], [isDeputy, readShares.deputy], [isRelay, readShares.relay]];
		const share = shares.find(([isRole]) => isRole)?.[1] ?? readShares.other;
		const isDue = this.age(now) > this.#definition.maximumAgeMilliseconds * share;
		if (isDue && (isDeputy || isRelay)) {
			this.#standsInUntil = now + standInMilliseconds;
		}

		return isDue;
	}

	/** Asks another node for its confirmation when that is due. */
	advance(now: number): MembershipEffect[] {
		const {manifest, membership, maximumAgeMilliseconds} = this.#definition;
		const {isRelay, isDeputy} = this.#role;
		const age = this.age(now);
		const isOverdue = age > maximumAgeMilliseconds * overdueShare;
		const askMilliseconds = maximumAgeMilliseconds * (isRelay || isDeputy ? relayAskShare : askShare);
		if (manifest.current === undefined || age <= askMilliseconds || now - this.#askedAt < (isOverdue ? overdueAskMilliseconds : askMilliseconds)) {
			return [];
		}

		const source = this.#chooseSource(isOverdue);
		if (source === undefined) {
			return [];
		}

		this.#askedAt = now;
		this.#askCount += 1;
		return [membership.ping(source)];
	}

	#chooseSource(isOverdue: boolean): Member | undefined {
		const {source, overdueSources} = this.#role;
		return isOverdue ? overdueSources[this.#askCount % overdueSources.length] : source;
	}

	get #role(): ManifestRole {
		this.#knownRole ??= this.#determineRole();
		return this.#knownRole;
	}

	#determineRole(): ManifestRole {
		const {own, members} = this.#definition.membership;
		const order = chooseByRendezvous('manifest', members.filter(member => !isDeadOrLeft(member)), member => member.name, members.length);
		const region = order.filter(member => member.location.region === own.location.region);
		const watcherCount = Math.ceil(order.length / membersPerWatcher);
		const relayCount = Math.ceil(region.length / membersPerRelay);
		const [rank, regionRank] = [order, region].map(list => list.findIndex(member => member.name === own.name)) as [number, number];
		const isRelay = regionRank < relayCount;
		const isDeputy = rank === watcherCount;
		const sources = isRelay || isDeputy ? order.slice(0, watcherCount) : region.slice(0, relayCount);
		const substitutes = isRelay || isDeputy ? order.slice(0, watcherCount + 1) : region.slice(0, relayCount + 1);
		return {
			isWatcher: rank < watcherCount,
			isRelay,
			isDeputy,
			isFirstReader: regionRank <= relayCount,
			source: rank < watcherCount ? undefined : chooseSource(own, sources),
			overdueSources: substitutes.filter(member => member.name !== own.name),
		};
	}
}

/** A source of the own failure domain if there is one, otherwise one that differs among the nodes that ask. */
function chooseSource(own: Member, sources: readonly Member[]): Member | undefined {
	const [assigned] = chooseByRendezvous(own.name, sources, member => member.name, 1);
	return sources.find(member => member.location.failureDomain === own.location.failureDomain) ?? assigned;
}
