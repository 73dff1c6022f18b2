/**
 * The manifest, in which operators declare services and request kinds. The schemas are the only definition of its shape.
 *
 * @module
 */
import * as valibot from 'valibot';
import {
	isIdempotent, maximumGuaranteedShare, nameSchema, requestKindSchema, integerBetween, type RequestPolicy,
} from './request-policy.js';
import type {Organisation} from '../organisations/organisation.js';
import {toManifestIssue, type ManifestIssue} from './issues.js';
import type {CallerLimits, InvalidRoute, Route} from './routes.js';

export {formatIssue, toManifestIssue, type ManifestIssue} from './issues.js';
export {isIdempotent, Semantics, type RequestPolicy} from './request-policy.js';

const maximumAnswerBytes = 64 * 1024 * 1024;
export const defaultAnswerBytes = 1024 * 1024;
const maximumRetries = 16;

const maximumRememberSeconds = 86_400;
export const defaultRememberSeconds = 600;
export const defaultRetryBudgetRatio = 0.1;

const serviceSchema = valibot.strictObject({
	answerBytesLimit: valibot.optional(integerBetween(1, maximumAnswerBytes), defaultAnswerBytes),
	requests: valibot.pipe(valibot.array(requestKindSchema), valibot.minLength(1)),
});

/** Schema of a manifest that declares services with their request kinds. */
export const manifestSchema = valibot.strictObject({
	name: nameSchema,
	retriesPerAction: integerBetween(0, maximumRetries),
	rememberForSeconds: valibot.optional(integerBetween(1, maximumRememberSeconds), defaultRememberSeconds),
	retryShare: valibot.optional(valibot.pipe(valibot.number(), valibot.minValue(0), valibot.maxValue(1)), defaultRetryBudgetRatio),
	services: valibot.record(nameSchema, serviceSchema),
});

/** A valid manifest, in either form. */
export type Manifest = valibot.InferOutput<typeof manifestSchema> & {
	/** Routes by host and path prefix. Without routes, the first path segment names the service. */
	readonly routes?: readonly Route[];
	/** Routes that a node could not read. Their requests are refused. */
	readonly invalidRoutes?: readonly InvalidRoute[];
	/** Organisations, by whose keys callers' requests are identified. Without them no request needs a key. */
	readonly organisations?: readonly Organisation[];
	readonly limits?: CallerLimits;
	/** Health check path of the upstreams, by service. */
	readonly healthPaths?: Readonly<Record<string, string>>;
	/** Revision number that the document itself carries. */
	readonly version?: number;
};

/** Declaration of one service. */
export type ServicePolicy = valibot.InferOutput<typeof serviceSchema>;

/** Result of `safeParseManifest`. */
export type ManifestResult
	= | {readonly success: true; readonly manifest: Manifest}
		| {readonly success: false; readonly issues: readonly ManifestIssue[]};

/** Validates the form that declares services with their request kinds. It does not throw. */
export function safeParseServicesManifest(document: unknown): ManifestResult {
	const result = valibot.safeParse(manifestSchema, document);
	if (!result.success) {
		return {success: false, issues: result.issues.map(issue => toManifestIssue(issue))};
	}

	const issues = findInconsistencies(result.output);
	return issues.length > 0 ? {success: false, issues} : {success: true, manifest: result.output};
}

function findInconsistencies(manifest: Manifest): ManifestIssue[] {
	return Object.entries(manifest.services).flatMap(([service, policy]) => [
		...findShareIssues(service, policy),
		...findDuplicateIssues(service, policy),
		...policy.requests.flatMap((request, index) => findCallIssues(manifest, service, request, index)),
	]);
}

function findShareIssues(service: string, policy: ServicePolicy): ManifestIssue[] {
	const total = policy.requests.reduce((sum, request) => sum + request.guaranteedShare, 0);
	return total > maximumGuaranteedShare
		? [{path: ['services', service, 'requests'], message: `Guaranteed shares add up to ${total}; expected at most ${maximumGuaranteedShare} for one service`}]
		: [];
}

function findDuplicateIssues(service: string, policy: ServicePolicy): ManifestIssue[] {
	const seen = new Set<string>();
	return policy.requests.flatMap((request, index) => {
		const isDuplicate = seen.has(request.kind);
		seen.add(request.kind);
		return isDuplicate ? [{path: ['services', service, 'requests', index, 'kind'], message: `Request kind ${request.kind} is declared twice`}] : [];
	});
}

function findCallIssues(manifest: Manifest, service: string, request: RequestPolicy, index: number): ManifestIssue[] {
	return request.calls.flatMap((call, callIndex) => {
		const path = ['services', service, 'requests', index, 'calls', callIndex];
		const target = manifest.services[call.service]?.requests.find(candidate => candidate.kind === call.kind);
		if (target === undefined) {
			return [{path, message: `The manifest declares no request kind ${call.kind} of service ${call.service}`}];
		}

		const wouldRepeat = isIdempotent(request.semantics) && !isIdempotent(target.semantics) && !call.derivedKey;
		return wouldRepeat
			? [{path, message: `A retry of ${service}/${request.kind} would repeat at-most-once ${call.service}/${call.kind}; set derivedKey: true`}]
			: [];
	});
}

/**
 * Finds the request kind of a request: the first declared kind whose method and path match.
 *
 * @param target - path and query; the query is ignored
 *
 * @example
 * matchRequest(manifest.services.catalogue, 'GET', '/designs/12?size=2');
 */
export function matchRequest(policy: ServicePolicy, method: string, target: string): RequestPolicy | undefined {
	const queryStart = target.indexOf('?');
	const path = queryStart === -1 ? target : target.slice(0, queryStart);
	return policy.requests.find(request => request.methods.includes(method) && matchesPath(request.path, path));
}

function matchesPath(pattern: string, path: string): boolean {
	return pattern.endsWith('*') ? path.startsWith(pattern.slice(0, -1)) : path === pattern;
}
