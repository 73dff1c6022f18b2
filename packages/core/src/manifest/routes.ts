/**
 * Routes by host and path prefix: the second form of the manifest, in which each route names the services it leads to.
 *
 * @module
 */
import * as valibot from 'valibot';
import {Importance} from '../importance.js';
import {
	attemptsSchema, maximumWaitMilliseconds, Semantics, type RequestPolicy,
} from './request-policy.js';

const maximumWeight = 1_000_000;

const defaultWaitMilliseconds = 60_000;

const nonEmptyStringSchema = valibot.pipe(valibot.string(), valibot.minLength(1));
const millisecondsSchema = valibot.pipe(valibot.number(), valibot.minValue(1), valibot.maxValue(maximumWaitMilliseconds));
/** Path prefix of a route; begins and ends with a slash. */
export const pathPrefixSchema = valibot.pipe(valibot.string(), valibot.startsWith('/'), valibot.endsWith('/'));

const splitSchema = valibot.pipe(valibot.array(valibot.object({
	service: nonEmptyStringSchema,
	weight: valibot.pipe(valibot.number(), valibot.minValue(0), valibot.maxValue(maximumWeight)),
})), valibot.minLength(1));

/** Schema of one route. */
export const routeSchema = valibot.object({
	host: nonEmptyStringSchema,
	prefix: pathPrefixSchema,
	semantics: valibot.enum(Semantics),
	/** Time limit of a request. */
	waitMilliseconds: valibot.optional(millisecondsSchema, defaultWaitMilliseconds),
	/** Latency objective: an answer after this time has less value. */
	objectiveMilliseconds: valibot.optional(millisecondsSchema),
	/** Rank of importance; 0 is the most important. */
	rank: valibot.optional(valibot.pipe(valibot.number(), valibot.minValue(0)), 0),
	attempts: attemptsSchema,
	/** Whether requests need no key of an organisation. */
	public: valibot.optional(valibot.boolean(), false),
	service: valibot.optional(nonEmptyStringSchema),
	split: valibot.optional(splitSchema),
});

/** Schema of the limits on the size of callers' requests and on the time they take. */
export const callerLimitsSchema = valibot.object({
	headerBytes: valibot.optional(valibot.number()),
	bodyBytes: valibot.optional(valibot.number()),
	headerMilliseconds: valibot.optional(valibot.number()),
	idleMilliseconds: valibot.optional(valibot.number()),
});

/** Limits on the size of callers' requests and on the time they take. */
export type CallerLimits = valibot.InferOutput<typeof callerLimitsSchema>;

/** One service of a split route. */
export type WeightedService = {readonly service: string; readonly weight: number};

/** What the requests of a route have in common. */
export type RouteAddress = {
	readonly host: string;
	readonly prefix: string;
};

/** One route. */
export type Route = RouteAddress & {
	readonly name: string;
	readonly services: readonly WeightedService[];
	readonly policy: RequestPolicy;
	/** Whether requests need no key of an organisation. */
	readonly isPublic: boolean;
};

/** A route that a node could not read. Its requests are refused, and not matched by a shorter prefix. */
export type InvalidRoute = RouteAddress & {
	readonly name: string;
	/** The invalid fields. */
	readonly detail: string;
};

const importancesByRank: readonly Importance[] = [Importance.Critical, Importance.High, Importance.Normal, Importance.Low];

/** Importance of a numeric rank. 0 is critical; ranks of 3 and above are low. */
export function importanceOfRank(rank: number): Importance {
	return importancesByRank[Math.min(Math.floor(rank), importancesByRank.length - 1)]!;
}

/** Creates a route from its document; undefined when the document names no service. */
export function toRoute(name: string, document: valibot.InferOutput<typeof routeSchema>): Route | undefined {
	const services = document.split ?? (document.service === undefined ? undefined : [{service: document.service, weight: 1}]);
	if (services === undefined) {
		return undefined;
	}

	const {host, semantics, waitMilliseconds, objectiveMilliseconds} = document;
	return {
		name,
		host,
		prefix: document.prefix,
		services,
		isPublic: document.public,
		policy: {
			kind: name,
			methods: [],
			path: `${document.prefix}*`,
			importance: importanceOfRank(document.rank),
			semantics,
			waitMilliseconds,
			guaranteedShare: 0,
			customer: true,
			calls: [],
			...(objectiveMilliseconds === undefined ? {} : {objectiveMilliseconds}),
			...(document.attempts === undefined ? {} : {attempts: document.attempts}),
		},
	};
}

/**
 * Finds the route of a request: among the routes of its host, the one with the longest prefix of its path.
 *
 * @example
 * const table = new RouteTable(routes);
 * table.findRoute('shop.example:8080', '/designs/12?size=2');
 */
export class RouteTable<Entry extends RouteAddress = Route> {
	readonly #byHost = new Map<string, Entry[]>();

	constructor(routes: readonly Entry[]) {
		const longestFirst = routes.toSorted((left, right) => right.prefix.length - left.prefix.length);
		longestFirst.map(route => this.#byHost.set(route.host, [...(this.#byHost.get(route.host) ?? []), route]));
	}

	findRoute(host: string, target: string): Entry | undefined {
		const queryStart = target.indexOf('?');
		const path = queryStart === -1 ? target : target.slice(0, queryStart);
		return this.#byHost.get(withoutPort(host))?.find(route => path.startsWith(route.prefix));
	}
}

/** Selects the services of split routes by smooth weighted round-robin, so that the shares follow the weights at any time. */
export class SplitSelector {
	readonly #credits = new Map<string, number[]>();

	select(route: Route): string {
		const {service, credits} = this.#turnOf(route);
		if (credits !== undefined) {
			this.#credits.set(route.name, credits);
		}

		return service;
	}

	/** The service that the next request of the route gets, without taking the turn. */
	peek(route: Route): string {
		return this.#turnOf(route).service;
	}

	/** Discards the state of all routes, since a new manifest may change the weights. */
	reset(): void {
		this.#credits.clear();
	}

	/** The service of the next turn, and the credits after it; undefined where the route has a single service. */
	#turnOf(route: Route): {readonly service: string; readonly credits: number[] | undefined} {
		const [first] = route.services;
		if (route.services.length === 1) {
			return {service: first!.service, credits: undefined};
		}

		const total = route.services.reduce((sum, {weight}) => sum + weight, 0);
		const known = this.#credits.get(route.name);
		const credits = route.services.map(({weight}, index) => (known?.[index] ?? 0) + weight);
		const highest = credits.indexOf(Math.max(...credits));
		credits[highest] = (credits[highest] ?? 0) - total;
		return {service: route.services[highest]!.service, credits};
	}
}

function withoutPort(host: string): string {
	const position = host.indexOf(':');
	return (position === -1 ? host : host.slice(0, position)).toLowerCase();
}
