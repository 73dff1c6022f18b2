/**
 * Turns a caller's request into a call: finds its kind, its action, its time, its key and its account of retries.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {allowedTime} from '../action/deadline.js';
import {RetryQuota} from '../action/retry-quota.js';
import {parseTraceContext, type TraceContext} from '../action/trace-context.js';
import type {EntryRequest} from '../entry/entry-call.js';
import {ErrorKind} from '../errors.js';
import {cohortOf, priorityOf} from '../importance.js';
import {
	matchRequest, Semantics, type Manifest, type RequestPolicy,
} from '../manifest/model.js';
import type {RouteTable, SplitChooser} from '../manifest/routes.js';
import type {CallError} from '../messages.js';
import type {ParentCall} from '../serving/serving-coordinator.js';
import type {CallerRequest} from './effects.js';

const keyPattern = /^[\u0021-\u007E]{1,128}$/u;

/** What is needed beside the request. */
export type RequestSurroundings = {
	readonly manifest: Manifest;
	/** Routes of the manifest, if it has any. */
	readonly routes: RouteTable | undefined;
	readonly splits: SplitChooser;
	readonly enclosing: (callId: string | undefined) => ParentCall | undefined;
	/** The running call that answers the request of this name. */
	readonly enclosingOfRequest: (requestId: string) => ParentCall | undefined;
	/** Makes a trace id of 32 hexadecimal digits. */
	readonly newActionId: () => string;
};

export type RequestResult
	= | {readonly success: true; readonly entryRequest: EntryRequest; readonly enclosingCallId: string | undefined}
		| {readonly success: false; readonly error: CallError};

/**
 * Makes a call of a caller's request, or says why that cannot be.
 *
 * @example
 * const result = toEntryRequest(callerRequest, surroundings, now);
 */
export function toEntryRequest(caller: CallerRequest, surroundings: RequestSurroundings, now: number): RequestResult {
	const found = findPolicy(caller, surroundings);
	if ('detail' in found) {
		return {success: false, error: found};
	}

	const {service, policy} = found;
	const isKeyInvalid = caller.key !== undefined && !keyPattern.test(caller.key);
	if (isKeyInvalid) {
		return {success: false, error: {kind: ErrorKind.Malformed, detail: 'idempotency-key: expected 1 to 128 visible ASCII characters'}};
	}

	const context = parseTraceContext(caller.traceparent, caller.tracestate);
	const parent = surroundings.enclosing(context?.parentCallId) ?? surroundings.enclosingOfRequest(parentName(caller.requestId ?? ''));
	const action = toAction(context, parent, surroundings);
	const importance = parent?.frame.importance ?? policy.importance;
	const enclosingMilliseconds = parent === undefined ? undefined : parent.work.deadline - now;
	return {
		success: true,
		enclosingCallId: parent?.frame.callId,
		entryRequest: {
			entryId: caller.entryId,
			action,
			requestId: caller.requestId ?? '',
			service,
			answerBytesLimit: surroundings.manifest.services[service]?.answerBytesLimit ?? 0,
			policy,
			importance,
			priority: parent?.frame.priority ?? priorityOf(importance, cohortOf(action.actionId)),
			deadline: now + allowedTime(policy.waitMilliseconds, caller.timeoutMilliseconds, enclosingMilliseconds),
			retryQuota: accountFor(context, parent, surroundings.manifest),
			key: keyFor(caller, policy, parent, surroundings),
			request: caller.request,
		},
	};
}

type FoundPolicy = {readonly service: string; readonly policy: RequestPolicy};

function findPolicy(caller: CallerRequest, {manifest, routes, splits}: RequestSurroundings): FoundPolicy | CallError {
	const {method, target} = caller.request;
	if (routes !== undefined) {
		const route = routes.routeOf(caller.host ?? '', target);
		return route === undefined
			? {kind: ErrorKind.UnknownRequestKind, detail: `No route of ${caller.host ?? ''} begins ${target.split('?')[0]}`}
			: {service: splits.choose(route), policy: route.policy};
	}

	const service = manifest.services[caller.service];
	if (service === undefined) {
		return {kind: ErrorKind.UnknownService, detail: `The manifest has no service ${caller.service}`};
	}

	const policy = matchRequest(service, method, target);
	return policy === undefined
		? {kind: ErrorKind.UnknownRequestKind, detail: `Service ${caller.service} has no request kind for ${method} ${target.split('?')[0]}`}
		: {service: caller.service, policy};
}

/** An upstream names its calls after the request that it works on: PARENT.OWN. */
function parentName(requestId: string): string {
	return requestId.slice(0, Math.max(0, requestId.lastIndexOf('.')));
}

function toAction(context: TraceContext | undefined, parent: ParentCall | undefined, surroundings: RequestSurroundings): EntryRequest['action'] {
	return {
		actionId: parent?.frame.action.actionId ?? context?.traceId ?? surroundings.newActionId(),
		vendorTraceState: context?.vendorTraceState ?? [],
	};
}

/** A call that names an enclosing call which is over has no retries: its account is closed. */
function accountFor(context: TraceContext | undefined, parent: ParentCall | undefined, manifest: Manifest): RetryQuota {
	if (parent !== undefined) {
		return parent.retryQuota;
	}

	return new RetryQuota(context?.parentCallId === undefined ? manifest.retriesPerAction : 0);
}

function keyFor(caller: CallerRequest, policy: RequestPolicy, parent: ParentCall | undefined, surroundings: RequestSurroundings): string | undefined {
	const isKeyless = policy.semantics === Semantics.Idempotent || surroundings.routes !== undefined;
	if (isKeyless) {
		return undefined;
	}

	return caller.key ?? (parent === undefined ? undefined : derivedKey(caller, policy, parent, surroundings.manifest));
}

/** A retry of the enclosing call makes the same inner call again, so the key comes from the action. */
function derivedKey(caller: CallerRequest, policy: RequestPolicy, parent: ParentCall, manifest: Manifest): string | undefined {
	const {service, kind, action} = parent.frame;
	const call = manifest.services[service]?.requests.find(request => request.kind === kind)?.calls
		.find(candidate => candidate.service === caller.service && candidate.kind === policy.kind);
	return call?.derivedKey === true
		? createHash('sha256').update(`${action.actionId}/${caller.service}/${policy.kind}`).digest('hex')
		: undefined;
}
