/**
 * The task that owns the connections for calls to other nodes, and requests views and manifests from them.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	CancelResult, ErrorKind, LaburnumspoolError, NodeEffectType, SendFailure, type CallFrame, type Member, type NodeEffect,
} from '@laburnumspool/core';
import {
	decodeAnswer, decodeAnswerChunk, decodeAnswerHead, encodeAnswerCredit, encodeCallParts, FrameType, parseViewReply, type ViewRequest,
} from '@laburnumspool/protocol';
import {Agent} from 'undici';
import * as valibot from 'valibot';
import {StreamCredit, type AnswerStreams} from './answer-streams.js';
import {CoreMessageType, type CoreTask} from './core-task.js';
import {startExchange, type ExchangeResult} from './http-client.js';
import type {Logger} from './logs.js';
import {MemoryBudget} from './memory-budget.js';
import {
	addressOf, connectTimeoutMilliseconds, PeerConnection, type PeerAddress,
} from './peer-connection.js';

const responseTimeoutMilliseconds = 1000;

/** Allows for a whole view or manifest over a slow network. */
const exchangeTimeoutMilliseconds = 10_000;
const maximumAnswerBytes = 16 * 1024 * 1024;

const manifestReplySchema = valibot.object({number: valibot.number(), document: valibot.string()});

/** The active manifest of a peer. */
export type PulledManifest = valibot.InferOutput<typeof manifestReplySchema>;

type SendEffect = Extract<NodeEffect, {type: NodeEffectType.SendCall}>;

export type PeersClientDefinition = {
	readonly core: CoreTask;
	readonly streams: AnswerStreams;
	readonly log: Logger;
	readonly clock: () => number;
	/** Counts the large frames that arrive and the unsent calls that were cancelled. Without it they are not counted. */
	readonly budget?: MemoryBudget;
	/** Whether serving nodes are asked for work reports in their answers; false by default. */
	readonly readsWorkReports?: boolean;
};

/**
 * Sends calls and cancellations to other nodes.
 *
 * @example
 * const peers = new PeersClient({core, streams, log, clock, budget});
 */
export class PeersClient {
	readonly #definition: PeersClientDefinition;
	readonly #budget: MemoryBudget;
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
		this.#budget = definition.budget ?? new MemoryBudget(Infinity);
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
		unused.map(connection => connection.close('the node is no longer a member'));
	}

	/** Sends pings over links with open calls and closes those that no longer answer. Must be called several times per second. */
	checkLinks(): void {
		const now = this.#definition.clock();
		[...this.#connections.values()].map(connection => connection.checkLiveness(now));
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
		[...this.#connections.values()].map(connection => connection.close('this node is stopping'));
		await this.#agent.destroy();
	}

	#sendCall({to, frame, clock}: SendEffect): void {
		const connection = this.#connectionTo(to);
		if (connection.isCongested) {
			this.#reportFailure(frame.callId, SendFailure.NotConnected);
			return;
		}

		connection.sendCall(frame.callId, encodeCallParts({frame, clock}, connection.encoder));
	}

	#sendCancellation(to: Member, callId: string): void {
		this.#connections.get(addressOf(to))?.sendCancellation(callId, Buffer.from(callId));
	}

	#connectionTo(peer: PeerAddress): PeerConnection {
		const existing = this.#connections.get(addressOf(peer));
		if (existing !== undefined) {
			return existing;
		}

		const {clock} = this.#definition;
		const connection = new PeerConnection({
			peer,
			budget: this.#budget,
			clock,
			readsWorkReports: this.#definition.readsWorkReports === true,
			received: (from, {type, content}) => {
				this.#frameHandlers[type]?.(from, content);
			},
			closed: (closed, reason) => {
				this.#removeConnection(closed, reason);
			},
		});
		this.#connections.set(connection.address, connection);
		return connection;
	}

	/** Fails the open calls of a closed connection. Without a link they fail as not connected, since their frames were never sent. */
	#removeConnection(connection: PeerConnection, reason: string): void {
		const {address, openCallIds} = connection;
		this.#connections.delete(address);
		if (openCallIds.size > 0) {
			this.#definition.log.warn(`lost the connection to ${address} with ${openCallIds.size} open calls: ${reason}`, {event: 'link-lost'});
		}

		const failure = connection.hasLink ? SendFailure.ConnectionLost : SendFailure.NotConnected;
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
			connection.send({type: FrameType.AnswerCredit, content: [encodeAnswerCredit({callId, bytes})]});
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
