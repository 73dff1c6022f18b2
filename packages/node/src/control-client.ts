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
import {ControlClient as ControlServiceClient, type wire} from '@laburnumspool/protocol/control';
import {CoreMessageType, type CoreTask} from './core-task.js';
import {tryParseRecord} from './range-records.js';

/** Longest time until the reply to a call. */
const callTimeoutMilliseconds = 1000;
/** Time without use after which a channel is closed. */
const channelIdleMilliseconds = 60_000;
/** Total size of the stored answers in one call. Further messages go into the next call. */
const maximumAnswerBytesPerCall = 512 * 1024;

type SendAtMostOnceEffect = Extract<NodeEffect, {type: NodeEffectType.SendAtMostOnce}>;
type Channel = {readonly client: Client & Record<string, (...parameters: unknown[]) => unknown>; usedAt: number};

/** Messages to one holder that are sent together. */
type MessageBatch = {readonly effects: SendAtMostOnceEffect[]};

export type ControlClientDefinition = {
	readonly core: CoreTask;
	readonly clock: () => number;
};

/**
 * Sends control messages to other nodes. A call that fails or times out has no reply and is not repeated here.
 *
 * @example
 * const control = new ControlClient(definition);
 */
export class ControlClient {
	readonly #definition: ControlClientDefinition;
	readonly #channels = new Map<string, Channel>();
	readonly #pendingBatches = new Map<string, MessageBatch>();

	constructor(definition: ControlClientDefinition) {
		this.#definition = definition;
		definition.core.handle({
			[NodeEffectType.PullRecord]: ({service, from}) => {
				void this.#pullRecord(service, from);
			},
			[NodeEffectType.SendAtMostOnce]: effect => {
				this.#sendAtMostOnce(effect);
			},
		});
	}

	/** Closes channels that have not been used for a minute. */
	closeIdle(): void {
		const now = this.#definition.clock();
		[...this.#channels].filter(([, channel]) => now - channel.usedAt > channelIdleMilliseconds).map(([address, channel]) => {
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
		const record = reply === undefined ? undefined : tryParseRecord(reply.version ?? 0, reply.record ?? '');
		if (record !== undefined) {
			this.#definition.core.post({type: CoreMessageType.RecordArrived, record});
		}
	}

	/** Batches the messages to one holder that are sent in the same turn, and splits the batch into calls by size. */
	#sendAtMostOnce(effect: SendAtMostOnceEffect): void {
		const address = addressOf(effect.to);
		const pending = this.#pendingBatches.get(address);
		if (pending !== undefined) {
			pending.effects.push(effect);
			return;
		}

		const batch: MessageBatch = {effects: [effect]};
		this.#pendingBatches.set(address, batch);
		queueMicrotask(() => {
			this.#pendingBatches.delete(address);
			splitBySize(batch.effects).map(effects => {
				void this.#call(address, 'sendOnce', toEnvelope(effects));
				return effects;
			});
		});
	}

	async #call<Reply>(address: string, method: string, request: object): Promise<Reply | undefined> {
		const channel = this.#channel(address);
		const send = promisify(channel.client[method]!.bind(channel.client) as (request: object, options: object, callback: (error: Error | null, reply?: Reply) => void) => void);
		try {
			return await send(request, {deadline: Date.now() + callTimeoutMilliseconds});
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

		const client = new ControlServiceClient(address, credentials.createInsecure(), {
			'grpc.max_reconnect_backoff_ms': 1000, 'grpc.initial_reconnect_backoff_ms': 100,
		}) as unknown as Channel['client'];
		const channel = {client, usedAt: now};
		this.#channels.set(address, channel);
		return channel;
	}
}

function addressOf(member: Member): string {
	return `${member.host}:${member.controlPort}`;
}

/** Splits the messages into groups whose stored answers fit into one call. A single message may exceed the limit. */
function splitBySize(effects: readonly SendAtMostOnceEffect[]): SendAtMostOnceEffect[][] {
	return effects.reduce<{groups: SendAtMostOnceEffect[][]; bytes: number}>(({groups, bytes}, effect) => {
		const effectBytes = answerBytesOf(effect);
		const last = groups.at(-1);
		return last === undefined || bytes + effectBytes > maximumAnswerBytesPerCall
			? {groups: [...groups, [effect]], bytes: effectBytes}
			: {groups: [...groups.slice(0, -1), [...last, effect]], bytes: bytes + effectBytes};
	}, {groups: [], bytes: 0}).groups;
}

function answerBytesOf({message}: SendAtMostOnceEffect): number {
	return message.type === AtMostOnceMessageType.Sync ? message.claims.reduce((sum, {answer}) => sum + (answer?.body.length ?? 0), 0) : 0;
}

function toEnvelope(effects: readonly SendAtMostOnceEffect[]): wire.IOnceEnvelope {
	const {from, to} = effects[0]!;
	return {
		from: {...from},
		to: {name: to.name, incarnation: to.incarnation},
		messages: effects.map(effect => toWireAtMostOnceMessage(effect.message)),
	};
}
