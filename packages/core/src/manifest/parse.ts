/**
 * Validation of manifests in either form.
 *
 * @module
 */
import {safeParseServicesManifest, type ManifestResult} from './model.js';
import {parseRoutesManifest, readRoutesManifest, type ReadResult} from './routes-manifest.js';

/**
 * Validates a document that is already parsed to plain objects. Every invalid part fails it. It does not throw.
 *
 * @example
 * const result = safeParseManifest({name: 'shop', retriesPerAction: 2, services: {}});
 * if (result.success) use(result.manifest);
 */
export function safeParseManifest(document: unknown): ManifestResult {
	return isRoutesManifest(document) ? parseRoutesManifest(document) : safeParseServicesManifest(document);
}

/**
 * Reads an accepted document at a node. An invalid part of a manifest of routes fails only that part, since the writer of
 * the document may be newer than the node. It does not throw.
 *
 * @example
 * const result = safeReadManifest(document);
 * if (result.success) log(result.issues);
 */
export function safeReadManifest(document: unknown): ReadResult {
	if (isRoutesManifest(document)) {
		return readRoutesManifest(document);
	}

	const result = safeParseServicesManifest(document);
	return result.success ? {...result, issues: []} : result;
}

function isRoutesManifest(document: unknown): document is object {
	return typeof document === 'object' && document !== null && 'routes' in document;
}
