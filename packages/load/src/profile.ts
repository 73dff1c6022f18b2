/**
 * Load profiles: nodes, phases and kinds of requests of a run.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import {ErrorKind, Importance, LaburnumspoolError} from '@laburnumspool/core';
import {checkDocument, parseYaml} from '@laburnumspool/manifest';
import * as valibot from 'valibot';

const positiveNumber = valibot.pipe(valibot.number(), valibot.minValue(0.001));
const nonNegativeInteger = valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(0));
const nonEmptyString = valibot.pipe(valibot.string(), valibot.minLength(1));
const maximumPhaseSeconds = 3600;

const requestSchema = valibot.strictObject({
	kind: nonEmptyString,
	importance: valibot.enum(Importance),
	method: nonEmptyString,
	/** Path that begins with the service name; `{n}` is replaced by the index of the request. */
	path: valibot.pipe(valibot.string(), valibot.startsWith('/')),
	perSecond: positiveNumber,
	/** Time limit over all attempts of the caller; a complete answer after it counts as late. */
	timeoutMilliseconds: valibot.pipe(nonNegativeInteger, valibot.minValue(1)),
	/** Whether the caller sends an idempotency key, the same one in all attempts. */
	keyed: valibot.optional(valibot.boolean(), false),
	/** Maximum number of retries of the caller. It retries within the time limit, after any result except good and wrong. */
	callerRetries: valibot.optional(nonNegativeInteger, 0),
	/** Whether goodput includes this kind. */
	counted: valibot.optional(valibot.boolean(), true),
});

const phaseSchema = valibot.strictObject({
	name: nonEmptyString,
	seconds: valibot.pipe(positiveNumber, valibot.maxValue(maximumPhaseSeconds)),
	factor: positiveNumber,
});

/** Schema of a load profile. Requests are sent at `perSecond` times the `factor` of the phase. */
export const profileSchema = valibot.strictObject({
	name: nonEmptyString,
	seed: nonNegativeInteger,
	nodes: valibot.pipe(valibot.array(valibot.pipe(valibot.string(), valibot.regex(/^127\.0\.0\.1:\d{1,5}$/u, 'Expected 127.0.0.1:PORT'))), valibot.minLength(1)),
	phases: valibot.pipe(valibot.array(phaseSchema), valibot.minLength(1)),
	requests: valibot.pipe(valibot.array(requestSchema), valibot.minLength(1)),
});

/** A validated load profile. */
export type Profile = valibot.InferOutput<typeof profileSchema>;
/** A kind of request in a load profile. */
export type ProfileRequest = Profile['requests'][number];

/**
 * Reads a profile; throws `invalid-settings` with file, line and path of each invalid value, or if the file cannot be read.
 *
 * @example
 * const profile = readProfile('surge.yaml');
 */
export function readProfile(file: string): Profile {
	let content;
	try {
		content = readFileSync(file, 'utf8');
	} catch (error) {
		throw new LaburnumspoolError(ErrorKind.InvalidSettings, `${file}: cannot be read`, {cause: error});
	}

	return checkDocument(parseYaml(content, file, ErrorKind.InvalidSettings), profileSchema, ErrorKind.InvalidSettings);
}
