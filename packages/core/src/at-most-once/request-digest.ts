/**
 * Digest of a request, by which a key that is used again for another request is detected.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import type {RequestPayload} from '../messages.js';

/**
 * SHA-256 of method, target and body in hexadecimal.
 *
 * @example
 * requestDigest({method: 'POST', target: '/deposits', body});
 */
export function requestDigest({method, target, body}: Pick<RequestPayload, 'method' | 'target' | 'body'>): string {
	return createHash('sha256').update(`${method} ${target}\n`).update(body).digest('hex');
}
