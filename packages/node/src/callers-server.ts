/**
 * HTTP/1.1 server for callers and for the announcements of the upstream.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	EntryCheck, ErrorKind, LaburnumspoolError, NodeEffectType, Outcome, passedCheck, refusedCheck, type AnswerHead, type CallerAnswer, type CallerLimits, type CheckExplanation, type Importance, type NodeEffect,
} from '@laburnumspool/core';
import type {AnswerStreams} from './answer-streams.js';
import {BodyReader, CallerLimit} from './body-reader.js';
import {CallerAnswers} from './caller-answers.js';
import {CallerConnections} from './caller-connections.js';
import {createRequestReader, toRequestTarget, type RequestReader} from './caller-request.js';
import {CoreMessageType, type CoreTask} from './core-task.js';
import {
	emptyBody, filterHeaders, hasBody, HeaderName, sendClientError, sendProblem, toCallError,
} from './http-messages.js';
import type {Logger} from './logs.js';
import {smallBodyBytes, type MemoryBudget, type Reservation} from './memory-budget.js';
import {OpenRequests, type OpenRequest} from './open-requests.js';
import {isNodePath, type NodeInterface} from './node-interface.js';
import {
	closeAfterDelay, isRefused, readUntilClosed, refuse,
} from './refusals.js';
import type {HeaderNames} from './settings.js';
import {StreamedAnswer} from './streamed-answer.js';

/** Limit of the HTTP parser. A higher limit in the manifest has no effect. */
const parserHeaderBytes = 128 * 1024;

/** Limit while no manifest sets one. */
const defaultHeaderBytes = 16 * 1024;

/** Colon, space and line end of one header. */
const headerSeparatorBytes = 4;

/** Longest turn of the event loop after which the check for new arrivals still holds. A turn without work takes far less. */
const idleTurnMilliseconds = 1;

/** Code of the parser error when a caller closes its connection in the middle of a request. */
const incompleteRequestCode = 'HPE_INVALID_EOF_STATE';

/** Size of the budget relative to the largest body, so that one fits beside the part for small bodies. */
const budgetPerBody = 1.25;

/** Body of a request, and the memory reserved for it. */
type RequestBody = {readonly bytes: Buffer; readonly reservation: Reservation | undefined};

const noBody: RequestBody = {bytes: emptyBody, reservation: undefined};

export type CallersServerDefinition = {
	readonly core: CoreTask;
	readonly streams: AnswerStreams;
	readonly requestBytes: number;
	readonly openRequests: number;
	/** Memory of the process for bodies. */
	readonly budget: MemoryBudget;
	/** Time without data after which a body may lose its memory to another one. */
	readonly stalledBodyMilliseconds: number;
	/** Largest number of connections. */
	readonly connections: number;
	readonly log: Logger;
	readonly observeLimit: (limit: CallerLimit) => void;
	readonly slowSenderMilliseconds: number;
	readonly headers: HeaderNames;
	/** Service of the own upstream; undefined when the node has none. */
	readonly service: string | undefined;
	/** Receives the outcome of each answer and its duration. */
	readonly observeAnswer: (kind: string, milliseconds: number) => void;
	/** Answers requests to the node itself. */
	readonly nodeInterface: NodeInterface;
};

/**
 * Receives requests of callers, passes them to the core and sends the answers back.
 *
 * @example
 * const server = new CallersServer(definition);
 * await server.listen(7001, '127.0.0.1');
 */
export class CallersServer {
	readonly #definition: CallersServerDefinition;
	readonly #server: Server;
	readonly #openRequests: OpenRequests;
	readonly #readRequest: RequestReader;
	readonly #bodies: BodyReader;
	readonly #connections: CallerConnections;
	#maximumBodyBytes: number;
	#maximumHeaderBytes = defaultHeaderBytes;
	#lastEntryId = 0;
	#isStopping = false;
	/** Connections accepted and requests started. */
	#arrivalCount = 0;

	constructor(definition: CallersServerDefinition) {
		this.#definition = definition;
		this.#maximumBodyBytes = definition.requestBytes;
		definition.budget.raiseTo(definition.requestBytes * budgetPerBody);
		const {core, headers, service} = definition;
		this.#readRequest = createRequestReader({headers, service, usesRoutes: () => core.core.usesRoutes});
		this.#openRequests = new OpenRequests(entryId => {
			definition.core.post({type: CoreMessageType.CallerDisconnected, entryId});
		});
		this.#bodies = new BodyReader({
			budget: definition.budget,
			stalledMilliseconds: definition.stalledBodyMilliseconds,
			observeLimit: (limit, detail) => {
				this.#reportLimit(limit, detail);
			},
		});
		this.#connections = new CallerConnections({
			maximumConnections: definition.connections,
			isBusy: socket => this.#openRequests.hasOpen(socket) || this.#bodies.isReading(socket) || socket.writableLength > 0,
			observeClosed: () => {
				this.#reportLimit(CallerLimit.Connections, `there are ${definition.connections} connections`);
			},
		});
		this.#server = createServer({
			maxHeaderSize: parserHeaderBytes,
			headersTimeout: definition.slowSenderMilliseconds,
			requestTimeout: definition.slowSenderMilliseconds,
			connectionsCheckingInterval: Math.min(1000, definition.slowSenderMilliseconds),
		}, (request, response) => {
			this.#arrivalCount += 1;
			this.#handle(request, response);
		});
		this.#server.on('connection', (socket: Socket) => {
			this.#arrivalCount += 1;
			this.#connections.add(socket);
		});
		this.#server.on('timeout', (socket: Socket) => {
			void closeIfIdle(socket);
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			if (error.code === incompleteRequestCode) {
				socket.destroy();
			} else if (!this.#openRequests.stopReading(socket as Socket)) {
				sendClientError(error, socket);
				closeAfterDelay(socket as Socket);
			}

			this.#bodies.abandon(socket as Socket);
		});
		const answers = new CallerAnswers({
			openRequests: this.#openRequests,
			streams: definition.streams,
			budget: definition.budget,
			requestIdHeader: headers.requestId,
			isStopping: () => this.#isStopping,
			observeAnswer: definition.observeAnswer,
			observeEnd: socket => {
				this.#connections.use(socket);
			},
		});
		definition.core.handle({
			[NodeEffectType.StartCallerAnswer](effect) {
				answers.start(effect);
			},
			[NodeEffectType.AnswerCaller]({entryId, answer}) {
				answers.send(entryId, answer);
			},
		});
	}

	/** Requests without an answer. */
	get openRequests(): readonly OpenRequest[] {
		return this.#openRequests.values;
	}

	/** Whether all requests have their answers, and these have left this process. */
	get isIdle(): boolean {
		return this.#openRequests.size === 0 && !this.#openRequests.hasUnsentBytes;
	}

	/** The checks of a request with a body of the given length before it reaches the core. They change nothing. */
	explainChecks(bodyBytes: number, importance: Importance): CheckExplanation[] {
		const {size, memory} = this.#bodies.refusalsOf(bodyBytes, this.#maximumBodyBytes, importance);
		const errors: ReadonlyArray<readonly [EntryCheck, LaburnumspoolError | undefined, string]> = [
			[EntryCheck.OpenRequests, this.#capacityError(), `${this.#openRequests.size} of ${this.#definition.openRequests} requests are open`],
			[EntryCheck.BodySize, size, `bodies up to ${this.#maximumBodyBytes} bytes are accepted`],
			[EntryCheck.Memory, memory, `${this.#definition.budget.heldBytes} of ${this.#definition.budget.totalBytes} bytes are held`],
		];
		return errors.map(([check, error, detail]) => error === undefined ? passedCheck(check, detail) : refusedCheck(check, toCallError(error)));
	}

	/** Applies the limits of a manifest. A limit that it does not set keeps its current value. */
	setLimits({headerBytes, headerMilliseconds, bodyBytes, idleMilliseconds}: CallerLimits): void {
		this.#maximumHeaderBytes = headerBytes ?? this.#maximumHeaderBytes;
		this.#maximumBodyBytes = bodyBytes ?? this.#maximumBodyBytes;
		this.#definition.budget.raiseTo(this.#maximumBodyBytes * budgetPerBody);
		this.#server.headersTimeout = headerMilliseconds ?? this.#server.headersTimeout;
		this.#server.keepAliveTimeout = idleMilliseconds ?? this.#server.keepAliveTimeout;
	}

	async listen(port: number, host: string): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
	}

	/** Closes each connection after its last open answer, so that callers connect to other nodes. */
	closeAfterAnswers(): void {
		this.#isStopping = true;
	}

	/**
	 * Stops accepting connections. Open requests are finished, and their connections are closed after the answer.
	 *
	 * Connections and requests that have already arrived are read first. One turn of the event loop accepts one connection,
	 * and a later turn reads its request. The method therefore waits until a turn is short and reads nothing new, but no
	 * longer than `until` on the monotonic clock, since new connections may never cease.
	 */
	async stopListening(until: number): Promise<void> {
		this.#isStopping = true;
		await this.#waitUntilIdle(until);
		// The close method of the HTTP server closes idle connections first and resets connections that arrive in the meantime.
		NetServer.prototype.close.call(this.#server);
		await this.#waitUntilIdle(until);
		this.#server.closeIdleConnections();
	}

	close(): void {
		this.#server.close();
		this.#bodies.close();
		this.#server.closeAllConnections();
	}

	async #waitUntilIdle(until: number): Promise<void> {
		let isIdle = false;
		do {
			const arrivalCount = this.#arrivalCount;
			const startedAt = performance.now();
			await waitForPoll(); // eslint-disable-line no-await-in-loop
			isIdle = arrivalCount === this.#arrivalCount && performance.now() - startedAt <= idleTurnMilliseconds;
		} while (!isIdle && performance.now() < until);
	}

	#handle(request: IncomingMessage, response: ServerResponse): void {
		const url = request.url ?? '/';
		const headerBytes = headerBytesOf(request, url);
		this.#connections.use(request.socket);
		if (this.#openRequests.isClosing(request.socket) || isRefused(request.socket)) {
			request.resume();
		} else if (headerBytes > this.#maximumHeaderBytes) {
			const detail = `The headers have ${headerBytes} bytes; at most ${this.#maximumHeaderBytes} are accepted`;
			refuse(request, response, new LaburnumspoolError(ErrorKind.HeadersTooLarge, detail));
		} else if (isNodePath(url)) {
			void this.#refuseOnError(request, response, this.#definition.nodeInterface.handle(request, response, url));
		} else if (hasBody(request)) {
			void this.#refuseOnError(request, response, this.#handleBody(request, response, url));
		} else {
			this.#handleWithoutBody(request, response, url);
		}
	}

	/** Synchronous, because most requests have no body. */
	#handleWithoutBody(request: IncomingMessage, response: ServerResponse, url: string): void {
		try {
			this.#open(request, response, url, noBody);
		} catch (error) {
			refuse(request, response, error);
		}
	}

	/** Does not read the body when the node has no capacity. `#open` checks again, since other requests may arrive in the meantime. */
	async #handleBody(request: IncomingMessage, response: ServerResponse, url: string): Promise<void> {
		this.#requireCapacity();
		const {core} = this.#definition.core;
		const importance = core.importanceOf(toRequestTarget(request, url, core.usesRoutes));
		const {bytes, reservation} = await this.#bodies.read(request, this.#maximumBodyBytes, importance);
		let isOpen = false;
		try {
			isOpen = this.#open(request, response, url, {bytes, reservation});
		} finally {
			if (!isOpen) {
				reservation.release();
			}
		}
	}

	async #refuseOnError(request: IncomingMessage, response: ServerResponse, handled: Promise<void>): Promise<void> {
		try {
			await handled;
		} catch (error) {
			refuse(request, response, error);
		}
	}

	#requireCapacity(): void {
		const error = this.#capacityError();
		if (error !== undefined) {
			throw error;
		}
	}

	#capacityError(): LaburnumspoolError | undefined {
		const {openRequests} = this.#definition;
		return this.#openRequests.size >= openRequests
			? new LaburnumspoolError(ErrorKind.Overloaded, `The node has too many open requests: at most ${openRequests} are accepted`)
			: undefined;
	}

	/** Passes a request to the core; returns false when its connection is closed or closing. */
	#open(request: IncomingMessage, response: ServerResponse, url: string, {bytes, reservation}: RequestBody): boolean {
		const {socket} = request;
		if (socket.destroyed || this.#openRequests.isClosing(socket) || isRefused(socket)) {
			return false;
		}

		this.#requireCapacity();
		this.#lastEntryId += 1;
		const entryId = this.#lastEntryId;
		const callerRequest = this.#readRequest(entryId, request, url, bytes);
		this.#openRequests.add(entryId, {
			response, socket, startedAt: performance.now(), requestId: callerRequest.requestId ?? '', isFirst: this.#openRequests.isUnused(socket), reservation,
		});
		if (!this.#definition.core.post({type: CoreMessageType.CallerRequested, request: callerRequest})) {
			this.#openRequests.remove(entryId);
			throw new LaburnumspoolError(ErrorKind.Overloaded, 'The message queue of the node is full');
		}

		return true;
	}

	#reportLimit(limit: CallerLimit, detail: string): void {
		this.#definition.observeLimit(limit);
		this.#definition.log.warn(`limit ${limit}: ${detail}`, {event: limit});
	}
}

/** Waits until the event loop has polled all connections at least once. */
async function waitForPoll(): Promise<void> {
	await nextTurn();
	await nextTurn();
}

/**
 * Destroys a connection that is still idle after one poll. Timers run before the poll, so after a pause of the process the
 * idle timer expires before the bytes that arrived during the pause are read.
 */
async function closeIfIdle(socket: Socket): Promise<void> {
	const {bytesRead} = socket;
	await waitForPoll();
	if (socket.bytesRead === bytesRead) {
		socket.destroy();
	}
}

function headerBytesOf(request: IncomingMessage, url: string): number {
	return request.rawHeaders.reduce((sum, text) => sum + text.length, url.length + (request.rawHeaders.length / 2 * headerSeparatorBytes));
}
