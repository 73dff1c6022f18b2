/**
 * Parsing of key-range records from the store and from other nodes.
 *
 * @module
 */
import {recordSchema, type VersionedRecord} from '@laburnumspool/core';
import * as valibot from 'valibot';

/** Parses a record; undefined when the text is empty or not a valid record. */
export function tryParseRecord(version: number, text: string): VersionedRecord | undefined {
	if (text === '') {
		return undefined;
	}

	try {
		const result = valibot.safeParse(recordSchema, JSON.parse(text));
		return result.success ? {version, record: result.output} : undefined;
	} catch {
		return undefined;
	}
}
