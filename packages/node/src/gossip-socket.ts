/**
 * The task that owns the UDP socket for gossip and quotas.
 *
 * @module
 */
import {type Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {performance} from 'node:perf_hooks';
import {NodeEffectType, type Address} from '@laburnumspool/core';
import {
	decodeGossip, decodeQuota, encodeGossip, encodeQuota, isQuotaDatagram,
} from '@laburnumspool/protocol';
import {CoreMessageType, type CoreTask} from './core-task.js';
import type {Logger} from './logs.js';
import {ProblemLog} from './problem-log.js';

/** Traffic of the socket since it was created; `malformed` counts the received datagrams that could not be decoded. */
export type GossipTraffic = {
	sentBytes: number;
	sentMessages: number;
	receivedBytes: number;
	receivedMessages: number;
	malformed: number;
};

/**
 * Sends gossip effects as datagrams and posts received datagrams to the core. Send errors are ignored; malformed datagrams are counted and logged.
 *
 * @example
 * const gossip = new GossipSocket(core, log);
 * await gossip.listen(7201, '127.0.0.1');
 */
export class GossipSocket {
	readonly traffic: GossipTraffic = {
		sentBytes: 0, sentMessages: 0, receivedBytes: 0, receivedMessages: 0, malformed: 0,
	};

	readonly #core: CoreTask;
	readonly #log: Logger;
	readonly #problems: ProblemLog;
	readonly #socket: Socket;

	constructor(core: CoreTask, log: Logger) {
		this.#core = core;
		this.#log = log;
		this.#problems = new ProblemLog(log, () => performance.now());
		this.#socket = createSocket('udp4');
		this.#socket.on('message', (content, {address, port}) => {
			this.#receive(content, `gossip of ${address}:${port}`);
		});
		this.#socket.on('error', error => {
			this.#log.warn(`the gossip socket failed: ${error.message}`);
		});
		core.handle({
			[NodeEffectType.SendGossip]: ({to, message, clock}) => {
				this.#send(encodeGossip(message, clock), to);
			},
			[NodeEffectType.SendQuota]: ({to, message}) => {
				this.#send(encodeQuota(message), to);
			},
		});
	}

	async listen(port: number, host: string): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#socket.once('error', reject);
			this.#socket.bind(port, host, resolve);
		});
	}

	close(): void {
		this.#socket.close();
	}

	#send(content: Uint8Array, to: Address): void {
		this.traffic.sentBytes += content.length;
		this.traffic.sentMessages += 1;
		this.#socket.send(content, to.port, to.host, () => undefined);
	}

	#receive(content: Buffer, source: string): void {
		this.traffic.receivedBytes += content.length;
		this.traffic.receivedMessages += 1;
		try {
			if (isQuotaDatagram(content)) {
				this.#core.post({type: CoreMessageType.QuotaArrived, message: decodeQuota(content)});
				return;
			}

			const {message, clock} = decodeGossip(content, problem => {
				this.#problems.report(source, problem);
			});
			this.#core.post({type: CoreMessageType.GossipArrived, message, clock});
		} catch (error) {
			this.traffic.malformed += 1;
			this.#problems.report(source, error instanceof Error ? error.message : String(error));
		}
	}
}
