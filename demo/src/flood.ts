/**
 * Floods of callers on plain sockets that send large bodies, and readings of a node's process.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {readdirSync, readFileSync} from 'node:fs';
import {connect, type Socket} from 'node:net';
import type {Instance} from './system.js';

const pieceBytes = 64 * 1024;
/** Time after which a member that the node neither reads nor closes stops sending. */
const sendingMilliseconds = 10_000;

/** What each connection of a flood sends. */
export type FloodRequest = {
	/** Value of the content length; without it the body is sent in chunks. */
	readonly announcedBytes?: number;
	/** Bytes on the wire after the head. */
	readonly sentBytes: number;
	/** Content that is repeated until `sentBytes` are sent. */
	readonly pattern: Buffer;
	/** Bytes of one write. */
	readonly writeBytes: number;
};

/** Body in one write. */
export const whole = (announcedBytes: number, sentBytes: number): FloodRequest => ({
	announcedBytes, sentBytes, pattern: Buffer.alloc(sentBytes, 'a'), writeBytes: sentBytes,
});

/** Body in writes of 64 KiB. */
export const inPieces = (announcedBytes: number, sentBytes: number): FloodRequest => ({
	announcedBytes, sentBytes, pattern: Buffer.alloc(pieceBytes, 'a'), writeBytes: pieceBytes,
});

/** Body without a length, in chunks of the given size and without the last chunk. */
export const inChunks = (chunkBytes: number, bodyBytes: number): FloodRequest => {
	const chunk = Buffer.from(`${chunkBytes.toString(16)}\r\n${'a'.repeat(chunkBytes)}\r\n`);
	const pattern = Buffer.alloc(chunk.length * Math.ceil(pieceBytes / chunk.length), chunk);
	return {sentBytes: Math.floor(bodyBytes / chunkBytes) * chunk.length, pattern, writeBytes: pattern.length};
};

/** A flood, whose connections stay open until it is closed. */
export type Flood = {
	/** Resolves when each connection has sent its bytes, is closed, or is not read for 10 s. */
	readonly sent: Promise<unknown>;
	readonly close: () => void;
};

/**
 * Opens the connections of a flood and starts sending.
 *
 * @example
 * const flood = startFlood('127.0.0.1:7001', '/uploads/files', 70, whole(8_000_000, 7_999_990));
 * await flood.sent;
 */
export function startFlood(address: string, path: string, connections: number, request: FloodRequest): Flood {
	const [host, port] = address.split(':');
	const framing = request.announcedBytes === undefined ? 'transfer-encoding: chunked' : `content-length: ${request.announcedBytes}`;
	const head = `POST ${path} HTTP/1.1\r\nhost: h\r\n${framing}\r\n\r\n`;
	const sockets = Array.from({length: connections}, () => {
		const socket = connect(Number(port), host);
		socket.on('error', () => undefined);
		socket.resume();
		socket.write(head);
		return socket;
	});
	return {
		sent: Promise.all(sockets.map(async socket => sendUntilClosed(socket, request))),
		close() {
			sockets.map(socket => socket.destroy());
		},
	};
}

async function sendUntilClosed(socket: Socket, request: FloodRequest): Promise<void> {
	const abort = new AbortController();
	const timer = setTimeout(() => {
		abort.abort();
	}, sendingMilliseconds);
	socket.once('close', () => {
		abort.abort();
	});
	try {
		await sendFrom(socket, request, 0, abort.signal);
	} catch {
		// The node has closed the connection, or does not read it.
	}

	clearTimeout(timer);
}

async function sendFrom(socket: Socket, request: FloodRequest, firstByte: number, signal: AbortSignal): Promise<void> {
	const {sentBytes, pattern, writeBytes} = request;
	for (let position = firstByte; position < sentBytes; position += writeBytes) {
		signal.throwIfAborted();
		if (!socket.write(pattern.subarray(0, Math.min(writeBytes, sentBytes - position)))) {
			await once(socket, 'drain', {signal}); // eslint-disable-line no-await-in-loop
		}
	}
}

/** State of a node's process; the sizes are undefined when it has ended. */
export type ProcessReading = {
	readonly isAlive: boolean;
	/** Largest resident memory since the start, in bytes (VmHWM). */
	readonly peakBytes: number | undefined;
	/** Present resident memory in bytes (VmRSS). */
	readonly residentBytes: number | undefined;
	readonly descriptors: number | undefined;
};

/** Reads the state of a node's process from /proc. */
export function readProcess({node: {child}}: Instance): ProcessReading {
	const ended = {
		isAlive: false, peakBytes: undefined, residentBytes: undefined, descriptors: undefined,
	};
	if (child.exitCode !== null || child.signalCode !== null) {
		return ended;
	}

	try {
		const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
		const bytesOf = (name: string): number => Number(new RegExp(String.raw`^${name}:\s+(\d+) kB$`, 'mu').exec(status)?.[1]) * 1024;
		return {
			isAlive: true, peakBytes: bytesOf('VmHWM'), residentBytes: bytesOf('VmRSS'), descriptors: readdirSync(`/proc/${child.pid}/fd`).length,
		};
	} catch {
		return ended;
	}
}
