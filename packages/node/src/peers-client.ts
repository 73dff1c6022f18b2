/**
 * The task that owns the connections for calls to other nodes, and requests views and manifests from them.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {request as sendRequest, type ClientRequest} from 'node:http';
import {
	CancelResult, ErrorKind, LaburnumspoolError, NodeEffectType, SendFailure, type CallFrame, type Member, type NodeEffect,
} from '@laburnumspool/core';
import {
	decodeAnswer, decodeAnswerChunk, decodeAnswerHead, encodeAnswerCredit, encodeCall, FrameType, parseViewReply, StringTableDecoder, StringTableEncoder, type ViewRequest,
} from '@laburnumspool/protocol';
import {Agent} from 'undici';
import * as valibot from 'valibot';
import {StreamCredit, type AnswerStreams} from './answer-streams.js';
import {CoreMessageType, type CoreTask} from './core-task.js';
import {startExchange, type ExchangeResult} from './http-client.js';
import type {Logger} from './logs.js';
import {linkProtocol, PeerLink, workReportsHeader} from './peer-link.js';

const connectTimeoutMilliseconds = 500;

/** The connect timeout is counted in parts, so that a pause of this process consumes one part however long it is. */
const connectTimeoutParts = 5;

const responseTimeoutMilliseconds = 1000;

/** Allows for a whole view or manifest over a slow network. */
const exchangeTimeoutMilliseconds = 10_000;
const maximumAnswerBytes = 16 * 1024 * 1024;

const manifestReplySchema = valibot.object({number: valibot.number(), document: valibot.string()});

/** The active manifest of a peer. */
export type PulledManifest = valibot.InferOutput<typeof manifestReplySchema>;

type PeerAddress = Pick<Member, 'host' | 'peersPort'>;
type SendEffect = Extract<NodeEffect, {type: NodeEffectType.SendCall}>;

/** Connection to one node. It has no link until the upgrade completes. */
type PeerConnection = {
	readonly address: string;
	readonly upgradeRequest: ClientRequest;
	link: PeerLink | undefined;
	/** Frames to be sent once the link exists. */
	queuedFrames: Array<{readonly type: FrameType; readonly content: Buffer}>;
	/** Ids of the calls without an answer. */
	readonly openCallIds: Set<string>;
	/** Bytes received of each streamed answer, by call id. */
	readonly streamedBytes: Map<string, number>;
	readonly encoder: StringTableEncoder;
	readonly decoder: StringTableDecoder;
};

export type PeersClientDefinition = {
	readonly core: CoreTask;
	readonly streams: AnswerStreams;
	readonly log: Logger;
	readonly clock: () => number;
	/** Whether serving nodes are asked for work reports in their answers; false by default. */
	readonly readsWorkReports?: boolean;
};

/**
 * Sends calls and cancellations to other nodes.
 *
 * @example
 * const peers = new PeersClient({core, streams, log, clock});
 */
export class PeersClient {
	readonly #definition: PeersClientDefinition;
	readonly #connections = new Map<string, PeerConnection>();
	readonly #agent = new Agent({
		// Exchanges are rare, and an idle connection may have gone silent, so each exchange opens a connection.
		connections: 1, pipelining: 0, connectTimeout: connectTimeoutMilliseconds,
	});

	/** Handlers of the frames that a serving node sends. Others are ignored. */
	readonly #frameHandlers: Readonly<Partial<Record<FrameType, (connection: PeerConnection, content: Buffer) => void>>> = {
		[FrameType.Answer]: (connection, content) => {
			this.#receiveAnswer(connection, content);
		},
		[FrameType.CancellationReply]: (connection, content) => {
			this.#receiveCancellationReply(connection, content.toString('utf8'));
		},
		[FrameType.AnswerHead]: (connection, content) => {
			this.#receiveAnswerHead(connection, content);
		},
		[FrameType.AnswerChunk]: (connection, content) => {
			this.#receiveAnswerChunk(connection, content);
		},
	};

	constructor(definition: PeersClientDefinition) {
		this.#definition = definition;
		definition.core.handle({
			[NodeEffectType.SendCall]: effect => {
				this.#sendCall(effect);
			},
			[NodeEffectType.ExchangeMembers]: ({to}) => {
				this.#exchangeMembers(to);
			},
			[NodeEffectType.SendCancel]: ({to, callId}) => {
				this.#sendCancellation(to, callId);
			},
		});
	}

	/** Closes connections without open calls to nodes that are not in `members`. */
	closeUnusedConnections(members: readonly Member[]): void {
		const addresses = new Set(members.map(member => addressOf(member)));
		const unused = [...this.#connections.values()].filter(({address, openCallIds}) => !addresses.has(address) && openCallIds.size === 0);
		unused.map(({link}) => link?.close('the node is no longer a member'));
	}

	/** Sends pings over links with open calls and closes those that no longer answer. Must be called several times per second. */
	checkLinks(): void {
		const now = this.#definition.clock();
		[...this.#connections.values()].map(connection => connection.link?.checkLiveness(connection.openCallIds.size > 0, now));
	}

	/** Requests the manifest of a node; undefined when it has none, does not answer or sends a malformed one. */
	async pullManifest(from: Member): Promise<PulledManifest | undefined> {
		const result = await this.#exchange(from, 'GET', '/manifest');
		if (!result.success || result.status !== 200) {
			return undefined;
		}

		try {
			return valibot.parse(manifestReplySchema, JSON.parse(result.body.toString('utf8')));
		} catch {
			this.#definition.log.warn(`cannot read the manifest of ${from.name}: it has none, or it is malformed`);
			return undefined;
		}
	}

	async close(): Promise<void> {
		[...this.#connections.values()].map(connection => this.#closeConnection(connection, 'this node is stopping'));
		await this.#agent.destroy();
	}

	#sendCall({to, frame, clock}: SendEffect): void {
		const connection = this.#connectionTo(to);
		if (connection.link?.isCongested === true) {
			this.#reportFailure(frame.callId, SendFailure.NotConnected);
			return;
		}

		connection.openCallIds.add(frame.callId);
		this.#sendFrame(connection, FrameType.Call, encodeCall({frame, clock}, connection.encoder));
	}

	#sendCancellation(to: Member, callId: string): void {
		const connection = this.#connections.get(addressOf(to));
		if (connection !== undefined) {
			this.#sendFrame(connection, FrameType.Cancellation, Buffer.from(callId));
		}
	}

	#sendFrame(connection: PeerConnection, type: FrameType, content: Buffer): void {
		if (connection.link === undefined) {
			connection.queuedFrames.push({type, content});
		} else {
			connection.link.send(type, content);
		}
	}

	#connectionTo(peer: PeerAddress): PeerConnection {
		const address = addressOf(peer);
		const existing = this.#connections.get(address);
		if (existing !== undefined) {
			return existing;
		}

		const workReports = this.#definition.readsWorkReports === true ? {[workReportsHeader]: '1'} : {};
		const upgradeRequest = sendRequest({
			host: peer.host, port: peer.peersPort, path: '/calls', headers: {connection: 'upgrade', upgrade: linkProtocol, ...workReports}, agent: false,
		});
		const connection: PeerConnection = {
			address,
			upgradeRequest,
			link: undefined,
			queuedFrames: [],
			openCallIds: new Set(),
			streamedBytes: new Map(),
			encoder: new StringTableEncoder(),
			decoder: new StringTableDecoder(),
		};
		this.#connections.set(address, connection);
		let partsLeft = connectTimeoutParts;
		const connectTimer = setInterval(() => {
			partsLeft -= 1;
			if (partsLeft === 0) {
				clearInterval(connectTimer);
				this.#closeConnection(connection, `no connection within ${connectTimeoutMilliseconds} ms`);
			}
		}, connectTimeoutMilliseconds / connectTimeoutParts);
		upgradeRequest.once('upgrade', (_response, socket, head) => {
			clearInterval(connectTimer);
			this.#attachLink(connection, new PeerLink(socket, head, {
				received: frame => {
					connection.link?.recordReceipt(this.#definition.clock());
					this.#frameHandlers[frame.type]?.(connection, frame.content);
				},
				closed: reason => {
					this.#closeConnection(connection, reason);
				},
			}));
		});
		upgradeRequest.once('response', response => {
			clearInterval(connectTimer);
			response.resume();
			this.#closeConnection(connection, `the node answered the upgrade with status ${response.statusCode}`);
		});
		upgradeRequest.on('error', error => {
			clearInterval(connectTimer);
			this.#closeConnection(connection, error.message);
		});
		upgradeRequest.end();
		return connection;
	}

	#attachLink(connection: PeerConnection, link: PeerLink): void {
		connection.link = link;
		link.recordReceipt(this.#definition.clock());
		connection.queuedFrames.map(({type, content}) => link.send(type, content));
		connection.queuedFrames = [];
	}

	/** Closes a connection and fails its open calls. Without a link they fail as not connected, since their frames were never sent. */
	#closeConnection(connection: PeerConnection, reason: string): void {
		const {address, openCallIds} = connection;
		if (this.#connections.get(address) !== connection) {
			return;
		}

		this.#connections.delete(address);
		connection.upgradeRequest.destroy();
		connection.link?.close(reason);
		if (openCallIds.size > 0) {
			this.#definition.log.warn(`lost the connection to ${address} with ${openCallIds.size} open calls: ${reason}`, {event: 'link-lost'});
		}

		const failure = connection.link === undefined ? SendFailure.NotConnected : SendFailure.ConnectionLost;
		[...openCallIds].map(callId => this.#reportFailure(callId, failure));
		[...connection.streamedBytes.keys()].map(callId => {
			this.#definition.streams.close(callId);
			return callId;
		});
	}

	#receiveAnswerHead(connection: PeerConnection, content: Buffer): void {
		const {callId, head} = decodeAnswerHead(content);
		if (!connection.openCallIds.has(callId) || connection.streamedBytes.has(callId)) {
			return;
		}

		connection.streamedBytes.set(callId, 0);
		this.#definition.streams.open(callId, new StreamCredit(bytes => {
			this.#sendFrame(connection, FrameType.AnswerCredit, encodeAnswerCredit({callId, bytes}));
		}));
		this.#definition.core.post({type: CoreMessageType.CallStarted, callId, head});
	}

	/** Passes a chunk on. A gap in the body throws `malformed`, which closes the link. */
	#receiveAnswerChunk(connection: PeerConnection, content: Buffer): void {
		const {callId, offset, bytes} = decodeAnswerChunk(content);
		const received = connection.streamedBytes.get(callId);
		if (received === undefined) {
			return;
		}

		if (offset !== received) {
			throw new LaburnumspoolError(ErrorKind.Malformed, `A chunk of the answer to ${callId} starts at byte ${offset}, expected ${received}`);
		}

		connection.streamedBytes.set(callId, received + bytes.length);
		this.#definition.streams.push(callId, bytes);
	}

	#receiveAnswer(connection: PeerConnection, content: Buffer): void {
		const {frame, clock} = decodeAnswer(content, connection.decoder);
		connection.openCallIds.delete(frame.callId);
		this.#definition.core.post({type: CoreMessageType.CallAnswered, frame, clock});
		if (connection.streamedBytes.delete(frame.callId)) {
			this.#definition.streams.close(frame.callId);
		}
	}

	/** The reply to a cancellation consists of the result and the call id, separated by a space. */
	#receiveCancellationReply(connection: PeerConnection, text: string): void {
		const position = text.indexOf(' ');
		const callId = text.slice(position + 1);
		const result = text.startsWith(`${CancelResult.NotRun} `) ? CancelResult.NotRun : CancelResult.Dispatched;
		connection.openCallIds.delete(callId);
		this.#definition.core.post({type: CoreMessageType.CancelReplied, callId, result});
	}

	#reportFailure(callId: CallFrame['callId'], failure: SendFailure): void {
		this.#definition.core.post({type: CoreMessageType.CallFailed, callId, failure});
	}

	#exchangeMembers(to: PeerAddress): void {
		const {membership} = this.#definition.core.core;
		const view: ViewRequest = {sender: membership.own, buckets: membership.bucketDigests(), rumors: membership.rumors};
		void this.#exchange(to, 'POST', '/members', JSON.stringify(view)).then(result => {
			if (result.success && result.status === 200) {
				this.#mergeView(result.body.toString('utf8'));
			}
		});
	}

	#mergeView(text: string): void {
		try {
			this.#definition.core.post({type: CoreMessageType.ViewArrived, ...parseViewReply(text)});
		} catch (error) {
			this.#definition.log.warn(`cannot parse the member view of a peer: ${error instanceof Error ? error.message : String(error)}`);
		}
	}

	async #exchange(peer: PeerAddress, method: 'GET' | 'POST', path: string, body?: string): Promise<ExchangeResult> {
		return new Promise(resolve => {
			startExchange(this.#agent, {
				origin: `http://${addressOf(peer)}`,
				method,
				path,
				headers: body === undefined ? [] : ['content-type', 'application/json'],
				body: body === undefined ? undefined : Buffer.from(body),
				maximumBytes: maximumAnswerBytes,
				timeoutMilliseconds: responseTimeoutMilliseconds,
				totalMilliseconds: exchangeTimeoutMilliseconds,
			}, resolve);
		});
	}
}

function addressOf({host, peersPort}: PeerAddress): string {
	return `${host}:${peersPort}`;
}
