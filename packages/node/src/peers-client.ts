/**
 * The task that owns the links for calls to other nodes, and asks them for views and manifests.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {request as sendRequest, type ClientRequest} from 'node:http';
import {
	CancelResult, NodeEffectType, SendFailure, type CallFrame, type Member, type NodeEffect,
} from '@laburnumspool/core';
import {
	decodeAnswer, encodeCall, FrameType, parseViewReply, StringTableDecoder, StringTableEncoder, type Frame, type ViewRequest,
} from '@laburnumspool/protocol';
import {Agent} from 'undici';
import * as valibot from 'valibot';
import {CoreMessageType, type CoreTask} from './core-task.js';
import {startExchange, type ExchangeResult} from './http-client.js';
import type {PartLog} from './logs.js';
import {linkProtocol, PeerLink} from './peer-link.js';

const connectMilliseconds = 500;
/** The time to connect passes in parts, so that a standstill of the own node, however long, costs one of them. */
const connectParts = 5;
const controlMilliseconds = 1000;

/** For a whole view or manifest, over a narrow link. */
const controlTotalMilliseconds = 10_000;
const maximumAnswerBytes = 16 * 1024 * 1024;
const idleMilliseconds = 10_000;

const pulledSchema = valibot.object({number: valibot.number(), document: valibot.string()});

/** A manifest that a peer has in force. */
export type PulledManifest = valibot.InferOutput<typeof pulledSchema>;

type PeerAddress = Pick<Member, 'host' | 'peersPort'>;
type SendEffect = Extract<NodeEffect, {type: NodeEffectType.SendCall}>;

/** Way to one node: connecting while it has no link. */
type Way = {
	readonly address: string;
	readonly connecting: ClientRequest;
	link: PeerLink | undefined;
	/** Frames that wait for the link. */
	waiting: Array<{readonly type: FrameType; readonly content: Buffer}>;
	/** Calls without an answer. */
	readonly calls: Set<string>;
	readonly sender: StringTableEncoder;
	readonly receiver: StringTableDecoder;
};

export type PeersClientDefinition = {
	readonly core: CoreTask;
	readonly log: PartLog;
	readonly clock: () => number;
};

/**
 * Sends calls and cancellations to other nodes.
 *
 * @example
 * const peers = new PeersClient({core, log, clock});
 */
export class PeersClient {
	readonly #definition: PeersClientDefinition;
	readonly #ways = new Map<string, Way>();
	readonly #control = new Agent({
		connections: 1, pipelining: 1, connectTimeout: connectMilliseconds, keepAliveTimeout: idleMilliseconds,
	});

	constructor(definition: PeersClientDefinition) {
		this.#definition = definition;
		definition.core.handle({
			[NodeEffectType.SendCall]: effect => {
				this.#send(effect);
			},
			[NodeEffectType.ExchangeMembers]: ({to}) => {
				this.#exchangeMembers(to);
			},
			[NodeEffectType.SendCancel]: ({to, callId}) => {
				this.#cancel(to, callId);
			},
		});
	}

	/** Closes links to nodes that are gone. */
	keepOnly(members: readonly Member[]): void {
		const addresses = new Set(members.map(member => addressOf(member)));
		[...this.#ways.values()].filter(way => !addresses.has(way.address) && way.calls.size === 0).map(way => way.link?.close('the node is gone'));
	}

	/** Watches the links for silence. */
	watch(): void {
		const now = this.#definition.clock();
		[...this.#ways.values()].map(way => way.link?.watch(way.calls.size > 0, now));
	}

	/** Asks a node for its manifest; undefined when it has none, or does not answer. */
	async readManifest(from: Member): Promise<PulledManifest | undefined> {
		const result = await this.#ask(from, 'GET', '/manifest');
		if (!result.success || result.status !== 200) {
			return undefined;
		}

		try {
			return valibot.parse(pulledSchema, JSON.parse(result.body.toString('utf8')));
		} catch {
			this.#definition.log.warn(`${from.name} has no manifest, or one that cannot be read`);
			return undefined;
		}
	}

	async close(): Promise<void> {
		[...this.#ways.values()].map(way => this.#end(way, 'the node stops'));
		await this.#control.destroy();
	}

	#send({to, frame, clock}: SendEffect): void {
		const way = this.#wayTo(to);
		if (way.link?.isCongested === true) {
			this.#fail(frame.callId, SendFailure.NotConnected);
			return;
		}

		way.calls.add(frame.callId);
		this.#write(way, FrameType.Call, encodeCall({frame, clock}, way.sender));
	}

	#cancel(to: Member, callId: string): void {
		const way = this.#ways.get(addressOf(to));
		if (way !== undefined) {
			this.#write(way, FrameType.Cancellation, Buffer.from(callId));
		}
	}

	#write(way: Way, type: FrameType, content: Buffer): void {
		if (way.link === undefined) {
			way.waiting.push({type, content});
		} else {
			way.link.send(type, content);
		}
	}

	#wayTo(peer: PeerAddress): Way {
		const address = addressOf(peer);
		const known = this.#ways.get(address);
		if (known !== undefined) {
			return known;
		}

		const connecting = sendRequest({
			host: peer.host, port: peer.peersPort, path: '/calls', headers: {connection: 'upgrade', upgrade: linkProtocol}, agent: false,
		});
		const way: Way = {
			address, connecting, link: undefined, waiting: [], calls: new Set(), sender: new StringTableEncoder(), receiver: new StringTableDecoder(),
		};
		this.#ways.set(address, way);
		let partsLeft = connectParts;
		const deadline = setInterval(() => {
			partsLeft -= 1;
			if (partsLeft === 0) {
				clearInterval(deadline);
				this.#end(way, 'no connection was made in time');
			}
		}, connectMilliseconds / connectParts);
		connecting.once('upgrade', (_response, socket, head) => {
			clearInterval(deadline);
			this.#open(way, new PeerLink(socket, head, {
				received: frame => {
					way.link?.heard(this.#definition.clock());
					this.#take(way, frame);
				},
				closed: reason => {
					this.#end(way, reason);
				},
			}));
		});
		connecting.once('response', response => {
			clearInterval(deadline);
			response.resume();
			this.#end(way, `the node answered ${response.statusCode}`);
		});
		connecting.on('error', error => {
			clearInterval(deadline);
			this.#end(way, error.message);
		});
		connecting.end();
		return way;
	}

	#open(way: Way, link: PeerLink): void {
		way.link = link;
		link.heard(this.#definition.clock());
		way.waiting.map(({type, content}) => link.send(type, content));
		way.waiting = [];
	}

	/** Frames that still waited for a link never left. */
	#end(way: Way, reason: string): void {
		if (this.#ways.get(way.address) !== way) {
			return;
		}

		this.#ways.delete(way.address);
		way.connecting.destroy();
		way.link?.close(reason);
		if (way.calls.size > 0) {
			this.#definition.log.warn(`the link to ${way.address} ended with ${way.calls.size} calls open: ${reason}`, {event: 'link-lost'});
		}

		const failure = way.link === undefined ? SendFailure.NotConnected : SendFailure.ConnectionLost;
		[...way.calls].map(callId => this.#fail(callId, failure));
	}

	#take(way: Way, {type, content}: Frame): void {
		if (type === FrameType.Answer) {
			this.#takeAnswer(way, content);
		} else if (type === FrameType.CancellationReply) {
			this.#takeCancellationReply(way, content.toString('utf8'));
		}
	}

	#takeAnswer(way: Way, content: Buffer): void {
		const {frame, clock} = decodeAnswer(content, way.receiver);
		way.calls.delete(frame.callId);
		this.#definition.core.post({type: CoreMessageType.CallAnswered, frame, clock});
	}

	/** The reply to a cancellation is the result and the id, with a space between. */
	#takeCancellationReply(way: Way, text: string): void {
		const position = text.indexOf(' ');
		const callId = text.slice(position + 1);
		const result = text.startsWith(`${CancelResult.NotRun} `) ? CancelResult.NotRun : CancelResult.Dispatched;
		way.calls.delete(callId);
		this.#definition.core.post({type: CoreMessageType.CancelReplied, callId, result});
	}

	#fail(callId: CallFrame['callId'], failure: SendFailure): void {
		this.#definition.core.post({type: CoreMessageType.CallFailed, callId, failure});
	}

	#exchangeMembers(to: PeerAddress): void {
		const {membership} = this.#definition.core.core;
		const view: ViewRequest = {sender: membership.own, buckets: membership.bucketDigests(), rumors: membership.rumors};
		void this.#ask(to, 'POST', '/members', JSON.stringify(view)).then(result => {
			if (result.success && result.status === 200) {
				this.#takeView(result.body.toString('utf8'));
			}
		});
	}

	#takeView(text: string): void {
		try {
			this.#definition.core.post({type: CoreMessageType.ViewArrived, ...parseViewReply(text)});
		} catch (error) {
			this.#definition.log.warn(`the view of a peer cannot be read: ${error instanceof Error ? error.message : String(error)}`);
		}
	}

	async #ask(peer: PeerAddress, method: 'GET' | 'POST', path: string, body?: string): Promise<ExchangeResult> {
		return new Promise(resolve => {
			startExchange(this.#control, {
				origin: `http://${addressOf(peer)}`,
				method,
				path,
				headers: body === undefined ? [] : ['content-type', 'application/json'],
				body: body === undefined ? undefined : Buffer.from(body),
				maximumBytes: maximumAnswerBytes,
				timeoutMilliseconds: controlMilliseconds,
				totalMilliseconds: controlTotalMilliseconds,
			}, resolve);
		});
	}
}

function addressOf({host, peersPort}: PeerAddress): string {
	return `${host}:${peersPort}`;
}
