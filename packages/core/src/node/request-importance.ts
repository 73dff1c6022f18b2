/**
 * Importance of a caller's request, from its head alone.
 *
 * @module
 */
import {Importance} from '../importance.js';
import {matchRequest, type Manifest} from '../manifest/model.js';
import type {InvalidRoute, Route, RouteTable} from '../manifest/routes.js';

/** The parts of a request's head that its importance depends on. */
export type RequestTarget = {
	readonly method: string;
	readonly host: string;
	/** Service that the path names; not used when the manifest has routes. */
	readonly service: string;
	readonly target: string;
};

/**
 * Importance of the route or request kind that matches; `normal` when none does. Nested calls, whose importance is that of
 * their parent, are not recognised here, and the rank of the organisation is not considered, since the key is checked later.
 *
 * @example
 * importanceOf({method: 'POST', host: '', service: 'deposits', target: '/deposits'}, manifest, undefined); // Importance.Critical
 */
export function importanceOf({method, host, service, target}: RequestTarget, manifest: Manifest | undefined, routes: RouteTable<Route | InvalidRoute> | undefined): Importance {
	if (routes !== undefined) {
		const route = routes.findRoute(host, target);
		return route !== undefined && 'policy' in route ? route.policy.importance : Importance.Normal;
	}

	const policy = manifest?.services[service];
	return (policy === undefined ? undefined : matchRequest(policy, method, target)?.importance) ?? Importance.Normal;
}
