/**
 * Turns of the connections whose bodies arrive in very small chunks.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {Socket} from 'node:net';

/** Average size below which chunks are very small. Each chunk takes processor time, whatever its size. */
const smallChunkBytes = 256;

/** Bytes of chunks, with their sizes and line ends, that are read before the average counts. */
const uncheckedBytes = 64 * 1024;

/** Size and line ends of a small chunk. */
const chunkFrameBytes = 6;

/** Pause after a read, as a multiple of its duration. With 3, all small chunks together take a quarter of the time. */
const pauseFactor = 3;

/** Shortest time between two turns. */
const minimumPauseMilliseconds = 1;

/**
 * Whether a body of so many chunks and bytes arrives in very small chunks.
 *
 * @example
 * hasSmallChunks(20_000, 20_000); // true
 */
export function hasSmallChunks(chunkCount: number, bodyBytes: number): boolean {
	return bodyBytes < chunkCount * smallChunkBytes && bodyBytes + (chunkCount * chunkFrameBytes) >= uncheckedBytes;
}

/** Start and end of the processing of the bytes of one read, on the monotonic clock. */
type Read = {readonly startedAt: number; lastChunkAt: number};

/**
 * Pauses each connection after one read (of up to 64 KiB), and resumes the paused ones one after the other.
 *
 * @example
 * const turns = new ChunkTurns();
 * turns.wait(socket); // for each chunk of a body in very small chunks
 */
export class ChunkTurns {
	readonly #waiting = new Map<Socket, Read>();
	#nextTurnAt = 0;
	#timer: NodeJS.Timeout | undefined;

	/** Pauses a connection until its turn. Called for each small chunk while it is processed. */
	wait(socket: Socket): void {
		const now = performance.now();
		const known = this.#waiting.get(socket);
		if (known !== undefined) {
			known.lastChunkAt = now;
			return;
		}

		const read: Read = {startedAt: now, lastChunkAt: now};
		this.#waiting.set(socket, read);
		socket.pause();
		// The HTTP server resumes a connection whenever the body can take more bytes.
		socket.resume = () => socket;
		// Runs when all bytes that were read are processed.
		setImmediate(() => {
			this.#nextTurnAt = Math.max(now, this.#nextTurnAt) + ((read.lastChunkAt - read.startedAt) * (1 + pauseFactor));
			this.#schedule();
		});
	}

	/** Resumes a connection at once, so that the rest of its bytes can be discarded. */
	leave(socket: Socket): void {
		if (this.#waiting.delete(socket)) {
			Reflect.deleteProperty(socket, 'resume');
			socket.resume();
		}
	}

	close(): void {
		clearTimeout(this.#timer);
		this.#waiting.clear();
	}

	#schedule(): void {
		if (this.#waiting.size > 0) {
			this.#timer ??= setTimeout(() => {
				this.#takeTurn();
			}, Math.max(minimumPauseMilliseconds, this.#nextTurnAt - performance.now()));
		}
	}

	#takeTurn(): void {
		this.#timer = undefined;
		const [next] = this.#waiting.keys();
		if (next !== undefined && performance.now() >= this.#nextTurnAt) {
			this.leave(next);
		}

		this.#schedule();
	}
}
