/**
 * Connections whose end and whose received bytes are checked in addition to the checks of undici.
 *
 * @module
 */
import {isIP, Socket} from 'node:net';
import {buildConnector} from 'undici';

/**
 * Allowance for received bytes outside the body, such as heads, interim answers and chunk sizes: a fixed part and a multiple
 * of the body limit.
 */
const overheadBytes = 256 * 1024;
const overheadFactor = 8;

/**
 * State of one connection. Its listeners run before those of undici, which reports the end of an answer in the same event.
 * If the connection has not ended at that time, the end of the answer was in the received bytes.
 */
export class WatchedConnection {
	readonly #socket: Socket;
	#hasAbnormalEnd = false;
	#answerCount = 0;
	#streamedBytes = 0;
	#isPaused = false;
	/** Whether a read was refused while the connection was paused. */
	#hasRefusedRead = false;

	constructor(socket: Socket) {
		this.#socket = socket;
		socket.read = size => this.#read(size);
		socket.on('end', () => {
			this.#hasAbnormalEnd = Reflect.get(Socket.prototype, 'remoteAddress', socket) === undefined;
		});
		for (const event of ['error', 'close']) {
			socket.on(event, () => {
				this.#hasAbnormalEnd = true;
			});
		}
	}

	/** Whether the connection was reset, failed or closed. An answer that ends with such a connection may be incomplete. */
	get hasAbnormalEnd(): boolean {
		return this.#hasAbnormalEnd;
	}

	/** Whether only one answer was received so far, so that it cannot be a duplicate answer to an earlier request. */
	get isFirstAnswer(): boolean {
		return this.#answerCount === 1;
	}

	/** Bytes of bodies that were passed on without being kept. They raise the limit on received bytes. */
	get streamedBytes(): number {
		return this.#streamedBytes;
	}

	countStreamed(bytes: number): void {
		this.#streamedBytes += bytes;
	}

	/** Called for the head of each final answer. */
	countAnswer(): void {
		this.#answerCount += 1;
	}

	/**
	 * Holds back all bytes that are not read yet, and the end that follows them. The parser of undici can be paused as well,
	 * but throws when its connection ends during the pause.
	 */
	pause(): void {
		this.#isPaused = true;
	}

	/** Undici is notified in a microtask, since its parsers must not be entered while one of them is running. */
	resume(): void {
		if (!this.#isPaused) {
			return;
		}

		this.#isPaused = false;
		queueMicrotask(() => {
			if (this.#hasRefusedRead && !this.#isPaused && !this.#socket.destroyed) {
				this.#hasRefusedRead = false;
				this.#socket.emit('readable');
			}
		});
	}

	/** Destroys the connection, so that no other request is sent over it. */
	close(): void {
		this.#socket.destroy();
	}

	#read(size: number | undefined): unknown {
		if (this.#isPaused) {
			this.#hasRefusedRead = true;
			return null;
		}

		return Socket.prototype.read.call(this.#socket, size);
	}
}

/**
 * Opens connections for undici and watches each of them.
 *
 * Node.js reports a reset that arrives together with the last bytes as an orderly end. The kernel distinguishes the two: it
 * no longer returns the peer address of a connection that was reset, but still returns that of one that ended in order.
 *
 * The bytes received since the last written request are limited, since undici reads some kinds of input without a limit.
 *
 * @example
 * const connections = new WatchedConnections(1000);
 * const pool = new Pool(url, {connect: connections.connect});
 */
export class WatchedConnections {
	readonly connect: buildConnector.connector;
	#readingConnection: WatchedConnection | undefined;
	#maximumBytes = overheadBytes;

	constructor(connectMilliseconds: number) {
		const connect = buildConnector({timeout: connectMilliseconds});
		this.connect = (options, callback) => {
			connect(options, (...result) => {
				// Undici adds its listeners in the callback, so the listeners added here run first.
				if (result[0] === null) {
					fixPeerAddress(result[1], options);
					this.#watch(result[1]);
				}

				callback(...result);
			});
		};
	}

	/** The connection whose bytes are currently processed. */
	get readingConnection(): WatchedConnection | undefined {
		return this.#readingConnection;
	}

	/** Raises the limit on received bytes so that it admits a body of the given size. */
	raiseByteLimit(bytes: number): void {
		this.#maximumBytes = Math.max(this.#maximumBytes, overheadBytes + (bytes * overheadFactor));
	}

	#watch(socket: Socket): void {
		const connection = new WatchedConnection(socket);
		let bytesWritten = 0;
		let bytesReadBefore = 0;
		let streamedBefore = 0;
		socket.on('readable', () => {
			this.#readingConnection = connection;
			if (socket.bytesWritten !== bytesWritten) {
				bytesWritten = socket.bytesWritten;
				bytesReadBefore = socket.bytesRead;
				streamedBefore = connection.streamedBytes;
			} else if (socket.bytesRead - bytesReadBefore > this.#maximumBytes + ((connection.streamedBytes - streamedBefore) * overheadFactor)) {
				socket.destroy(new Error(`Received more than ${this.#maximumBytes} bytes without a new request`));
			}
		});
	}
}

/**
 * Fixes the peer address that a socket reports. Node.js requests the peer address from the kernel only once per socket. With
 * fixed properties other readers don't trigger that request, so the one at the end of the connection is the first.
 */
function fixPeerAddress(socket: Socket, {hostname, port}: buildConnector.Options): void {
	Object.defineProperties(socket, {
		remoteAddress: {value: hostname},
		remotePort: {value: Number(port)},
		remoteFamily: {value: `IPv${isIP(hostname)}`},
	});
}
