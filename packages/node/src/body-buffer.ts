/**
 * Growable buffer for the bytes of a body.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

const emptyBuffer = Buffer.alloc(0);

/**
 * Joins the chunks of a body. Only a body of a single chunk keeps that chunk; others are copied, since a chunk may be a
 * small view that keeps a large read buffer alive.
 *
 * @example
 * const body = new BodyBuffer();
 * body.add(chunk);
 * body.bytes; // all bytes so far
 */
export class BodyBuffer {
	#buffer: Buffer = emptyBuffer;
	#length = 0;

	get length(): number {
		return this.#length;
	}

	get bytes(): Buffer {
		return this.#length === this.#buffer.length ? this.#buffer : Buffer.from(this.#buffer.subarray(0, this.#length));
	}

	add(chunk: Buffer): void {
		const length = this.#length + chunk.length;
		if (this.#length === 0) {
			this.#buffer = chunk;
		} else {
			this.#reserve(length);
			chunk.copy(this.#buffer, this.#length);
		}

		this.#length = length;
	}

	/** Ensures capacity for `length` bytes. The first chunk belongs to its sender and is never written into, since it has no free space. */
	#reserve(length: number): void {
		if (length > this.#buffer.length) {
			const buffer = Buffer.allocUnsafe(Math.max(length, this.#buffer.length * 2));
			this.#buffer.copy(buffer, 0, 0, this.#length);
			this.#buffer = buffer;
		}
	}
}
