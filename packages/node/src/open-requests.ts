/**
 * Requests of callers without an answer, grouped by connection.
 *
 * @module
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Reservation} from './memory-budget.js';
import type {StreamedAnswer} from './streamed-answer.js';

export type OpenRequest = {
	readonly response: ServerResponse;
	readonly socket: Socket;
	/** On the monotonic clock, in milliseconds. */
	readonly startedAt: number;
	/** Request id that the caller sent; empty when it sent none. */
	readonly requestId: string;
	/** Whether it is the first request on its connection. */
	readonly isFirst: boolean;
	/** Memory of the body, released with the answer or at the end of the connection; undefined without a body. */
	readonly reservation: Reservation | undefined;
	/** The streamed answer that has begun; undefined before. */
	streamedAnswer?: StreamedAnswer;
};

type Connection = {
	readonly entryIds: Set<number>;
	/** Entry id of the latest request. */
	newestEntryId: number;
	/** The last answer is sent or queued, and announces that the connection closes. */
	isClosing: boolean;
	/** No further request can be read from it. */
	isUnreadable: boolean;
};

/**
 * Open requests by entry id. When a connection closes, all its open requests are reported: a response that is queued
 * behind another one of the same connection receives no close event of its own.
 *
 * @example
 * const open = new OpenRequests(entryId => cancel(entryId));
 * open.add(7, {response, socket, startedAt, requestId, isFirst: true, reservation: undefined});
 * open.remove(7)?.response.end();
 */
export class OpenRequests {
	readonly #reportDisconnect: (entryId: number) => void;
	readonly #requests = new Map<number, OpenRequest>();
	readonly #connections = new Map<Socket, Connection>();

	constructor(reportDisconnect: (entryId: number) => void) {
		this.#reportDisconnect = reportDisconnect;
	}

	get size(): number {
		return this.#requests.size;
	}

	get values(): readonly OpenRequest[] {
		return [...this.#requests.values()];
	}

	add(entryId: number, request: OpenRequest): void {
		const connection = this.#connectionOf(request.socket);
		this.#requests.set(entryId, request);
		connection.entryIds.add(entryId);
		connection.newestEntryId = entryId;
	}

	get(entryId: number): OpenRequest | undefined {
		return this.#requests.get(entryId);
	}

	/** Removes and returns a request; undefined when it is not open. */
	remove(entryId: number): OpenRequest | undefined {
		const request = this.#requests.get(entryId);
		if (request !== undefined) {
			this.#requests.delete(entryId);
			this.#connections.get(request.socket)?.entryIds.delete(entryId);
			request.reservation?.release();
		}

		return request;
	}

	/**
	 * Marks a connection to be closed with the answer to a request, so that no later request on it is opened. Returns false
	 * when a later request is already open, because closing with this answer would discard the later answers.
	 */
	closeWithAnswer(entryId: number, socket: Socket): boolean {
		const connection = this.#connections.get(socket);
		if (connection === undefined || connection.newestEntryId !== entryId) {
			return false;
		}

		connection.isClosing = true;
		return true;
	}

	/** Whether bytes of answers are still in the memory of this process, for callers that read slowly. */
	get hasUnsentBytes(): boolean {
		return [...this.#connections.keys()].some(socket => socket.writableLength > 0);
	}

	/** Whether no request was opened on a connection so far. */
	isUnused(socket: Socket): boolean {
		return !this.#connections.has(socket);
	}

	/** Whether the connection closes with an answer that is already sent or queued. */
	isClosing(socket: Socket): boolean {
		return this.#connections.get(socket)?.isClosing ?? false;
	}

	/** Stops reading from a connection, so that its open requests still get their answers. Returns false when it has no open requests. */
	stopReading(socket: Socket): boolean {
		const connection = this.#connections.get(socket);
		if (connection === undefined || connection.entryIds.size === 0) {
			return false;
		}

		connection.isUnreadable = true;
		socket.pause();
		return true;
	}

	/** Whether a connection has requests without an answer. */
	hasOpen(socket: Socket): boolean {
		return (this.#connections.get(socket)?.entryIds.size ?? 0) > 0;
	}

	/** Whether no further request can be read from a connection. */
	isUnreadable(socket: Socket): boolean {
		return this.#connections.get(socket)?.isUnreadable ?? false;
	}

	#connectionOf(socket: Socket): Connection {
		const existing = this.#connections.get(socket);
		if (existing !== undefined) {
			return existing;
		}

		const connection: Connection = {
			entryIds: new Set(), newestEntryId: 0, isClosing: false, isUnreadable: false,
		};
		this.#connections.set(socket, connection);
		socket.once('close', () => {
			this.#connections.delete(socket);
			[...connection.entryIds].map(entryId => {
				this.#requests.get(entryId)?.reservation?.release();
				this.#requests.delete(entryId);
				this.#reportDisconnect(entryId);
				return entryId;
			});
		});
		return connection;
	}
}
