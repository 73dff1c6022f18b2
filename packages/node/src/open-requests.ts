/**
 * Requests of callers that are not answered yet, by the connection that they came on.
 *
 * @module
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** A request that waits for its answer. */
export type OpenRequest = {
	readonly response: ServerResponse;
	readonly socket: Socket;
	/** On the steady clock, in milliseconds. */
	readonly startedAt: number;
	/** The caller's own name for the request. */
	readonly requestId: string;
};

type Connection = {
	readonly entries: Set<number>;
	/** Number of the request that came last. */
	newest: number;
	/** Its last answer is decided, and tells the caller that it closes. */
	isClosing: boolean;
	/** What came on it behind its open requests cannot be read. */
	isBroken: boolean;
};

/**
 * Open requests by the number that the node gives them. When a connection ends, all its requests are told of: a
 * response that waits behind another of its connection does not hear of the end by itself.
 *
 * @example
 * const open = new OpenRequests(entryId => cancel(entryId));
 * open.add(7, {response, socket, startedAt, requestId});
 * open.take(7)?.response.end();
 */
export class OpenRequests {
	readonly #tellGone: (entryId: number) => void;
	readonly #requests = new Map<number, OpenRequest>();
	readonly #connections = new Map<Socket, Connection>();

	constructor(tellGone: (entryId: number) => void) {
		this.#tellGone = tellGone;
	}

	get size(): number {
		return this.#requests.size;
	}

	add(entryId: number, request: OpenRequest): void {
		const connection = this.#connectionOf(request.socket);
		this.#requests.set(entryId, request);
		connection.entries.add(entryId);
		connection.newest = entryId;
	}

	/** Takes a request out; undefined when it is not open, or no longer. */
	take(entryId: number): OpenRequest | undefined {
		const request = this.#requests.get(entryId);
		if (request !== undefined) {
			this.#requests.delete(entryId);
			this.#connections.get(request.socket)?.entries.delete(entryId);
		}

		return request;
	}

	/**
	 * Has a connection closed with the answer to a request, if no other came behind it; what comes later is not opened.
	 * Closing with an earlier answer would cut off those behind it.
	 */
	closeAfter(entryId: number, socket: Socket): boolean {
		const connection = this.#connections.get(socket);
		if (connection === undefined || connection.newest !== entryId) {
			return false;
		}

		connection.isClosing = true;
		return true;
	}

	/** Whether the last answer of a connection is decided. */
	isClosing(socket: Socket): boolean {
		return this.#connections.get(socket)?.isClosing ?? false;
	}

	/** Reads nothing more from a connection with open requests, so that they get their answers; false when it has none. */
	breakOff(socket: Socket): boolean {
		const connection = this.#connections.get(socket);
		if (connection === undefined || connection.entries.size === 0) {
			return false;
		}

		connection.isBroken = true;
		socket.pause();
		return true;
	}

	/** Whether nothing more can be read from a connection. */
	isBroken(socket: Socket): boolean {
		return this.#connections.get(socket)?.isBroken ?? false;
	}

	#connectionOf(socket: Socket): Connection {
		const known = this.#connections.get(socket);
		if (known !== undefined) {
			return known;
		}

		const connection: Connection = {
			entries: new Set(), newest: 0, isClosing: false, isBroken: false,
		};
		this.#connections.set(socket, connection);
		socket.once('close', () => {
			this.#connections.delete(socket);
			[...connection.entries].map(entryId => {
				this.#requests.delete(entryId);
				this.#tellGone(entryId);
				return entryId;
			});
		});
		return connection;
	}
}
