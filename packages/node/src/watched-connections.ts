/**
 * Connections whose end and whose bytes are watched beside the client library.
 *
 * @module
 */
import {isIP, Socket} from 'node:net';
import {buildConnector} from 'undici';

/** Room for what stands around the bytes of a body: heads, interim answers, sizes of chunks. */
const bytesAround = 256 * 1024;
const factorAround = 8;

/**
 * What is known of one connection. Its listeners come before those of the library, which tells an exchange of the end of
 * its answer in the same event: as long as the connection has not ended, the end of the answer stood in its bytes.
 */
export class WatchedConnection {
	readonly #socket: Socket;
	#isCut = false;
	#answerCount = 0;

	constructor(socket: Socket) {
		this.#socket = socket;
		socket.on('end', () => {
			this.#isCut = Reflect.get(Socket.prototype, 'remoteAddress', socket) === undefined;
		});
		for (const event of ['error', 'close']) {
			socket.on(event, () => {
				this.#isCut = true;
			});
		}
	}

	/** Whether it has ended other than in order, so that what ends with it may not be whole. */
	get isCut(): boolean {
		return this.#isCut;
	}

	/** Whether the answer that came last is the first one, so that it cannot be a second one to an earlier request. */
	get isFirstAnswer(): boolean {
		return this.#answerCount === 1;
	}

	/** Notes the head of an answer. */
	countAnswer(): void {
		this.#answerCount += 1;
	}

	/** Has no other request sent over it. */
	close(): void {
		this.#socket.destroy();
	}
}

/**
 * Connects, and watches each connection.
 *
 * The runtime reports a reset that comes together with the last bytes as an end. The kernel knows better: it has forgotten
 * the peer of a connection that was reset, and still knows that of one that has ended in order.
 *
 * Bytes that come for no new request are bounded, since the library reads some of them without end.
 *
 * @example
 * const connections = new WatchedConnections(1000);
 * const pool = new Pool(url, {connect: connections.connect});
 */
export class WatchedConnections {
	readonly connect: buildConnector.connector;
	#reading: WatchedConnection | undefined;
	#maximumBytes = bytesAround;

	constructor(connectMilliseconds: number) {
		const connect = buildConnector({timeout: connectMilliseconds});
		this.connect = (options, callback) => {
			connect(options, (...result) => {
				// The library adds its own listeners in the callback, so these run first.
				if (result[0] === null) {
					keepAddress(result[1], options);
					this.#watch(result[1]);
				}

				callback(...result);
			});
		};
	}

	/** The connection whose bytes are being read at this moment. */
	get reading(): WatchedConnection | undefined {
		return this.#reading;
	}

	/** Makes room for a body of so many bytes. */
	allowBody(bytes: number): void {
		this.#maximumBytes = Math.max(this.#maximumBytes, bytesAround + (bytes * factorAround));
	}

	#watch(socket: Socket): void {
		const connection = new WatchedConnection(socket);
		let written = 0;
		let readBefore = 0;
		socket.on('readable', () => {
			this.#reading = connection;
			if (socket.bytesWritten !== written) {
				written = socket.bytesWritten;
				readBefore = socket.bytesRead;
			} else if (socket.bytesRead - readBefore > this.#maximumBytes) {
				socket.destroy(new Error('Bytes come without end'));
			}
		});
	}
}

/** The runtime asks the kernel for the peer once; others get its address from here, so that the look at the end is that one. */
function keepAddress(socket: Socket, {hostname, port}: buildConnector.Options): void {
	Object.defineProperties(socket, {
		remoteAddress: {value: hostname},
		remotePort: {value: Number(port)},
		remoteFamily: {value: `IPv${isIP(hostname)}`},
	});
}
