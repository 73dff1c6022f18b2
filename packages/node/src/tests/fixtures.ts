/**
 * Fixtures for tests of a whole node.
 *
 * @module
 */
import type {PartLog} from '../index.js';

export const silent = (): void => undefined;

/** A log that discards its lines. */
export const silentLog: PartLog = {
	error: silent, warn: silent, info: silent, debug: silent,
};

/** Blocks the event loop, as an overloaded machine does. */
export function standStill(milliseconds: number): void {
	const until = performance.now() + milliseconds;
	while (performance.now() < until) {
		// Busy wait.
	}
}

/** A manifest with the service `shop` and one kind of request, `look`: reads of /items that may wait for the given time. */
export const createLookManifest = (waitMilliseconds: number): string => `
name: shop
retriesPerAction: 0
rememberForSeconds: 600
retryShare: 0.1
services:
  shop:
    requests:
      - {kind: look, methods: [GET], path: /items*, importance: normal, semantics: idempotent, waitMilliseconds: ${waitMilliseconds}}
`;
