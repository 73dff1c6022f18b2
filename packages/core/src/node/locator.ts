/**
 * Finds the node for a call: by load for idempotent work, by key for at-most-once work.
 *
 * @module
 */
import {ErrorKind, Outcome} from '../errors.js';
import {
	LocateType, type Destination, type EntryRequest, type Located, type Locator,
} from '../entry/entry-call.js';
import {Importance} from '../importance.js';
import type {Member} from '../membership/member.js';
import {PrimaryLookupType, type RangeDirectory} from '../at-most-once/range-directory.js';
import {RouteType, type Router, type RoutingRequest} from '../routing/router.js';

/** What a locator asks. */
export type LocatorDefinition = {
	readonly router: Router;
	readonly directory: RangeDirectory;
	readonly memberOf: (name: string) => Member | undefined;
};

/**
 * Makes the locator of a node.
 *
 * @example
 * const locator = createLocator({router, directory, memberOf});
 * locator.locate(request, new Set(), now);
 */
export function createLocator(definition: LocatorDefinition): Locator {
	return {
		locate: (request, excluded, now) => request.key === undefined
			? locateByLoad(definition.router, request, excluded, now)
			: locateByKey(definition, request, request.key, excluded),
		lastResort: (request, now) => request.key === undefined ? lastResort(definition.router, request, now) : undefined,
	};
}

function locateByLoad(router: Router, request: EntryRequest, excluded: ReadonlySet<string>, now: number): Located {
	const route = router.route(toRoutingRequest(request, excluded), now);
	if (route.type === RouteType.Send) {
		return {type: LocateType.Found, destination: {member: route.candidate.member, epoch: 0}};
	}

	const kinds: Readonly<Record<Exclude<RouteType, RouteType.Send>, ErrorKind>> = {
		[RouteType.Shed]: ErrorKind.Overloaded,
		[RouteType.Exhausted]: ErrorKind.Overloaded,
		[RouteType.None]: ErrorKind.NoUpstream,
	};
	return refused(kinds[route.type], `No upstream of ${request.service} takes ${request.policy.kind} now`);
}

function locateByKey(definition: LocatorDefinition, request: EntryRequest, key: string, excluded: ReadonlySet<string>): Located {
	const lookup = definition.directory.lookUp(request.service, key, definition.memberOf);
	if (lookup.type === PrimaryLookupType.Wait) {
		return {type: LocateType.Wait};
	}

	if (lookup.type !== PrimaryLookupType.Found) {
		return {
			type: LocateType.Refused,
			outcome: Outcome.Unknown,
			error: {kind: ErrorKind.KeyStateUnknown, detail: `The holders of the key's range of ${request.service} are gone`},
		};
	}

	return excluded.has(lookup.member.name)
		? refused(ErrorKind.Overloaded, `The primary of the key's range of ${request.service} refused`)
		: {type: LocateType.Found, destination: {member: lookup.member, epoch: lookup.epoch}};
}

function lastResort(router: Router, request: EntryRequest, now: number): Destination | undefined {
	const candidate = router.mostHeadroom(toRoutingRequest(request, new Set()), now);
	return candidate === undefined ? undefined : {member: candidate.member, epoch: 0};
}

function toRoutingRequest(request: EntryRequest, excluded: ReadonlySet<string>): RoutingRequest {
	const {service, policy, importance, priority} = request;
	return {
		service, kind: policy.kind, importance, priority, excluded, crossRegion: policy.crossRegion ?? importance !== Importance.Low,
	};
}

function refused(kind: ErrorKind, detail: string): Located {
	return {type: LocateType.Refused, outcome: Outcome.NotRun, error: {kind, detail}};
}
