/**
 * The schema of one request kind in the manifest.
 *
 * @module
 */
import * as valibot from 'valibot';
import {Importance} from '../importance.js';

/** Whether a request may be sent more than once, and whether its answer may be large. */
export enum Semantics {
	Idempotent = 'idempotent',
	/** Idempotent. The body of an answer that exceeds a buffer is passed on while it arrives. */
	Download = 'download',
	AtMostOnce = 'at-most-once',
	/** At-most-once. The body of a request may be large. */
	Upload = 'upload',
}

const atMostOnceSemantics: ReadonlySet<Semantics> = new Set([Semantics.AtMostOnce, Semantics.Upload]);

/**
 * Whether a request may be sent more than once.
 *
 * @example
 * isIdempotent(Semantics.Download); // true
 */
export function isIdempotent(semantics: Semantics): boolean {
	return !atMostOnceSemantics.has(semantics);
}

/** Semantics by which nodes send a call to each other. Nodes of earlier versions reject a frame with semantics that they do not know. */
export function frameSemantics(semantics: Semantics): Semantics {
	return semantics === Semantics.Upload ? Semantics.AtMostOnce : semantics;
}

export const maximumWaitMilliseconds = 600_000;
const maximumAttempts = 16;

/** Largest share of a service's slots that one request kind, or all kinds of the service together, may be guaranteed. */
export const maximumGuaranteedShare = 0.5;

export const integerBetween = (minimum: number, maximum: number) => valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(minimum), valibot.maxValue(maximum));

/** Number of upstreams to which one call may be sent. */
export const attemptsSchema = valibot.optional(integerBetween(1, maximumAttempts));
export const nameSchema = valibot.pipe(valibot.string(), valibot.regex(/^[a-z][a-z\d-]{0,62}$/u, 'Expected a name of lower-case letters, digits and hyphens'));

const callSchema = valibot.strictObject({
	service: nameSchema,
	kind: nameSchema,
	derivedKey: valibot.optional(valibot.boolean(), false),
});

export const requestKindSchema = valibot.strictObject({
	kind: nameSchema,
	methods: valibot.pipe(valibot.array(valibot.pipe(valibot.string(), valibot.regex(/^[A-Z]+$/u, 'Expected an HTTP method in upper-case letters'))), valibot.minLength(1)),
	path: valibot.pipe(valibot.string(), valibot.regex(/^\/[^*?#\s]*\*?$/u, 'Expected a path that starts with / and contains no space, ?, # or *, except for a final *')),
	importance: valibot.enum(Importance),
	semantics: valibot.enum(Semantics),
	waitMilliseconds: integerBetween(1, maximumWaitMilliseconds),
	/** Latency objective: an answer after this time has less value. */
	objectiveMilliseconds: valibot.optional(integerBetween(1, maximumWaitMilliseconds)),
	attempts: attemptsSchema,
	guaranteedShare: valibot.optional(valibot.pipe(valibot.number(), valibot.minValue(0), valibot.maxValue(maximumGuaranteedShare)), 0),
	/** Whether calls may be sent to another region; by default all may but those of low importance. */
	crossRegion: valibot.optional(valibot.boolean()),
	customer: valibot.optional(valibot.boolean(), true),
	calls: valibot.optional(valibot.array(callSchema), []),
});

/** Declaration of one request kind. */
export type RequestPolicy = valibot.InferOutput<typeof requestKindSchema>;
