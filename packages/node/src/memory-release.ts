/**
 * Frees the memory of chunks before the garbage collector does.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import {MessageChannel} from 'node:worker_threads';

/** Smaller chunks are left to the garbage collector, since freeing one takes about a microsecond. */
const minimumBytes = 4096;

const {port1: closedPort, port2} = new MessageChannel();
closedPort.close();
port2.close();

/**
 * Frees the memory of a chunk, whose views become empty. The garbage collector lets some 40 MB of read chunks accumulate,
 * which a budget for bodies cannot count. A transfer to a closed port discards the memory at once.
 *
 * Has no effect on a chunk that shares its memory with others.
 *
 * @example
 * socket.on('data', chunk => freeChunk(chunk));
 */
export function freeChunk(chunk: Buffer): void {
	const {buffer, length} = chunk;
	if (length >= minimumBytes && buffer instanceof ArrayBuffer && buffer.byteLength === length) {
		closedPort.postMessage(undefined, [buffer]);
	}
}
