/**
 * Parsing of manifests of routes: strictly, for operators who ship one, and with invalid parts left out, for nodes.
 *
 * @module
 */
import * as valibot from 'valibot';
import {organisationsSchema, readOrganisations, type Organisation} from '../organisations/organisation.js';
import {
	defaultAnswerBytes, defaultRememberSeconds, defaultRetryBudgetRatio, formatIssue, toManifestIssue, type Manifest, type ManifestIssue, type ManifestResult,
} from './model.js';
import {Semantics} from './request-policy.js';
import {
	callerLimitsSchema, pathPrefixSchema, routeSchema, toRoute, type CallerLimits, type InvalidRoute, type Route,
} from './routes.js';

/** Retries of one customer action over its whole call chain. A manifest of routes only limits the attempts of each call. */
const routesManifestRetries = 6;

const versionSchema = valibot.optional(valibot.pipe(valibot.number(), valibot.safeInteger(), valibot.minValue(1)));
const serviceSchema = valibot.object({healthPath: valibot.optional(valibot.string())});

/** Schema of a manifest of routes. Unknown fields are ignored, since the writer may be newer. */
export const routesManifestSchema = valibot.object({
	/** Revision number that the document itself carries. */
	version: versionSchema,
	routes: valibot.record(valibot.string(), routeSchema),
	services: valibot.record(valibot.string(), serviceSchema),
	organisations: valibot.nullish(organisationsSchema),
	limits: valibot.optional(callerLimitsSchema, {}),
});

/** The parts without which a document has no meaning. */
const envelopeSchema = valibot.object({
	version: versionSchema,
	routes: valibot.record(valibot.string(), valibot.unknown()),
	services: valibot.record(valibot.string(), valibot.unknown()),
	organisations: valibot.optional(valibot.unknown()),
	limits: valibot.optional(valibot.unknown()),
});

/** Host and prefix of a route whose other fields may be invalid. */
const addressSchema = valibot.object({host: valibot.pipe(valibot.string(), valibot.minLength(1)), prefix: pathPrefixSchema});

/** Result of reading a manifest at a node. */
export type ReadResult
	= | {readonly success: true; readonly manifest: Manifest; /** Invalid parts that the manifest lacks. */ readonly issues: readonly ManifestIssue[]}
		| {readonly success: false; readonly issues: readonly ManifestIssue[]};

type Services = Readonly<Record<string, {readonly healthPath?: string | undefined}>>;
type Parts = {
	readonly version: number | undefined;
	readonly routes: readonly Route[];
	readonly invalidRoutes?: readonly InvalidRoute[];
	readonly services: Services;
	readonly organisations: readonly Organisation[] | undefined;
	readonly limits: CallerLimits;
};
type RouteResult = {readonly route?: Route; readonly invalidRoute?: InvalidRoute; readonly issues: readonly ManifestIssue[]};

/** Parses a manifest of routes. Every invalid part fails it. */
export function parseRoutesManifest(document: object): ManifestResult {
	const result = valibot.safeParse(routesManifestSchema, document);
	if (!result.success) {
		return {success: false, issues: result.issues.map(issue => toManifestIssue(issue))};
	}

	const {routes: routeDocuments, services, limits, version} = result.output;
	const entries = Object.entries(routeDocuments).map(([routeName, route]) => ({routeName, route: toRoute(routeName, route)}));
	// Read from the document, since the record of the schema drops names such as `constructor` without an issue.
	const {organisations, issues: organisationIssues} = readOrganisations(Reflect.get(document, 'organisations'));
	const issues = [...entries.flatMap(({routeName, route}) => findRouteIssues(routeName, route, services)), ...organisationIssues];
	return issues.length > 0
		? {success: false, issues}
		: {
			success: true, manifest: toManifest({
				version, routes: entries.flatMap(({route}) => route ?? []), services, organisations, limits,
			}),
		};
}

/** Reads a manifest of routes and leaves out its invalid parts. It fails only when there is no list of routes or services, or no valid version. */
export function readRoutesManifest(document: object): ReadResult {
	const result = valibot.safeParse(envelopeSchema, document);
	if (!result.success) {
		return {success: false, issues: result.issues.map(issue => toManifestIssue(issue))};
	}

	const {version, routes: routeDocuments, services: serviceDocuments, organisations: organisationDocuments, limits: limitsDocument} = result.output;
	const services = readServices(serviceDocuments);
	const {organisations, issues: organisationIssues} = readOrganisations(organisationDocuments);
	const limits = readLimits(limitsDocument);
	const routes = Object.entries(routeDocuments).map(([routeName, routeDocument]) => readRoute(routeName, routeDocument, serviceDocuments));
	const parts: Parts = {
		version,
		routes: routes.flatMap(({route}) => route ?? []),
		invalidRoutes: routes.flatMap(({invalidRoute}) => invalidRoute ?? []),
		services: services.value,
		organisations,
		limits: limits.value,
	};
	const issues = [...routes.flatMap(route => route.issues), ...services.issues, ...organisationIssues, ...limits.issues];
	return {success: true, manifest: toManifest(parts), issues};
}

function toManifest({version, routes, invalidRoutes, services, organisations, limits}: Parts): Manifest {
	const servicePolicies = Object.keys(services).map(service => [service, {answerBytesLimit: defaultAnswerBytes, requests: []}]);
	return {
		name: 'routes',
		retriesPerAction: routesManifestRetries,
		rememberForSeconds: defaultRememberSeconds,
		retryShare: defaultRetryBudgetRatio,
		services: Object.fromEntries(servicePolicies) as Manifest['services'],
		routes,
		...(invalidRoutes === undefined ? {} : {invalidRoutes}),
		...(organisations === undefined ? {} : {organisations}),
		limits,
		healthPaths: Object.fromEntries(Object.entries(services).flatMap(([service, {healthPath}]) => healthPath === undefined ? [] : [[service, healthPath]])),
		...(version === undefined ? {} : {version}),
	};
}

/** Requests with unknown semantics run at most once, which is safe for all of them. */
function readRoute(routeName: string, document: unknown, services: Readonly<Record<string, unknown>>): RouteResult {
	const path = ['routes', routeName];
	const semantics = readSemantics(path, document);
	const result = valibot.safeParse(routeSchema, semantics.document);
	const route = result.success ? toRoute(routeName, result.output) : undefined;
	const issues = result.success
		? findRouteIssues(routeName, route, services)
		: result.issues.map(issue => toManifestIssue(issue, path));
	if (route !== undefined && issues.length === 0) {
		return {route, issues: semantics.issues};
	}

	const address = valibot.safeParse(addressSchema, document);
	return {
		...(address.success ? {invalidRoute: {name: routeName, ...address.output, detail: issues.map(issue => formatIssue(issue)).join('; ')}} : {}),
		issues: [...semantics.issues, ...issues],
	};
}

function readSemantics(path: readonly string[], document: unknown): {readonly document: unknown; readonly issues: readonly ManifestIssue[]} {
	const semantics = typeof document === 'object' && document !== null ? Reflect.get(document, 'semantics') as unknown : undefined;
	if (typeof semantics !== 'string' || valibot.is(valibot.enum(Semantics), semantics)) {
		return {document, issues: []};
	}

	const message = `Unknown value ${JSON.stringify(semantics)}; the requests run at most once`;
	return {document: {...document as object, semantics: Semantics.AtMostOnce}, issues: [{path: [...path, 'semantics'], message}]};
}

function readServices(documents: Readonly<Record<string, unknown>>): {readonly value: Services; readonly issues: readonly ManifestIssue[]} {
	const results = Object.entries(documents).map(([name, document]) => ({name, result: valibot.safeParse(serviceSchema, document)}));
	return {
		value: Object.fromEntries(results.map(({name, result}) => [name, result.success ? result.output : {}])),
		issues: results.flatMap(({name, result}) => (result.issues ?? []).map(issue => toManifestIssue(issue, ['services', name]))),
	};
}

function readLimits(document: unknown): {readonly value: CallerLimits; readonly issues: readonly ManifestIssue[]} {
	const result = valibot.safeParse(callerLimitsSchema, document === undefined ? {} : document);
	if (result.success) {
		return {value: result.output, issues: []};
	}

	const issues = result.issues.map(issue => toManifestIssue(issue, ['limits']));
	const invalidNames = new Set(issues.map(({path: [, name]}) => name));
	const valid = typeof document === 'object' && document !== null ? Object.entries(document).filter(([name]) => !invalidNames.has(name)) : [];
	const {output} = valibot.safeParse(callerLimitsSchema, Object.fromEntries(valid));
	return {value: output as CallerLimits, issues};
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
