/**
 * The store stand-in over HTTP with JSON, with its rates, its counters and its faults.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	noFaults, StoreState, type Entry, type Faults,
} from './store-state.js';

const windowMilliseconds = 1000;
const watchPollMilliseconds = 10;

/** Calls that the store takes each second. */
export type StoreRates = {readonly readsPerSecond: number; readonly writesPerSecond: number};

export const defaultStoreRates: StoreRates = {readsPerSecond: 2000, writesPerSecond: 500};

/** Calls counted since the start; a waiting watch is one. */
export type StoreCounters = {reads: number; writes: number; watches: number; refused: number};

type Watch = {readonly key: string; readonly above: number; readonly response: ServerResponse; readonly until: number};

type Reply = {readonly status: number; readonly body?: unknown};

/**
 * A running stand-in.
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
	readonly #rates: StoreRates;
	readonly #watches = new Set<Watch>();
	#faults: Faults = noFaults;
	#window = {startedAt: 0, reads: 0, writes: 0};
	#watchTimer: NodeJS.Timeout | undefined;

	constructor(rates: StoreRates = defaultStoreRates) {
		this.#rates = rates;
		this.#server = createServer((request, response) => {
			void this.#handle(request, response);
		});
	}

	get port(): number {
		const address = this.#server.address();
		return typeof address === 'object' && address !== null ? address.port : 0;
	}

	async listen(port: number, host: string): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, host, resolve);
		});
		this.#watchTimer = setInterval(() => {
			this.#answerWatches();
		}, watchPollMilliseconds);
	}

	async close(): Promise<void> {
		clearInterval(this.#watchTimer);
		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	setFaults(faults: Partial<Faults>): void {
		this.#faults = {...this.#faults, ...faults};
		this.state.setServesStaleReads(this.#faults.servesStaleReads);
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://store');
		const body = await readJson(request);
		if (url.pathname.startsWith('/control/')) {
			finish(response, this.#control(request, url, body));
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

		this.#serve(request, response, url, body);
	}

	#serve(request: IncomingMessage, response: ServerResponse, url: URL, body: Record<string, unknown>): void {
		const isRead = request.method === 'GET';
		if (!this.#count(isRead)) {
			this.counters.refused += 1;
			finish(response, {status: 429, body: {message: 'Too many calls'}});
			return;
		}

		if (isRead && url.searchParams.has('above')) {
			this.#watch(response, url);
			return;
		}

		const reply = this.#reply(request.method ?? 'GET', url, body);
		const isLost = !isRead && this.#faults.confirmationsToLose > 0;
		if (isLost) {
			this.setFaults({confirmationsToLose: this.#faults.confirmationsToLose - 1});
			request.socket.destroy();
			return;
		}

		finish(response, reply);
	}

	#count(isRead: boolean): boolean {
		const now = Date.now();
		if (now - this.#window.startedAt >= windowMilliseconds) {
			this.#window = {startedAt: now, reads: 0, writes: 0};
		}

		this.#window.reads += isRead ? 1 : 0;
		this.#window.writes += isRead ? 0 : 1;
		this.counters.reads += isRead ? 1 : 0;
		this.counters.writes += isRead ? 0 : 1;
		return this.#window.reads <= this.#rates.readsPerSecond && this.#window.writes <= this.#rates.writesPerSecond;
	}

	#watch(response: ServerResponse, url: URL): void {
		this.counters.watches += 1;
		const watch = {
			key: keyOf(url), above: Number(url.searchParams.get('above')), response, until: Date.now() + Number(url.searchParams.get('waitMilliseconds')),
		};
		this.#watches.add(watch);
		response.once('close', () => this.#watches.delete(watch));
		this.#answerWatches();
	}

	#answerWatches(): void {
		const now = Date.now();
		[...this.#watches].map(watch => {
			const entry = this.state.read(watch.key, now);
			if (entry !== undefined && entry.version > watch.above) {
				this.#watches.delete(watch);
				finish(watch.response, {status: 200, body: toBody(entry)});
			} else if (now >= watch.until) {
				this.#watches.delete(watch);
				finish(watch.response, {status: 204});
			}

			return watch;
		});
	}

	#reply(method: string, url: URL, body: Record<string, unknown>): Reply {
		const now = Date.now();
		const handlers: Readonly<Record<string, () => Reply>> = {
			'GET keys': () => {
				const prefix = url.searchParams.get('prefix');
				if (prefix !== null) {
					const entries = this.state.keys(prefix).flatMap(key => this.state.read(key, now) ?? []);
					return {status: 200, body: {entries: entries.map(entry => toBody(entry))}};
				}

				const entry = this.state.read(keyOf(url), now);
				return entry === undefined ? {status: 404, body: {message: 'No such key'}} : {status: 200, body: toBody(entry)};
			},
			'PUT keys': () => this.#swap(url, body, now),
			'POST leases': () => url.pathname.endsWith('/renewals')
				? {status: this.state.renewLease(leaseOf(url), now) ? 204 : 404}
				: {status: 200, body: {lease: this.state.grantLease(Number(body.timeToLiveMilliseconds), now)}},
			'DELETE leases': () => {
				this.state.endLease(leaseOf(url));
				return {status: 204};
			},
		};
		const handler = handlers[`${method} ${url.pathname.split('/')[2] ?? ''}`];
		return handler?.() ?? {status: 404, body: {message: 'No such resource'}};
	}

	#swap(url: URL, body: Record<string, unknown>, now: number): Reply {
		const {expectedVersion, value, lease} = body;
		if (typeof expectedVersion !== 'number' || typeof value !== 'string') {
			return {status: 400, body: {message: 'Expected expectedVersion and value'}};
		}

		const outcome = this.state.compareAndSwap(keyOf(url), expectedVersion, value, typeof lease === 'string' ? lease : undefined, now);
		return outcome.isWritten
			? {status: 200, body: {version: outcome.version}}
			: {status: 409, body: {current: outcome.current === undefined ? undefined : toBody(outcome.current)}};
	}

	#control(request: IncomingMessage, url: URL, body: Record<string, unknown>): Reply {
		const handlers: Readonly<Record<string, () => Reply>> = {
			'PUT /control/faults': () => {
				this.setFaults(body);
				return {status: 200, body: this.#faults};
			},
			'POST /control/lease-ends': () => {
				this.state.endLease(String(body.lease));
				return {status: 204};
			},
			'GET /control/counters': () => ({status: 200, body: this.counters}),
		};
		return handlers[`${request.method} ${url.pathname}`]?.() ?? {status: 404, body: {message: 'No such control'}};
	}
}

function keyOf(url: URL): string {
	return decodeURIComponent(url.pathname.split('/')[3] ?? '');
}

function leaseOf(url: URL): string {
	return decodeURIComponent(url.pathname.split('/')[3] ?? '');
}

function toBody(entry: Entry): {version: number; value: string} {
	return {version: entry.version, value: entry.value};
}

function finish(response: ServerResponse, reply: Reply): void {
	response.writeHead(reply.status, {'content-type': 'application/json'});
	response.end(reply.body === undefined ? undefined : JSON.stringify(reply.body));
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
