/**
 * One HTTP exchange over a connection pool, which reports whether its request may have been sent.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import type {PausableSource} from './answer-streams.js';
import {BodyBuffer} from './body-buffer.js';
import type {MemoryBudget, Reservation} from './memory-budget.js';
import type {WatchedConnection, WatchedConnections} from './watched-connections.js';

/** A status line inside a head shows that the head was truncated and that the head of another answer follows. */
const statusLine = /HTTP\/1\.\d \d{3}/u;

/** An answer with this status has no body, but may carry the length of the body that it stands for. */
const notModifiedStatus = 304;

export enum ExchangeFailure {
	/** The request was never sent. */
	NotConnected = 'not-connected',
	/** The request may have been sent, and no complete answer was received. */
	Broken = 'broken',
	/** The body of the answer exceeded `maximumBytes`. */
	TooLarge = 'too-large',
	/** The exchange was aborted after its request may have been sent. */
	Aborted = 'aborted',
}

export type ExchangeResult
	= | {
		readonly success: true; readonly status: number; readonly headers: string[]; readonly body: Buffer;
		/** The connection that carried the answer; undefined when connections are not watched. */
		readonly connection: WatchedConnection | undefined;
		/** Whether the body was passed on as a stream; `body` is empty then. */
		readonly isStreamed: boolean;
	}
	| {
		readonly success: false; readonly failure: ExchangeFailure;
		/** Headers of the answer; empty when none were received. */
		readonly headers: readonly string[];
	};

export type ExchangeRequest = {
	/** Required when the dispatcher has more than one destination. */
	readonly origin?: string;
	readonly method: string;
	readonly path: string;
	readonly headers: string[];
	readonly body: Uint8Array | undefined;
	readonly maximumBytes: number;
	/** Longest wait for the head of the answer and between chunks of its body. */
	readonly timeoutMilliseconds: number;
	/** Longest time for the whole exchange, also when chunks of the answer keep arriving. */
	readonly totalMilliseconds: number;
	/** Receives a large body while it arrives; without it, or without watched connections, every body is buffered. */
	readonly stream?: ExchangeStream;
	/** Counts the buffered body until the exchange has reported it. */
	readonly budget?: MemoryBudget | undefined;
};

/** Status and headers of an answer whose body has begun to arrive. */
export type ExchangeHead = {
	readonly status: number;
	readonly headers: readonly string[];
	/** The connection that carries the answer; undefined when connections are not watched. */
	readonly connection: WatchedConnection | undefined;
};

/** Receives the body of an answer that is larger than the buffer. */
export type ExchangeStream = {
	/** Body bytes that are buffered before the body is passed on. */
	readonly bufferBytes: number;
	/** Whether to pass the body on from now on. Otherwise it is buffered, up to `maximumBytes`. */
	readonly start: (head: ExchangeHead, source: PausableSource) => boolean;
	readonly push: (chunk: Buffer) => void;
};

export type Exchange = {
	/** Closes the connection, so that the other side can stop working on the request. */
	readonly abort: () => void;
};

/**
 * Sends a request, and reports its complete answer or its failure exactly once.
 *
 * @example
 * const exchange = startExchange(pool, request, result => console.log(result));
 */
export function startExchange(
	pool: Dispatcher,
	request: ExchangeRequest,
	report: (result: ExchangeResult) => void,
	connections?: WatchedConnections,
): Exchange {
	const {origin, method, path, headers, body, timeoutMilliseconds, totalMilliseconds} = request;
	const deadline = setTimeout(() => {
		handler.expire();
	}, totalMilliseconds);
	const handler = new ExchangeHandler(request, result => {
		clearTimeout(deadline);
		report(result);
	}, connections);
	// Undici waits for one immediate before it reuses an idle connection. Only a second immediate guarantees that a poll has
	// run before, so that bytes which arrived on the idle connection are read first.
	setImmediate(() => {
		pool.dispatch({
			...(origin === undefined ? {} : {origin}),
			method,
			path,
			headers,
			body: body === undefined || body.length === 0 ? null : body,
			headersTimeout: timeoutMilliseconds,
			bodyTimeout: timeoutMilliseconds,
		}, handler);
	});
	return {
		abort() {
			handler.abort();
		},
	};
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
	readonly #maximumBytes: number;
	readonly #report: (result: ExchangeResult) => void;
	readonly #connections: WatchedConnections | undefined;
	readonly #stream: ExchangeStream | undefined;
	readonly #budget: MemoryBudget | undefined;
	#body = new BodyBuffer();
	#held: Reservation | undefined;
	#isStreamed = false;
	/** Whether the stream was asked to start. It is asked once. */
	#isStreamDecided = false;
	#controller: Dispatcher.DispatchController | undefined;
	#connection: WatchedConnection | undefined;
	#isAborted = false;
	#isExpired = false;
	#isTooLarge = false;
	#isReported = false;
	#status = 0;
	#headers: string[] = [];

	constructor({maximumBytes, stream, budget}: ExchangeRequest, report: (result: ExchangeResult) => void, connections: WatchedConnections | undefined) {
		this.#maximumBytes = maximumBytes;
		this.#stream = stream;
		this.#budget = budget;
		this.#report = report;
		this.#connections = connections;
	}

	abort(): void {
		this.#isAborted = true;
		this.#controller?.abort(new Error('The exchange was aborted'));
	}

	/** Ends an exchange that exceeds its total time. One that is still queued ends when it gets a connection. */
	expire(): void {
		this.#isExpired = true;
		this.#controller?.abort(new Error('The exchange exceeded its time limit'));
	}

	/** Called immediately before the request is written. */
	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#isAborted || this.#isExpired) {
			controller.abort(new Error('The exchange was aborted'));
			return;
		}

		this.#controller = controller;
	}

	onResponseStart(
		controller: Dispatcher.DispatchController,
		status: number,
		headers: Record<string, string | string[] | undefined>,
		reason = '',
	): void {
		if (status < 200) {
			return;
		}

		this.#connection = this.#connections?.readingConnection;
		this.#connection?.countAnswer();
		this.#status = status;
		this.#headers = toHeaderPairs(headers);
		if (statusLine.test(reason) || this.#headers.some(text => statusLine.test(text))) {
			controller.abort(new Error('The head of the answer is truncated'));
		} else if (status === notModifiedStatus) {
			// Undici waits for no body either, but then fails the exchange if the head carries a length.
			this.onResponseEnd();
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (this.#isStreamed || this.#startStream(chunk)) {
			this.#connection?.countStreamed(chunk.length);
			this.#stream!.push(chunk);
			return;
		}

		if (this.#body.length + chunk.length > this.#maximumBytes) {
			this.#isTooLarge = true;
			controller.abort(new Error(`The answer exceeds ${this.#maximumBytes} bytes`));
			return;
		}

		this.#body.add(chunk);
		this.#hold(this.#body.length);
	}

	onResponseEnd(): void {
		// The connection carries further exchanges, and the body of this one may still be unread.
		this.#connection?.resume();
		this.#reportOnce({
			success: true, status: this.#status, headers: this.#headers, body: this.#body.bytes, connection: this.#connection, isStreamed: this.#isStreamed,
		});
	}

	onResponseError(): void {
		this.#reportOnce({success: false, failure: this.#classifyFailure(), headers: this.#headers});
	}

	/** Starts the stream, if there is one, with the chunk by which the body exceeds the buffer. */
	#startStream(chunk: Buffer): boolean {
		const stream = this.#stream;
		const connection = this.#connection;
		if (stream === undefined || connection === undefined || this.#isStreamDecided || this.#body.length + chunk.length <= stream.bufferBytes) {
			return false;
		}

		this.#isStreamDecided = true;
		this.#isStreamed = stream.start({status: this.#status, headers: this.#headers, connection}, {
			pause: () => {
				if (!this.#isReported) {
					connection.pause();
				}
			},
			resume: () => {
				if (!this.#isReported) {
					connection.resume();
				}
			},
		});
		if (this.#isStreamed && this.#body.length > 0) {
			connection.countStreamed(this.#body.length);
			stream.push(this.#body.bytes);
			this.#body = new BodyBuffer();
			this.#hold(0);
		}

		return this.#isStreamed;
	}

	#classifyFailure(): ExchangeFailure {
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
		try {
			this.#report(result);
		} finally {
			this.#hold(0);
		}
	}

	/** Holds this many bytes, in place of those held before. */
	#hold(bytes: number): void {
		this.#held?.release();
		this.#held = bytes === 0 ? undefined : this.#budget?.hold(bytes);
	}
}

/** Returns names and values in turn. */
function toHeaderPairs(headers: Record<string, string | string[] | undefined>): string[] {
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
