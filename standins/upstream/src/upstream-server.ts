/**
 * HTTP server of the upstream stand-in: a service with slots, service times, nested calls and injected faults.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {performance} from 'node:perf_hooks';
import {Agent, request as sendRequest} from 'undici';
import {faultyAnswerWriters, UpstreamFault} from './faulty-answers.js';

const announceIntervalMilliseconds = 500;
/** Maximum of requests in flight per slot; further ones are answered 503. */
const maximumRequestsPerSlot = 2;
const defaultBodyBytes = 200;
const stuckMilliseconds = 3_600_000;
const announcementPath = '/laburnumspool/v1/upstream';

/** State that an upstream announces to its node. */
export type AnnouncedState = 'starting' | 'ready' | 'draining';

/** Body of a request to `/control/behaviour`; a field that is left out changes nothing. */
type BehaviourChange = {
	readonly fault?: UpstreamFault;
	readonly faultShare?: number;
	readonly slowFactor?: number;
	readonly state?: AnnouncedState | 'withdrawn';
};

/** Call to another service, sent through the upstream's node. */
export type NestedCall = {readonly method: string; readonly service: string; readonly path: string};

/** How requests whose path starts with the prefix are processed. */
export type Behaviour = {
	readonly prefix: string;
	/** Processing time while no more requests are in flight than there are slots. */
	readonly milliseconds: number;
	/** Bytes of padding in the body of the answer. */
	readonly bodyBytes?: number;
	/** Nested calls, sent concurrently after the processing time. */
	readonly calls?: readonly NestedCall[];
};

/** Definition of a stand-in, read from YAML. */
export type UpstreamDefinition = {
	readonly service: string;
	readonly slots: number;
	readonly connections: number;
	readonly behaviours: readonly Behaviour[];
	/** HOST:PORT on which the upstream's node accepts callers. */
	readonly node: string;
	/** Regular expression for `NAME: VALUE`; the headers of requests that match are recorded and offered at `/control/headers`. */
	readonly recordedHeaders?: string;
};

/** What the answer to a processed request depends on. */
type AnswerDetails = {readonly fault: UpstreamFault; readonly nestedStatus: number; readonly bodyBytes: number};

/** Counts of requests since the start. */
export type UpstreamCounters = {
	/** Requests whose processing started. */
	started: number;
	/** Requests processed to the end, with or without a faulty answer. */
	finished: number;
	/** Requests whose connection closed before the answer. */
	cancelled: number;
	/** Requests answered 503 because too many were in flight. */
	shed: number;
	/** Started requests by idempotency key; a count above 1 means that a key was executed more than once. */
	readonly byKey: Map<string, number>;
	/** Started requests by the prefix of their behaviour, or by their URL when no behaviour matches. */
	readonly byPath: Map<string, number>;
	/** Started requests by x-request-id. */
	readonly byRequest: Map<string, number>;
	/** Recorded headers of started requests by x-request-id, without repetitions. */
	readonly headersByRequest: Map<string, ReadonlySet<string>>;
};

/**
 * Processes requests with simulated service times and announces itself to its node.
 *
 * @example
 * const upstream = new UpstreamServer(definition);
 * await upstream.listen(0);
 * upstream.announce('ready');
 */
export class UpstreamServer {
	readonly counters: UpstreamCounters = {
		started: 0, finished: 0, cancelled: 0, shed: 0, byKey: new Map(), byPath: new Map(), byRequest: new Map(), headersByRequest: new Map(),
	};

	fault = UpstreamFault.None;
	/** Share of the requests that the fault affects, from 0 to 1. */
	faultShare = 1;
	/** Factor on the processing time of every request. */
	slowFactor = 1;
	readonly #definition: UpstreamDefinition;
	readonly #server: Server;
	readonly #agent = new Agent({connections: 256, pipelining: 1});
	#inFlight = 0;
	#faultAccumulator = 0;
	#announceTimer: NodeJS.Timeout | undefined;

	constructor(definition: UpstreamDefinition) {
		this.#definition = definition;
		this.#server = createServer((request, response) => {
			void this.#handle(request, response);
		});
		this.#server.keepAliveTimeout = 60_000;
	}

	/** Port of the server; 0 unless it listens. */
	get port(): number {
		const address = this.#server.address();
		return typeof address === 'object' && address !== null ? address.port : 0;
	}

	get inFlight(): number {
		return this.#inFlight;
	}

	/** Listens on the port of 127.0.0.1; 0 selects a free one. */
	async listen(port: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, '127.0.0.1', resolve);
		});
	}

	/** Announces the state to the node at once and then periodically, until another state is announced, withdrawal or close. */
	announce(state: AnnouncedState): void {
		clearInterval(this.#announceTimer);
		const send = (): void => {
			void this.#announceOnce(state);
		};

		send();
		this.#announceTimer = setInterval(send, announceIntervalMilliseconds);
	}

	/** Stops announcing and sends one withdrawal to the node. Never throws. */
	async withdraw(): Promise<void> {
		clearInterval(this.#announceTimer);
		try {
			const answer = await sendRequest(`http://${this.#definition.node}${announcementPath}`, {method: 'DELETE', dispatcher: this.#agent});
			await answer.body.dump();
		} catch {
			// An unreachable node drops the upstream by itself once announcements stop.
		}
	}

	/** Stops announcing and closes the server and all connections. */
	async close(): Promise<void> {
		clearInterval(this.#announceTimer);
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
			// The node is not reachable yet; the next announcement follows shortly.
		}
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = request.url ?? '/';
		const body = await readBody(request);
		if (url.startsWith('/control/')) {
			this.#handleControl(url, body, response);
			return;
		}

		if (this.#inFlight >= this.#definition.slots * maximumRequestsPerSlot) {
			this.counters.shed += 1;
			response.writeHead(503).end();
			return;
		}

		this.#inFlight += 1;
		try {
			await this.#process(request, response, url);
		} finally {
			this.#inFlight -= 1;
		}
	}

	async #process(request: IncomingMessage, response: ServerResponse, url: string): Promise<void> {
		const fault = this.#nextFault();
		if (fault === UpstreamFault.ResetBefore) {
			request.socket.destroy();
			return;
		}

		const behaviour = this.#definition.behaviours.find(candidate => url.startsWith(candidate.prefix));
		this.#countStart(request, behaviour?.prefix ?? url);
		const isConnected = await this.#simulateWork(fault === UpstreamFault.Stuck ? stuckMilliseconds : behaviour?.milliseconds ?? 1, response);
		const nestedStatus = isConnected ? await this.#sendNestedCalls(request, behaviour?.calls ?? []) : 499;
		if (!isConnected || response.destroyed) {
			this.counters.cancelled += 1;
			return;
		}

		this.counters.finished += 1;
		this.#sendAnswer(request, response, {fault, nestedStatus, bodyBytes: behaviour?.bodyBytes ?? defaultBodyBytes});
	}

	#countStart(request: IncomingMessage, path: string): void {
		const {byKey, byPath, byRequest} = this.counters;
		this.counters.started += 1;
		increment(byPath, path);
		increment(byKey, request.headers['idempotency-key']);
		increment(byRequest, request.headers['x-request-id']);
		this.#recordHeaders(request);
	}

	#recordHeaders({rawHeaders, headers}: IncomingMessage): void {
		const {recordedHeaders} = this.#definition;
		if (recordedHeaders === undefined) {
			return;
		}

		const pattern = new RegExp(recordedHeaders, 'u');
		const lines = rawHeaders.flatMap((name, index) => index % 2 === 0 ? [`${name.toLowerCase()}: ${rawHeaders[index + 1]}`] : []).filter(line => pattern.test(line));
		const id = String(headers['x-request-id']);
		this.counters.headersByRequest.set(id, new Set([...this.counters.headersByRequest.get(id) ?? [], ...lines]));
	}

	/**
	 * Waits for the processing time. A request that starts while more requests are in flight than there are slots takes
	 * proportionally longer. False when the connection closed before the end.
	 */
	async #simulateWork(milliseconds: number, response: ServerResponse): Promise<boolean> {
		const slowdown = Math.max(1, this.#inFlight / this.#definition.slots);
		const workMilliseconds = milliseconds * this.slowFactor * slowdown;
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				resolve(true);
			}, workMilliseconds);
			response.once('close', () => {
				clearTimeout(timer);
				resolve(false);
			});
		});
	}

	/** Returns the first error status of the calls, or 200. */
	async #sendNestedCalls(request: IncomingMessage, calls: readonly NestedCall[]): Promise<number> {
		const statuses = await Promise.all(calls.map(async call => this.#sendNestedCall(request, call)));
		return statuses.find(status => status >= 400) ?? 200;
	}

	/** Returns the status of the answer, or 502 when there is none. */
	async #sendNestedCall(request: IncomingMessage, call: NestedCall): Promise<number> {
		const forwardedNames = ['traceparent', 'tracestate', 'idempotency-key', 'x-request-id'];
		const headers = Object.fromEntries(forwardedNames.flatMap(name => typeof request.headers[name] === 'string' ? [[name, request.headers[name]]] : []));
		try {
			const answer = await sendRequest(`http://${this.#definition.node}/${call.service}${call.path}`, {method: call.method as 'GET', headers, dispatcher: this.#agent});
			await answer.body.dump();
			return answer.statusCode;
		} catch {
			return 502;
		}
	}

	#sendAnswer(request: IncomingMessage, response: ServerResponse, {fault, nestedStatus, bodyBytes}: AnswerDetails): void {
		const id = String(request.headers['x-request-id'] ?? '');
		const body = JSON.stringify({id, service: this.#definition.service, padding: '.'.repeat(bodyBytes)});
		const status = nestedStatus >= 400 ? 502 : 200;
		const headers = {'content-type': 'application/json', 'x-request-id': id, 'x-signature': this.#definition.service};
		const writeFaultyAnswer = faultyAnswerWriters[fault];
		if (writeFaultyAnswer !== undefined) {
			writeFaultyAnswer(request.socket, {status, headers, body});
			return;
		}

		response.writeHead(status, {...headers, 'content-length': Buffer.byteLength(body)});
		response.end(body);
	}

	/** Returns the fault for the next request. The share of faulty requests is spread evenly, without randomness. */
	#nextFault(): UpstreamFault {
		this.#faultAccumulator += this.faultShare;
		if (this.#faultAccumulator < 1) {
			return UpstreamFault.None;
		}

		this.#faultAccumulator -= 1;
		return this.fault;
	}

	#applyChange({fault, faultShare, slowFactor, state}: BehaviourChange): void {
		this.fault = fault ?? this.fault;
		this.faultShare = faultShare ?? this.faultShare;
		this.slowFactor = slowFactor ?? this.slowFactor;
		if (state === 'withdrawn') {
			void this.withdraw();
		} else if (state !== undefined) {
			this.announce(state);
		}
	}

	#handleControl(url: string, body: Buffer, response: ServerResponse): void {
		const handlers: Readonly<Record<string, () => unknown>> = {
			'/control/behaviour': () => {
				this.#applyChange(JSON.parse(body.toString('utf8')) as BehaviourChange);
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
				headersByRequest: undefined,
			}),
			'/control/requests': () => Object.fromEntries(this.counters.byRequest),
			'/control/headers': () => Object.fromEntries([...this.counters.headersByRequest].map(([id, lines]) => [id, [...lines]])),
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

async function readBody(request: IncomingMessage): Promise<Buffer> {
	const chunks: Buffer[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Buffer);
	}

	return Buffer.concat(chunks);
}
