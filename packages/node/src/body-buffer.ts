/**
 * The bytes of a body as they come.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

const none = Buffer.alloc(0);

/**
 * Joins the parts of a body. A part may be a small view of a large read, so only a body of one part keeps it as it is.
 *
 * @example
 * const body = new BodyBuffer();
 * body.add(chunk);
 * body.bytes; // all that came
 */
export class BodyBuffer {
	#store: Buffer = none;
	#length = 0;

	get length(): number {
		return this.#length;
	}

	get bytes(): Buffer {
		return this.#length === this.#store.length ? this.#store : Buffer.from(this.#store.subarray(0, this.#length));
	}

	add(part: Buffer): void {
		const length = this.#length + part.length;
		if (this.#length === 0) {
			this.#store = part;
		} else {
			this.#reserve(length);
			part.copy(this.#store, this.#length);
		}

		this.#length = length;
	}

	/** The first part, which is not ours to write into, is always full. */
	#reserve(length: number): void {
		if (length > this.#store.length) {
			const store = Buffer.allocUnsafe(Math.max(length, this.#store.length * 2));
			this.#store.copy(store, 0, 0, this.#length);
			this.#store = store;
		}
	}
}
