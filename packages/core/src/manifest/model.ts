/**
 * The manifest, in which operators declare services and request kinds. The schemas are the only definition of its shape.
 *
 * @module
 */
import * as valibot from 'valibot';
import {
	maximumGuaranteedShare, nameSchema, requestKindSchema, Semantics, integerBetween, type RequestPolicy,
} from './request-policy.js';
import {
	callerLimitsSchema, routeSchema, toRoute, type CallerLimits, type Route,
} from './routes.js';

export {Semantics, type RequestPolicy} from './request-policy.js';

const maximumAnswerBytes = 64 * 1024 * 1024;
const defaultAnswerBytes = 1024 * 1024;
const maximumRetries = 16;

/** Retries of one customer action over its whole call chain. A manifest of routes only limits the attempts of each call. */
const routesManifestRetries = 3;
const maximumRememberSeconds = 86_400;
const defaultRememberSeconds = 600;
const defaultRetryBudgetRatio = 0.1;

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

/** Schema of a manifest of routes. Unknown fields are ignored, since the writer may be newer. */
export const routesManifestSchema = valibot.object({
	/** Revision number that the document itself carries. */
	version: valibot.optional(valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(1))),
	routes: valibot.record(valibot.string(), routeSchema),
	services: valibot.record(valibot.string(), valibot.object({healthPath: valibot.optional(valibot.string())})),
	limits: valibot.optional(callerLimitsSchema, {}),
});

/** A valid manifest, in either form. */
export type Manifest = valibot.InferOutput<typeof manifestSchema> & {
	/** Routes by host and path prefix. Without routes, the first path segment names the service. */
	readonly routes?: readonly Route[];
	readonly limits?: CallerLimits;
	/** Health check path of the upstreams, by service. */
	readonly healthPaths?: Readonly<Record<string, string>>;
	/** Revision number that the document itself carries. */
	readonly version?: number;
};

/** Declaration of one service. */
export type ServicePolicy = valibot.InferOutput<typeof serviceSchema>;

/** One error in a manifest. */
export type ManifestIssue = {
	/** Keys and indexes from the root to the invalid value. */
	readonly path: ReadonlyArray<string | number>;
	readonly message: string;
};

/** Result of `safeParseManifest`. */
export type ManifestResult
	= | {readonly success: true; readonly manifest: Manifest}
		| {readonly success: false; readonly issues: readonly ManifestIssue[]};

/**
 * Validates a document that is already parsed to plain objects. It does not throw.
 *
 * @example
 * const result = safeParseManifest({name: 'shop', retriesPerAction: 2, services: {}});
 * if (result.success) use(result.manifest);
 */
export function safeParseManifest(document: unknown): ManifestResult {
	if (typeof document === 'object' && document !== null && 'routes' in document) {
		return parseRoutesManifest(document);
	}

	const result = valibot.safeParse(manifestSchema, document);
	if (!result.success) {
		return {success: false, issues: result.issues.map(issue => toManifestIssue(issue))};
	}

	const issues = findInconsistencies(result.output);
	return issues.length > 0 ? {success: false, issues} : {success: true, manifest: result.output};
}

function parseRoutesManifest(document: object): ManifestResult {
	const result = valibot.safeParse(routesManifestSchema, document);
	if (!result.success) {
		return {success: false, issues: result.issues.map(issue => toManifestIssue(issue))};
	}

	const {routes: routeDocuments, services, limits, version} = result.output;
	const entries = Object.entries(routeDocuments).map(([routeName, route]) => ({routeName, route: toRoute(routeName, route)}));
	const issues = entries.flatMap(({routeName, route}) => findRouteIssues(routeName, route, services));
	if (issues.length > 0) {
		return {success: false, issues};
	}

	const servicePolicies = Object.keys(services).map(service => [service, {answerBytesLimit: defaultAnswerBytes, requests: []}]);
	return {
		success: true,
		manifest: {
			name: 'routes',
			retriesPerAction: routesManifestRetries,
			rememberForSeconds: defaultRememberSeconds,
			retryShare: defaultRetryBudgetRatio,
			services: Object.fromEntries(servicePolicies) as Manifest['services'],
			routes: entries.flatMap(({route}) => route ?? []),
			limits,
			healthPaths: Object.fromEntries(Object.entries(services).flatMap(([service, {healthPath}]) => healthPath === undefined ? [] : [[service, healthPath]])),
			...(version === undefined ? {} : {version}),
		},
	};
}

function findRouteIssues(routeName: string, route: Route | undefined, services: Readonly<Record<string, unknown>>): ManifestIssue[] {
	const path = ['routes', routeName];
	if (route === undefined) {
		return [{path, message: 'The route names no service: expected `service` or `split`'}];
	}

	const unknown = route.services.filter(({service}) => !Object.hasOwn(services, service));
	const issues = unknown.map(({service}) => ({path, message: `The manifest declares no service ${service}`}));
	const weight = route.services.reduce((sum, part) => sum + part.weight, 0);
	return weight > 0 ? issues : [...issues, {path, message: 'The weights of the split add up to 0: expected at least one above 0'}];
}

function toManifestIssue(issue: valibot.BaseIssue<unknown>): ManifestIssue {
	const path = (issue.path ?? []).map(item => item.key as string | number);
	return {path, message: issue.message};
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

		const wouldRepeat = request.semantics === Semantics.Idempotent && target.semantics === Semantics.AtMostOnce && !call.derivedKey;
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
