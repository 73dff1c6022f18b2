/**
 * What tests of a whole node start it with.
 *
 * @module
 */
import type {PartLog} from '../index.js';

export const silent = (): void => undefined;

/** A log that nobody reads. */
export const silentLog: PartLog = {
	error: silent, warn: silent, info: silent, debug: silent,
};

/** Keeps the event loop from going on, as a busy machine does. */
export function standStill(milliseconds: number): void {
	const until = performance.now() + milliseconds;
	while (performance.now() < until) {
		// Nothing else runs.
	}
}

/** A manifest with one service that takes reads, and how long they may wait. */
export const lookManifest = (waitMilliseconds: number): string => `
name: shop
retriesPerAction: 0
rememberForSeconds: 600
retryShare: 0.1
services:
  shop:
    requests:
      - {kind: look, methods: [GET], path: /items*, importance: normal, semantics: idempotent, waitMilliseconds: ${waitMilliseconds}}
`;
