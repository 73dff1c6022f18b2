/**
 * Pulls newer manifest revisions and key-range records when messages mention them.
 *
 * @module
 */
import type {Membership} from '../membership/membership.js';
import {manifestTopic} from '../membership/rumors.js';
import type {RangeDirectory} from '../at-most-once/range-directory.js';
import {NodeEffectType, type NodeEffect} from './effects.js';
import type {ActiveManifest} from './active-manifest.js';

/** Peers of the own region from which a manifest is pulled, before one peer of any region. */
const ownRegionPulls = 2;

/** Parts of the node that hold versions, and the membership from which peers are chosen. */
export type VersionUpdatesDependencies = {
	readonly manifest: ActiveManifest;
	readonly directory: RangeDirectory;
	readonly membership: Membership;
};

/**
 * Decides which versions to pull, and from which peers.
 *
 * @example
 * const updates = new VersionUpdates({manifest, directory, membership});
 * updates.observeRevision(8, now); // [{type: NodeEffectType.PullManifest, from}] when revision 7 is active
 */
export class VersionUpdates {
	readonly #dependencies: VersionUpdatesDependencies;

	constructor(dependencies: VersionUpdatesDependencies) {
		this.#dependencies = dependencies;
	}

	/** Processes a version that gossip mentioned. */
	observe(topic: string, version: number, now: number): NodeEffect[] {
		if (topic === manifestTopic) {
			return this.observeRevision(version, now);
		}

		const {directory, membership} = this.#dependencies;
		const service = topic.slice(topic.indexOf('/') + 1);
		const isTracked = service === membership.own.service || directory.version(service) > 0;
		if (isTracked && version > directory.version(service)) {
			directory.requestPull(service);
		}

		return [];
	}

	/** Processes a manifest revision that any message mentioned. */
	observeRevision(number: number, now: number): NodeEffect[] {
		return this.#dependencies.manifest.observe(number, now) ? [this.#pullManifest()] : [];
	}

	/** Starts the pulls that are due. */
	advance(now: number): NodeEffect[] {
		const records = this.#dependencies.directory.takePulls(now).flatMap(service => this.#pullRecord(service));
		return this.#dependencies.manifest.takePull(now) ? [...records, this.#pullManifest()] : records;
	}

	#pullManifest(): NodeEffect {
		const {membership} = this.#dependencies;
		const {region} = membership.own.location;
		const ownRegionPeers = membership.sample(ownRegionPulls, member => member.location.region === region);
		return {type: NodeEffectType.PullManifest, from: [...ownRegionPeers, ...membership.sample(1)]};
	}

	#pullRecord(service: string): NodeEffect[] {
		const {membership} = this.#dependencies;
		if (service === membership.own.service) {
			return [{type: NodeEffectType.ReadRecord, service}];
		}

		const [from] = membership.sample(1, member => member.service === service);
		return from === undefined ? [] : [{type: NodeEffectType.PullRecord, service, from}];
	}
}
