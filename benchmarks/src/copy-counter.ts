/**
 * Counts the bytes that the process copies with the functions of buffers. What the runtime copies to and from the kernel is
 * not counted.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

type Copy = (this: Uint8Array, ...parameters: unknown[]) => unknown;
type CopyTable = Record<'copy' | 'write' | 'set', Copy>;

/**
 * Replaces the copying functions of buffers by ones that count; call it once, before other modules keep a reference to them.
 *
 * @returns A function that reads the number of bytes copied so far.
 *
 * @example
 * const readCopiedBytes = countCopies();
 */
export function countCopies(): () => number {
	let copiedBytes = 0;
	let isNested = false;
	/** A function of buffers may call another one, whose bytes are not counted again. */
	const count = <Result>(run: () => Result, bytesOf: (result: Result) => number): Result => {
		const wasNested = isNested;
		isNested = true;
		try {
			const result = run();
			copiedBytes += wasNested ? 0 : bytesOf(result);
			return result;
		} finally {
			isNested = wasNested;
		}
	};

	const replace = (prototype: object, name: keyof CopyTable, bytesOf: (result: unknown, parameters: readonly unknown[]) => number): void => {
		const table = prototype as CopyTable;
		const original = table[name];
		table[name] = function (...parameters) {
			return count(() => original.apply(this, parameters), result => bytesOf(result, parameters));
		};
	};

	const {concat} = Buffer;
	Buffer.concat = (list, length) => count(() => concat(list, length), result => result.length);
	replace(Buffer.prototype as object, 'copy', Number);
	replace(Buffer.prototype as object, 'write', Number);
	replace(Uint8Array.prototype, 'set', (_result, [source]) => (source as ArrayLike<number>).length);
	return () => copiedBytes;
}
