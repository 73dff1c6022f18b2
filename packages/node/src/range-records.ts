/**
 * Records of key ranges as the store and other nodes hand them over.
 *
 * @module
 */
import {recordSchema, type VersionedRecord} from '@laburnumspool/core';
import * as valibot from 'valibot';

/** Reads a record; undefined when it is empty or not a record. */
export function parseRecord(version: number, text: string): VersionedRecord | undefined {
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
