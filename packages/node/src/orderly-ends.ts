/**
 * Tells a connection that its other side has ended in order from one that was reset.
 *
 * @module
 */
import {type Socket} from 'node:net';
import {buildConnector} from 'undici';

/**
 * Connects, and watches how each connection ends. The runtime reports a reset that comes together with the last bytes as
 * an end. The kernel knows better: it has forgotten the peer of a connection that was reset, and still knows that of one
 * that has ended in order.
 *
 * @example
 * const ends = new OrderlyEnds(1000);
 * const pool = new Pool(url, {connect: ends.connect});
 */
export class OrderlyEnds {
	readonly connect: buildConnector.connector;
	#isTelling = false;

	constructor(connectMilliseconds: number) {
		const connect = buildConnector({timeout: connectMilliseconds});
		this.connect = (options, callback) => {
			connect(options, (...result) => {
				// The library adds its own listener in the callback, so this one runs first.
				result[1]?.on('end', () => {
					this.#tell(result[1]);
				});
				callback(...result);
			});
		};
	}

	/** Whether an orderly end of a connection is being told to its exchange at this moment. */
	get isTelling(): boolean {
		return this.#isTelling;
	}

	/** The address of the peer is kept once it was read; nobody reads it before. */
	#tell(socket: Socket): void {
		this.#isTelling = socket.remoteAddress !== undefined;
		queueMicrotask(() => {
			this.#isTelling = false;
		});
	}
}
