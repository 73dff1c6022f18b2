/**
 * Fixtures for tests of a whole node.
 *
 * @module
 */
import type {Logger} from '../index.js';

export const doNothing = (): void => undefined;

/** A log that discards its lines. */
export const silentLog: Logger = {
	error: doNothing, warn: doNothing, info: doNothing, debug: doNothing,
};

/** Blocks the event loop, as an overloaded machine does. */
export function blockEventLoop(milliseconds: number): void {
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
