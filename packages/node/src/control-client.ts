/**
 * The task that owns the gRPC channels to other nodes.
 *
 * @module
 */
import {promisify} from 'node:util';
import {credentials, type Client} from '@grpc/grpc-js';
import {
	NodeEffectType, AtMostOnceMessageType, type Member, type NodeEffect,
} from '@laburnumspool/core';
import {toWireAtMostOnceMessage} from '@laburnumspool/protocol';
import {ControlClient, type wire} from '@laburnumspool/protocol/control';
import {CoreMessageType, type CoreTask} from './core-task.js';
import {parseRecord} from './range-records.js';

const answerMilliseconds = 1000;
const idleMilliseconds = 60_000;
/** Answers in the claims of one call, beyond which the next call carries what follows. */
const callAnswerBytes = 512 * 1024;

type OnceEffect = Extract<NodeEffect, {type: NodeEffectType.SendAtMostOnce}>;
type Channel = {readonly client: Client & Record<string, (...parameters: unknown[]) => unknown>; usedAt: number};

/** Batch of messages to one holder. */
type Outbox = {readonly effects: OnceEffect[]};

/** What the task needs. */
export type ControlClientDefinition = {
	readonly core: CoreTask;
	readonly clock: () => number;
};

/**
 * Sends control messages to other nodes.
 *
 * @example
 * const control = new ControlTask(definition);
 */
export class ControlTask {
	readonly #definition: ControlClientDefinition;
	readonly #channels = new Map<string, Channel>();
	readonly #outboxes = new Map<string, Outbox>();

	constructor(definition: ControlClientDefinition) {
		this.#definition = definition;
		definition.core.handle({
			[NodeEffectType.PullRecord]: ({service, from}) => {
				void this.#pullRecord(service, from);
			},
			[NodeEffectType.SendAtMostOnce]: effect => {
				this.#sendOnce(effect);
			},
		});
	}

	/** Closes channels that have not been used for a while. */
	closeIdle(): void {
		const now = this.#definition.clock();
		[...this.#channels].filter(([, channel]) => now - channel.usedAt > idleMilliseconds).map(([address, channel]) => {
			this.#channels.delete(address);
			channel.client.close();
			return address;
		});
	}

	close(): void {
		[...this.#channels.values()].map(channel => {
			channel.client.close();
			return channel;
		});
		this.#channels.clear();
	}

	async #pullRecord(service: string, from: Member): Promise<void> {
		const above = this.#definition.core.core.record(service)?.version ?? 0;
		const reply = await this.#call<wire.IRecordReply>(addressOf(from), 'pullRecord', {service, above});
		const record = reply === undefined ? undefined : parseRecord(reply.version ?? 0, reply.record ?? '');
		if (record !== undefined) {
			this.#definition.core.post({type: CoreMessageType.RecordArrived, record});
		}
	}

	/** Messages of one turn to one holder go together, in as many calls as their size needs. */
	#sendOnce(effect: OnceEffect): void {
		const address = addressOf(effect.to);
		const outbox = this.#outboxes.get(address);
		if (outbox !== undefined) {
			outbox.effects.push(effect);
			return;
		}

		const created: Outbox = {effects: [effect]};
		this.#outboxes.set(address, created);
		queueMicrotask(() => {
			this.#outboxes.delete(address);
			splitBySize(created.effects).map(effects => {
				void this.#call(address, 'sendOnce', toEnvelope(effects));
				return effects;
			});
		});
	}

	async #call<Reply>(address: string, method: string, request: object): Promise<Reply | undefined> {
		const channel = this.#channel(address);
		const send = promisify(channel.client[method]!.bind(channel.client) as (request: object, options: object, callback: (error: Error | null, reply?: Reply) => void) => void);
		try {
			return await send(request, {deadline: Date.now() + answerMilliseconds});
		} catch {
			return undefined;
		}
	}

	#channel(address: string): Channel {
		const now = this.#definition.clock();
		const known = this.#channels.get(address);
		if (known !== undefined) {
			known.usedAt = now;
			return known;
		}

		const client = new ControlClient(address, credentials.createInsecure(), {'grpc.max_reconnect_backoff_ms': 1000, 'grpc.initial_reconnect_backoff_ms': 100}) as unknown as Channel['client'];
		const channel = {client, usedAt: now};
		this.#channels.set(address, channel);
		return channel;
	}
}

function addressOf(member: Member): string {
	return `${member.host}:${member.controlPort}`;
}

/** Cuts the messages into parts whose answers are of bounded size together; a message alone may be larger. */
function splitBySize(effects: readonly OnceEffect[]): OnceEffect[][] {
	return effects.reduce<{parts: OnceEffect[][]; bytes: number}>(({parts, bytes}, effect) => {
		const own = answerBytesOf(effect);
		const last = parts.at(-1);
		return last === undefined || bytes + own > callAnswerBytes
			? {parts: [...parts, [effect]], bytes: own}
			: {parts: [...parts.slice(0, -1), [...last, effect]], bytes: bytes + own};
	}, {parts: [], bytes: 0}).parts;
}

function answerBytesOf({message}: OnceEffect): number {
	return message.type === AtMostOnceMessageType.Sync ? message.claims.reduce((sum, {answer}) => sum + (answer?.body.length ?? 0), 0) : 0;
}

function toEnvelope(effects: readonly OnceEffect[]): wire.IOnceEnvelope {
	const {from, to} = effects[0]!;
	return {
		from: {...from},
		to: {name: to.name, incarnation: to.incarnation},
		messages: effects.map(effect => toWireAtMostOnceMessage(effect.message)),
	};
}
