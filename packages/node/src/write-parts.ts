/**
 * Parts of frames that are written together.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

/** Length from which a part is written as it is. Copying a smaller one costs less than a further buffer of a write. */
const largePartBytes = 16 * 1024;

/**
 * Joins adjacent small parts into one buffer. Large parts are not copied.
 *
 * @example
 * joinSmallParts([header, head, body]); // [header and head, body] for a large body
 */
export function joinSmallParts(parts: readonly Uint8Array[]): Uint8Array[] {
	const joined: Uint8Array[] = [];
	let smallParts: Uint8Array[] = [];
	const flushSmallParts = (): void => {
		if (smallParts.length > 0) {
			joined.push(smallParts.length === 1 ? smallParts[0]! : Buffer.concat(smallParts));
			smallParts = [];
		}
	};

	parts.map(part => {
		if (part.length < largePartBytes) {
			smallParts.push(part);
		} else {
			flushSmallParts();
			joined.push(part);
		}

		return part;
	});
	flushSmallParts();
	return joined;
}
