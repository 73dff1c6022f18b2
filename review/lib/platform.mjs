// Stand-in for the platform's metadata store, after PROTOCOL.md with the names of deploy/wire.toml. It is sound: linearizable,
// one revision counter, leases that end, watches that wait. It listens on a loopback address.
/* eslint-disable unicorn/no-array-for-each, unicorn/no-array-callback-reference, unicorn/no-array-sort */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

export async function startPlatform({host, port}) {
	const items = new Map();
	const leases = new Map();
	const waiters = new Set();
	const history = [];
	let revision = 10;
	let lastLease = 1000;

	const notify = () => {
		for (const waiter of waiters) {
			const events = history.filter(event => event.revision > waiter.after && event.key.startsWith(waiter.prefix));
			if (events.length > 0) {
				waiters.delete(waiter);
				waiter.finish({status: 200, body: {events, asOf: revision}});
			}
		}
	};

	const put = (key, value, lease) => {
		const created = items.get(key)?.created ?? revision;
		const item = {
			key, value, revision, created, lease,
		};
		items.set(key, item);
		history.push(item);
	};

	const remove = key => {
		items.delete(key);
		history.push({key, revision, tombstone: true});
	};

	const endLease = id => {
		const lease = leases.get(id);
		if (lease === undefined) {
			return;
		}

		clearTimeout(lease.timer);
		leases.delete(id);
		const keys = [...items.values()].filter(item => item.lease === id).map(item => item.key);
		if (keys.length > 0) {
			revision += 1;
			keys.forEach(remove);
			notify();
		}
	};

	const renew = id => {
		const lease = leases.get(id);
		clearTimeout(lease.timer);
		lease.timer = setTimeout(() => endLease(id), lease.ttl);
		lease.timer.unref();
	};

	const calls = {
		'kv-key'(query) {
			const item = items.get(query.get('key'));
			return item === undefined ? {status: 404, body: {asOf: revision}} : {status: 200, body: {...item, asOf: revision}};
		},
		'kv-range'(query) {
			const after = query.get('after') ?? '';
			const prefix = query.get('prefix') ?? '';
			const found = [...items.values()].filter(item => item.key.startsWith(prefix) && item.key > after).sort((a, b) => a.key < b.key ? -1 : 1);
			return {status: 200, body: {items: found.slice(0, 500), truncated: found.length > 500, asOf: revision}};
		},
		'kv-watch': query => new Promise(resolve => {
			const waiter = {prefix: query.get('prefix') ?? '', after: Number(query.get('after')), finish: resolve};
			waiters.add(waiter);
			setTimeout(() => {
				if (waiters.delete(waiter)) {
					resolve({status: 200, body: {events: [], asOf: revision}});
				}
			}, Math.min(30_000, Number(query.get('waitMs')))).unref();
			notify();
		}),
		'kv-txn'(_query, {expectedRevision = [], puts = [], remove: removed = []}) {
			if (expectedRevision.some(({key, revision: expected}) => (items.get(key)?.revision ?? 0) !== expected)) {
				return {status: 412, body: {items: expectedRevision.map(({key}) => items.get(key) ?? {key, revision: 0})}};
			}

			if (puts.some(({lease}) => lease > 0 && !leases.has(lease))) {
				return {status: 404, body: {}};
			}

			if (puts.some(({key}) => key.startsWith('op/') || key.startsWith('servers/'))) {
				return {status: 403, body: {}};
			}

			revision += 1;
			for (const {key, value, lease = 0} of puts) {
				put(key, value, lease);
			}

			removed.forEach(remove);
			notify();
			return {status: 200, body: {revision}};
		},
		'kv-lease'(_query, {ttlMilliseconds}) {
			lastLease += 1;
			leases.set(lastLease, {ttl: ttlMilliseconds, timer: undefined});
			renew(lastLease);
			return {status: 200, body: {lease: lastLease, ttlMilliseconds}};
		},
		'kv-keep'(_query, _body, id) {
			if (!leases.has(Number(id))) {
				return {status: 404, body: {}};
			}

			renew(Number(id));
			return {status: 200, body: {ttlMilliseconds: leases.get(Number(id)).ttl}};
		},
		'kv-lease-end'(_query, _body, id) {
			endLease(Number(id));
			return {status: 200, body: {}};
		},
	};

	const server = createServer(async (request, response) => {
		const url = new URL(request.url, 'http://store');
		const [call = '', id = ''] = url.pathname.split('/').slice(2);
		try {
			const text = Buffer.concat(await request.toArray()).toString('utf8');
			const reply = calls[call] === undefined ? {status: 404, body: {}} : await calls[call](url.searchParams, text === '' ? {} : JSON.parse(text), id);
			const body = JSON.stringify(reply.body ?? {});
			response.writeHead(reply.status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
			response.end(body);
		} catch {
			request.socket.destroy();
		}
	});
	server.keepAliveTimeout = 60_000;
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return {
		server,
		/** Writes the configuration as the operator does; the return is the acknowledgement. */
		writeConfig(config) {
			revision += 1;
			put('op/config', Buffer.from(JSON.stringify(config)).toString('base64'), 0);
			notify();
		},
		keys: () => [...items.keys()],
	};
}
