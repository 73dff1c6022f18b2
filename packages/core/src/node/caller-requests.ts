/**
 * Resolves a caller's request to a call: its request kind, customer action, deadline, idempotency key and retry quota.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {allowedMilliseconds} from '../action/deadline.js';
import {RetryQuota} from '../action/retry-quota.js';
import {parseTraceContext, type TraceContext} from '../action/trace-context.js';
import {requestDigest} from '../at-most-once/request-digest.js';
import type {EntryRequest} from '../entry/entry-call.js';
import {ErrorKind} from '../errors.js';
import {
	cohortInBand, cohortOf, priorityOf, type Importance,
} from '../importance.js';
import {
	isIdempotent, matchRequest, type Manifest, type RequestPolicy,
} from '../manifest/model.js';
import {
	importanceOfRank, type InvalidRoute, type Route, type RouteTable, type SplitSelector,
} from '../manifest/routes.js';
import type {CallError} from '../messages.js';
import {
	identify, mayBeNested, withOrganisation, type IdentificationContext,
} from '../organisations/identification.js';
import type {ParentCall} from '../serving/serving-coordinator.js';
import type {CallerRequest} from './effects.js';

const keyPattern = /^[\u0021-\u007E]{1,128}$/u;

/** State of the node that resolving a request depends on. */
export type RequestContext = IdentificationContext & {
	readonly manifest: Manifest;
	/** Routes of the manifest; undefined when it has none. */
	readonly routes: RouteTable<Route | InvalidRoute> | undefined;
	readonly splitSelector: Pick<SplitSelector, 'select'>;
	readonly parentOf: (callId: string | undefined) => ParentCall | undefined;
	/** The running call that serves the request with this id. */
	readonly parentOfRequest: (requestId: string) => ParentCall | undefined;
	/** Generates a trace id of 32 hexadecimal digits. */
	readonly newActionId: () => string;
};

export type RequestResult
	= | {readonly success: true; readonly entryRequest: EntryRequest; readonly parentCallId: string | undefined}
		| {readonly success: false; readonly error: CallError; /** Request kind of a request whose rejection is recorded as an event. */ readonly rejectedKind?: string};

/**
 * Resolves a caller's request, or returns the error with which it is rejected.
 *
 * @example
 * const result = toEntryRequest(callerRequest, context, now);
 */
export function toEntryRequest(caller: CallerRequest, context: RequestContext, now: number): RequestResult {
	const match = findPolicy(caller, context);
	if ('detail' in match) {
		return {success: false, error: match};
	}

	const {policy, isPublic} = match;
	const traceContext = parseTraceContext(caller.traceparent, caller.tracestate);
	const {parent, namesParent} = findParent(caller, traceContext, context);
	const identity = identify({
		key: caller.organisationKey, isPublic, route: policy.kind, parent: parent?.frame, namesParent,
	}, context);
	if (!identity.success) {
		return {...identity, rejectedKind: policy.kind};
	}

	const isKeyInvalid = caller.key !== undefined && !keyPattern.test(caller.key);
	if (isKeyInvalid) {
		return {success: false, error: {kind: ErrorKind.Malformed, detail: 'idempotency-key: expected 1 to 128 visible ASCII characters'}};
	}

	const service = match.selectService();
	const action = toAction(traceContext, parent, context);
	const {importance, priority} = parent?.frame ?? toPriority(policy.importance, identity.rank, action.actionId);
	const {organisation} = identity;
	const request = withOrganisation(caller.request, organisation, context.organisationHeader);
	const key = keyFor(caller, policy, parent, context);
	const parentMilliseconds = parent === undefined ? undefined : parent.work.deadline - now;
	return {
		success: true,
		parentCallId: parent?.frame.callId,
		entryRequest: {
			entryId: caller.entryId,
			action,
			requestId: caller.requestId ?? '',
			service,
			answerBytesLimit: context.manifest.services[service]?.answerBytesLimit ?? 0,
			policy,
			importance,
			organisation,
			priority,
			deadline: now + allowedMilliseconds(policy.waitMilliseconds, caller.timeoutMilliseconds, parentMilliseconds),
			retryQuota: retryQuotaFor(traceContext, parent, context.manifest),
			key,
			request: key === undefined || request.digest !== '' ? request : {...request, digest: requestDigest(request)},
		},
	};
}

type RequestMatch = {
	readonly policy: RequestPolicy;
	readonly isPublic: boolean;
	/** Called only for accepted requests, since each call for a split route takes a turn of the split. */
	readonly selectService: () => string;
};

/** The rank of the organisation determines the importance, and then the importance of the route the band of cohorts. */
function toPriority(routeImportance: Importance, organisationRank: number | undefined, actionId: string): {readonly importance: Importance; readonly priority: number} {
	if (organisationRank === undefined) {
		return {importance: routeImportance, priority: priorityOf(routeImportance, cohortOf(actionId))};
	}

	const importance = importanceOfRank(organisationRank);
	return {importance, priority: priorityOf(importance, cohortInBand(routeImportance, actionId))};
}

function findPolicy(caller: CallerRequest, {manifest, routes, splitSelector}: RequestContext): RequestMatch | CallError {
	const {method, target} = caller.request;
	if (routes !== undefined) {
		const route = routes.findRoute(caller.host ?? '', target);
		if (route === undefined) {
			return {kind: ErrorKind.UnknownRequestKind, detail: `No route of host ${caller.host ?? ''} has a prefix of ${target.split('?')[0]}`};
		}

		return 'policy' in route
			? {policy: route.policy, isPublic: route.isPublic, selectService: () => splitSelector.select(route)}
			: {kind: ErrorKind.NotReady, detail: `Route ${route.name} of the manifest is invalid: ${route.detail}`};
	}

	const service = manifest.services[caller.service];
	if (service === undefined) {
		return {kind: ErrorKind.UnknownService, detail: `The manifest declares no service ${caller.service}`};
	}

	const policy = matchRequest(service, method, target);
	return policy === undefined
		? {kind: ErrorKind.UnknownRequestKind, detail: `Service ${caller.service} has no request kind for ${method} ${target.split('?')[0]}`}
		: {policy, isPublic: false, selectService: () => caller.service};
}

/** Id of the parent request. An upstream derives the ids of its own calls from the request it serves: `PARENT.OWN`. */
function parentRequestId(requestId: string): string {
	return requestId.slice(0, Math.max(0, requestId.lastIndexOf('.')));
}

type NamedParent = {readonly parent: ParentCall | undefined; readonly namesParent: boolean};

function findParent({organisationKey, requestId}: CallerRequest, traceContext: TraceContext | undefined, context: RequestContext): NamedParent {
	const parentId = parentRequestId(requestId ?? '');
	return {
		parent: mayBeNested(organisationKey, context) ? context.parentOf(traceContext?.parentCallId) ?? context.parentOfRequest(parentId) : undefined,
		namesParent: parentId !== '' || traceContext?.parentCallId !== undefined,
	};
}

function toAction(traceContext: TraceContext | undefined, parent: ParentCall | undefined, context: RequestContext): EntryRequest['action'] {
	return {
		actionId: parent?.frame.action.actionId ?? traceContext?.traceId ?? context.newActionId(),
		vendorTraceState: traceContext?.vendorTraceState ?? [],
	};
}

/** Quota of the parent call. When the request names a parent call that has ended, there are no retries, since its quota is closed. */
function retryQuotaFor(traceContext: TraceContext | undefined, parent: ParentCall | undefined, manifest: Manifest): RetryQuota {
	if (parent !== undefined) {
		return parent.retryQuota;
	}

	return new RetryQuota(traceContext?.parentCallId === undefined ? manifest.retriesPerAction : 0);
}

function keyFor(caller: CallerRequest, policy: RequestPolicy, parent: ParentCall | undefined, context: RequestContext): string | undefined {
	const isKeyless = isIdempotent(policy.semantics) || context.routes !== undefined;
	if (isKeyless) {
		return undefined;
	}

	return caller.key ?? (parent === undefined ? undefined : derivedKey(caller, policy, parent, context.manifest));
}

/** Derives the key from the action, since a retry of the parent call makes the same nested call again. */
function derivedKey(caller: CallerRequest, policy: RequestPolicy, parent: ParentCall, manifest: Manifest): string | undefined {
	const {service, kind, action} = parent.frame;
	const call = manifest.services[service]?.requests.find(request => request.kind === kind)?.calls
		.find(candidate => candidate.service === caller.service && candidate.kind === policy.kind);
	return call?.derivedKey === true
		? createHash('sha256').update(`${action.actionId}/${caller.service}/${policy.kind}`).digest('hex')
		: undefined;
}
