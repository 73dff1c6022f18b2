/**
 * Reading of the weights of organisations from a manifest.
 *
 * @module
 */
import type {Manifest} from '../manifest/model.js';

/**
 * Weights by name of the organisation, for those that state one. All others have weight 1.
 *
 * @example
 * weightsOf(manifest).get('acme'); // 3
 */
export function weightsOf({organisations = []}: Pick<Manifest, 'organisations'>): ReadonlyMap<string, number> {
	return new Map(organisations.flatMap(({name, weight}) => weight === undefined ? [] : [[name, weight] as const]));
}
