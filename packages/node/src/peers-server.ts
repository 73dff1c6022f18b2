/**
 * Server for the calls, view exchanges and manifest requests of other nodes.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Duplex} from 'node:stream';
import {
	CancelResult, ErrorKind, LaburnumspoolError, NodeEffectType, type AnswerFrame, type NodeEffect,
} from '@laburnumspool/core';
import {
	decodeAnswerCredit, decodeCall, decodeCallHead, encodeAnswerChunkParts, encodeAnswerHead, encodeAnswerParts, FrameType, parseViewRequest, setCallBody, StringTableDecoder, StringTableEncoder,
	type LargeFrameReceiver, type StartedFrame, type TimedCall, type ViewReply,
} from '@laburnumspool/protocol';
import type {AnswerStreams} from './answer-streams.js';
import {CoreMessageType, type CoreTask} from './core-task.js';
import {
	readBody, sendClientError, sendProblem, toCallError,
} from './http-messages.js';
import type {MemoryBudget, Reservation} from './memory-budget.js';
import {linkProtocol, PeerLink, workReportsHeader} from './peer-link.js';

const keepAliveMilliseconds = 600_000;
const maximumViewBytes = 64 * 1024;

type AnswerEffect = Extract<NodeEffect, {type: NodeEffectType.SendAnswer}>;
type AnswerHeadEffect = Extract<NodeEffect, {type: NodeEffectType.SendAnswerHead}>;

type LinkState = {
	readonly encoder: StringTableEncoder;
	readonly decoder: StringTableDecoder;
	/** Whether the entry node reads work reports. */
	readonly carriesWork: boolean;
};

export type PeersServerDefinition = {
	readonly core: CoreTask;
	readonly streams: AnswerStreams;
	/** Counts the bodies of calls, and the answers that are being sent. */
	readonly budget: MemoryBudget;
	readonly requestBytes: number;
	readonly slowSenderMilliseconds: number;
};

/**
 * Receives calls and cancellations of other nodes.
 *
 * @example
 * const server = new PeersServer(definition);
 * await server.listen(7101, '127.0.0.1');
 */
export class PeersServer {
	readonly #definition: PeersServerDefinition;
	readonly #server: Server;
	/** Open links. */
	readonly #links = new Map<PeerLink, LinkState>();
	/** Link of each call without an answer. */
	readonly #linksByCall = new Map<string, PeerLink>();
	/** Reservation of each call with a body. It outlives the link while an upstream still runs the call. */
	readonly #reservations = new Map<string, Reservation>();

	/** Handlers of the frames that an entry node sends. Others are ignored. */
	readonly #frameHandlers: Readonly<Partial<Record<FrameType, (link: PeerLink, content: Buffer, decoder: StringTableDecoder) => void>>> = {
		[FrameType.Call]: (link, content, decoder) => {
			this.#receiveCall(link, decoder, content);
		},
		[FrameType.Cancellation]: (link, content) => {
			this.#receiveCancellation(link, content.toString('utf8'));
		},
		[FrameType.AnswerCredit]: (_link, content) => {
			const {callId, bytes} = decodeAnswerCredit(content);
			this.#definition.streams.consumed(callId, bytes);
		},
	};

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
		this.#server.on('upgrade', (request, socket, head) => {
			this.#acceptUpgrade(request, socket, head);
		});
		definition.core.handle({
			[NodeEffectType.SendAnswerHead]: effect => {
				this.#sendAnswerHead(effect);
			},
			[NodeEffectType.SendAnswer]: effect => {
				this.#sendAnswer(effect);
			},
		});
	}

	/** Whether answers to other nodes are still in the memory of this process. */
	get hasUnsentBytes(): boolean {
		return [...this.#links.keys()].some(link => link.hasUnsentBytes);
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
		[...this.#links.keys()].map(link => link.close('this node is stopping'));
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			const handlers: Readonly<Record<string, () => Promise<void>>> = {
				'GET /manifest': async () => {
					this.#sendManifest(response);
				},
				'POST /members': async () => this.#exchangeMembers(request, response),
			};
			const handler = handlers[`${request.method} ${request.url}`];
			if (handler === undefined) {
				throw new LaburnumspoolError(ErrorKind.UnknownRequestKind, `The node has no endpoint ${request.method} ${request.url}`);
			}

			await handler();
		} catch (error) {
			sendProblem(response, toCallError(error));
		}
	}

	#acceptUpgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void {
		if (request.headers.upgrade !== linkProtocol || request.url !== '/calls') {
			socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n');
			return;
		}

		socket.write(`HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: ${linkProtocol}\r\n\r\n`);
		const state: LinkState = {encoder: new StringTableEncoder(), decoder: new StringTableDecoder(), carriesWork: request.headers[workReportsHeader] !== undefined};
		const link: PeerLink = new PeerLink(socket, head, {
			received: frame => {
				this.#frameHandlers[frame.type]?.(link, frame.content, state.decoder);
			},
			startLargeFrame: frame => this.#startLargeFrame(link, state.decoder, frame),
			closed: () => {
				this.#removeLink(link);
			},
		});
		this.#links.set(link, state);
	}

	/** Reserves the length of a large call before its body is kept. Without room, and for a copy of an open call, the body is discarded. */
	#startLargeFrame(link: PeerLink, decoder: StringTableDecoder, {type, contentBytes, beginning}: StartedFrame<FrameType>): LargeFrameReceiver | undefined {
		if (type !== FrameType.Call) {
			return undefined;
		}

		const call = decodeCallHead(beginning, decoder);
		const reservation = this.#linksByCall.has(call.frame.callId) ? undefined : this.#reserve(link, call, contentBytes);
		return reservation === undefined
			? undefined
			: {
				complete: content => {
					this.#acceptCall(link, setCallBody(call, content), reservation);
				},
				abandon() {
					reservation.release();
				},
			};
	}

	/** Receives a whole call. One without a body needs no reservation. */
	#receiveCall(link: PeerLink, decoder: StringTableDecoder, content: Buffer): void {
		const call = decodeCall(content, decoder);
		const bodyBytes = call.frame.request.body.length;
		if (this.#linksByCall.has(call.frame.callId)) {
			return;
		}

		const reservation = bodyBytes === 0 ? undefined : this.#reserve(link, call, bodyBytes);
		if (bodyBytes === 0 || reservation !== undefined) {
			this.#acceptCall(link, call, reservation);
		}
	}

	/** Reserves bytes for a call; without room, the call is answered as not run. */
	#reserve(link: PeerLink, {frame, clock}: TimedCall, bytes: number): Reservation | undefined {
		const {core, budget} = this.#definition;
		const reservation = budget.reserve(bytes, frame.importance);
		if (reservation === undefined) {
			const refusal = {kind: ErrorKind.Overloaded, detail: `The node holds ${budget.heldBytes} of at most ${budget.totalBytes} bytes of bodies and has no room for ${bytes} more`};
			this.#linksByCall.set(frame.callId, link);
			core.post({
				type: CoreMessageType.CallArrived, frame, clock, refusal,
			});
		}

		return reservation;
	}

	#acceptCall(link: PeerLink, {frame, clock}: TimedCall, reservation: Reservation | undefined): void {
		const {callId} = frame;
		const isOpen = this.#linksByCall.has(callId);
		if (isOpen || this.#reservations.has(callId)) {
			// The core drops this copy, so only the first one stays in memory.
			reservation?.release();
		} else if (reservation !== undefined) {
			this.#reservations.set(callId, reservation);
		}

		if (isOpen) {
			return;
		}

		this.#linksByCall.set(callId, link);
		if (!this.#definition.core.post({type: CoreMessageType.CallArrived, frame, clock})) {
			this.#releaseCall(callId);
		}
	}

	#releaseCall(callId: string): void {
		this.#reservations.get(callId)?.release();
		this.#reservations.delete(callId);
	}

	/** Sends the head of an answer and, as they arrive, the chunks of its body. */
	#sendAnswerHead({callId, head}: AnswerHeadEffect): void {
		const link = this.#linksByCall.get(callId);
		if (link === undefined) {
			return;
		}

		let offset = 0;
		link.send({type: FrameType.AnswerHead, content: [encodeAnswerHead({callId, head})]});
		this.#definition.streams.attach(callId, {
			write(bytes) {
				link.send({type: FrameType.AnswerChunk, content: encodeAnswerChunkParts({callId, offset, bytes})});
				offset += bytes.length;
			},
		});
	}

	/** The body of the answer is held until it is written or the link is closed. */
	#sendAnswer({frame, clock}: AnswerEffect): void {
		const link = this.#linksByCall.get(frame.callId);
		const state = link === undefined ? undefined : this.#links.get(link);
		this.#linksByCall.delete(frame.callId);
		this.#releaseCall(frame.callId);
		if (state === undefined) {
			return;
		}

		const answerBytes = frame.answer?.body.length ?? 0;
		const held = answerBytes === 0 ? undefined : this.#definition.budget.hold(answerBytes);
		link?.send({
			type: FrameType.Answer, content: encodeAnswerParts({frame: state.carriesWork ? frame : withoutWork(frame), clock}, state.encoder), ...(held === undefined ? {} : {written: held.release}),
		});
	}

	#receiveCancellation(link: PeerLink, callId: string): void {
		this.#definition.core.post({
			type: CoreMessageType.CancelArrived,
			callId,
			reply(result) {
				link.send({type: FrameType.CancellationReply, content: [Buffer.from(`${result} ${callId}`)]});
			},
		});
	}

	/**
	 * Cancels the open calls of a link that is closed, since their answers can no longer be delivered. A call that an upstream
	 * still runs keeps its reservation until it ends.
	 */
	#removeLink(link: PeerLink): void {
		this.#links.delete(link);
		[...this.#linksByCall].filter(([, owner]) => owner === link).map(([callId]) => {
			this.#linksByCall.delete(callId);
			return this.#definition.core.post({
				type: CoreMessageType.CancelArrived,
				callId,
				reply: result => {
					if (result === CancelResult.NotRun) {
						this.#releaseCall(callId);
					}
				},
			});
		});
	}

	async #exchangeMembers(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readBody(request, maximumViewBytes);
		const {sender, buckets, rumors} = parseViewRequest(body.toString('utf8'));
		const {core} = this.#definition;
		const reply: ViewReply = {members: core.core.membership.differingMembers(buckets), rumors: core.core.membership.rumors};
		core.post({type: CoreMessageType.ViewArrived, members: [sender], rumors});
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(JSON.stringify(reply));
	}

	#sendManifest(response: ServerResponse): void {
		const {manifest} = this.#definition.core.core;
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(JSON.stringify(manifest === undefined ? {} : {number: manifest.number, document: manifest.document}));
	}
}

function withoutWork(frame: AnswerFrame): AnswerFrame {
	const {work: _work, ...serving} = frame.serving;
	return {...frame, serving};
}
