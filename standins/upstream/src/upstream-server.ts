/**
 * The upstream stand-in: a service with slots, service times, calls to deeper services, and faults.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {performance} from 'node:perf_hooks';
import {Agent, request as sendRequest} from 'undici';
import {faultyAnswers, UpstreamFault} from './faulty-answers.js';

const announceMilliseconds = 500;
const shedFactor = 2;
const standardBodyBytes = 200;
const stuckMilliseconds = 3_600_000;
const announcementPath = '/laburnumspool/v1/upstream';

/** States that an upstream announces. */
export type AnnouncedState = 'starting' | 'ready' | 'draining';

/** What the control interface changes. */
type Change = {
	readonly fault?: UpstreamFault;
	readonly faultShare?: number;
	readonly slowFactor?: number;
	readonly state?: AnnouncedState | 'withdrawn';
};

/** A call to a deeper service. */
export type InnerCall = {readonly method: string; readonly service: string; readonly path: string};

/** How requests whose path begins with the prefix are worked on. */
export type Behaviour = {
	readonly prefix: string;
	/** Time of the work with all slots in use or fewer. */
	readonly milliseconds: number;
	readonly bodyBytes?: number;
	readonly calls?: readonly InnerCall[];
};

export type UpstreamDefinition = {
	readonly service: string;
	readonly slots: number;
	readonly connections: number;
	readonly behaviours: readonly Behaviour[];
	/** HOST:PORT of the own node's callers' port. */
	readonly node: string;
};

/** What the stand-in has seen. */
export type UpstreamCounters = {
	started: number;
	finished: number;
	cancelled: number;
	shed: number;
	/** Starts of work by idempotency key; above 1 is a repeat. */
	readonly byKey: Map<string, number>;
	readonly byPath: Map<string, number>;
	/** Starts of work by the caller's name for the request. */
	readonly byRequest: Map<string, number>;
};

/**
 * A running stand-in.
 *
 * @example
 * const upstream = new UpstreamServer(definition);
 * await upstream.listen(0);
 * upstream.announce('ready');
 */
export class UpstreamServer {
	readonly counters: UpstreamCounters = {
		started: 0, finished: 0, cancelled: 0, shed: 0, byKey: new Map(), byPath: new Map(), byRequest: new Map(),
	};

	fault = UpstreamFault.None;
	/** Share of the requests that the fault hits. */
	faultShare = 1;
	slowFactor = 1;
	readonly #definition: UpstreamDefinition;
	readonly #server: Server;
	readonly #agent = new Agent({connections: 256, pipelining: 1});
	#inFlight = 0;
	#faultCredit = 0;
	#announcing: NodeJS.Timeout | undefined;

	constructor(definition: UpstreamDefinition) {
		this.#definition = definition;
		this.#server = createServer((request, response) => {
			void this.#handle(request, response);
		});
		this.#server.keepAliveTimeout = 60_000;
	}

	get port(): number {
		const address = this.#server.address();
		return typeof address === 'object' && address !== null ? address.port : 0;
	}

	get inFlight(): number {
		return this.#inFlight;
	}

	async listen(port: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, '127.0.0.1', resolve);
		});
	}

	/** Announces the state to the own node, again and again. */
	announce(state: AnnouncedState): void {
		clearInterval(this.#announcing);
		const send = (): void => {
			void this.#announceOnce(state);
		};

		send();
		this.#announcing = setInterval(send, announceMilliseconds);
	}

	/** Takes the announcement back, once. */
	async withdraw(): Promise<void> {
		clearInterval(this.#announcing);
		try {
			const answer = await sendRequest(`http://${this.#definition.node}${announcementPath}`, {method: 'DELETE', dispatcher: this.#agent});
			await answer.body.dump();
		} catch {
			// A node that is away forgets the upstream, since nothing is announced any more.
		}
	}

	async close(): Promise<void> {
		clearInterval(this.#announcing);
		this.#server.closeAllConnections();
		this.#server.close();
		await this.#agent.destroy();
	}

	async #announceOnce(state: string): Promise<void> {
		const {service, slots, connections, node} = this.#definition;
		const body = JSON.stringify({
			service, address: `127.0.0.1:${this.port}`, slots, connections, state, load: {inFlight: this.#inFlight, healthy: true},
		});
		try {
			const answer = await sendRequest(`http://${node}${announcementPath}`, {method: 'PUT', body, dispatcher: this.#agent});
			await answer.body.dump();
		} catch {
			// The node is not there yet; the next announcement comes soon.
		}
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = request.url ?? '/';
		const body = await readAll(request);
		if (url.startsWith('/control/')) {
			this.#control(url, body, response);
			return;
		}

		if (this.#inFlight >= this.#definition.slots * shedFactor) {
			this.counters.shed += 1;
			response.writeHead(503).end();
			return;
		}

		this.#inFlight += 1;
		try {
			await this.#work(request, response, url);
		} finally {
			this.#inFlight -= 1;
		}
	}

	async #work(request: IncomingMessage, response: ServerResponse, url: string): Promise<void> {
		const fault = this.#nextFault();
		if (fault === UpstreamFault.ResetBefore) {
			request.socket.destroy();
			return;
		}

		const behaviour = this.#definition.behaviours.find(candidate => url.startsWith(candidate.prefix));
		this.#count(request, behaviour?.prefix ?? url);
		const isHere = await this.#spend(fault === UpstreamFault.Stuck ? stuckMilliseconds : behaviour?.milliseconds ?? 1, response);
		const innerStatus = isHere ? await this.#callInner(request, behaviour?.calls ?? []) : 499;
		if (!isHere || response.destroyed) {
			this.counters.cancelled += 1;
			return;
		}

		this.counters.finished += 1;
		this.#answer(request, response, {fault, innerStatus, bodyBytes: behaviour?.bodyBytes ?? standardBodyBytes});
	}

	#count(request: IncomingMessage, path: string): void {
		const {byKey, byPath, byRequest} = this.counters;
		this.counters.started += 1;
		increment(byPath, path);
		increment(byKey, request.headers['idempotency-key']);
		increment(byRequest, request.headers['x-request-id']);
	}

	/** Works for a while; more calls than slots make all of them slower. False when the caller has gone. */
	async #spend(milliseconds: number, response: ServerResponse): Promise<boolean> {
		const excess = Math.max(1, this.#inFlight / this.#definition.slots);
		const time = milliseconds * this.slowFactor * excess;
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				resolve(true);
			}, time);
			response.once('close', () => {
				clearTimeout(timer);
				resolve(false);
			});
		});
	}

	async #callInner(request: IncomingMessage, calls: readonly InnerCall[]): Promise<number> {
		const statuses = await Promise.all(calls.map(async call => this.#callOne(request, call)));
		return statuses.find(status => status >= 400) ?? 200;
	}

	async #callOne(request: IncomingMessage, call: InnerCall): Promise<number> {
		const passedOn = ['traceparent', 'tracestate', 'idempotency-key', 'x-request-id'];
		const headers = Object.fromEntries(passedOn.flatMap(name => typeof request.headers[name] === 'string' ? [[name, request.headers[name]]] : []));
		try {
			const answer = await sendRequest(`http://${this.#definition.node}/${call.service}${call.path}`, {method: call.method as 'GET', headers, dispatcher: this.#agent});
			await answer.body.dump();
			return answer.statusCode;
		} catch {
			return 502;
		}
	}

	#answer(request: IncomingMessage, response: ServerResponse, {fault, innerStatus, bodyBytes}: {readonly fault: UpstreamFault; readonly innerStatus: number; readonly bodyBytes: number}): void {
		const id = String(request.headers['x-request-id'] ?? '');
		const body = JSON.stringify({id, service: this.#definition.service, padding: '.'.repeat(bodyBytes)});
		const status = innerStatus >= 400 ? 502 : 200;
		const headers = {'content-type': 'application/json', 'x-request-id': id, 'x-signature': this.#definition.service};
		const faulty = faultyAnswers[fault];
		if (faulty !== undefined) {
			faulty(request.socket, {status, headers, body});
			return;
		}

		response.writeHead(status, {...headers, 'content-length': Buffer.byteLength(body)});
		response.end(body);
	}

	/** Spreads the fault evenly over the requests. */
	#nextFault(): UpstreamFault {
		this.#faultCredit += this.faultShare;
		if (this.#faultCredit < 1) {
			return UpstreamFault.None;
		}

		this.#faultCredit -= 1;
		return this.fault;
	}

	#change({fault, faultShare, slowFactor, state}: Change): void {
		this.fault = fault ?? this.fault;
		this.faultShare = faultShare ?? this.faultShare;
		this.slowFactor = slowFactor ?? this.slowFactor;
		if (state === 'withdrawn') {
			void this.withdraw();
		} else if (state !== undefined) {
			this.announce(state);
		}
	}

	#control(url: string, body: Buffer, response: ServerResponse): void {
		const handlers: Readonly<Record<string, () => unknown>> = {
			'/control/behaviour': () => {
				this.#change(JSON.parse(body.toString('utf8')) as Change);
				return {};
			},
			'/control/counters': () => ({
				...this.counters,
				at: performance.now(),
				keys: this.counters.byKey.size,
				repeats: [...this.counters.byKey.values()].filter(count => count > 1).length,
				byKey: undefined,
				byPath: Object.fromEntries(this.counters.byPath),
				byRequest: undefined,
			}),
			'/control/requests': () => Object.fromEntries(this.counters.byRequest),
		};
		const result = handlers[url]?.();
		response.writeHead(result === undefined ? 404 : 200, {'content-type': 'application/json'});
		response.end(JSON.stringify(result ?? {}));
	}
}

function increment(counts: Map<string, number>, key: string | string[] | undefined): void {
	if (typeof key === 'string') {
		counts.set(key, (counts.get(key) ?? 0) + 1);
	}
}

async function readAll(request: IncomingMessage): Promise<Buffer> {
	const chunks: Buffer[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Buffer);
	}

	return Buffer.concat(chunks);
}
