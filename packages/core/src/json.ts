/**
 * Parsing of JSON from outside the process.
 *
 * @module
 */
import {LaburnumspoolError, type ErrorKind} from './errors.js';

/**
 * Parses JSON; throws an error of the given kind with the given detail.
 *
 * @example
 * parseJson('{"slots": 140}', ErrorKind.Malformed, 'body: not JSON'); // {slots: 140}
 */
export function parseJson(text: string, kind: ErrorKind, detail: string): unknown {
	try {
		return JSON.parse(text);
	} catch (error) {
		throw new LaburnumspoolError(kind, detail, {cause: error});
	}
}

/** Parses JSON; undefined when the text is not JSON. For callers that validate the result in any case. */
export function tryParseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
