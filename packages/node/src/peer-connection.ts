/**
 * A connection for calls to one node, from its start to the end of its link.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import {request as sendRequest, type ClientRequest} from 'node:http';
import type {Duplex} from 'node:stream';
import type {Member} from '@laburnumspool/core';
import {
	FrameType, largeFrameBytes, StringTableDecoder, StringTableEncoder, type Frame, type MessageParts,
} from '@laburnumspool/protocol';
import type {MemoryBudget, Reservation} from './memory-budget.js';
import {
	congestionBytes, linkProtocol, PeerLink, workReportsHeader, type OutgoingFrame,
} from './peer-link.js';

export const connectTimeoutMilliseconds = 500;

/** The connect timeout is counted in parts, so that a pause of this process consumes one part however long it is. */
const connectTimeoutParts = 5;

export type PeerAddress = Pick<Member, 'host' | 'peersPort'>;

export function addressOf({host, peersPort}: PeerAddress): string {
	return `${host}:${peersPort}`;
}

export type PeerConnectionDefinition = {
	readonly peer: PeerAddress;
	readonly budget: MemoryBudget;
	readonly clock: () => number;
	/** Whether the serving node is asked for work reports in its answers. */
	readonly readsWorkReports: boolean;
	/** Receives a frame. Throws `malformed` to close the connection. */
	readonly received: (connection: PeerConnection, frame: Frame) => void;
	/** Called exactly once. */
	readonly closed: (connection: PeerConnection, reason: string) => void;
};

/**
 * Connects to a node, queues frames until the link exists, and then sends them over it.
 *
 * @example
 * const connection = new PeerConnection(definition);
 * connection.sendCall(callId, encodeCallParts({frame, clock}, connection.encoder));
 */
export class PeerConnection {
	readonly address: string;
	/** Ids of the calls without an answer. */
	readonly openCallIds = new Set<string>();
	/** Bytes received of each streamed answer, by call id. */
	readonly streamedBytes = new Map<string, number>();
	readonly encoder = new StringTableEncoder();
	readonly decoder = new StringTableDecoder();
	readonly #definition: PeerConnectionDefinition;
	readonly #upgradeRequest: ClientRequest;
	readonly #connectTimer: NodeJS.Timeout;
	#link: PeerLink | undefined;
	#isClosed = false;
	/** Frames to be sent once the link exists. */
	#queuedFrames: OutgoingFrame[] = [];
	#queuedBytes = 0;
	/** Bytes of the large calls that are not written yet, and what is held for them after their cancellation. */
	readonly #unsentCalls = new Map<string, {readonly bytes: number; held: Reservation | undefined}>();

	constructor(definition: PeerConnectionDefinition) {
		this.#definition = definition;
		this.address = addressOf(definition.peer);
		let partsLeft = connectTimeoutParts;
		this.#connectTimer = setInterval(() => {
			partsLeft -= 1;
			if (partsLeft === 0) {
				this.close(`no connection within ${connectTimeoutMilliseconds} ms`);
			}
		}, connectTimeoutMilliseconds / connectTimeoutParts);
		this.#upgradeRequest = this.#startUpgrade(definition.peer);
	}

	/** Whether the link exists or has existed, so that frames may have been sent. */
	get hasLink(): boolean {
		return this.#link !== undefined;
	}

	/** Whether so many bytes are unsent that further calls should go to another node. */
	get isCongested(): boolean {
		return this.#link?.isCongested ?? this.#queuedBytes > congestionBytes;
	}

	send(frame: OutgoingFrame): void {
		if (this.#link !== undefined || this.#isClosed) {
			this.#link?.send(frame);
			return;
		}

		this.#queuedFrames.push(frame);
		this.#queuedBytes += bytesOf(frame.content ?? []);
	}

	sendCall(callId: string, content: MessageParts): void {
		this.openCallIds.add(callId);
		const bytes = bytesOf(content);
		if (bytes <= largeFrameBytes) {
			this.send({type: FrameType.Call, content});
			return;
		}

		const unsentCall: {readonly bytes: number; held: Reservation | undefined} = {bytes, held: undefined};
		this.#unsentCalls.set(callId, unsentCall);
		this.send({
			type: FrameType.Call,
			content,
			written: () => {
				this.#unsentCalls.delete(callId);
				unsentCall.held?.release();
			},
		});
	}

	/**
	 * Sends a cancellation. The caller's reservation of the body ends with the call, so the unsent bytes are held from now on
	 * until they are written.
	 */
	sendCancellation(callId: string, content: Buffer): void {
		const unsentCall = this.#unsentCalls.get(callId);
		if (unsentCall !== undefined) {
			unsentCall.held ??= this.#definition.budget.hold(unsentCall.bytes);
		}

		this.send({type: FrameType.Cancellation, content: [content]});
	}

	/** Sends pings over a link with open calls and closes it when it no longer answers. Must be called several times per second. */
	checkLiveness(now: number): void {
		this.#link?.checkLiveness(this.openCallIds.size > 0, now);
	}

	close(reason: string): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		clearInterval(this.#connectTimer);
		this.#upgradeRequest.destroy();
		this.#link?.close(reason);
		this.#queuedFrames.map(({written}) => written?.());
		this.#queuedFrames = [];
		this.#definition.closed(this, reason);
	}

	#startUpgrade({host, peersPort}: PeerAddress): ClientRequest {
		const workReports = this.#definition.readsWorkReports ? {[workReportsHeader]: '1'} : {};
		const upgradeRequest = sendRequest({
			host, port: peersPort, path: '/calls', headers: {connection: 'upgrade', upgrade: linkProtocol, ...workReports}, agent: false,
		});
		upgradeRequest.once('upgrade', (_response, socket, head) => {
			clearInterval(this.#connectTimer);
			this.#attachLink(socket, head);
		});
		upgradeRequest.once('response', response => {
			response.resume();
			this.close(`the node answered the upgrade with status ${response.statusCode}`);
		});
		upgradeRequest.on('error', error => {
			this.close(error.message);
		});
		upgradeRequest.end();
		return upgradeRequest;
	}

	#attachLink(socket: Duplex, head: Buffer): void {
		const {received, clock, budget} = this.#definition;
		const receive = (frame: Frame): void => {
			this.#link?.recordReceipt(clock());
			received(this, frame);
		};

		const link = new PeerLink(socket, head, {
			received: receive,
			/** Large answers are held while they arrive, and never refused. */
			startLargeFrame({type, contentBytes}) {
				const held = budget.hold(contentBytes);
				return {
					complete(content) {
						try {
							receive({type, content});
						} finally {
							held.release();
						}
					},
					abandon() {
						held.release();
					},
				};
			},
			closed: reason => {
				this.close(reason);
			},
		});
		this.#link = link;
		link.recordReceipt(clock());
		this.#queuedFrames.map(frame => {
			link.send(frame);
			return frame;
		});
		this.#queuedFrames = [];
		this.#queuedBytes = 0;
	}
}

function bytesOf(content: readonly Uint8Array[]): number {
	return content.reduce((sum, part) => sum + part.length, 0);
}
