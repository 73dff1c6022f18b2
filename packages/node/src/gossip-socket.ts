/**
 * The task that owns the UDP socket for gossip.
 *
 * @module
 */
import {type Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {NodeEffectType} from '@laburnumspool/core';
import {decodeGossip, encodeGossip} from '@laburnumspool/protocol';
import {CoreMessageType, type CoreTask} from './core-task.js';
import type {Logger} from './logs.js';

/** Traffic of the socket since it was created; `malformed` counts the received datagrams that could not be decoded. */
export type GossipTraffic = {
	sentBytes: number;
	sentMessages: number;
	receivedBytes: number;
	receivedMessages: number;
	malformed: number;
};

/**
 * Sends gossip effects as datagrams and posts received datagrams to the core. Send errors and malformed datagrams are ignored.
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
	readonly #socket: Socket;

	constructor(core: CoreTask, log: Logger) {
		this.#core = core;
		this.#log = log;
		this.#socket = createSocket('udp4');
		this.#socket.on('message', content => {
			this.#receive(content);
		});
		this.#socket.on('error', error => {
			this.#log.warn(`the gossip socket failed: ${error.message}`);
		});
		core.handle({
			[NodeEffectType.SendGossip]: ({to, message, clock}) => {
				const content = encodeGossip(message, clock);
				this.traffic.sentBytes += content.length;
				this.traffic.sentMessages += 1;
				this.#socket.send(content, to.port, to.host, () => undefined);
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

	#receive(content: Buffer): void {
		this.traffic.receivedBytes += content.length;
		this.traffic.receivedMessages += 1;
		try {
			const {message, clock} = decodeGossip(content);
			this.#core.post({type: CoreMessageType.GossipArrived, message, clock});
		} catch {
			this.traffic.malformed += 1;
		}
	}
}
