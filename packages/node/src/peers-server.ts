/**
 * The server for calls of other nodes.
 *
 * @module
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	ErrorKind, LaburnumspoolError, NodeEffectType, type NodeEffect,
} from '@laburnumspool/core';
import {
	decodeCall, encodeAnswer, parseViewRequest, type ViewReply,
} from '@laburnumspool/protocol';
import {CoreMessageType, type CoreTask} from './core-task.js';
import {
	readBody, sendClientError, sendProblem, toCallError,
} from './http-messages.js';

const keepAliveMilliseconds = 600_000;
const headRoomBytes = 256 * 1024;
const maximumCancellationBytes = 4096;
const maximumViewBytes = 64 * 1024;

/** The connection is gone, and nobody waits for the reply. */
const ignoreReply = (): void => undefined;

type AnswerEffect = Extract<NodeEffect, {type: NodeEffectType.SendAnswer}>;

export type PeersServerDefinition = {
	readonly core: CoreTask;
	readonly requestBytes: number;
	readonly slowSenderMilliseconds: number;
};

/**
 * Takes calls and cancellations of other nodes.
 *
 * @example
 * const server = new PeersServer(definition);
 * await server.listen(7101, '127.0.0.1');
 */
export class PeersServer {
	readonly #definition: PeersServerDefinition;
	readonly #server: Server;
	readonly #open = new Map<string, ServerResponse>();

	constructor(definition: PeersServerDefinition) {
		this.#definition = definition;
		this.#server = createServer({
			keepAliveTimeout: keepAliveMilliseconds,
			headersTimeout: definition.slowSenderMilliseconds,
			requestTimeout: definition.slowSenderMilliseconds,
		}, (request, response) => {
			void this.#handle(request, response);
		});
		this.#server.on('clientError', sendClientError);
		definition.core.handle({
			[NodeEffectType.SendAnswer]: effect => {
				this.#answer(effect);
			},
		});
	}

	async listen(port: number, host: string): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			const handlers: Readonly<Record<string, () => Promise<void>>> = {
				'POST /calls': async () => this.#takeCall(request, response),
				'GET /manifest': async () => {
					this.#sendManifest(response);
				},
				'POST /members': async () => this.#exchangeMembers(request, response),
				'POST /cancellations': async () => this.#takeCancellation(request, response),
			};
			const handler = handlers[`${request.method} ${request.url}`];
			if (handler === undefined) {
				throw new LaburnumspoolError(ErrorKind.UnknownRequestKind, `The node has no ${request.method} ${request.url}`);
			}

			await handler();
		} catch (error) {
			sendProblem(response, toCallError(error));
		}
	}

	async #takeCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readBody(request, this.#definition.requestBytes + headRoomBytes);
		const {frame, clock} = decodeCall(body);
		const {callId} = frame;
		if (this.#open.has(callId)) {
			throw new LaburnumspoolError(ErrorKind.Duplicate, `Call ${callId} is open`);
		}

		this.#open.set(callId, response);
		response.once('close', () => {
			if (this.#open.delete(callId)) {
				this.#definition.core.post({type: CoreMessageType.CancelArrived, callId, reply: ignoreReply});
			}
		});
		if (!this.#definition.core.post({type: CoreMessageType.CallArrived, frame, clock})) {
			this.#open.delete(callId);
			throw new LaburnumspoolError(ErrorKind.Overloaded, 'The node has too many messages waiting');
		}
	}

	#answer({frame, clock}: AnswerEffect): void {
		const response = this.#open.get(frame.callId);
		if (response === undefined) {
			return;
		}

		this.#open.delete(frame.callId);
		const body = encodeAnswer({frame, clock});
		response.writeHead(200, {'content-type': 'application/octet-stream', 'content-length': body.length});
		response.end(body);
	}

	async #exchangeMembers(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readBody(request, maximumViewBytes);
		const {sender, buckets, rumors} = parseViewRequest(body.toString('utf8'));
		const {core} = this.#definition;
		const reply: ViewReply = {members: core.core.membership.differing(buckets), rumors: core.core.membership.rumors};
		core.post({type: CoreMessageType.ViewArrived, members: [sender], rumors});
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(JSON.stringify(reply));
	}

	#sendManifest(response: ServerResponse): void {
		const {manifest} = this.#definition.core.core;
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(JSON.stringify(manifest === undefined ? {} : {number: manifest.number, document: manifest.document}));
	}

	async #takeCancellation(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readBody(request, maximumCancellationBytes);
		const callId = parseCallIdOf(body.toString('utf8'));
		this.#definition.core.post({
			type: CoreMessageType.CancelArrived,
			callId,
			reply(result) {
				response.writeHead(200, {'content-type': 'application/json'});
				response.end(JSON.stringify({result}));
			},
		});
	}
}

function parseCallIdOf(text: string): string {
	try {
		const body = JSON.parse(text) as {callId?: unknown};
		if (typeof body.callId === 'string') {
			return body.callId;
		}
	} catch {
		// Not JSON is as wrong as JSON without the id.
	}

	throw new LaburnumspoolError(ErrorKind.Malformed, 'callId: expected a text');
}
