/**
 * The manifest as the store holds it: the document, and what tells one shipment from another.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {
	ErrorKind, LaburnumspoolError, tryParseJson, type Revision,
} from '@laburnumspool/core';
import * as valibot from 'valibot';
import {parseManifest} from './manifest-document.js';
import type {StoreEntry} from './store.js';

const shippedSchema = valibot.object({
	/** Revision that this one replaced. */
	base: valibot.number(),
	/** Told apart by it, two shipments of one document are two shipments. */
	nonce: valibot.string(),
	digest: valibot.string(),
	document: valibot.string(),
});

/** One shipment. */
export type ShippedManifest = valibot.InferOutput<typeof shippedSchema>;

export function digestOf(document: string): string {
	return createHash('sha256').update(document).digest('hex');
}

/** Reads what the store holds; throws `invalid-manifest`. */
export function parseShipped(entry: StoreEntry): ShippedManifest {
	const result = valibot.safeParse(shippedSchema, tryParseJson(entry.value));
	if (!result.success || digestOf(result.output.document) !== result.output.digest) {
		throw new LaburnumspoolError(ErrorKind.InvalidManifest, `Revision ${entry.version} in the store is not a whole manifest`);
	}

	return result.output;
}

/** Reads a document that came as a revision; throws `invalid-manifest`. */
export function toRevision(number: number, document: string): Revision {
	return {number, document, manifest: parseManifest(document, `revision ${number}`)};
}
