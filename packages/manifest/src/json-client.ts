/**
 * HTTP client for stores that exchange JSON. The paths and the fields of the bodies are up to the caller.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';
import {Pool} from 'undici';
import * as valibot from 'valibot';

export type JsonClientDefinition = {
	/** Base URL of the store, such as `http://10.0.0.5:2400`. */
	readonly url: string;
	/** Limit on open connections. */
	readonly maximumConnections: number;
	readonly connectTimeoutMilliseconds: number;
	/** Longest wait for the head of an answer, plus `waitMilliseconds` of the call, and between two chunks of its body. */
	readonly answerTimeoutMilliseconds: number;
	/** Time limit for the whole call, plus `waitMilliseconds` of the call. */
	readonly callTimeoutMilliseconds: number;
	/** Limit on the body of an answer; a longer body fails the call. */
	readonly maximumAnswerBytes: number;
	/** Parses the text of a body; if it throws, the call fails with `store-unavailable`. */
	readonly parse: (text: string) => unknown;
};

/** One call to the store. */
export type JsonCall = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly path: string;
	/** Name of the call in error messages; the path by default. */
	readonly name?: string;
	/** Sent as JSON; no body is sent if it is undefined. */
	readonly body?: unknown;
	/** Time for which the store may delay its answer, such as for a watch; 0 by default. */
	readonly waitMilliseconds?: number;
	/** Overrides the value of the client. */
	readonly answerTimeoutMilliseconds?: number;
};

/** An answer with any status. */
export type JsonReply = {readonly status: number; readonly body: unknown};

/**
 * Sends calls, each over a connection of its own. Every call without a complete, parsable answer in time rejects with
 * `store-unavailable`.
 *
 * @example
 * const client = new JsonClient({
 * 	url: 'http://127.0.0.1:2400', maximumConnections: 4, connectTimeoutMilliseconds: 1000, answerTimeoutMilliseconds: 2000,
 * 	callTimeoutMilliseconds: 10_000, maximumAnswerBytes: 1_000_000, parse: JSON.parse,
 * });
 * readReply(await client.send({method: 'GET', path: '/v1/keys/a'}), 200, schema);
 */
export class JsonClient {
	readonly #definition: JsonClientDefinition;
	readonly #pool: Pool;

	constructor(definition: JsonClientDefinition) {
		this.#definition = definition;
		const {url, maximumConnections, connectTimeoutMilliseconds, maximumAnswerBytes} = definition;
		this.#pool = new Pool(url, {
			// Each call opens a connection: an idle one may have gone silent, which only the time limit of the call would show.
			pipelining: 0, connections: maximumConnections, connectTimeout: connectTimeoutMilliseconds, maxResponseSize: maximumAnswerBytes,
		});
	}

	/** Sends one call and reads the whole answer. */
	async send({method, path, name = path, body, waitMilliseconds = 0, answerTimeoutMilliseconds = this.#definition.answerTimeoutMilliseconds}: JsonCall): Promise<JsonReply> {
		const {callTimeoutMilliseconds, parse} = this.#definition;
		const sentAt = performance.now();
		try {
			const response = await this.#pool.request({
				method,
				path,
				headersTimeout: answerTimeoutMilliseconds + waitMilliseconds,
				bodyTimeout: answerTimeoutMilliseconds,
				signal: AbortSignal.timeout(callTimeoutMilliseconds + waitMilliseconds),
				...(body === undefined ? {} : {headers: {'content-type': 'application/json'}, body: JSON.stringify(body)}),
			});
			return {status: response.statusCode, body: parse(await readText(response.body))};
		} catch (error) {
			throw new LaburnumspoolError(ErrorKind.StoreUnavailable, `${method} ${name}: no valid answer from the store after ${Math.round(performance.now() - sentAt)} ms`, {cause: error});
		}
	}

	async close(): Promise<void> {
		await this.#pool.destroy();
	}
}

/** Decodes each chunk on arrival, because a stored chunk may be a small view that retains a large buffer. */
async function readText(body: AsyncIterable<Uint8Array>): Promise<string> {
	const decoder = new TextDecoder();
	let text = '';
	for await (const chunk of body) {
		text += decoder.decode(chunk, {stream: true});
	}

	return text + decoder.decode();
}

/** Returns the body of an answer; throws `store-unavailable` if the status is not the expected one or the body does not match. */
export function readReply<Schema extends valibot.GenericSchema>(reply: JsonReply, status: number, schema: Schema): valibot.InferOutput<Schema> {
	const result = valibot.safeParse(schema, reply.body);
	if (reply.status !== status || !result.success) {
		const problem = reply.status === status ? ' and an invalid body' : `, expected ${status}`;
		throw new LaburnumspoolError(ErrorKind.StoreUnavailable, `The store answered with status ${reply.status}${problem}`);
	}

	return result.output;
}
