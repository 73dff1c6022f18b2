/**
 * Adapter to a store with an HTTP and JSON interface.
 *
 * @module
 */
import {ErrorKind, parseJson} from '@laburnumspool/core';
import * as valibot from 'valibot';
import {JsonClient, readReply} from './json-client.js';
import {SwapResultType, watchGraceMilliseconds, type Store} from './store.js';

const answerTimeoutMilliseconds = 2000;
const callTimeoutMilliseconds = 10_000;
const maximumAnswerBytes = 16 * 1024 * 1024;
const maximumConnections = 4;

const entrySchema = valibot.object({version: valibot.number(), value: valibot.string()});
const listSchema = valibot.object({entries: valibot.array(valibot.object({...entrySchema.entries, key: valibot.string()}))});
const conflictSchema = valibot.object({current: valibot.optional(entrySchema)});
const writtenSchema = valibot.object({version: valibot.number()});
const leaseSchema = valibot.object({lease: valibot.string()});

/**
 * Opens a store. Nothing is sent before the first call.
 *
 * @param url - base URL of the store, such as `http://10.0.0.5:2400`
 * @example
 * const store = openHttpStore('http://127.0.0.1:2400');
 * await store.get('laburnumspool/manifest');
 */
export function openHttpStore(url: string): Store {
	const client = new JsonClient({
		url,
		maximumConnections,
		connectTimeoutMilliseconds: answerTimeoutMilliseconds,
		answerTimeoutMilliseconds,
		callTimeoutMilliseconds,
		maximumAnswerBytes,
		parse: text => text === '' ? undefined : parseJson(text, ErrorKind.StoreUnavailable, 'The answer is not JSON'),
	});

	return {
		async get(key) {
			const reply = await client.send({method: 'GET', path: keyPath(key)});
			return reply.status === 404 ? undefined : readReply(reply, 200, entrySchema);
		},
		async compareAndSwap(key, expectedVersion, value, lease) {
			const reply = await client.send({method: 'PUT', path: keyPath(key), body: {expectedVersion, value, lease}});
			if (reply.status === 409) {
				return {type: SwapResultType.Conflict, current: readReply(reply, 409, conflictSchema).current};
			}

			return {type: SwapResultType.Written, version: readReply(reply, 200, writtenSchema).version};
		},
		async watch(key, aboveVersion, waitMilliseconds) {
			const reply = await client.send({
				method: 'GET', path: `${keyPath(key)}?above=${aboveVersion}&waitMilliseconds=${waitMilliseconds}`, waitMilliseconds, answerTimeoutMilliseconds: watchGraceMilliseconds,
			});
			return reply.status === 204 ? undefined : readReply(reply, 200, entrySchema);
		},
		async list(prefix) {
			return readReply(await client.send({method: 'GET', path: `/v1/keys?prefix=${encodeURIComponent(prefix)}`}), 200, listSchema).entries;
		},
		async grantLease(timeToLiveMilliseconds) {
			return readReply(await client.send({method: 'POST', path: '/v1/leases', body: {timeToLiveMilliseconds}}), 200, leaseSchema).lease;
		},
		async renewLease(lease) {
			const reply = await client.send({method: 'POST', path: `/v1/leases/${encodeURIComponent(lease)}/renewals`});
			if (reply.status === 404) {
				return false;
			}

			readReply(reply, 204, valibot.unknown());
			return true;
		},
		async revokeLease(lease) {
			readReply(await client.send({method: 'DELETE', path: `/v1/leases/${encodeURIComponent(lease)}`}), 204, valibot.unknown());
		},
		close: async () => client.close(),
	};
}

function keyPath(key: string): string {
	return `/v1/keys/${encodeURIComponent(key)}`;
}
