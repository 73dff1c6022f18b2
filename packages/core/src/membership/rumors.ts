/**
 * Version numbers that nodes spread by gossip: of the manifest, and of each service's key ranges. Gossip carries only
 * the numbers; a node that lacks the content pulls it.
 *
 * @module
 */

/** A topic and its highest version known to the sender. */
export type Rumor = {
	readonly topic: string;
	readonly version: number;
};

export const manifestTopic = 'manifest';

/** Topic of a service's key ranges. */
export function rangesTopic(service: string): string {
	return `ranges/${service}`;
}

/**
 * The highest version of each topic.
 *
 * @example
 * rumors.observe({topic: manifestTopic, version: 8}); // true when the version is newer than all before
 */
export class Rumors {
	readonly #versions = new Map<string, number>();

	get all(): Rumor[] {
		return [...this.#versions].map(([topic, version]) => ({topic, version}));
	}

	/** Highest version of the topic; 0 when none is known. */
	version(topic: string): number {
		return this.#versions.get(topic) ?? 0;
	}

	/** Records a version; false when it is not newer. */
	observe(rumor: Rumor): boolean {
		if (rumor.version <= this.version(rumor.topic)) {
			return false;
		}

		this.#versions.set(rumor.topic, rumor.version);
		return true;
	}
}
