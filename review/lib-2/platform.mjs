/**
 * Stand-in for the platform's metadata store (PROTOCOL.md), with the names of deploy/wire.toml, as `fleetbench wire` shows them.
 * It is sound: it loses nothing that it has acknowledged, and its answers are linearizable.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

export class Platform {
	#items = new Map();
	#history = [];
	#waiters = new Set();
	#leases = new Map();
	#revision = 10;
	#lastLease = 100;
	#server;
	/** Time of one answer; DEPLOY.md and the sites give 4 ms. */
	answerMilliseconds = 4;
	/** Whether calls get no answer (`platform_down`, how silent). */
	isSilent = false;

	async start(host = '127.0.0.1') {
		this.#server = createServer((request, response) => {
			this.#receive(request, response);
		});
		this.#server.keepAliveTimeout = 60_000;
		await new Promise(resolve => {
			this.#server.listen(0, host, resolve);
		});
		this.address = `${host}:${this.#server.address().port}`;
		this.#timer = setInterval(() => this.#expire(), 200);
	}

	#timer;

	/** Writes as the operator does. */
	put(key, value) {
		this.#put(key, Buffer.from(value).toString('base64'), 0);
	}

	close() {
		clearInterval(this.#timer);
		this.#server.closeAllConnections();
		this.#server.close();
	}

	async #receive(request, response) {
		let text = '';
		request.setEncoding('utf8');
		for await (const part of request) {
			text += part;
		}

		if (this.isSilent) {
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, this.answerMilliseconds);
		});
		const url = new URL(request.url, 'http://store');
		const {status, body} = await this.#handle(request.method, url.pathname.replace('/laburnumspool/', ''), url.searchParams, text === '' ? {} : JSON.parse(text));
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body ?? {}));
	}

	async #handle(method, call, query, body) {
		if (call === 'kv-key') {
			const item = this.#items.get(query.get('key'));
			return item === undefined ? {status: 404, body: {asOf: this.#revision}} : {status: 200, body: {...item, asOf: this.#revision}};
		}

		if (call === 'kv-range') {
			const items = [...this.#items.values()].filter(item => item.key.startsWith(query.get('prefix')) && item.key > (query.get('after') ?? '')).toSorted((left, right) => left.key < right.key ? -1 : 1);
			return {status: 200, body: {items: items.slice(0, 500), truncated: items.length > 500, asOf: this.#revision}};
		}

		if (call === 'kv-watch') {
			return this.#watch(query.get('prefix'), Number(query.get('after')), Number(query.get('waitMs')));
		}

		if (call === 'kv-txn') {
			return this.#transact(body);
		}

		if (call === 'kv-lease') {
			this.#lastLease += 1;
			this.#leases.set(this.#lastLease, {ttl: body.ttlMilliseconds, until: Date.now() + body.ttlMilliseconds});
			return {status: 200, body: {lease: this.#lastLease, ttlMilliseconds: body.ttlMilliseconds}};
		}

		const id = Number(call.split('/')[1]);
		const lease = this.#leases.get(id);
		if (lease === undefined) {
			return {status: 404};
		}

		if (method === 'DELETE') {
			this.#end(id);
		} else {
			lease.until = Date.now() + lease.ttl;
		}

		return {status: 200, body: {ttlMilliseconds: lease.ttl}};
	}

	#watch(prefix, after, wait) {
		const find = () => this.#history.filter(event => event.key.startsWith(prefix) && event.revision > after);
		const events = find();
		if (events.length > 0) {
			return {status: 200, body: {events, asOf: this.#revision}};
		}

		return new Promise(resolve => {
			const respond = () => {
				this.#waiters.delete(waiter);
				clearTimeout(timer);
				resolve({status: 200, body: {events: find(), asOf: this.#revision}});
			};

			const waiter = {prefix, respond};
			const timer = setTimeout(respond, wait);
			this.#waiters.add(waiter);
		});
	}

	#transact({expectedRevision = [], puts = [], remove = []}) {
		if (expectedRevision.some(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
			return {status: 412, body: {items: expectedRevision.map(({key}) => this.#items.get(key) ?? {key, revision: 0})}};
		}

		if (puts.some(({lease = 0}) => lease !== 0 && !this.#leases.has(lease))) {
			return {status: 404};
		}

		puts.map(({key, value, lease = 0}) => this.#put(key, value, lease));
		remove.map(key => this.#remove(key));
		return {status: 200, body: {revision: this.#revision}};
	}

	#put(key, value, lease) {
		this.#revision += 1;
		const created = this.#items.get(key)?.created ?? this.#revision;
		const item = {
			key, value, revision: this.#revision, created, lease,
		};
		this.#items.set(key, item);
		this.#record(item);
	}

	#remove(key) {
		if (this.#items.delete(key)) {
			this.#revision += 1;
			this.#record({key, revision: this.#revision, tombstone: true});
		}
	}

	#record(event) {
		this.#history.push(event);
		[...this.#waiters].filter(({prefix}) => event.key.startsWith(prefix)).map(({respond}) => respond());
	}

	#end(id) {
		this.#leases.delete(id);
		[...this.#items.values()].filter(({lease}) => lease === id).map(({key}) => this.#remove(key));
	}

	#expire() {
		[...this.#leases].filter(([, {until}]) => until < Date.now()).map(([id]) => this.#end(id));
	}
}
