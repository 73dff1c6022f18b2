/**
 * Versions that a node hears of: manifest revisions and records of key ranges, and whom it asks for newer ones.
 *
 * @module
 */
import type {Membership} from '../membership/membership.js';
import {manifestTopic} from '../membership/rumors.js';
import type {RangeDirectory} from '../at-most-once/range-directory.js';
import {NodeEffectType, type NodeEffect} from './effects.js';
import type {ActiveManifest} from './active-manifest.js';

/** Peers of the own region that are asked for a manifest, before one from anywhere. */
const nearPeersAsked = 2;

/** Parts of the node that hold versions. */
export type VersionNewsParts = {
	readonly manifest: ActiveManifest;
	readonly directory: RangeDirectory;
	readonly membership: Membership;
};

/**
 * News of versions.
 *
 * @example
 * const news = new VersionUpdates({manifest, directory, membership});
 * news.hearRevision(8, now); // [{type: NodeEffectType.PullManifest, from}] when revision 7 is in force
 */
export class VersionUpdates {
	readonly #parts: VersionNewsParts;

	constructor(parts: VersionNewsParts) {
		this.#parts = parts;
	}

	/** Gossip tells of a version. */
	hear(topic: string, version: number, now: number): NodeEffect[] {
		if (topic === manifestTopic) {
			return this.hearRevision(version, now);
		}

		const {directory, membership} = this.#parts;
		const service = topic.slice(topic.indexOf('/') + 1);
		const isWanted = service === membership.own.service || directory.version(service) > 0;
		if (isWanted && version > directory.version(service)) {
			directory.requestPull(service);
		}

		return [];
	}

	/** Any message tells of a manifest's revision. */
	hearRevision(number: number, now: number): NodeEffect[] {
		return this.#parts.manifest.hear(number, now) ? [this.#pullManifest()] : [];
	}

	/** Pulls that are due by now. */
	advance(now: number): NodeEffect[] {
		const records = this.#parts.directory.takePulls(now).flatMap(service => this.#pullRecord(service));
		return this.#parts.manifest.isPullDue(now) ? [...records, this.#pullManifest()] : records;
	}

	#pullManifest(): NodeEffect {
		const {membership} = this.#parts;
		const {region} = membership.own.location;
		const near = membership.sample(nearPeersAsked, member => member.location.region === region);
		return {type: NodeEffectType.PullManifest, from: [...near, ...membership.sample(1)]};
	}

	#pullRecord(service: string): NodeEffect[] {
		const {membership} = this.#parts;
		if (service === membership.own.service) {
			return [{type: NodeEffectType.ReadRecord, service}];
		}

		const [from] = membership.sample(1, member => member.service === service);
		return from === undefined ? [] : [{type: NodeEffectType.PullRecord, service, from}];
	}
}
