/**
 * Servers that send without end, as tests need them.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';

const mostSentBytes = 256 * 1024 * 1024;
const writeBytes = 65_536;

/** Sends a part again and again, as fast as it is read, until the other side closes; ends the connection after 256 MiB. */
export function flood(socket: Socket, part: string): void {
	const bytes = Buffer.from(part.repeat(Math.ceil(writeBytes / part.length)));
	const more = (): void => {
		if (!socket.destroyed && socket.bytesWritten < mostSentBytes) {
			socket.write(bytes, more);
		} else {
			socket.destroy();
		}
	};

	more();
}
