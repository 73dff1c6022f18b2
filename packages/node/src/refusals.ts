/**
 * Refusals of callers' requests, and the end of connections whose requests are not read to their end.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {hasBody, sendProblem, toCallError} from './http-messages.js';
import {freeChunk} from './memory-release.js';

/** Longest time for which a connection is read after the last answer on it. */
const closingMilliseconds = 2000;

/** Bytes that are read and discarded after a refusal, for a caller that sends its whole body before it reads the answer. */
const discardedBytes = 256 * 1024;

/** Connections that are destroyed after a delay. */
const closingSockets = new WeakSet<Socket>();

/** Connections that close with a refusal. */
const refusedSockets = new WeakSet<Socket>();

/** Whether the connection closes with a refusal, so that no further request on it may be handled. */
export function isRefused(socket: Socket): boolean {
	return refusedSockets.has(socket);
}

/**
 * Makes the last answer on a connection end it but not destroy it, so that what the caller has sent behind its last request
 * is read. The kernel resets a connection that is closed with unread bytes, and drops the answer that it has not sent yet.
 */
export function readUntilClosed(socket: Socket): void {
	socket.destroySoon = () => {
		socket.end();
		closeAfterDelay(socket);
	};
}

/** Destroys a connection two seconds after its last answer, unless the caller closes it before. */
export function closeAfterDelay(socket: Socket): void {
	if (closingSockets.has(socket)) {
		return;
	}

	closingSockets.add(socket);
	const timer = setTimeout(() => socket.destroy(), closingMilliseconds);
	socket.once('close', () => {
		clearTimeout(timer);
	});
}

/**
 * Answers with an error. When the request was not read to its end, the answer closes the connection, and the rest is
 * discarded without being parsed.
 *
 * @example
 * refuse(request, response, new LaburnumspoolError(ErrorKind.Overloaded, 'The node has too many open requests'));
 */
export function refuse(request: IncomingMessage, response: ServerResponse, error: unknown): void {
	const {socket} = request;
	if (!socket.writable) {
		return;
	}

	if (hasBody(request) && !request.complete) {
		refusedSockets.add(socket);
		response.shouldKeepAlive = false;
		readUntilClosed(socket);
		const {destroySoon} = socket;
		socket.destroySoon = () => {
			discardWithoutParsing(socket);
			destroySoon();
		};
	}

	sendProblem(response, toCallError(error));
}

/** Replaces the HTTP parser by a listener that discards a limited number of bytes, and then leaves the rest unread. */
function discardWithoutParsing(socket: Socket): void {
	socket.removeAllListeners('data');
	let bytes = 0;
	// The HTTP server detaches its parser from the connection when a listener is added.
	socket.on('data', (chunk: Buffer) => {
		bytes += chunk.length;
		freeChunk(chunk);
		if (bytes >= discardedBytes) {
			socket.pause();
		}
	});
	socket.resume();
}
