/**
 * Reading of the quotas from a manifest.
 *
 * @module
 */
import type {Manifest} from '../manifest/model.js';
import type {Quotas} from './quota.js';

/**
 * The quotas of a manifest's organisations. An organisation with the rate 0 has none.
 *
 * @example
 * quotasOf(manifest).get('acme'); // {requestsPerSecond: 100, burst: 50}
 */
export function quotasOf({organisations = []}: Pick<Manifest, 'organisations'>): Quotas {
	const limited = organisations.filter(({requestsPerSecond}) => requestsPerSecond > 0);
	return new Map(limited.map(({name, requestsPerSecond, burst}) => [name, {requestsPerSecond, burst}]));
}
