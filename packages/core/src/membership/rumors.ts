/**
 * Version numbers that spread among nodes: of the manifest, and of each service's key ranges. Only the numbers are
 * passed on; whoever lacks the content pulls it.
 *
 * @module
 */

/** A topic and the highest version heard of. */
export type Rumor = {
	readonly topic: string;
	readonly version: number;
};

/** Topic of the manifest. */
export const manifestTopic = 'manifest';

/** Topic of a service's key ranges. */
export function rangesTopic(service: string): string {
	return `ranges/${service}`;
}

/**
 * The highest version of each topic.
 *
 * @example
 * rumors.observe({topic: manifestTopic, version: 8}); // true when it was news
 */
export class Rumors {
	readonly #versions = new Map<string, number>();

	get all(): Rumor[] {
		return [...this.#versions].map(([topic, version]) => ({topic, version}));
	}

	version(topic: string): number {
		return this.#versions.get(topic) ?? 0;
	}

	observe(rumor: Rumor): boolean {
		if (rumor.version <= this.version(rumor.topic)) {
			return false;
		}

		this.#versions.set(rumor.topic, rumor.version);
		return true;
	}
}
