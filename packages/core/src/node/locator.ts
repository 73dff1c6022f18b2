/**
 * Chooses the destination of a call: by load, or by the primary of the key range when the call has a key.
 *
 * @module
 */
import {ErrorKind, Outcome} from '../errors.js';
import {
	LocateResultType, type Destination, type EntryRequest, type LocateResult, type Locator,
} from '../entry/entry-call.js';
import {Importance} from '../importance.js';
import type {Member} from '../membership/member.js';
import {PrimaryLookupType, type PrimaryLookup, type RangeDirectory} from '../at-most-once/range-directory.js';
import {RouteType, type RouteChoice, type RoutingRequest} from '../routing/route-choice.js';
import type {Router} from '../routing/router.js';

/** Parts of the node that the locator reads. */
export type LocatorDefinition = {
	readonly router: Router;
	readonly directory: RangeDirectory;
	readonly memberOf: (name: string) => Member | undefined;
};

/**
 * Creates the locator of a node.
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
		lastResort: (request, now) => request.key === undefined ? locateLastResort(definition.router, request, now) : undefined,
	};
}

function locateByLoad(router: Router, request: EntryRequest, excluded: ReadonlySet<string>, now: number): LocateResult {
	return toLocateResult(request, router.route(toRoutingRequest(request, excluded), now));
}

/** The result of a choice by load. */
export function toLocateResult(request: EntryRequest, route: RouteChoice): LocateResult {
	if (route.type === RouteType.Send) {
		return {type: LocateResultType.Found, destination: {member: route.candidate.member, epoch: 0}};
	}

	const kinds: Readonly<Record<Exclude<RouteType, RouteType.Send>, ErrorKind>> = {
		[RouteType.Shed]: ErrorKind.Overloaded,
		[RouteType.Exhausted]: ErrorKind.Overloaded,
		[RouteType.None]: ErrorKind.NoUpstream,
	};
	return refusal(kinds[route.type], `No upstream of ${request.service} accepts ${request.policy.kind} at present`);
}

function locateByKey(definition: LocatorDefinition, request: EntryRequest, key: string, excluded: ReadonlySet<string>): LocateResult {
	return toKeyLocateResult(request, definition.directory.lookUp(request.service, key, definition.memberOf), excluded);
}

/** The result of a lookup by key. */
export function toKeyLocateResult(request: EntryRequest, lookup: PrimaryLookup, excluded: ReadonlySet<string>): LocateResult {
	if (lookup.type === PrimaryLookupType.Wait) {
		return {type: LocateResultType.Wait};
	}

	if (lookup.type !== PrimaryLookupType.Found) {
		return {
			type: LocateResultType.Refused,
			outcome: Outcome.Unknown,
			error: {kind: ErrorKind.KeyStateUnknown, detail: `Neither the primary nor the backup of the key's range of ${request.service} is alive`},
		};
	}

	return excluded.has(lookup.member.name)
		? refusal(ErrorKind.Overloaded, `The primary of the key's range of ${request.service} refused the call`)
		: {type: LocateResultType.Found, destination: {member: lookup.member, epoch: lookup.epoch}};
}

function locateLastResort(router: Router, request: EntryRequest, now: number): Destination | undefined {
	const candidate = router.mostHeadroom(toRoutingRequest(request, new Set()), now);
	return candidate === undefined ? undefined : {member: candidate.member, epoch: 0};
}

/** The properties of a request that determine its route. */
export function toRoutingRequest(request: EntryRequest, excluded: ReadonlySet<string>, bodyBytes = request.request.body.length): RoutingRequest {
	const {service, policy, importance, priority} = request;
	return {
		service, kind: policy.kind, importance, priority, excluded, crossRegion: policy.crossRegion ?? importance !== Importance.Low, bodyBytes,
	};
}

function refusal(kind: ErrorKind, detail: string): LocateResult {
	return {type: LocateResultType.Refused, outcome: Outcome.NotRun, error: {kind, detail}};
}
