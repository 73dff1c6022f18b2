/**
 * Reads the bodies of callers' requests within the memory budget of the process.
 *
 * @module
 */
import {type Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {ErrorKind, LaburnumspoolError, type Importance} from '@laburnumspool/core';
import {ChunkTurns, hasSmallChunks} from './chunk-turns.js';
import {HeldBody} from './held-body.js';
import type {MemoryBudget, Reservation} from './memory-budget.js';

/** Limits on callers by which requests are refused, bodies slowed down or connections closed; labels of a counter. */
export enum CallerLimit {
	HeldBytes = 'held-bytes',
	StalledBody = 'stalled-body',
	SmallChunks = 'small-chunks',
	Connections = 'connections',
}

export type BodyReaderDefinition = {
	readonly budget: MemoryBudget;
	/** Time without data after which a body loses its memory to another one. */
	readonly stalledMilliseconds: number;
	/** Receives each use of a limit, with the state of the budget as text. */
	readonly observeLimit: (limit: CallerLimit, detail: string) => void;
};

/** A body that was read, and the memory that is reserved for it. */
export type ReadBody = {readonly bytes: Buffer; readonly reservation: Reservation};

type Reading = {
	readonly body: HeldBody;
	/** On the monotonic clock. */
	lastDataAt: number;
	readonly fail: (error: LaburnumspoolError) => void;
};

/**
 * Reserves memory for each body before it is read, or while it arrives when it has no length.
 *
 * @example
 * const reader = new BodyReader({budget, stalledMilliseconds: 1000, observeLimit});
 * const {bytes, reservation} = await reader.read(request, 1024 * 1024, Importance.Normal);
 * reservation.release();
 */
export class BodyReader {
	readonly #definition: BodyReaderDefinition;
	readonly #turns = new ChunkTurns();
	/** Bodies that are being read, with the one without data for longest first. */
	readonly #readings = new Set<Reading>();
	readonly #bySocket = new Map<Socket, Reading>();

	constructor(definition: BodyReaderDefinition) {
		this.#definition = definition;
	}

	/** Whether a body is being read from a connection. */
	isReading(socket: Socket): boolean {
		return this.#bySocket.has(socket);
	}

	/**
	 * Reads a body. Rejects with `payload-too-large`, `overloaded` when it does not fit the budget, `request-stalled` when
	 * another body took its memory, or `malformed` when the request ends before its body is complete. The caller releases
	 * the reservation of a body that was read; that of any other body is released here.
	 */
	async read(request: IncomingMessage, maximumBytes: number, importance: Importance): Promise<ReadBody> {
		const length = request.headers['content-length'];
		const announcedBytes = length === undefined ? undefined : Number(length);
		requireWithinLimit(announcedBytes ?? 0, maximumBytes);
		const reservation = this.#reserve(announcedBytes ?? 0, importance);
		const body = new HeldBody({reservation, announcedBytes, maximumBytes});
		return new Promise((resolve, reject) => {
			const {socket} = request;
			const end = (): boolean => {
				if (!this.#readings.delete(reading)) {
					return false;
				}

				this.#bySocket.delete(socket);
				this.#turns.leave(socket);
				return true;
			};

			const reading: Reading = {
				body,
				lastDataAt: performance.now(),
				fail(error) {
					if (end()) {
						request.off('data', readChunk);
						request.pause();
						body.release();
						reject(error);
					}
				},
			};
			const failIncomplete = (): void => {
				reading.fail(new LaburnumspoolError(ErrorKind.Malformed, 'The request ended before its body was complete'));
			};

			let chunkCount = 0;
			let takesTurns = false;
			const readChunk = (chunk: Buffer): void => {
				chunkCount += 1;
				try {
					requireWithinLimit(body.length + chunk.length, maximumBytes);
					this.#add(reading, chunk);
				} catch (error) {
					reading.fail(error as LaburnumspoolError);
					return;
				}

				if (announcedBytes === undefined && hasSmallChunks(chunkCount, body.length)) {
					this.#turns.wait(socket);
					takesTurns ||= this.#reportSmallChunks(chunkCount);
				}
			};

			this.#readings.add(reading);
			this.#bySocket.set(socket, reading);
			request.on('data', readChunk);
			request.once('end', () => {
				if (end()) {
					resolve({bytes: body.bytes, reservation});
				}
			});
			request.once('close', failIncomplete);
			request.once('error', failIncomplete);
		});
	}

	/**
	 * Why a body would be refused before it is read: for its size, and for memory. Errors are absent where it would be read. It
	 * changes nothing, and does not consider that stalled bodies may give their memory up.
	 */
	refusalsOf(bytes: number, maximumBytes: number, importance: Importance): {readonly size: LaburnumspoolError | undefined; readonly memory: LaburnumspoolError | undefined} {
		return {
			size: sizeErrorOf(bytes, maximumBytes),
			memory: this.#definition.budget.hasRoomFor(bytes, importance) ? undefined : this.#memoryError(),
		};
	}

	/** Ends the reading of a body whose connection cannot be read further. */
	abandon(socket: Socket): void {
		this.#bySocket.get(socket)?.fail(new LaburnumspoolError(ErrorKind.RequestStalled, 'The request did not arrive in time'));
	}

	/** Fails all bodies that are being read, and returns their memory. */
	close(): void {
		[...this.#readings].map(reading => {
			reading.fail(new LaburnumspoolError(ErrorKind.Draining, 'The node is closed'));
			return reading;
		});
		this.#turns.close();
	}

	#add(reading: Reading, chunk: Buffer): void {
		reading.lastDataAt = performance.now();
		this.#readings.delete(reading);
		this.#readings.add(reading);
		if (!reading.body.reserveFor(chunk.length) && !this.#evictUntil(() => reading.body.reserveFor(chunk.length))) {
			throw this.#refusal();
		}

		reading.body.add(chunk);
	}

	#reportSmallChunks(chunkCount: number): true {
		this.#definition.observeLimit(CallerLimit.SmallChunks, `a body has ${chunkCount} chunks so far`);
		return true;
	}

	#reserve(bytes: number, importance: Importance): Reservation {
		const {budget} = this.#definition;
		let reservation = budget.reserve(bytes, importance);
		this.#evictUntil(() => {
			reservation ??= budget.reserve(bytes, importance);
			return reservation !== undefined;
		});
		if (reservation === undefined) {
			throw this.#refusal();
		}

		return reservation;
	}

	/** Ends the reading of stalled bodies until `fits` returns true; returns whether it did. */
	#evictUntil(fits: () => boolean): boolean {
		const stalledSince = performance.now() - this.#definition.stalledMilliseconds;
		while (!fits()) {
			const [oldest] = this.#readings;
			if (oldest === undefined || oldest.lastDataAt > stalledSince) {
				return false;
			}

			this.#definition.observeLimit(CallerLimit.StalledBody, this.#describeBudget());
			oldest.fail(new LaburnumspoolError(ErrorKind.RequestStalled, 'The body stopped arriving, and another one needs its memory'));
		}

		return true;
	}

	#refusal(): LaburnumspoolError {
		this.#definition.observeLimit(CallerLimit.HeldBytes, this.#describeBudget());
		return this.#memoryError();
	}

	#memoryError(): LaburnumspoolError {
		return new LaburnumspoolError(ErrorKind.Overloaded, `The node has no memory for the body: ${this.#describeBudget()}`);
	}

	#describeBudget(): string {
		const {heldBytes, totalBytes} = this.#definition.budget;
		return `${heldBytes} bytes of at most ${totalBytes} are held`;
	}
}

function requireWithinLimit(bytes: number, maximumBytes: number): void {
	const error = sizeErrorOf(bytes, maximumBytes);
	if (error !== undefined) {
		throw error;
	}
}

function sizeErrorOf(bytes: number, maximumBytes: number): LaburnumspoolError | undefined {
	return bytes > maximumBytes
		? new LaburnumspoolError(ErrorKind.PayloadTooLarge, `The body has at least ${bytes} bytes; at most ${maximumBytes} are accepted`)
		: undefined;
}
