/**
 * Ids of customer actions.
 *
 * @module
 */
import {type Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';

const idBytes = 16;

/** Ids per read of random bytes, because each read has a fixed cost. */
const idsPerRandomRead = 256;

/**
 * Creates a generator of random ids of 32 hexadecimal digits.
 *
 * @example
 * const newActionId = createActionIds();
 * newActionId(); // '4bf92f3577b34da6a3ce929d0e0e4736'
 */
export function createActionIds(): () => string {
	let pool: Buffer = randomBytes(0);
	let offset = 0;
	return () => {
		if (offset >= pool.length) {
			pool = randomBytes(idBytes * idsPerRandomRead);
			offset = 0;
		}

		offset += idBytes;
		return pool.toString('hex', offset - idBytes, offset);
	};
}
