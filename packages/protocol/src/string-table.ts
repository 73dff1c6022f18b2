/**
 * Texts that repeat on a link, sent once and then by number.
 *
 * @module
 */
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';

const shortestText = 3;
const longestText = 200;
const maximumTexts = 2000;

/** A text on the wire: as it is, with a request to remember it, or the number under which it is remembered. */
export type EncodedString = string | readonly [string] | number;

/**
 * The sender's side.
 *
 * @example
 * const sender = new StringTableEncoder();
 * ['host', 'host', 'host'].map(text => sender.encode(text)); // ['host', ['host'], 0]
 */
export class StringTableEncoder {
	readonly #numbers = new Map<string, number>();
	#seen = new Set<string>();

	encode(text: string): EncodedString {
		const number = this.#numbers.get(text);
		if (number !== undefined) {
			return number;
		}

		if (text.length < shortestText || text.length > longestText) {
			return text;
		}

		if (this.#seen.delete(text) && this.#numbers.size < maximumTexts) {
			this.#numbers.set(text, this.#numbers.size);
			return [text];
		}

		this.#seen = this.#seen.size < maximumTexts ? this.#seen : new Set();
		this.#seen.add(text);
		return text;
	}
}

/** The receiver's side; throws `malformed` on a number that was never given. */
export class StringTableDecoder {
	readonly #texts: string[] = [];

	decode(value: unknown): string {
		if (typeof value === 'string') {
			return value;
		}

		const text = Array.isArray(value) ? this.#remember(value[0]) : this.#texts[Number(value)];
		if (typeof text !== 'string') {
			throw new LaburnumspoolError(ErrorKind.Malformed, 'The message names a text that was not sent before');
		}

		return text;
	}

	#remember(text: unknown): string | undefined {
		if (typeof text !== 'string' || this.#texts.length >= maximumTexts) {
			return undefined;
		}

		this.#texts.push(text);
		return text;
	}
}
