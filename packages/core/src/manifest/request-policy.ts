/**
 * What the manifest says of one kind of request.
 *
 * @module
 */
import * as valibot from 'valibot';
import {Importance} from '../importance.js';

/** Whether a request may be sent more than once. */
export enum Semantics {
	Idempotent = 'idempotent',
	AtMostOnce = 'at-most-once',
}

export const maximumWaitMilliseconds = 600_000;
const maximumAttempts = 16;

export const wholeNumber = (minimum: number, maximum: number) => valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(minimum), valibot.maxValue(maximum));

/** Upstreams to which one call may be sent. */
export const attempts = valibot.optional(wholeNumber(1, maximumAttempts));
export const name = valibot.pipe(valibot.string(), valibot.regex(/^[a-z][a-z\d-]{0,62}$/u, 'Expected a name of lower-case letters, digits and hyphens'));

const callSchema = valibot.strictObject({
	service: name,
	kind: name,
	derivedKey: valibot.optional(valibot.boolean(), false),
});

export const requestKindSchema = valibot.strictObject({
	kind: name,
	methods: valibot.pipe(valibot.array(valibot.pipe(valibot.string(), valibot.regex(/^[A-Z]+$/u, 'Expected an HTTP method in capitals'))), valibot.minLength(1)),
	path: valibot.pipe(valibot.string(), valibot.regex(/^\/[^*?#\s]*\*?$/u, 'Expected a path, with at most a closing *')),
	importance: valibot.enum(Importance),
	semantics: valibot.enum(Semantics),
	waitMilliseconds: wholeNumber(1, maximumWaitMilliseconds),
	/** Time within which an answer has its full worth. */
	objectiveMilliseconds: valibot.optional(wholeNumber(1, maximumWaitMilliseconds)),
	attempts,
	guaranteedShare: valibot.optional(valibot.pipe(valibot.number(), valibot.minValue(0), valibot.maxValue(0.5)), 0),
	/** Left out, all but the least important work may leave its region. */
	crossRegion: valibot.optional(valibot.boolean()),
	customer: valibot.optional(valibot.boolean(), true),
	calls: valibot.optional(valibot.array(callSchema), []),
});

/** What the manifest says of one request kind. */
export type RequestPolicy = valibot.InferOutput<typeof requestKindSchema>;
