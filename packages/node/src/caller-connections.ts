/**
 * Limit on the number of callers' connections.
 *
 * @module
 */
import type {Socket} from 'node:net';

export type CallerConnectionsDefinition = {
	readonly maximumConnections: number;
	/** Whether a connection has a request without an answer, or unsent bytes of one. */
	readonly isBusy: (socket: Socket) => boolean;
	/** Called for each connection that is closed because of the limit. */
	readonly observeClosed: () => void;
};

/**
 * Keeps the number of connections at the limit: a new connection replaces the one that has been idle for longest, or is
 * closed when all are busy.
 *
 * @example
 * const connections = new CallerConnections({maximumConnections: 3000, isBusy, observeClosed});
 * server.on('connection', socket => connections.add(socket));
 */
export class CallerConnections {
	readonly #definition: CallerConnectionsDefinition;
	/** Ordered by last use. */
	readonly #sockets = new Set<Socket>();

	constructor(definition: CallerConnectionsDefinition) {
		this.#definition = definition;
	}

	get size(): number {
		return this.#sockets.size;
	}

	add(socket: Socket): void {
		if (this.#sockets.size >= this.#definition.maximumConnections) {
			const closed = this.#findLongestIdle() ?? socket;
			this.#sockets.delete(closed);
			closed.destroy();
			this.#definition.observeClosed();
		}

		if (!socket.destroyed) {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		}
	}

	/** Records that a request started or ended on a connection. */
	use(socket: Socket): void {
		if (this.#sockets.delete(socket)) {
			this.#sockets.add(socket);
		}
	}

	#findLongestIdle(): Socket | undefined {
		// Copying all connections into an array for each new one would take longer than the loop, which ends at the first idle one.
		for (const socket of this.#sockets) {
			if (!this.#definition.isBusy(socket)) {
				return socket;
			}
		}

		return undefined;
	}
}
