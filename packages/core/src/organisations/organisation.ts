/**
 * Organisations in a manifest of routes: schema, and reading with invalid organisations left out.
 *
 * No message of this module contains a value of the document, since a value may be a key.
 *
 * @module
 */
import * as valibot from 'valibot';
import {toManifestIssue, type ManifestIssue} from '../manifest/issues.js';

const maximumKeyCharacters = 1024;
const maximumNameCharacters = 128;

/**
 * Visible ASCII without the comma, by which HTTP joins the values of a header that is sent more than once. One pattern for
 * characters and length, since a manifest may have 20,000 keys.
 */
const keyPattern = new RegExp(String.raw`^[\u0021-\u002B\u002D-\u007E]{1,${maximumKeyCharacters}}$`, 'u');

/** The name is the value of a header towards the upstreams. */
const namePattern = /^[\u0021-\u007E]+$/u;

const keyMessage = `Expected a key of 1 to ${maximumKeyCharacters} visible ASCII characters without a comma`;
const nameMessage = `Expected a name of 1 to ${maximumNameCharacters} visible ASCII characters`;
const rankMessage = 'Expected a whole number of at least 0';
const rateMessage = 'Expected a number of at least 0';
const weightMessage = 'Expected a number above 0';

const keySchema = valibot.pipe(valibot.string(keyMessage), valibot.regex(keyPattern, keyMessage));
const rateSchema = valibot.optional(valibot.pipe(valibot.number(rateMessage), valibot.finite(rateMessage), valibot.minValue(0, rateMessage)), 0);

/** Schema of the name of an organisation. */
export const organisationNameSchema = valibot.pipe(valibot.string(nameMessage), valibot.regex(namePattern, nameMessage), valibot.maxLength(maximumNameCharacters, nameMessage));

/** Schema of one organisation. Unknown fields are ignored, since the writer may be newer. */
export const organisationSchema = valibot.object({
	/** Keys by which requests identify the organisation. */
	keys: valibot.array(keySchema, 'Expected a list of keys'),
	/** Rank of importance of all requests of the organisation, before the rank of the route; 0 is the most important. */
	rank: valibot.optional(valibot.pipe(valibot.number(rankMessage), valibot.safeInteger(rankMessage), valibot.minValue(0, rankMessage))),
	/** Callers' requests per second over all nodes; 0 for no quota. */
	requestsPerSecond: rateSchema,
	/** Requests above the rate that may come at once. */
	burst: rateSchema,
	/** Share of the room of an upstream, in proportion to the weights of the other organisations; 1 by default. */
	weight: valibot.optional(valibot.pipe(valibot.number(weightMessage), valibot.finite(weightMessage), valibot.gtValue(0, weightMessage))),
}, 'Expected an organisation with keys');

/** Schema of the organisations of a manifest, by name. */
export const organisationsSchema = valibot.record(organisationNameSchema, organisationSchema, 'Expected organisations by name');

/**
 * One organisation, whose requests are recognised by its keys.
 *
 * @example
 * const organisation: Organisation = {name: 'pulo780', keys: ['k1', 'k2'], rank: 1, requestsPerSecond: 244, burst: 244};
 */
export type Organisation = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Rank of importance, 0 the most important; undefined where the rank of the route decides. */
	readonly rank: number | undefined;
	/** Callers' requests per second over all nodes; 0 for no quota. */
	readonly requestsPerSecond: number;
	/** Requests above the rate that may come at once. */
	readonly burst: number;
	/** Weight of its share where there is too little room, above 0; 1 where it is absent. */
	readonly weight?: number;
};

/** Organisations of a document, and the issues of those that were left out. */
export type OrganisationsResult = {
	/** Undefined when the document declares none. An empty list means that all were left out, so that no key is valid. */
	readonly organisations: readonly Organisation[] | undefined;
	readonly issues: readonly ManifestIssue[];
};

type OrganisationResult = {readonly organisation?: Organisation; readonly issues: readonly ManifestIssue[]};

/**
 * Reads the `organisations` of a manifest. An invalid organisation, and one that shares a key with an earlier one, is left
 * out alone. A value that is no map leaves out all organisations, so that it does not open routes to callers without a key.
 *
 * @example
 * readOrganisations({pulo780: {keys: ['k1']}}).organisations; // [{name: 'pulo780', keys: ['k1'], ...}]
 * readOrganisations({}).organisations; // undefined
 */
export function readOrganisations(document: unknown): OrganisationsResult {
	if (document === undefined || document === null) {
		return {organisations: undefined, issues: []};
	}

	if (typeof document !== 'object' || Array.isArray(document)) {
		return {organisations: [], issues: [{path: ['organisations'], message: 'Expected organisations by name'}]};
	}

	const entries = Object.entries(document);
	const ownerOfKey = new Map<string, string>();
	const results = entries.map(([name, entry]) => withoutSharedKeys(readOrganisation(name, entry), ownerOfKey));
	return {
		organisations: entries.length === 0 ? undefined : results.flatMap(({organisation}) => organisation ?? []),
		issues: results.flatMap(({issues}) => issues),
	};
}

function readOrganisation(name: string, document: unknown): OrganisationResult {
	const path = ['organisations', name];
	const nameResult = valibot.safeParse(organisationNameSchema, name);
	const result = valibot.safeParse(organisationSchema, document);
	if (!nameResult.success || !result.success) {
		return {issues: [...nameResult.issues ?? [], ...result.issues ?? []].map(issue => toManifestIssue(issue, path))};
	}

	const {keys, rank, requestsPerSecond, burst, weight} = result.output;
	return {
		organisation: {
			name, keys, rank, requestsPerSecond, burst, ...(weight === undefined ? {} : {weight}),
		}, issues: [],
	};
}

/** Leaves out an organisation that shares a key with an earlier one; otherwise records it as the owner of its keys. */
function withoutSharedKeys(result: OrganisationResult, ownerOfKey: Map<string, string>): OrganisationResult {
	const {organisation} = result;
	if (organisation === undefined) {
		return result;
	}

	const {name, keys} = organisation;
	const sharedIndex = keys.findIndex(key => ownerOfKey.has(key));
	if (sharedIndex !== -1) {
		const message = `The key belongs to organisation ${ownerOfKey.get(keys[sharedIndex]!)!} as well`;
		return {issues: [{path: ['organisations', name, 'keys', sharedIndex], message}]};
	}

	keys.map(key => ownerOfKey.set(key, name));
	return result;
}
