/**
 * The manifest: what operators state about services and request kinds. The schema is the only place that says its shape.
 *
 * @module
 */
import * as valibot from 'valibot';
import {
	name, requestKindSchema, Semantics, wholeNumber, type RequestPolicy,
} from './request-policy.js';
import {
	callerLimitsSchema, routeSchema, toRoute, type CallerLimits, type Route,
} from './routes.js';

export {Semantics, type RequestPolicy} from './request-policy.js';

const maximumAnswerBytes = 64 * 1024 * 1024;
const standardAnswerBytes = 1024 * 1024;
const maximumRetries = 16;

/** Retries of one customer action over its whole chain, where the routes bound each call's attempts. */
const routedRetries = 3;
const maximumRememberSeconds = 86_400;

const serviceSchema = valibot.strictObject({
	answerBytesLimit: valibot.optional(wholeNumber(1, maximumAnswerBytes), standardAnswerBytes),
	requests: valibot.pipe(valibot.array(requestKindSchema), valibot.minLength(1)),
});

/** Schema of the manifest as a document. */
export const manifestSchema = valibot.strictObject({
	name,
	retriesPerAction: wholeNumber(0, maximumRetries),
	rememberForSeconds: valibot.optional(wholeNumber(1, maximumRememberSeconds), 600),
	retryShare: valibot.optional(valibot.pipe(valibot.number(), valibot.minValue(0), valibot.maxValue(1)), 0.1),
	services: valibot.record(name, serviceSchema),
});

/** Schema of the manifest as routes. Fields that it does not name are passed over, since the writer may be newer. */
export const routedManifestSchema = valibot.object({
	/** Revision that the document itself carries. */
	version: valibot.optional(valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(1))),
	routes: valibot.record(valibot.string(), routeSchema),
	services: valibot.record(valibot.string(), valibot.object({healthPath: valibot.optional(valibot.string())})),
	limits: valibot.optional(callerLimitsSchema, {}),
});

/** A checked manifest. */
export type Manifest = valibot.InferOutput<typeof manifestSchema> & {
	/** Routes by host and prefix; without any, the first part of a path names the service. */
	readonly routes?: readonly Route[];
	readonly limits?: CallerLimits;
	/** Path at which the upstreams of a service tell their health. */
	readonly healthPaths?: Readonly<Record<string, string>>;
	/** Revision that the document itself carries. */
	readonly version?: number;
};
/** What the manifest says of one service. */
export type ServicePolicy = valibot.InferOutput<typeof serviceSchema>;

/** One mistake in a manifest. */
export type ManifestIssue = {
	/** Keys and indexes from the root to the place of the mistake. */
	readonly path: ReadonlyArray<string | number>;
	readonly message: string;
};

/** The result of a check that does not throw. */
export type ManifestResult
	= | {readonly success: true; readonly manifest: Manifest}
		| {readonly success: false; readonly issues: readonly ManifestIssue[]};

/**
 * Checks a parsed document.
 *
 * @example
 * const result = safeParseManifest({name: 'shop', retriesPerAction: 2, services: {}});
 * if (result.success) use(result.manifest);
 */
export function safeParseManifest(document: unknown): ManifestResult {
	if (typeof document === 'object' && document !== null && 'routes' in document) {
		return parseRouted(document);
	}

	const result = valibot.safeParse(manifestSchema, document);
	if (!result.success) {
		return {success: false, issues: result.issues.map(issue => toManifestIssue(issue))};
	}

	const issues = findContradictions(result.output);
	return issues.length > 0 ? {success: false, issues} : {success: true, manifest: result.output};
}

function parseRouted(document: object): ManifestResult {
	const result = valibot.safeParse(routedManifestSchema, document);
	if (!result.success) {
		return {success: false, issues: result.issues.map(issue => toManifestIssue(issue))};
	}

	const {routes: documents, services, limits, version} = result.output;
	const entries = Object.entries(documents).map(([routeName, route]) => ({routeName, route: toRoute(routeName, route)}));
	const issues = entries.flatMap(({routeName, route}) => findRouteIssues(routeName, route, services));
	if (issues.length > 0) {
		return {success: false, issues};
	}

	const servicePolicies = Object.keys(services).map(service => [service, {answerBytesLimit: standardAnswerBytes, requests: []}]);
	return {
		success: true,
		manifest: {
			name: 'routes',
			retriesPerAction: routedRetries,
			rememberForSeconds: 600,
			retryShare: 0.1,
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
		return [{path, message: 'Expected a service or a split'}];
	}

	const unknown = route.services.filter(({service}) => !Object.hasOwn(services, service));
	const issues = unknown.map(({service}) => ({path, message: `The manifest has no service ${service}`}));
	const weight = route.services.reduce((sum, part) => sum + part.weight, 0);
	return weight > 0 ? issues : [...issues, {path, message: 'The weights of the split add up to 0'}];
}

function toManifestIssue(issue: valibot.BaseIssue<unknown>): ManifestIssue {
	const path = (issue.path ?? []).map(item => item.key as string | number);
	return {path, message: issue.message};
}

function findContradictions(manifest: Manifest): ManifestIssue[] {
	return Object.entries(manifest.services).flatMap(([service, policy]) => [
		...findShareExcess(service, policy),
		...findDuplicateKinds(service, policy),
		...policy.requests.flatMap((request, index) => findCallIssues(manifest, service, request, index)),
	]);
}

function findShareExcess(service: string, policy: ServicePolicy): ManifestIssue[] {
	const total = policy.requests.reduce((sum, request) => sum + request.guaranteedShare, 0);
	return total > 0.5
		? [{path: ['services', service, 'requests'], message: `Guaranteed shares add up to ${total}; at most 0.5 of a service can be guaranteed`}]
		: [];
}

function findDuplicateKinds(service: string, policy: ServicePolicy): ManifestIssue[] {
	const seen = new Set<string>();
	return policy.requests.flatMap((request, index) => {
		const isDuplicate = seen.has(request.kind);
		seen.add(request.kind);
		return isDuplicate ? [{path: ['services', service, 'requests', index, 'kind'], message: `Request kind ${request.kind} is stated twice`}] : [];
	});
}

function findCallIssues(manifest: Manifest, service: string, request: RequestPolicy, index: number): ManifestIssue[] {
	return request.calls.flatMap((call, callIndex) => {
		const path = ['services', service, 'requests', index, 'calls', callIndex];
		const target = manifest.services[call.service]?.requests.find(candidate => candidate.kind === call.kind);
		if (target === undefined) {
			return [{path, message: `The manifest has no request kind ${call.kind} of service ${call.service}`}];
		}

		const wouldRepeat = request.semantics === Semantics.Idempotent && target.semantics === Semantics.AtMostOnce && !call.derivedKey;
		return wouldRepeat
			? [{path, message: `A retry of ${service}/${request.kind} would repeat at-most-once ${call.service}/${call.kind}; set derivedKey: true`}]
			: [];
	});
}

/**
 * Finds the request kind of a request: the first stated kind whose method and path match.
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
