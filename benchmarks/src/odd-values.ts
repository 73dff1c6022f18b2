/**
 * Generators of invalid and unusual input: values, and mutations of valid JSON documents and bytes.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import fc from 'fast-check';

/** Values that a field may have by mistake of another writer. */
export const oddValue: fc.Arbitrary<unknown> = fc.oneof(
	fc.constantFrom<unknown>(null, true, '', ' ', 0, -1, 0.5, 65_536, 4_294_967_296, Number.MAX_SAFE_INTEGER, 1.7e308, -1.7e308, [], {}, [[]], 'a'.repeat(300), '127.0.0.1', 'later-kind', '__proto__'),
	fc.integer(),
	fc.double({noNaN: true}),
	fc.string({maxLength: 20}),
);

type Path = ReadonlyArray<string | number>;

function pathsOf(value: unknown, base: Path = []): Path[] {
	if (typeof value !== 'object' || value === null) {
		return [base];
	}

	const entries = Array.isArray(value) ? value.map((item, index): [number, unknown] => [index, item]) : Object.entries(value);
	return [base, ...entries.flatMap(([key, item]) => pathsOf(item, [...base, key]))];
}

function replaceAt(value: unknown, [key, ...rest]: Path, replacement: unknown): unknown {
	if (key === undefined) {
		return replacement;
	}

	if (Array.isArray(value)) {
		return value.map((item: unknown, index) => index === key ? replaceAt(item, rest, replacement) : item);
	}

	return Object.fromEntries(Object.entries(value as object).map(([name, item]) => [name, name === key ? replaceAt(item, rest, replacement) : item]));
}

/** A valid document with up to four values replaced, as JSON. */
export function oddDocument(document: unknown): fc.Arbitrary<string> {
	const paths = pathsOf(document);
	const replacements = fc.array(fc.tuple(fc.nat(paths.length - 1), oddValue), {maxLength: 4});
	const replaceOne = (current: unknown, [index, value]: [number, unknown]): unknown => {
		const path = paths[index]!;
		return hasPath(current, path) ? replaceAt(current, path, value) : current;
	};

	return replacements.map(chosen => JSON.stringify(chosen.reduce(replaceOne, document)));
}

function hasPath(value: unknown, [key, ...rest]: Path): boolean {
	return key === undefined || (typeof value === 'object' && value !== null && Object.hasOwn(value, key) && hasPath(Reflect.get(value, key), rest));
}

/** Valid bytes with up to four bytes replaced, a part cut out, or another part appended; or arbitrary bytes. */
export function oddBytes(bytes: Uint8Array): fc.Arbitrary<Buffer> {
	const position = fc.nat(Math.max(0, bytes.length - 1));
	const replaced = fc.array(fc.tuple(position, fc.nat(255)), {maxLength: 4}).map(changes => {
		const copy = Buffer.from(bytes);
		changes.map(([index, value]) => copy.writeUInt8(value, index));
		return copy;
	});
	const cut = fc.tuple(position, position).map(([from, to]) => Buffer.concat([bytes.subarray(0, Math.min(from, to)), bytes.subarray(Math.max(from, to))]));
	const joined = position.map(from => Buffer.concat([bytes, bytes.subarray(from)]));
	return fc.oneof(replaced, cut, joined, fc.uint8Array({maxLength: 200}).map(other => Buffer.from(other)));
}
