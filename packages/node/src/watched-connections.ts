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
	#isEndingInOrder = false;
	#maximumBytes = bytesAround;

	constructor(connectMilliseconds: number) {
		const connect = buildConnector({timeout: connectMilliseconds});
		this.connect = (options, callback) => {
			connect(options, (...result) => {
				// The library adds its own listeners in the callback, so these run first. After a failure it gives the error alone.
				const [, socket] = result;
				if (socket instanceof Socket) {
					keepAddress(socket, options);
					this.#watchEnd(socket);
					this.#watchBytes(socket);
				}

				callback(...result);
			});
		};
	}

	/** Whether an orderly end of a connection is being told to its exchange at this moment. */
	get isEndingInOrder(): boolean {
		return this.#isEndingInOrder;
	}

	/** Makes room for a body of so many bytes. */
	allowBody(bytes: number): void {
		this.#maximumBytes = Math.max(this.#maximumBytes, bytesAround + (bytes * factorAround));
	}

	#watchEnd(socket: Socket): void {
		socket.on('end', () => {
			this.#isEndingInOrder = Reflect.get(Socket.prototype, 'remoteAddress', socket) !== undefined;
			queueMicrotask(() => {
				this.#isEndingInOrder = false;
			});
		});
	}

	#watchBytes(socket: Socket): void {
		let written = 0;
		let readBefore = 0;
		socket.on('readable', () => {
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
