/**
 * Routes by host and path prefix: the form of the manifest in which operators name each way to a service.
 *
 * @module
 */
import * as valibot from 'valibot';
import {Importance} from '../importance.js';
import {
	attempts, maximumWaitMilliseconds, Semantics, type RequestPolicy,
} from './request-policy.js';

const maximumWeight = 1_000_000;

/** Time a route gives when it states none, in milliseconds. */
const standardWaitMilliseconds = 60_000;

const text = valibot.pipe(valibot.string(), valibot.minLength(1));
const milliseconds = valibot.pipe(valibot.number(), valibot.minValue(1), valibot.maxValue(maximumWaitMilliseconds));
const prefix = valibot.pipe(valibot.string(), valibot.startsWith('/'), valibot.endsWith('/'));

const splitSchema = valibot.pipe(valibot.array(valibot.object({
	service: text,
	weight: valibot.pipe(valibot.number(), valibot.minValue(0), valibot.maxValue(maximumWeight)),
})), valibot.minLength(1));

/** Schema of one route. */
export const routeSchema = valibot.object({
	host: text,
	prefix,
	semantics: valibot.enum(Semantics),
	/** Longest time a caller is kept waiting. */
	waitMilliseconds: valibot.optional(milliseconds, standardWaitMilliseconds),
	/** Time within which an answer has its full worth. */
	objectiveMilliseconds: valibot.optional(milliseconds),
	/** Urgency; 0 goes first. */
	rank: valibot.optional(valibot.pipe(valibot.number(), valibot.minValue(0)), 0),
	attempts,
	service: valibot.optional(text),
	split: valibot.optional(splitSchema),
});

/** Bounds on what callers send, and on the time they take. */
export const callerLimitsSchema = valibot.object({
	headerBytes: valibot.optional(valibot.number()),
	bodyBytes: valibot.optional(valibot.number()),
	headerMilliseconds: valibot.optional(valibot.number()),
	idleMilliseconds: valibot.optional(valibot.number()),
});

/** Bounds on what callers send. */
export type CallerLimits = valibot.InferOutput<typeof callerLimitsSchema>;

/** One service of a split route. */
export type WeightedService = {readonly service: string; readonly weight: number};

/** One route. */
export type Route = {
	readonly name: string;
	readonly host: string;
	readonly prefix: string;
	readonly services: readonly WeightedService[];
	readonly policy: RequestPolicy;
};

const importances: readonly Importance[] = [Importance.Critical, Importance.High, Importance.Normal, Importance.Low];

/** Importance of a numeric rank, 0 the most urgent; ranks past the last importance share it. */
export function importanceOfRank(rank: number): Importance {
	return importances[Math.min(Math.floor(rank), importances.length - 1)]!;
}

/** A route of its checked document; undefined when it names no service. */
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
 * Finds the route of a request: of the routes of its host, the one with the longest prefix that begins its path.
 *
 * @example
 * const table = new RouteTable(routes);
 * table.routeOf('shop.example:8080', '/designs/12?size=2');
 */
export class RouteTable {
	readonly #byHost = new Map<string, Route[]>();

	constructor(routes: readonly Route[]) {
		const longestFirst = routes.toSorted((left, right) => right.prefix.length - left.prefix.length);
		longestFirst.map(route => this.#byHost.set(route.host, [...(this.#byHost.get(route.host) ?? []), route]));
	}

	routeOf(host: string, target: string): Route | undefined {
		const queryStart = target.indexOf('?');
		const path = queryStart === -1 ? target : target.slice(0, queryStart);
		return this.#byHost.get(withoutPort(host))?.find(route => path.startsWith(route.prefix));
	}
}

/** Chooses the services of split routes so that the shares follow the weights at any time. */
export class SplitChooser {
	readonly #credits = new Map<string, number[]>();

	choose(route: Route): string {
		const [only] = route.services;
		if (route.services.length === 1) {
			return only!.service;
		}

		const total = route.services.reduce((sum, {weight}) => sum + weight, 0);
		const known = this.#credits.get(route.name);
		const credits = route.services.map(({weight}, index) => (known?.[index] ?? 0) + weight);
		const highest = credits.indexOf(Math.max(...credits));
		credits[highest] = (credits[highest] ?? 0) - total;
		this.#credits.set(route.name, credits);
		return route.services[highest]!.service;
	}

	/** Starts over, as when the weights may have changed. */
	reset(): void {
		this.#credits.clear();
	}
}

function withoutPort(host: string): string {
	const position = host.indexOf(':');
	return (position === -1 ? host : host.slice(0, position)).toLowerCase();
}
