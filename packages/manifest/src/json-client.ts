/**
 * Calls to a store that speaks HTTP with JSON, whatever its paths and words are.
 *
 * @module
 */
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';
import {Pool} from 'undici';
import * as valibot from 'valibot';

export type JsonClientDefinition = {
	/** Where the store listens, such as `http://10.0.0.5:2400`. */
	readonly url: string;
	readonly connections: number;
	readonly connectMilliseconds: number;
	/** Longest wait for an answer and between its parts, beside the wait that a call asks for. */
	readonly answerMilliseconds: number;
	/** Longest time for a whole call, beside the wait that it asks for. */
	readonly totalMilliseconds: number;
	readonly maximumBytes: number;
	/** Reads the text of a body; an error that it throws counts as no answer. */
	readonly parse: (text: string) => unknown;
};

/** One call. */
export type JsonCall = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly path: string;
	/** Name of the call in errors; the path when left out. */
	readonly name?: string;
	readonly body?: unknown;
	/** Time for which the store may hold the answer back. */
	readonly waitMilliseconds?: number;
};

/** An answer of any status. */
export type JsonReply = {readonly status: number; readonly body: unknown};

/**
 * Sends calls, and turns every way of not being answered into `store-unavailable`.
 *
 * @example
 * const client = new JsonClient({url: 'http://127.0.0.1:2400', connections: 4, connectMilliseconds: 1000, answerMilliseconds: 2000, totalMilliseconds: 10_000, maximumBytes: 1_000_000, parse: JSON.parse});
 * readReply(await client.send({method: 'GET', path: '/v1/keys/a'}), 200, schema);
 */
export class JsonClient {
	readonly #definition: JsonClientDefinition;
	readonly #pool: Pool;

	constructor(definition: JsonClientDefinition) {
		this.#definition = definition;
		const {url, connections, connectMilliseconds, maximumBytes} = definition;
		this.#pool = new Pool(url, {connections, connectTimeout: connectMilliseconds, maxResponseSize: maximumBytes});
	}

	async send({method, path, name = path, body, waitMilliseconds = 0}: JsonCall): Promise<JsonReply> {
		const {answerMilliseconds, totalMilliseconds, parse} = this.#definition;
		try {
			const response = await this.#pool.request({
				method,
				path,
				headersTimeout: answerMilliseconds + waitMilliseconds,
				bodyTimeout: answerMilliseconds,
				signal: AbortSignal.timeout(totalMilliseconds + waitMilliseconds),
				...(body === undefined ? {} : {headers: {'content-type': 'application/json'}, body: JSON.stringify(body)}),
			});
			return {status: response.statusCode, body: parse(await readText(response.body))};
		} catch (error) {
			throw new LaburnumspoolError(ErrorKind.StoreUnavailable, `${method} ${name}: no answer`, {cause: error});
		}
	}

	async close(): Promise<void> {
		await this.#pool.destroy();
	}
}

/** Each part is decoded as it comes, since it may be a small view of a large read. */
async function readText(body: AsyncIterable<Uint8Array>): Promise<string> {
	const decoder = new TextDecoder();
	let text = '';
	for await (const part of body) {
		text += decoder.decode(part, {stream: true});
	}

	return text + decoder.decode();
}

/** The body of an answer with the expected status; throws `store-unavailable` for any other answer. */
export function readReply<Schema extends valibot.GenericSchema>(reply: JsonReply, status: number, schema: Schema): valibot.InferOutput<Schema> {
	const result = valibot.safeParse(schema, reply.body);
	if (reply.status !== status || !result.success) {
		throw new LaburnumspoolError(ErrorKind.StoreUnavailable, `The store answered ${reply.status} in place of ${status}`);
	}

	return result.output;
}
