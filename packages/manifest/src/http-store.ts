/**
 * Adapter to a store that speaks HTTP with JSON.
 *
 * @module
 */
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';
import {Pool} from 'undici';
import * as valibot from 'valibot';
import {SwapResultType, type Store} from './store.js';

const answerMilliseconds = 2000;
const connections = 4;

const entrySchema = valibot.object({version: valibot.number(), value: valibot.string()});
const listSchema = valibot.object({entries: valibot.array(entrySchema)});
const conflictSchema = valibot.object({current: valibot.optional(entrySchema)});
const writtenSchema = valibot.object({version: valibot.number()});
const leaseSchema = valibot.object({lease: valibot.string()});

type Reply = {readonly status: number; readonly body: unknown};

/**
 * Opens a store.
 *
 * @param url - where the store listens, such as `http://10.0.0.5:2400`
 * @example
 * const store = openHttpStore('http://127.0.0.1:2400');
 * await store.get('laburnumspool/manifest');
 */
export function openHttpStore(url: string): Store {
	const pool = new Pool(url, {connections, connectTimeout: answerMilliseconds});
	const send = async (method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, body?: unknown, waitMilliseconds = 0): Promise<Reply> => {
		try {
			const response = await pool.request({
				method,
				path,
				headersTimeout: answerMilliseconds + waitMilliseconds,
				bodyTimeout: answerMilliseconds,
				...(body === undefined ? {} : {headers: {'content-type': 'application/json'}, body: JSON.stringify(body)}),
			});
			const text = await response.body.text();
			return {status: response.statusCode, body: text === '' ? undefined : JSON.parse(text)};
		} catch (error) {
			throw new LaburnumspoolError(ErrorKind.StoreUnavailable, `${method} ${path}: no answer`, {cause: error});
		}
	};

	return {
		async get(key) {
			const reply = await send('GET', keyPath(key));
			return reply.status === 404 ? undefined : read(reply, 200, entrySchema);
		},
		async compareAndSwap(key, expectedVersion, value, lease) {
			const reply = await send('PUT', keyPath(key), {expectedVersion, value, lease});
			if (reply.status === 409) {
				return {type: SwapResultType.Conflict, current: read(reply, 409, conflictSchema).current};
			}

			return {type: SwapResultType.Written, version: read(reply, 200, writtenSchema).version};
		},
		async watch(key, aboveVersion, waitMilliseconds) {
			const reply = await send('GET', `${keyPath(key)}?above=${aboveVersion}&waitMilliseconds=${waitMilliseconds}`, undefined, waitMilliseconds);
			return reply.status === 204 ? undefined : read(reply, 200, entrySchema);
		},
		async list(prefix) {
			return read(await send('GET', `/v1/keys?prefix=${encodeURIComponent(prefix)}`), 200, listSchema).entries;
		},
		async grantLease(timeToLiveMilliseconds) {
			return read(await send('POST', '/v1/leases', {timeToLiveMilliseconds}), 200, leaseSchema).lease;
		},
		async renewLease(lease) {
			const reply = await send('POST', `/v1/leases/${encodeURIComponent(lease)}/renewals`);
			if (reply.status === 404) {
				return false;
			}

			read(reply, 204, valibot.unknown());
			return true;
		},
		async revokeLease(lease) {
			read(await send('DELETE', `/v1/leases/${encodeURIComponent(lease)}`), 204, valibot.unknown());
		},
		close: async () => pool.destroy(),
	};
}

function keyPath(key: string): string {
	return `/v1/keys/${encodeURIComponent(key)}`;
}

function read<Schema extends valibot.GenericSchema>(reply: Reply, status: number, schema: Schema): valibot.InferOutput<Schema> {
	const result = valibot.safeParse(schema, reply.body);
	if (reply.status !== status || !result.success) {
		throw new LaburnumspoolError(ErrorKind.StoreUnavailable, `The store answered ${reply.status} in place of ${status}`);
	}

	return result.output;
}
