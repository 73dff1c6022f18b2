/**
 * Reading of the quotas from a manifest.
 *
 * @module
 */
import type {Quotas} from './quota.js';

type OrganisationQuota = {readonly name: string; readonly requestsPerSecond?: number; readonly burst?: number};

/**
 * The quotas of a manifest's organisations. An organisation without a rate, or with the rate 0, has none.
 *
 * @example
 * quotasOf({organisations: [{name: 'acme', requestsPerSecond: 100, burst: 50}]});
 */
export function quotasOf(manifest: object): Quotas {
	const {organisations = []} = manifest as {readonly organisations?: readonly OrganisationQuota[]};
	const limited = organisations.filter(({requestsPerSecond = 0}) => requestsPerSecond > 0);
	return new Map(limited.map(({name, requestsPerSecond = 0, burst = 0}) => [name, {requestsPerSecond, burst}]));
}
