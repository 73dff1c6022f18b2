/**
 * Lookup of organisations by their keys.
 *
 * @module
 */
import type {Organisation} from './organisation.js';

/**
 * Organisations by key. A lookup costs one hash of the key, whatever the number of keys.
 *
 * @example
 * const index = new OrganisationIndex(manifest.organisations);
 * index.find('k1')?.name; // 'pulo780'
 */
export class OrganisationIndex {
	readonly #byKey: ReadonlyMap<string, Organisation>;

	/** @param organisations - organisations of one manifest, which share no key */
	constructor(organisations: readonly Organisation[]) {
		this.#byKey = new Map(organisations.flatMap(organisation => organisation.keys.map(key => [key, organisation] as const)));
	}

	/** Number of keys. */
	get size(): number {
		return this.#byKey.size;
	}

	find(key: string): Organisation | undefined {
		return this.#byKey.get(key);
	}
}
