/**
 * Errors in manifests, and their conversion from the errors of the schemas.
 *
 * @module
 */
import type * as valibot from 'valibot';

/** One error in a manifest. */
export type ManifestIssue = {
	/** Keys and indexes from the root to the invalid value. */
	readonly path: ReadonlyArray<string | number>;
	readonly message: string;
};

/**
 * Path and message of an issue as text.
 *
 * @example
 * formatIssue({path: ['routes', 'pay', 'rank'], message: 'Expected a number'}); // 'routes.pay.rank: Expected a number'
 */
export function formatIssue({path, message}: ManifestIssue): string {
	return `${path.join('.')}: ${message}`;
}

/** @param base - path of the value that was validated */
export function toManifestIssue(issue: valibot.BaseIssue<unknown>, base: ReadonlyArray<string | number> = []): ManifestIssue {
	const path = (issue.path ?? []).map(item => item.key as string | number);
	return {path: [...base, ...path], message: issue.message};
}
