/**
 * The task that owns the connections for calls to other nodes.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	CancelResult, NodeEffectType, SendFailure, type Member, type NodeEffect,
} from '@laburnumspool/core';
import {
	decodeAnswer, encodeCall, parseViewReply, type ViewRequest,
} from '@laburnumspool/protocol';
import {Pool} from 'undici';
import * as valibot from 'valibot';
import {CoreMessageType, type CoreTask} from './core-task.js';
import {ExchangeFailure, startExchange, type ExchangeResult} from './http-client.js';
import type {PartLog} from './logs.js';

const connectionsPerPeer = 64;
const connectMilliseconds = 500;
const extraMilliseconds = 1000;
const cancelMilliseconds = 500;
const controlMilliseconds = 1000;
const maximumAnswerBytes = 80 * 1024 * 1024;
const idleMilliseconds = 60_000;

const pulledSchema = valibot.object({number: valibot.number(), document: valibot.string()});

/** A manifest that a peer has in force. */
export type PulledManifest = valibot.InferOutput<typeof pulledSchema>;

type PeerAddress = Pick<Member, 'host' | 'peersPort'>;
type SendEffect = Extract<NodeEffect, {type: NodeEffectType.SendCall}>;

/**
 * Sends calls and cancellations to other nodes.
 *
 * @example
 * const peers = new PeersClient(core, log);
 */
export class PeersClient {
	readonly #core: CoreTask;
	readonly #log: PartLog;
	readonly #pools = new Map<string, Pool>();

	constructor(core: CoreTask, log: PartLog) {
		this.#core = core;
		this.#log = log;
		core.handle({
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

	/** Closes connections to nodes that are gone. */
	keepOnly(members: readonly Member[]): void {
		const addresses = new Set(members.map(member => addressOf(member)));
		const gone = [...this.#pools].filter(([address]) => !addresses.has(address));
		gone.map(([address]) => this.#pools.delete(address));
		void Promise.all(gone.map(async ([, pool]) => pool.close()));
	}

	/** Asks a node for its manifest; undefined when it has none, or does not answer. */
	async readManifest(from: Member): Promise<PulledManifest | undefined> {
		const result = await new Promise<ExchangeResult>(resolve => {
			startExchange(this.#pool(from), {
				method: 'GET', path: '/manifest', headers: [], body: undefined, maximumBytes: maximumAnswerBytes, timeoutMilliseconds: cancelMilliseconds,
			}, resolve);
		});
		if (!result.success || result.status !== 200) {
			return undefined;
		}

		try {
			return valibot.parse(pulledSchema, JSON.parse(result.body.toString('utf8')));
		} catch {
			this.#log.warn(`${from.name} has no manifest, or one that cannot be read`);
			return undefined;
		}
	}

	async close(): Promise<void> {
		await Promise.all([...this.#pools.values()].map(async pool => pool.destroy()));
	}

	#send({to, frame, clock}: SendEffect): void {
		startExchange(this.#pool(to), {
			method: 'POST',
			path: '/calls',
			headers: ['content-type', 'application/octet-stream'],
			body: encodeCall({frame, clock}),
			maximumBytes: maximumAnswerBytes,
			timeoutMilliseconds: frame.timeLeftMilliseconds + extraMilliseconds,
		}, result => {
			this.#report(frame.callId, result);
		});
	}

	#report(callId: string, result: ExchangeResult): void {
		if (!result.success || result.status !== 200) {
			const isNotConnected = !result.success && result.failure === ExchangeFailure.NotConnected;
			this.#core.post({type: CoreMessageType.CallFailed, callId, failure: isNotConnected ? SendFailure.NotConnected : SendFailure.Lost});
			return;
		}

		try {
			const {frame, clock} = decodeAnswer(result.body);
			this.#core.post({type: CoreMessageType.CallAnswered, frame, clock});
			if (frame.callId !== callId) {
				this.#log.warn(`the answer to ${callId} belongs to ${frame.callId}`);
				this.#core.post({type: CoreMessageType.CallFailed, callId, failure: SendFailure.Lost});
			}
		} catch {
			this.#core.post({type: CoreMessageType.CallFailed, callId, failure: SendFailure.Lost});
		}
	}

	#cancel(to: Member, callId: string): void {
		startExchange(this.#pool(to), {
			method: 'POST',
			path: '/cancellations',
			headers: ['content-type', 'application/json'],
			body: Buffer.from(JSON.stringify({callId})),
			maximumBytes: 1024,
			timeoutMilliseconds: cancelMilliseconds,
		}, result => {
			if (!result.success || result.status !== 200) {
				return;
			}

			const isNotRun = result.body.toString('utf8').includes(`"${CancelResult.NotRun}"`);
			this.#core.post({type: CoreMessageType.CancelReplied, callId, result: isNotRun ? CancelResult.NotRun : CancelResult.Dispatched});
		});
	}

	#exchangeMembers(to: PeerAddress): void {
		const {membership} = this.#core.core;
		const view: ViewRequest = {sender: membership.own, buckets: membership.buckets(), rumors: membership.rumors};
		startExchange(this.#pool(to), {
			method: 'POST',
			path: '/members',
			headers: ['content-type', 'application/json'],
			body: Buffer.from(JSON.stringify(view)),
			maximumBytes: maximumAnswerBytes,
			timeoutMilliseconds: controlMilliseconds,
		}, result => {
			if (result.success && result.status === 200) {
				this.#takeView(result.body.toString('utf8'));
			}
		});
	}

	#takeView(text: string): void {
		try {
			this.#core.post({type: CoreMessageType.ViewArrived, ...parseViewReply(text)});
		} catch (error) {
			this.#log.warn(`the view of a peer cannot be read: ${error instanceof Error ? error.message : String(error)}`);
		}
	}

	#pool(peer: PeerAddress): Pool {
		const address = addressOf(peer);
		const known = this.#pools.get(address);
		if (known !== undefined) {
			return known;
		}

		const pool = new Pool(`http://${address}`, {
			connections: connectionsPerPeer, pipelining: 1, connectTimeout: connectMilliseconds, keepAliveTimeout: idleMilliseconds, keepAliveMaxTimeout: idleMilliseconds,
		});
		this.#pools.set(address, pool);
		return pool;
	}
}

function addressOf({host, peersPort}: PeerAddress): string {
	return `${host}:${peersPort}`;
}
