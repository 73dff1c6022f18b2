/**
 * Parsing of manifests from YAML.
 *
 * @module
 */
import {ErrorKind, safeParseManifest, type Manifest} from '@laburnumspool/core';
import {createIssuesError, parseYaml} from './document.js';

/**
 * Parses and validates a manifest; throws `invalid-manifest` with file, line, column and path of each invalid value.
 *
 * @example
 * const manifest = parseManifest(text, 'burrowline.yaml');
 */
export function parseManifest(text: string, file: string): Manifest {
	const document = parseYaml(text, file, ErrorKind.InvalidManifest);
	const result = safeParseManifest(document.value);
	if (!result.success) {
		throw createIssuesError(document, result.issues, ErrorKind.InvalidManifest);
	}

	return result.manifest;
}
