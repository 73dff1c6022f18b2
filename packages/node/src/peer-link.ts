/**
 * One connection between two nodes that carries frames in both directions. It starts as an HTTP upgrade.
 *
 * @module
 */
import {type Buffer} from 'node:buffer';
import type {Duplex} from 'node:stream';
import {
	encodeFrameHeader, FrameReader, FrameType, type Frame, type LargeFrameReceiver, type StartedFrame, type StartLargeFrame,
} from '@laburnumspool/protocol';
import {joinSmallParts} from './write-parts.js';

/** Protocol name in the upgrade header. */
export const linkProtocol = 'laburnumspool-calls';

/**
 * Header of the upgrade by which an entry node states that it reads the work reports in answers. Nodes of earlier versions, and
 * nodes without cost-aware placement, do not send it and receive none.
 */
export const workReportsHeader = 'laburnumspool-work-reports';

const maximumFrameBytes = 80 * 1024 * 1024;

/** Unsent bytes above which a link counts as congested. */
export const congestionBytes = 4 * 1024 * 1024;

/** Time without received data after which a ping is sent while data is expected. */
const pingIntervalMilliseconds = 700;

/** Time without received data after which a link counts as lost, provided that a ping was sent. */
const linkTimeoutMilliseconds = 1600;

/** A frame to be sent. */
export type OutgoingFrame = {
	readonly type: FrameType;
	/** Content in parts, which must not change until they are written. */
	readonly content?: readonly Uint8Array[];
	/** Called once, when the frame has been written or will never be. */
	readonly written?: () => void;
};

export type PeerLinkHandlers = {
	readonly received: (frame: Frame) => void;
	/** Decides about a frame above `largeFrameBytes`, which is then not passed to `received`. */
	readonly startLargeFrame: StartLargeFrame<FrameType>;
	/** Called exactly once; no other handler is called afterwards. */
	readonly closed: (reason: string) => void;
};

/**
 * Sends and receives frames over an upgraded socket.
 *
 * @example
 * const link = new PeerLink(socket, head, {received: frame => handle(frame), startLargeFrame, closed: reason => reconnect(reason)});
 * link.send({type: FrameType.Call, content: encodeCallParts({frame, clock}, encoder)});
 */
export class PeerLink {
	readonly #socket: Duplex;
	readonly #handlers: PeerLinkHandlers;
	readonly #reader: FrameReader;
	#isClosed = false;
	/** Headers and contents of the frames sent during this turn of the event loop. */
	#pendingParts: Uint8Array[] = [];
	#pendingBytes = 0;
	/** To be called when the frames of this turn have been written. */
	#pendingWritten: Array<() => void> = [];
	/** To be called when frames that were passed to the socket have been written. */
	readonly #unwritten = new Set<() => void>();
	#receivedAt = 0;
	#pingSentAt = 0;

	constructor(socket: Duplex, head: Buffer, handlers: PeerLinkHandlers) {
		this.#socket = socket;
		this.#handlers = handlers;
		this.#reader = new FrameReader(maximumFrameBytes, frame => this.#startLargeFrame(frame));
		if (head.length > 0) {
			socket.unshift(head);
		}

		socket.on('data', (chunk: Buffer) => {
			this.#receive(chunk);
		});
		// The socket of an HTTP server stays open for writing after the other side has ended it.
		socket.once('end', () => {
			this.close('the connection was ended');
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
		return this.#pendingBytes + this.#socket.writableLength > congestionBytes;
	}

	/** Whether bytes of frames are still in the memory of this process. */
	get hasUnsentBytes(): boolean {
		return this.#pendingParts.length > 0 || this.#socket.writableLength > 0;
	}

	/** Sends a frame. Frames of one turn of the event loop are written together. Nothing is sent on a closed link. */
	send({type, content = [], written}: OutgoingFrame): void {
		if (this.#isClosed) {
			written?.();
			return;
		}

		if (this.#pendingParts.length === 0) {
			setImmediate(() => {
				this.#flush();
			});
		}

		const contentBytes = content.reduce((sum, part) => sum + part.length, 0);
		const header = encodeFrameHeader(type, contentBytes);
		this.#pendingParts.push(header, ...content);
		this.#pendingBytes += header.length + contentBytes;
		if (written !== undefined) {
			this.#pendingWritten.push(written);
		}
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
			this.send({type: FrameType.Ping});
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
		this.#reader.abandon();
		const written = [...this.#unwritten, ...this.#pendingWritten];
		this.#unwritten.clear();
		this.#pendingWritten = [];
		written.map(notify => {
			notify();
			return notify;
		});
		this.#handlers.closed(reason);
	}

	/** Writes all parts with one system call where the socket takes them. */
	#flush(): void {
		const parts = joinSmallParts(this.#pendingParts);
		const written = this.#pendingWritten;
		this.#pendingParts = [];
		this.#pendingBytes = 0;
		this.#pendingWritten = [];
		if (this.#isClosed) {
			return;
		}

		written.map(notify => this.#unwritten.add(notify));
		this.#socket.cork();
		parts.map((part, index) => this.#socket.write(part, index === parts.length - 1 && written.length > 0
			? () => {
				this.#notifyWritten(written);
			}
			: undefined));
		this.#socket.uncork();
	}

	/** The functions may have been called already, when the link was closed. */
	#notifyWritten(written: ReadonlyArray<() => void>): void {
		written.filter(notify => this.#unwritten.delete(notify)).map(notify => {
			notify();
			return notify;
		});
	}

	#receive(chunk: Buffer): void {
		try {
			this.#reader.read(chunk, frame => {
				if (frame.type === FrameType.Ping) {
					this.send({type: FrameType.Pong});
				} else {
					this.#handlers.received(frame);
				}
			});
		} catch (error) {
			this.close(error instanceof Error ? error.message : String(error));
		}
	}

	/** A receiver that is created while the link closes is abandoned at once. */
	#startLargeFrame(frame: StartedFrame<FrameType>): LargeFrameReceiver | undefined {
		const receiver = this.#handlers.startLargeFrame(frame);
		if (this.#isClosed) {
			receiver?.abandon();
		}

		return this.#isClosed ? undefined : receiver;
	}
}
