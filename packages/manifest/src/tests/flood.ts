/**
 * Test helper for servers whose answers do not end.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';

const maximumSentBytes = 256 * 1024 * 1024;
const chunkBytes = 65_536;

/** Sends a part repeatedly, as fast as the client reads, until the client closes the connection. Closes it itself after 256 MiB. */
export function flood(socket: Socket, part: string): void {
	const chunk = Buffer.from(part.repeat(Math.ceil(chunkBytes / part.length)));
	const writeChunk = (): void => {
		if (!socket.destroyed && socket.bytesWritten < maximumSentBytes) {
			socket.write(chunk, writeChunk);
		} else {
			socket.destroy();
		}
	};

	writeChunk();
}
