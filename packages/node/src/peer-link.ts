/**
 * One connection between two nodes, over which frames go both ways: an HTTP exchange that both sides upgrade.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {Duplex} from 'node:stream';
import {
	encodeFrameHeader, FrameReader, FrameType, type Frame,
} from '@laburnumspool/protocol';

/** Name of the protocol in the upgrade. */
export const linkProtocol = 'laburnumspool-calls';

const maximumFrameBytes = 80 * 1024 * 1024;

/** Bytes that may wait for a slow reader before the link counts as congested. */
const congestedBytes = 4 * 1024 * 1024;

/** Silence after which a sign of life is asked for while something is expected, and after which the link counts as lost. */
const pingMilliseconds = 700;
const silenceMilliseconds = 1600;
const nothing = Buffer.alloc(0);

/** What the owner of a link is told. */
export type PeerLinkHandlers = {
	readonly received: (frame: Frame) => void;
	/** Told once; nothing comes after it. */
	readonly closed: (reason: string) => void;
};

/**
 * A link.
 *
 * @example
 * const link = new PeerLink(socket, head, {received: frame => take(frame), closed: reason => forget(reason)});
 * link.send(FrameType.Call, encodeCall({frame, clock}));
 */
export class PeerLink {
	readonly #socket: Duplex;
	readonly #handlers: PeerLinkHandlers;
	readonly #reader = new FrameReader(maximumFrameBytes);
	#isClosed = false;
	/** Frames of this turn of the event loop. */
	#unsent: Buffer[] = [];
	#heardAt = 0;
	#pingedAt = 0;

	constructor(socket: Duplex, head: Buffer, handlers: PeerLinkHandlers) {
		this.#socket = socket;
		this.#handlers = handlers;
		if (head.length > 0) {
			socket.unshift(head);
		}

		socket.on('data', (chunk: Buffer) => {
			this.#take(chunk);
		});
		socket.once('error', error => {
			this.close(error.message);
		});
		socket.once('close', () => {
			this.close('the connection was closed');
		});
	}

	/** Whether so much waits for the other side that more had better go elsewhere. */
	get isCongested(): boolean {
		return this.#socket.writableLength > congestedBytes;
	}

	/** Sends a frame; frames of one turn of the event loop leave together. */
	send(type: FrameType, content: Buffer = nothing): void {
		if (this.#isClosed) {
			return;
		}

		if (this.#unsent.length === 0) {
			setImmediate(() => {
				this.#flush();
			});
		}

		this.#unsent.push(encodeFrameHeader(type, content.length), content);
	}

	/** Asks for signs of life while something is expected; closes a link that has gone silent. Call it a few times a second. */
	watch(isExpecting: boolean, now: number): void {
		if (!isExpecting || this.#isClosed) {
			this.#heardAt = now;
			this.#pingedAt = now;
			return;
		}

		if (now - this.#heardAt >= silenceMilliseconds && this.#pingedAt > this.#heardAt) {
			this.close('nothing was heard from the other side');
			return;
		}

		if (now - Math.max(this.#pingedAt, this.#heardAt) >= pingMilliseconds) {
			this.#pingedAt = now;
			this.send(FrameType.Ping);
		}
	}

	/** Notes that something came; call it with the time at which it was read. */
	heard(now: number): void {
		this.#heardAt = now;
	}

	close(reason: string): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#socket.destroy();
		this.#handlers.closed(reason);
	}

	/** One write costs less than one for each part. */
	#flush(): void {
		const unsent = this.#unsent;
		this.#unsent = [];
		if (!this.#isClosed) {
			this.#socket.write(Buffer.concat(unsent));
		}
	}

	#take(chunk: Buffer): void {
		try {
			this.#reader.push(chunk).map(frame => {
				if (frame.type === FrameType.Ping) {
					this.send(FrameType.Pong);
				} else {
					this.#handlers.received(frame);
				}

				return frame;
			});
		} catch (error) {
			this.close(error instanceof Error ? error.message : String(error));
		}
	}
}
