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
