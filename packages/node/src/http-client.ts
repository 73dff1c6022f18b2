/**
 * One HTTP exchange over a pool, with the proof whether its request ever went out.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import {BodyBuffer} from './body-buffer.js';
import {bodilessStatuses, findHeader} from './http-messages.js';
import type {WatchedConnections} from './watched-connections.js';

/** How an exchange failed. */
export enum ExchangeFailure {
	/** Nothing was written to a connection. */
	NotConnected = 'not-connected',
	/** The request may have gone out. */
	Broken = 'broken',
	/** The body exceeded its bound. */
	TooLarge = 'too-large',
	/** It was aborted after its request may have gone out. */
	Aborted = 'aborted',
}

export type ExchangeResult
	= | {
		readonly success: true; readonly status: number; readonly headers: string[]; readonly body: Buffer;
		/** False when it ended with its connection, which may have been cut. */
		readonly isWhole: boolean;
	}
	| {
		readonly success: false; readonly failure: ExchangeFailure;
		/** Those of the answer, as far as it came. */
		readonly headers: readonly string[];
	};

export type ExchangeRequest = {
	/** Where the request goes, when the dispatcher has more than one destination. */
	readonly origin?: string;
	readonly method: string;
	readonly path: string;
	readonly headers: string[];
	readonly body: Uint8Array | undefined;
	readonly maximumBytes: number;
	/** Longest wait for the head of the answer and between its parts. */
	readonly timeoutMilliseconds: number;
	/** Longest time for the whole exchange, however steadily parts of an answer come. */
	readonly totalMilliseconds: number;
};

/** An exchange under way. */
export type Exchange = {
	/** Closes the connection; the other side sees that nobody waits any longer. */
	readonly abort: () => void;
};

/**
 * Sends a request and reports its whole answer, exactly once.
 *
 * @example
 * const exchange = startExchange(pool, request, result => console.log(result));
 */
export function startExchange(pool: Dispatcher, request: ExchangeRequest, report: (result: ExchangeResult) => void, connections?: WatchedConnections): Exchange {
	const {origin, method, path, headers, body, timeoutMilliseconds, totalMilliseconds} = request;
	const deadline = setTimeout(() => {
		handler.expire();
	}, totalMilliseconds);
	const handler = new ExchangeHandler(request, result => {
		clearTimeout(deadline);
		report(result);
	}, connections);
	pool.dispatch({
		...(origin === undefined ? {} : {origin}),
		method,
		path,
		headers,
		body: body === undefined || body.length === 0 ? null : body,
		headersTimeout: timeoutMilliseconds,
		bodyTimeout: timeoutMilliseconds,
	}, handler);
	return {
		abort() {
			handler.abort();
		},
	};
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
	readonly #maximumBytes: number;
	readonly #isHead: boolean;
	readonly #report: (result: ExchangeResult) => void;
	readonly #connections: WatchedConnections | undefined;
	readonly #body = new BodyBuffer();
	#controller: Dispatcher.DispatchController | undefined;
	#isAborted = false;
	#isExpired = false;
	#isTooLarge = false;
	#isReported = false;
	#status = 0;
	#headers: string[] = [];

	constructor({maximumBytes, method}: ExchangeRequest, report: (result: ExchangeResult) => void, connections: WatchedConnections | undefined) {
		this.#maximumBytes = maximumBytes;
		this.#isHead = method === 'HEAD';
		this.#report = report;
		this.#connections = connections;
	}

	abort(): void {
		this.#isAborted = true;
		this.#controller?.abort(new Error('The exchange was aborted'));
	}

	/** Ends an exchange that has taken too long; one that still waits for a connection ends when it gets one. */
	expire(): void {
		this.#isExpired = true;
		this.#controller?.abort(new Error('The exchange took too long'));
	}

	/** Called just before the request is written. */
	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#isAborted || this.#isExpired) {
			controller.abort(new Error('The exchange was aborted'));
			return;
		}

		this.#controller = controller;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
		if (status < 200) {
			return;
		}

		this.#status = status;
		this.#headers = toPairs(headers);
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (this.#body.length + chunk.length > this.#maximumBytes) {
			this.#isTooLarge = true;
			controller.abort(new Error('The answer is too large'));
			return;
		}

		this.#body.add(chunk);
	}

	onResponseEnd(): void {
		this.#reportOnce({
			success: true, status: this.#status, headers: this.#headers, body: this.#body.bytes, isWhole: this.#isWhole(),
		});
	}

	onResponseError(): void {
		this.#reportOnce({success: false, failure: this.#failure(), headers: this.#headers});
	}

	/** An answer that does not say itself where it ends does so with its connection, if that ends in order. */
	#isWhole(): boolean {
		return this.#isHead || bodilessStatuses.has(this.#status) || isSelfDelimiting(this.#headers) || this.#connections?.isEndingInOrder === true;
	}

	#failure(): ExchangeFailure {
		if (this.#controller === undefined) {
			return ExchangeFailure.NotConnected;
		}

		if (this.#isTooLarge) {
			return ExchangeFailure.TooLarge;
		}

		return this.#isAborted ? ExchangeFailure.Aborted : ExchangeFailure.Broken;
	}

	#reportOnce(result: ExchangeResult): void {
		if (this.#isReported) {
			return;
		}

		this.#isReported = true;
		this.#report(result);
	}
}

/** Whether an answer says itself where it ends (RFC 9112, section 6.3): only a last coding of chunks does, or else a length. */
function isSelfDelimiting(headers: readonly string[]): boolean {
	const codings = headers.flatMap((name, position) => position % 2 === 0 && name === 'transfer-encoding' ? headers[position + 1]!.split(',') : []);
	return codings.length === 0 ? findHeader(headers, 'content-length') !== undefined : codings.at(-1)!.trim().toLowerCase() === 'chunked';
}

/** Names and values in turn. */
function toPairs(headers: Record<string, string | string[] | undefined>): string[] {
	const pairs: string[] = [];
	for (const [name, value] of Object.entries(headers)) {
		if (typeof value === 'string') {
			pairs.push(name, value);
		} else {
			(value ?? []).map(item => pairs.push(name, item));
		}
	}

	return pairs;
}
