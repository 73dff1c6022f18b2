/**
 * The server for callers, and for the upstream's announcements.
 *
 * @module
 */
import {type Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	ErrorKind, LaburnumspoolError, NodeEffectType, type CallerAnswer, type CallerLimits, type CallerRequest,
} from '@laburnumspool/core';
import {CoreMessageType, type CoreTask} from './core-task.js';
import {
	filterHeaders, hasBody, HeaderName, noBody, readBody, sendClientError, sendProblem, toCallError,
} from './http-messages.js';
import {OpenRequests} from './open-requests.js';
import {isOwnPath, type OwnInterface} from './own-interface.js';
import type {HeaderNames} from './settings.js';

/** Headers that the server reads at all, and those that it takes while no manifest says otherwise. */
const maximumHeaderBytes = 128 * 1024;
const standardHeaderBytes = 16 * 1024;

/** What stands around each header: colon, space and line end. */
const bytesAroundHeader = 4;
/** Longest turn of the event loop after which a look at the connections still holds; one that does nothing takes far less. */
const quietMilliseconds = 1;
/** Code of the parser's error when a caller closes its connection in the middle of a request. */
const endedInRequest = 'HPE_INVALID_EOF_STATE';
const answerHeaders: ReadonlySet<string> = new Set([HeaderName.Outcome, HeaderName.Attempts]);

export type CallersServerDefinition = {
	readonly core: CoreTask;
	readonly requestBytes: number;
	readonly openRequests: number;
	readonly slowSenderMilliseconds: number;
	readonly headers: HeaderNames;
	/** Service beside the node. */
	readonly service: string | undefined;
	/** Told of each answer, and how long it took. */
	readonly observeAnswer: (kind: string, milliseconds: number) => void;
	/** Answers requests that are for the node itself. */
	readonly own: OwnInterface;
};

/**
 * HTTP/1.1 for callers.
 *
 * @example
 * const server = new CallersServer(definition);
 * await server.listen(7001, '127.0.0.1');
 */
export class CallersServer {
	readonly #definition: CallersServerDefinition;
	readonly #server: Server;
	readonly #openRequests: OpenRequests;
	readonly #dropped: ReadonlySet<string>;
	#bodyBytes: number;
	#headerBytes = standardHeaderBytes;
	#lastEntryId = 0;
	#isStopping = false;
	/** Connections taken and requests begun. */
	#arrivals = 0;

	constructor(definition: CallersServerDefinition) {
		this.#definition = definition;
		this.#bodyBytes = definition.requestBytes;
		this.#dropped = droppedHeaders(definition.headers);
		this.#openRequests = new OpenRequests(entryId => {
			definition.core.post({type: CoreMessageType.CallerGone, entryId});
		});
		this.#server = createServer({
			maxHeaderSize: maximumHeaderBytes,
			headersTimeout: definition.slowSenderMilliseconds,
			requestTimeout: definition.slowSenderMilliseconds,
			connectionsCheckingInterval: Math.min(1000, definition.slowSenderMilliseconds),
		}, (request, response) => {
			this.#arrivals += 1;
			this.#handle(request, response);
		});
		this.#server.on('connection', () => {
			this.#arrivals += 1;
		});
		this.#server.on('timeout', (socket: Socket) => {
			void closeIfSilent(socket);
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			if (error.code === endedInRequest) {
				socket.destroy();
			} else if (!this.#openRequests.breakOff(socket as Socket)) {
				sendClientError(error, socket);
			}
		});
		definition.core.handle({
			[NodeEffectType.AnswerCaller]: ({entryId, answer}) => {
				this.#answer(entryId, answer);
			},
		});
	}

	/** Requests that are not answered yet. */
	get openCount(): number {
		return this.#openRequests.size;
	}

	/** Takes the bounds of a manifest; what it does not state stays as it is. */
	setLimits({headerBytes, headerMilliseconds, bodyBytes, idleMilliseconds}: CallerLimits): void {
		this.#headerBytes = headerBytes ?? this.#headerBytes;
		this.#bodyBytes = bodyBytes ?? this.#bodyBytes;
		this.#server.headersTimeout = headerMilliseconds ?? this.#server.headersTimeout;
		this.#server.keepAliveTimeout = idleMilliseconds ?? this.#server.keepAliveTimeout;
	}

	async listen(port: number, host: string): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
	}

	/** Has callers go elsewhere: connections are closed after their next answer. */
	closeAfterAnswers(): void {
		this.#isStopping = true;
	}

	/**
	 * Takes no new connections; open requests are finished, and their connections closed after the answer. What has
	 * arrived by now is read first: one turn of the event loop takes one connection, a later one reads its request. So
	 * turns are waited for, until one was short and brought nothing; at most until the given time of the steady clock,
	 * since callers may come without end.
	 */
	async stopListening(until: number): Promise<void> {
		this.#isStopping = true;
		await this.#untilQuiet(until);
		// The runtime's own way would close silent connections first, and reset what comes to the listener meanwhile.
		NetServer.prototype.close.call(this.#server);
		await this.#untilQuiet(until);
		this.#server.closeIdleConnections();
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #untilQuiet(until: number): Promise<void> {
		let isQuiet = false;
		do {
			const arrivals = this.#arrivals;
			const startedAt = performance.now();
			await waitForTurn(); // eslint-disable-line no-await-in-loop
			isQuiet = arrivals === this.#arrivals && performance.now() - startedAt <= quietMilliseconds;
		} while (!isQuiet && performance.now() < until);
	}

	#handle(request: IncomingMessage, response: ServerResponse): void {
		const url = request.url ?? '/';
		if (headerBytesOf(request, url) > this.#headerBytes) {
			refuse(request, response, new LaburnumspoolError(ErrorKind.HeadersTooLarge, `At most ${this.#headerBytes} bytes of headers are taken`));
		} else if (isOwnPath(url)) {
			void this.#orRefuse(request, response, this.#definition.own.handle(request, response, url));
		} else if (hasBody(request)) {
			void this.#orRefuse(request, response, this.#handleBody(request, response, url));
		} else {
			this.#openOrRefuse(request, response, url);
		}
	}

	/** Most requests have no body, and need no promise. */
	#openOrRefuse(request: IncomingMessage, response: ServerResponse, url: string): void {
		try {
			this.#open(request, response, url, noBody);
		} catch (error) {
			refuse(request, response, error);
		}
	}

	/** Without room the body is not read at all; other requests may take the room while it is. */
	async #handleBody(request: IncomingMessage, response: ServerResponse, url: string): Promise<void> {
		this.#requireRoom();
		this.#open(request, response, url, await readBody(request, this.#bodyBytes));
	}

	async #orRefuse(request: IncomingMessage, response: ServerResponse, handling: Promise<void>): Promise<void> {
		try {
			await handling;
		} catch (error) {
			refuse(request, response, error);
		}
	}

	#requireRoom(): void {
		if (this.#openRequests.size >= this.#definition.openRequests) {
			throw new LaburnumspoolError(ErrorKind.Overloaded, 'The node has too many open requests');
		}
	}

	#open(request: IncomingMessage, response: ServerResponse, url: string, body: Buffer): void {
		const {socket} = request;
		if (socket.destroyed || this.#openRequests.isClosing(socket)) {
			return;
		}

		this.#requireRoom();
		this.#lastEntryId += 1;
		const entryId = this.#lastEntryId;
		const callerRequest = this.#toCallerRequest(entryId, request, url, body);
		this.#openRequests.add(entryId, {
			response, socket, startedAt: performance.now(), requestId: callerRequest.requestId ?? '',
		});
		if (!this.#definition.core.post({type: CoreMessageType.CallerRequested, request: callerRequest})) {
			this.#openRequests.take(entryId);
			throw new LaburnumspoolError(ErrorKind.Overloaded, 'The node has too many messages waiting');
		}
	}

	#answer(entryId: number, answer: CallerAnswer): void {
		const open = this.#openRequests.take(entryId);
		if (open === undefined) {
			return;
		}

		const {response, socket, startedAt, requestId} = open;
		this.#definition.observeAnswer(answer.outcome, performance.now() - startedAt);

		if ((this.#isStopping || this.#openRequests.isBroken(socket)) && this.#openRequests.closeAfter(entryId, socket)) {
			response.shouldKeepAlive = false;
		}

		if (answer.answer === undefined) {
			sendProblem(response, answer.error ?? {kind: ErrorKind.UpstreamBroken, detail: 'No answer'}, answer.outcome, answer.attempts);
			return;
		}

		const {status, headers, body} = answer.answer;
		const kept = filterHeaders(headers, answerHeaders);
		const {requestId: name} = this.#definition.headers;
		if (name !== undefined && requestId !== '') {
			kept.push(name, requestId);
		}

		kept.push(HeaderName.Outcome, answer.outcome, HeaderName.Attempts, String(answer.attempts), 'content-length', String(body.length));
		response.writeHead(status, kept);
		response.end(body);
	}

	#toCallerRequest(entryId: number, request: IncomingMessage, url: string, body: Buffer): CallerRequest {
		const {core, headers, service} = this.#definition;
		const method = request.method ?? 'GET';
		const named = core.core.usesRoutes ? undefined : splitServicePath(url);
		const key = single(request, HeaderName.Key);
		const target = named?.target ?? url;
		const passed = filterHeaders(request.rawHeaders, this.#dropped);
		return {
			entryId,
			host: request.headers.host ?? '',
			requestId: headers.requestId === undefined ? '' : single(request, headers.requestId) ?? '',
			service: named?.service ?? '',
			request: {
				method,
				target,
				headers: headers.callerService === undefined || service === undefined ? passed : [...passed, headers.callerService, service],
				body,
				digest: key === undefined ? '' : createHash('sha256').update(`${method} ${target}\n`).update(body).digest('hex'),
			},
			key,
			timeoutMilliseconds: parseTimeout(headers.timeLeft, single(request, headers.timeLeft)),
			traceparent: single(request, HeaderName.TraceParent),
			tracestate: single(request, HeaderName.TraceState),
		};
	}
}

/** Waits until the event loop has looked at all connections once. */
async function waitForTurn(): Promise<void> {
	await nextTurn();
	await nextTurn();
}

/** Timers come before what waits at the connections: a node that stood still reads first what came in that time. */
async function closeIfSilent(socket: Socket): Promise<void> {
	const {bytesRead} = socket;
	await waitForTurn();
	if (socket.bytesRead === bytesRead) {
		socket.destroy();
	}
}

function headerBytesOf(request: IncomingMessage, url: string): number {
	return request.rawHeaders.reduce((sum, text) => sum + text.length, url.length + (request.rawHeaders.length / 2 * bytesAroundHeader));
}

function refuse(request: IncomingMessage, response: ServerResponse, error: unknown): void {
	response.once('finish', () => request.destroy());
	sendProblem(response, toCallError(error));
}

/** Headers that the system sets itself; the request's name travels beside the headers. */
function droppedHeaders({timeLeft, requestId, expectedInstance, callerService}: HeaderNames): ReadonlySet<string> {
	return new Set([timeLeft, HeaderName.TraceParent, HeaderName.TraceState, ...[requestId, expectedInstance, callerService].filter(name => name !== undefined)]);
}

function splitServicePath(url: string): {service: string; target: string} | undefined {
	const position = url.indexOf('/', 1);
	return !url.startsWith('/') || position === -1 ? undefined : {service: url.slice(1, position), target: url.slice(position)};
}

function single(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value.join(',') : value;
}

function parseTimeout(name: string, text: string | undefined): number | undefined {
	if (text === undefined) {
		return undefined;
	}

	if (!/^\d{1,9}$/u.test(text)) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `${name}: expected a whole number of milliseconds`);
	}

	return Number(text);
}
