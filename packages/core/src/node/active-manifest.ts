/**
 * The manifest that a node has in force, what it looks up in it, and the requests that wait for a newer one.
 *
 * @module
 */
import {AdoptionResult, ManifestAdoption, type Revision} from '../manifest/adoption.js';
import {RouteTable, SplitChooser} from '../manifest/routes.js';
import {Semantics, type RequestPolicy} from '../manifest/model.js';
import type {CallerRequest} from './effects.js';

/** Longest time for which a request waits for a revision that is known to exist. */
const holdMilliseconds = 250;
const pullPauseMilliseconds = 250;

/**
 * Manifest of one node.
 *
 * @example
 * const manifest = new ActiveManifest();
 * manifest.offer(revision); // true when it is in force from now on
 * manifest.hear(8, now); // true when revision 8 had better be pulled
 */
export class ActiveManifest {
	readonly adoption = new ManifestAdoption();
	/** Policies by service and kind. */
	readonly policies = new Map<string, RequestPolicy>();
	readonly splits = new SplitChooser();
	#routes: RouteTable | undefined;
	#held: CallerRequest[] = [];
	#behindSince = Infinity;
	#nextPullAt = 0;

	get current(): Revision | undefined {
		return this.adoption.current;
	}

	/** Routes by host and path prefix, if the manifest has any. */
	get routes(): RouteTable | undefined {
		return this.#routes;
	}

	get heldCount(): number {
		return this.#held.length;
	}

	/** Whether a service has at-most-once work. */
	hasAtMostOnce(service: string): boolean {
		const requests = this.current?.manifest.services[service]?.requests ?? [];
		return requests.some(request => request.semantics === Semantics.AtMostOnce);
	}

	/** Takes a revision; false when it is not newer than the one in force. */
	offer(revision: Revision): boolean {
		if (this.adoption.offer(revision) !== AdoptionResult.Adopted) {
			return false;
		}

		const {routes, services} = revision.manifest;
		this.#behindSince = this.adoption.isBehind ? this.#behindSince : Infinity;
		this.policies.clear();
		this.splits.reset();
		this.#routes = routes === undefined ? undefined : new RouteTable(routes);
		Object.entries(services).map(([service, {requests}]) => requests.map(request =>
			this.policies.set(`${service}/${request.kind}`, request)));
		return true;
	}

	/** Notes a revision number seen in any message; true when a pull is due. */
	hear(number: number, now: number): boolean {
		this.adoption.observe(number);
		this.#behindSince = this.adoption.isBehind ? Math.min(this.#behindSince, now) : Infinity;
		return this.isPullDue(now);
	}

	/** Whether a newer revision had better be pulled now; counts as asked. */
	isPullDue(now: number): boolean {
		if (!this.adoption.isBehind || now < this.#nextPullAt) {
			return false;
		}

		this.#nextPullAt = now + pullPauseMilliseconds;
		return true;
	}

	/** Keeps a request back while a newer revision may come in time; false when it has to go on. */
	hold(request: CallerRequest, now: number): boolean {
		if (!this.adoption.isBehind || now - this.#behindSince >= holdMilliseconds) {
			return false;
		}

		this.#held.push(request);
		return true;
	}

	/** Requests that wait no longer, because the revision came or its time is over. */
	release(now: number): CallerRequest[] {
		if (this.adoption.isBehind && now - this.#behindSince < holdMilliseconds) {
			return [];
		}

		const held = this.#held;
		this.#held = [];
		return held;
	}
}
