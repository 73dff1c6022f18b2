/**
 * One connection between two nodes that carries frames in both directions. It starts as an HTTP upgrade.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {Duplex} from 'node:stream';
import {
	encodeFrameHeader, FrameReader, FrameType, type Frame,
} from '@laburnumspool/protocol';

/** Protocol name in the upgrade header. */
export const linkProtocol = 'laburnumspool-calls';

/**
 * Header of the upgrade by which an entry node states that it reads the work reports in answers. Nodes of earlier versions, and
 * nodes without cost-aware placement, do not send it and receive none.
 */
export const workReportsHeader = 'laburnumspool-work-reports';

const maximumFrameBytes = 80 * 1024 * 1024;

/** Unsent bytes above which a link counts as congested. */
const congestionBytes = 4 * 1024 * 1024;

/** Time without received data after which a ping is sent while data is expected. */
const pingIntervalMilliseconds = 700;

/** Time without received data after which a link counts as lost, provided that a ping was sent. */
const linkTimeoutMilliseconds = 1600;

const emptyContent = Buffer.alloc(0);

export type PeerLinkHandlers = {
	readonly received: (frame: Frame) => void;
	/** Called exactly once; no other handler is called afterwards. */
	readonly closed: (reason: string) => void;
};

/**
 * Sends and receives frames over an upgraded socket.
 *
 * @example
 * const link = new PeerLink(socket, head, {received: frame => handle(frame), closed: reason => reconnect(reason)});
 * link.send(FrameType.Call, encodeCall({frame, clock}));
 */
export class PeerLink {
	readonly #socket: Duplex;
	readonly #handlers: PeerLinkHandlers;
	readonly #reader = new FrameReader(maximumFrameBytes);
	#isClosed = false;
	/** Headers and contents of the frames sent during this turn of the event loop. */
	#pendingParts: Buffer[] = [];
	#receivedAt = 0;
	#pingSentAt = 0;

	constructor(socket: Duplex, head: Buffer, handlers: PeerLinkHandlers) {
		this.#socket = socket;
		this.#handlers = handlers;
		if (head.length > 0) {
			socket.unshift(head);
		}

		socket.on('data', (chunk: Buffer) => {
			this.#receive(chunk);
		});
		socket.once('error', error => {
			this.close(error.message);
		});
		socket.once('close', () => {
			this.close('the connection was closed');
		});
	}

	/** Whether so many bytes are unsent that further calls should go to another node. */
	get isCongested(): boolean {
		return this.#socket.writableLength > congestionBytes;
	}

	/** Whether bytes of frames are still in the memory of this process. */
	get hasUnsentBytes(): boolean {
		return this.#pendingParts.length > 0 || this.#socket.writableLength > 0;
	}

	/** Sends a frame. Frames of one turn of the event loop are written together. Does nothing on a closed link. */
	send(type: FrameType, content: Buffer = emptyContent): void {
		if (this.#isClosed) {
			return;
		}

		if (this.#pendingParts.length === 0) {
			setImmediate(() => {
				this.#flush();
			});
		}

		this.#pendingParts.push(encodeFrameHeader(type, content.length), content);
	}

	/** Sends pings while data is expected, and closes the link when no data arrives. Must be called several times per second. */
	checkLiveness(expectsData: boolean, now: number): void {
		if (!expectsData || this.#isClosed) {
			this.#receivedAt = now;
			this.#pingSentAt = now;
			return;
		}

		if (now - this.#receivedAt >= linkTimeoutMilliseconds && this.#pingSentAt > this.#receivedAt) {
			this.close(`no data received for ${linkTimeoutMilliseconds} ms`);
			return;
		}

		if (now - Math.max(this.#pingSentAt, this.#receivedAt) >= pingIntervalMilliseconds) {
			this.#pingSentAt = now;
			this.send(FrameType.Ping);
		}
	}

	/** Records that data was received at the given time. */
	recordReceipt(now: number): void {
		this.#receivedAt = now;
	}

	close(reason: string): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#socket.destroy();
		this.#handlers.closed(reason);
	}

	/** Writes all parts at once, which costs less than one write per part. */
	#flush(): void {
		const pendingParts = this.#pendingParts;
		this.#pendingParts = [];
		if (!this.#isClosed) {
			this.#socket.write(Buffer.concat(pendingParts));
		}
	}

	#receive(chunk: Buffer): void {
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
