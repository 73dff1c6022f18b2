/**
 * Creation time of an idempotency key. UUIDs of version 7 begin with their creation time (RFC 9562).
 *
 * @module
 */

const version7Pattern = /^([\da-f]{8})-([\da-f]{4})-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/iu;

/**
 * Wall-clock time in milliseconds since the Unix epoch; undefined unless the key is a UUID of version 7.
 *
 * @example
 * keyCreationTime('018f3c52-7a3e-7cc3-98c4-dc0c0c07398f'); // 1714736135742
 */
export function keyCreationTime(key: string): number | undefined {
	const match = version7Pattern.exec(key);
	return match === null ? undefined : Number.parseInt(`${match[1]}${match[2]}`, 16);
}
