/**
 * HTTP server of the store stand-in, with rate limits, call counters and injected faults.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {
	noFaults, StoreState, type Entry, type Faults,
} from './store-state.js';

const rateWindowMilliseconds = 1000;
const watchCheckIntervalMilliseconds = 10;

/** Calls accepted in each window of one second. Once either limit is exceeded, all calls are answered 429 until the window ends. */
export type StoreRateLimits = {readonly readsPerSecond: number; readonly writesPerSecond: number};

export const defaultStoreRateLimits: StoreRateLimits = {readsPerSecond: 2000, writesPerSecond: 500};

/**
 * Calls since the start. Calls over the rate limits are included in `reads` and `writes`; an accepted watch counts once in
 * `reads` and once in `watches`.
 */
export type StoreCounters = {reads: number; writes: number; watches: number; refused: number};

type Watch = {readonly key: string; readonly aboveVersion: number; readonly response: ServerResponse; readonly expiresAt: number};

type StoreAnswer = {readonly status: number; readonly body?: unknown};

/**
 * Serves keys and leases of a {@link StoreState} over HTTP with JSON bodies.
 *
 * @example
 * const store = new StoreServer();
 * await store.listen(2400, '127.0.0.1');
 * store.setFaults({isDown: true});
 */
export class StoreServer {
	readonly state = new StoreState();
	readonly counters: StoreCounters = {
		reads: 0, writes: 0, watches: 0, refused: 0,
	};

	readonly #server: Server;
	readonly #rateLimits: StoreRateLimits;
	readonly #watches = new Set<Watch>();
	#faults: Faults = noFaults;
	#rateWindow = {startedAt: 0, reads: 0, writes: 0};
	#watchTimer: NodeJS.Timeout | undefined;
	readonly #connections = new Set<Socket>();
	/** Open connections over which nothing is received or sent any more. */
	readonly #silentConnections = new WeakSet<Socket>();

	constructor(rateLimits: StoreRateLimits = defaultStoreRateLimits) {
		this.#rateLimits = rateLimits;
		this.#server = createServer((request, response) => {
			void this.#handle(request, response);
		});
		this.#server.on('connection', socket => {
			this.#connections.add(socket);
			socket.once('close', () => this.#connections.delete(socket));
		});
	}

	/** Port of the server; 0 unless it listens. */
	get port(): number {
		const address = this.#server.address();
		return typeof address === 'object' && address !== null ? address.port : 0;
	}

	/** Listens on the port; 0 selects a free one. */
	async listen(port: number, host: string): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, host, resolve);
		});
		this.#watchTimer = setInterval(() => {
			this.#answerWatches();
		}, watchCheckIntervalMilliseconds);
	}

	/** Stops the server and closes open connections, waiting watches included. */
	async close(): Promise<void> {
		clearInterval(this.#watchTimer);
		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	/** Changes the given faults; the others stay as they are. */
	setFaults(faults: Partial<Faults>): void {
		this.#faults = {...this.#faults, ...faults};
		this.state.setServesStaleReads(this.#faults.servesStaleReads);
	}

	/** Leaves all connections that are open now without a further answer, and without a reset. New connections work. */
	silenceConnections(): void {
		[...this.#connections].map(socket => this.#silentConnections.add(socket));
		[...this.#watches].map(watch => this.#watches.delete(watch));
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (this.#silentConnections.has(request.socket)) {
			return;
		}

		const url = new URL(request.url ?? '/', 'http://store');
		const body = await readJson(request);
		if (url.pathname.startsWith('/control/')) {
			sendAnswer(response, this.#handleControl(request, url, body));
			return;
		}

		if (this.#faults.isDown) {
			request.socket.destroy();
			return;
		}

		if (this.#faults.delayMilliseconds > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, this.#faults.delayMilliseconds);
			});
		}

		this.#handleStoreCall(request, response, url, body);
	}

	#handleStoreCall(request: IncomingMessage, response: ServerResponse, url: URL, body: Record<string, unknown>): void {
		const isRead = request.method === 'GET';
		if (!this.#countCall(isRead)) {
			this.counters.refused += 1;
			sendAnswer(response, {status: 429, body: {message: 'Too many calls'}});
			return;
		}

		if (isRead && url.searchParams.has('above')) {
			this.#addWatch(response, url);
			return;
		}

		const answer = this.#execute(request.method ?? 'GET', url, body);
		const losesConfirmation = !isRead && this.#faults.confirmationsToLose > 0;
		if (losesConfirmation) {
			this.setFaults({confirmationsToLose: this.#faults.confirmationsToLose - 1});
			request.socket.destroy();
			return;
		}

		sendAnswer(response, answer);
	}

	/** Counts a call. False when a rate limit is exceeded. */
	#countCall(isRead: boolean): boolean {
		const now = Date.now();
		if (now - this.#rateWindow.startedAt >= rateWindowMilliseconds) {
			this.#rateWindow = {startedAt: now, reads: 0, writes: 0};
		}

		this.#rateWindow.reads += isRead ? 1 : 0;
		this.#rateWindow.writes += isRead ? 0 : 1;
		this.counters.reads += isRead ? 1 : 0;
		this.counters.writes += isRead ? 0 : 1;
		return this.#rateWindow.reads <= this.#rateLimits.readsPerSecond && this.#rateWindow.writes <= this.#rateLimits.writesPerSecond;
	}

	#addWatch(response: ServerResponse, url: URL): void {
		this.counters.watches += 1;
		const watch: Watch = {
			key: keyFromPath(url),
			aboveVersion: Number(url.searchParams.get('above')),
			response,
			expiresAt: Date.now() + Number(url.searchParams.get('waitMilliseconds')),
		};
		this.#watches.add(watch);
		response.once('close', () => this.#watches.delete(watch));
		this.#answerWatches();
	}

	/** Answers the watches whose key has a newer version, and those whose time is over. */
	#answerWatches(): void {
		const now = Date.now();
		[...this.#watches].map(watch => {
			const entry = this.state.read(watch.key, now);
			if (entry !== undefined && entry.version > watch.aboveVersion) {
				this.#watches.delete(watch);
				sendAnswer(watch.response, {status: 200, body: toBody(entry)});
			} else if (now >= watch.expiresAt) {
				this.#watches.delete(watch);
				sendAnswer(watch.response, {status: 204});
			}

			return watch;
		});
	}

	#execute(method: string, url: URL, body: Record<string, unknown>): StoreAnswer {
		const now = Date.now();
		const handlers: Readonly<Record<string, () => StoreAnswer>> = {
			'GET keys': () => {
				const prefix = url.searchParams.get('prefix');
				if (prefix !== null) {
					const entries = this.state.keysWithPrefix(prefix).flatMap(key => {
						const entry = this.state.read(key, now);
						return entry === undefined ? [] : [{key, ...toBody(entry)}];
					});
					return {status: 200, body: {entries}};
				}

				const entry = this.state.read(keyFromPath(url), now);
				return entry === undefined ? {status: 404, body: {message: 'No such key'}} : {status: 200, body: toBody(entry)};
			},
			'PUT keys': () => this.#compareAndSwap(url, body, now),
			'POST leases': () => url.pathname.endsWith('/renewals')
				? {status: this.state.renewLease(leaseFromPath(url), now) ? 204 : 404}
				: {status: 200, body: {lease: this.state.grantLease(Number(body.timeToLiveMilliseconds), now)}},
			'DELETE leases': () => {
				this.state.revokeLease(leaseFromPath(url));
				return {status: 204};
			},
		};
		const handler = handlers[`${method} ${url.pathname.split('/')[2] ?? ''}`];
		return handler?.() ?? {status: 404, body: {message: 'No such resource'}};
	}

	#compareAndSwap(url: URL, body: Record<string, unknown>, now: number): StoreAnswer {
		const {expectedVersion, value, lease} = body;
		if (typeof expectedVersion !== 'number' || typeof value !== 'string') {
			return {status: 400, body: {message: 'Expected expectedVersion and value'}};
		}

		const outcome = this.state.compareAndSwap(keyFromPath(url), expectedVersion, value, typeof lease === 'string' ? lease : undefined, now);
		return outcome.isWritten
			? {status: 200, body: {version: outcome.version}}
			: {status: 409, body: {current: outcome.current === undefined ? undefined : toBody(outcome.current)}};
	}

	#handleControl(request: IncomingMessage, url: URL, body: Record<string, unknown>): StoreAnswer {
		const handlers: Readonly<Record<string, () => StoreAnswer>> = {
			'PUT /control/faults': () => {
				this.setFaults(body);
				return {status: 200, body: this.#faults};
			},
			'POST /control/lease-ends': () => {
				this.state.revokeLease(String(body.lease));
				return {status: 204};
			},
			'GET /control/counters': () => ({status: 200, body: this.counters}),
		};
		return handlers[`${request.method} ${url.pathname}`]?.() ?? {status: 404, body: {message: 'No such control'}};
	}
}

function keyFromPath(url: URL): string {
	return decodeURIComponent(url.pathname.split('/')[3] ?? '');
}

function leaseFromPath(url: URL): string {
	return decodeURIComponent(url.pathname.split('/')[3] ?? '');
}

function toBody(entry: Entry): {version: number; value: string} {
	return {version: entry.version, value: entry.value};
}

function sendAnswer(response: ServerResponse, answer: StoreAnswer): void {
	response.writeHead(answer.status, {'content-type': 'application/json'});
	response.end(answer.body === undefined ? undefined : JSON.stringify(answer.body));
}

async function readJson(request: IncomingMessage): Promise<Record<string, unknown>> {
	const chunks: Buffer[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Buffer);
	}

	try {
		return JSON.parse(Buffer.concat(chunks).toString('utf8')) as Record<string, unknown>;
	} catch {
		return {};
	}
}
