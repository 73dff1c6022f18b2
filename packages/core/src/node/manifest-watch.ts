/**
 * Decides which nodes read the manifest from the store, and bounds the time for which a node uses a manifest that nobody has
 * confirmed to be the newest.
 *
 * A few nodes of each region watch the store. The others ask them for a confirmation of the active revision. A node whose
 * latest confirmation becomes too old reads the store itself, whatever the reason is: a silent connection to the store, a
 * watcher that stands still, or a network partition between nodes.
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

/** Largest number of members of a region for each watcher. Bounds the requests for confirmations that a watcher answers. */
const membersPerWatcher = 32;

/** Shares of the maximum age. A confirmation passes from the store through a watcher to a node within it, with one lost datagram. */
const watchShare = 0.4;
const askShare = 0.3;
/** A watcher with an older confirmation has lost the answer to a watch, and reads the manifest at once. */
const rereadShare = 0.5;
const overdueShare = 0.7;
const deputyShare = 0.85;

/** Interval of the requests for a confirmation while it is overdue. */
const overdueAskMilliseconds = 200;

/** Access to the store that is due at a node. */
export enum ManifestRead {
	None = 'none',
	/** Read the newest revision at once. */
	Now = 'now',
	/** Wait for a newer revision. */
	Watch = 'watch',
}

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
 * watch.read(now); // ManifestRead.Watch at a watcher
 * watch.confirmed({number: 7, ageMilliseconds: 0}, now);
 */
export class ManifestWatch {
	readonly #definition: ManifestWatchDefinition;
	readonly #freshness: ManifestFreshness;
	#askedAt = -Infinity;
	#askCount = 0;

	constructor(definition: ManifestWatchDefinition) {
		this.#definition = definition;
		this.#freshness = new ManifestFreshness(definition.manifest.adoption);
	}

	/** Longest wait of one watch. Its end without a newer revision confirms the active one. */
	get watchMilliseconds(): number {
		return this.#definition.maximumAgeMilliseconds * watchShare;
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

	/** Whether the node is among those of its region that read the first manifest: the watchers and their deputy. */
	get isFirstReader(): boolean {
		return this.#rank <= this.#watcherCount;
	}

	/** The access to the store that is due at a node with a manifest. */
	read(now: number): ManifestRead {
		const {maximumAgeMilliseconds} = this.#definition;
		const age = this.age(now);
		const [rank, watcherCount] = [this.#rank, this.#watcherCount];
		if (rank < watcherCount) {
			return age > maximumAgeMilliseconds * rereadShare ? ManifestRead.Now : ManifestRead.Watch;
		}

		return age > maximumAgeMilliseconds * (rank === watcherCount ? deputyShare : 1) ? ManifestRead.Now : ManifestRead.None;
	}

	/** Asks a watcher for its confirmation when one is due. */
	advance(now: number): MembershipEffect[] {
		const {manifest, membership, maximumAgeMilliseconds} = this.#definition;
		const age = this.age(now);
		const isOverdue = age > maximumAgeMilliseconds * overdueShare;
		const askMilliseconds = maximumAgeMilliseconds * askShare;
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

	/** A watcher, of the own failure domain if there is one. While a confirmation is overdue, all watchers and their deputy in turn. */
	#chooseSource(isOverdue: boolean): Member | undefined {
		const {own} = this.#definition.membership;
		const order = this.#order;
		const isOwn = (member: Member): boolean => member.name === own.name;
		if (isOverdue) {
			const sources = order.slice(0, this.#watcherCount + 1).filter(member => !isOwn(member));
			return sources[this.#askCount % sources.length];
		}

		const watchers = order.slice(0, this.#watcherCount);
		const [assigned] = chooseByRendezvous(own.name, watchers, member => member.name, 1);
		const source = watchers.find(member => member.location.failureDomain === own.location.failureDomain) ?? assigned;
		return watchers.some(member => isOwn(member)) ? undefined : source;
	}

	/** Members of the own region that have not stopped, in the order in which they are chosen as watchers. */
	get #order(): Member[] {
		const region = this.#region;
		return chooseByRendezvous('manifest', region, member => member.name, region.length);
	}

	get #region(): Member[] {
		const {membership} = this.#definition;
		return membership.members.filter(member => !isDeadOrLeft(member) && member.location.region === membership.own.location.region);
	}

	get #rank(): number {
		const {name} = this.#definition.membership.own;
		return this.#order.findIndex(member => member.name === name);
	}

	get #watcherCount(): number {
		return Math.ceil(this.#region.length / membersPerWatcher);
	}
}
