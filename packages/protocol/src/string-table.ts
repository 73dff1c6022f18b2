/**
 * String table of a connection: a string that repeats is added to the table and then sent as its index.
 *
 * @module
 */
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';

const minimumStringLength = 3;
const maximumStringLength = 200;
/** Also bounds the strings that the encoder keeps after their first use. */
const maximumStrings = 2000;

/** A string on the wire: plain; in an array, which adds it to the receiver's table; or its index in the table. */
export type EncodedString = string | readonly [string] | number;

/**
 * Encodes strings on the sender's side. A string within the length limits is added to the table when it occurs for
 * the second time.
 *
 * @example
 * const encoder = new StringTableEncoder();
 * ['host', 'host', 'host'].map(text => encoder.encode(text)); // ['host', ['host'], 0]
 */
export class StringTableEncoder {
	readonly #indexes = new Map<string, number>();
	#seenOnce = new Set<string>();

	encode(text: string): EncodedString {
		const index = this.#indexes.get(text);
		if (index !== undefined) {
			return index;
		}

		if (text.length < minimumStringLength || text.length > maximumStringLength) {
			return text;
		}

		if (this.#seenOnce.delete(text) && this.#indexes.size < maximumStrings) {
			this.#indexes.set(text, this.#indexes.size);
			return [text];
		}

		this.#seenOnce = this.#seenOnce.size < maximumStrings ? this.#seenOnce : new Set();
		this.#seenOnce.add(text);
		return text;
	}
}

/** Decodes strings on the receiver's side; throws `malformed` when an index is not in the table. */
export class StringTableDecoder {
	readonly #strings: string[] = [];

	decode(value: unknown): string {
		if (typeof value === 'string') {
			return value;
		}

		const text = Array.isArray(value) ? this.#store(value[0]) : (typeof value === 'number' ? this.#strings[value] : undefined);
		if (typeof text !== 'string') {
			throw new LaburnumspoolError(ErrorKind.Malformed, `The message refers to a string that is not among the ${this.#strings.length} strings of the table`);
		}

		return text;
	}

	#store(text: unknown): string | undefined {
		if (typeof text !== 'string' || this.#strings.length >= maximumStrings) {
			return undefined;
		}

		this.#strings.push(text);
		return text;
	}
}
