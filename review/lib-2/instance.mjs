/**
 * Stand-in for an application instance (PROTOCOL.md): it runs one request at a time on a connection, `slots` at once, answers
 * with the request id, its signature and its load, drops a request whose connection closes, answers health checks and
 * announces itself to the control address of its own machine.
 */
import {Buffer} from 'node:buffer';
import {createServer, request as sendRequest} from 'node:http';

export const heartbeatMilliseconds = 1500;

export class Instance {
	/** Requests that it ran: {id, path, startedAt, endedAt, how}. */
	runs = [];
	healthStatus = 200;
	state = 'ready';
	/** Heartbeats and withdrawals: {what, sentAt, answeredAt, status}. */
	announcements = [];
	#definition;
	#server;
	#timer;
	#sequence = 0;
	#born = Date.now();
	#running = 0;
	#waiting = [];

	/** @param definition - id, service, host, slots, control (HOST:PORT), record, work (async, called with the run and the request; returns {status, body}) */
	constructor(definition) {
		this.#definition = definition;
	}

	async start() {
		this.#server = createServer((request, response) => {
			this.#receive(request, response);
		});
		this.#server.keepAliveTimeout = 60_000;
		await new Promise(resolve => {
			this.#server.listen(0, this.#definition.host, resolve);
		});
		this.address = `${this.#definition.host}:${this.#server.address().port}`;
	}

	/** Sends heartbeats from now on. */
	announce() {
		const beat = () => {
			this.sendBeat(this.nextBeat());
		};

		beat();
		this.#timer = setInterval(beat, heartbeatMilliseconds);
	}

	/** The next heartbeat as text. */
	nextBeat() {
		const {service, slots, zone} = this.#definition;
		this.#sequence += 1;
		return JSON.stringify({
			service, address: this.address, zone, version: 'v1', slots, state: this.state, coldMilliseconds: 0, sequence: this.#sequence, birth: this.#born,
		});
	}

	/** Sends a heartbeat; resolves to whether it was acknowledged. */
	async sendBeat(body, what = JSON.parse(body).state) {
		return this.#send('PUT', body, what);
	}

	/** Reports `draining` until it is acknowledged. */
	async drain() {
		this.state = 'draining';
		clearInterval(this.#timer);
		let isAcknowledged = false;
		while (!isAcknowledged) {
			isAcknowledged = await this.sendBeat(this.nextBeat()); // eslint-disable-line no-await-in-loop
		}

		const at = Date.now();
		this.#timer = setInterval(() => {
			this.sendBeat(this.nextBeat());
		}, heartbeatMilliseconds);
		return at;
	}

	/** Says that it is gone. */
	async withdraw() {
		clearInterval(this.#timer);
		return this.#send('DELETE', JSON.stringify({birth: this.#born}), 'withdrawal');
	}

	close() {
		clearInterval(this.#timer);
		this.#server.closeAllConnections();
		this.#server.close();
	}

	async #send(method, body, what) {
		const [host, port] = this.#definition.control.split(':');
		const entry = {what, sentAt: Date.now(), status: 0};
		this.announcements.push(entry);
		return new Promise(resolve => {
			const request = sendRequest({
				host, port, method, path: `/laburnumspool/v1/upstream?instance=${this.#definition.id}`, headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)}, agent: false, timeout: 1000,
			}, response => {
				response.resume();
				entry.answeredAt = Date.now();
				entry.status = response.statusCode;
				resolve(response.statusCode >= 200 && response.statusCode < 300);
			});
			request.on('timeout', () => request.destroy(new Error('timeout')));
			request.on('error', () => {
				setTimeout(resolve, 20, false);
			});
			request.end(body);
		});
	}

	get #load() {
		return `${this.#running},${this.#waiting.length},${this.#definition.slots}`;
	}

	async #receive(request, response) {
		const parts = [];
		for await (const part of request) {
			parts.push(part);
		}

		const {id, slots} = this.#definition;
		if (request.url === '/health') {
			const status = this.state === 'ready' ? this.healthStatus : 503;
			response.writeHead(status, {'laburnumspool-instance-id': id, 'laburnumspool-server-load': this.#load}).end();
			return;
		}

		const requestId = request.headers['laburnumspool-request-id'];
		const common = {'laburnumspool-request-id': requestId ?? '', 'laburnumspool-server-load': this.#load};
		const expected = request.headers['laburnumspool-expected-instance'];
		if (expected !== undefined && expected !== id) {
			response.writeHead(421, {...common, 'laburnumspool-instance-id': id}).end();
			return;
		}

		if (requestId === undefined) {
			response.writeHead(400, {'laburnumspool-not-executed': '1'}).end();
			return;
		}

		if (this.#running >= slots) {
			await new Promise(resolve => {
				this.#waiting.push(resolve);
			});
		}

		this.#running += 1;
		const run = {
			id: requestId, path: request.url, startedAt: Date.now(), how: 'running',
		};
		this.runs.push(run);
		const abort = new AbortController();
		response.once('close', () => abort.abort());
		try {
			const {status = 200, body = `ran ${requestId}`} = await this.#definition.work(run, request, Buffer.concat(parts), abort.signal) ?? {};
			run.how = response.destroyed ? 'dropped' : `answered ${status}`;
			response.writeHead(status, {
				...common, 'laburnumspool-server-load': this.#load, 'laburnumspool-response-signature': `s.${requestId}`, 'content-length': Buffer.byteLength(body),
			});
			response.end(body);
		} catch {
			run.how = 'dropped';
			response.destroy();
		} finally {
			run.endedAt = Date.now();
			this.#running -= 1;
			this.#waiting.shift()?.();
		}
	}
}

/** Waits like work does; rejects when the connection of its request closes. */
export async function work(milliseconds, signal) {
	return new Promise((resolve, reject) => {
		const timer = setTimeout(resolve, milliseconds);
		signal?.addEventListener('abort', () => {
			clearTimeout(timer);
			reject(new Error('dropped'));
		});
	});
}
