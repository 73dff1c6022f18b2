/**
 * The manifest as the store holds it: the document, with fields that identify the write.
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
	/** Number of the revision that this one replaced; 0 for the first. */
	base: valibot.number(),
	/** Unique per shipment, so that two shipments of the same document differ. */
	nonce: valibot.string(),
	/** SHA-256 of the document in hexadecimal. */
	digest: valibot.string(),
	/** The manifest in YAML. */
	document: valibot.string(),
});

/** A manifest as the store holds it. */
export type ShippedManifest = valibot.InferOutput<typeof shippedSchema>;

/** SHA-256 of a document in hexadecimal. */
export function digestOf(document: string): string {
	return createHash('sha256').update(document).digest('hex');
}

/** Parses the stored manifest; throws `invalid-manifest` if a field is invalid or the digest does not match the document. */
export function parseShippedManifest(entry: StoreEntry): ShippedManifest {
	const result = valibot.safeParse(shippedSchema, tryParseJson(entry.value));
	if (!result.success || digestOf(result.output.document) !== result.output.digest) {
		const message = `Revision ${entry.version} in the store is not a valid manifest: expected base, nonce, document and a matching digest`;
		throw new LaburnumspoolError(ErrorKind.InvalidManifest, message);
	}

	return result.output;
}

/** Parses the document of a revision; throws `invalid-manifest` if it is invalid. */
export function toRevision(number: number, document: string): Revision {
	return {number, document, manifest: parseManifest(document, `revision ${number}`)};
}
