/**
 * The active manifest of a node, its lookup tables, and the requests that are held until a newer revision arrives.
 *
 * @module
 */
import {AdoptionResult, ManifestAdoption, type Revision} from '../manifest/adoption.js';
import {isIdempotent, type RequestPolicy} from '../manifest/model.js';
import {
	RouteTable, SplitSelector, type InvalidRoute, type Route,
} from '../manifest/routes.js';
import {OrganisationIndex} from '../organisations/organisation-index.js';
import type {CallerRequest} from './effects.js';

/** Longest time for which a request is held for a revision that is known to exist. */
const maximumHoldMilliseconds = 250;
const pullPauseMilliseconds = 250;

/**
 * Manifest state of one node.
 *
 * @example
 * const manifest = new ActiveManifest();
 * manifest.offer(revision); // true when it is active from now on
 * manifest.observe(8, now); // true when revision 8 must be pulled
 */
export class ActiveManifest {
	readonly adoption = new ManifestAdoption();
	/** Policies by `SERVICE/KIND`. */
	readonly policies = new Map<string, RequestPolicy>();
	readonly splitSelector = new SplitSelector();
	#routes: RouteTable<Route | InvalidRoute> | undefined;
	#organisations: OrganisationIndex | undefined;
	#heldRequests: CallerRequest[] = [];
	#behindSince = Infinity;
	#nextPullAt = 0;

	get current(): Revision | undefined {
		return this.adoption.current;
	}

	/** Routes by host and path prefix; undefined when the manifest has none. */
	get routes(): RouteTable<Route | InvalidRoute> | undefined {
		return this.#routes;
	}

	/** Organisations by key; undefined when the manifest has none. */
	get organisations(): OrganisationIndex | undefined {
		return this.#organisations;
	}

	get heldCount(): number {
		return this.#heldRequests.length;
	}

	/** Whether the service has request kinds with at-most-once semantics. */
	hasAtMostOnce(service: string): boolean {
		const requests = this.current?.manifest.services[service]?.requests ?? [];
		return requests.some(request => !isIdempotent(request.semantics));
	}

	/** Makes a revision active; returns false when it is not newer than the active one. */
	offer(revision: Revision): boolean {
		if (this.adoption.offer(revision) !== AdoptionResult.Adopted) {
			return false;
		}

		const {routes, invalidRoutes = [], services, organisations} = revision.manifest;
		this.#behindSince = this.adoption.isBehind ? this.#behindSince : Infinity;
		this.policies.clear();
		this.splitSelector.reset();
		this.#routes = routes === undefined ? undefined : new RouteTable<Route | InvalidRoute>([...routes, ...invalidRoutes]);
		this.#organisations = organisations === undefined ? undefined : new OrganisationIndex(organisations);
		Object.entries(services).map(([service, {requests}]) => requests.map(request =>
			this.policies.set(`${service}/${request.kind}`, request)));
		return true;
	}

	/** Records a revision number that a message mentioned; returns true when the caller must pull it now. */
	observe(number: number, now: number): boolean {
		this.adoption.observe(number);
		this.#behindSince = this.adoption.isBehind ? Math.min(this.#behindSince, now) : Infinity;
		return this.takePull(now);
	}

	/** Returns true when the caller must pull a newer revision now, and starts the pause until the next pull. */
	takePull(now: number): boolean {
		if (!this.adoption.isBehind || now < this.#nextPullAt) {
			return false;
		}

		this.#nextPullAt = now + pullPauseMilliseconds;
		return true;
	}

	/** Whether requests are held now, since a newer revision is expected. */
	holdsRequests(now: number): boolean {
		return this.holdsFor(now) > 0;
	}

	/** Milliseconds for which requests are held at most from now on; 0 when they are not. */
	holdsFor(now: number): number {
		return this.adoption.isBehind ? Math.max(0, this.#behindSince + maximumHoldMilliseconds - now) : 0;
	}

	/** Holds a request while a newer revision is expected; returns false when the request must be processed with the active one. */
	hold(request: CallerRequest, now: number): boolean {
		const isHeld = this.holdsRequests(now);
		if (isHeld) {
			this.#heldRequests.push(request);
		}

		return isHeld;
	}

	/** Removes and returns the held requests once the revision has arrived or the time limit has passed. */
	release(now: number): CallerRequest[] {
		return this.holdsRequests(now) ? [] : this.releaseAll();
	}

	/** Removes and returns the held requests, whether the revision has arrived or not. */
	releaseAll(): CallerRequest[] {
		const heldRequests = this.#heldRequests;
		this.#heldRequests = [];
		return heldRequests;
	}
}
