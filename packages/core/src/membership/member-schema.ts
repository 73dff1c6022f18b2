/**
 * The only definition of a valid member, for every way in: gossip, view exchanges, the store and the own settings.
 *
 * @module
 */
import {isIP} from 'node:net';
import * as valibot from 'valibot';
import {integerBetween} from '../manifest/request-policy.js';
import {
	Liveness, maximumMemberVersion, UpstreamState, type Member,
} from './member.js';
import {manifestTopic, rangesTopic} from './rumors.js';

/** Largest time value of the runtime, in milliseconds since the Unix epoch. */
const maximumTime = 8.64e15;
const maximumPort = 65_535;
const maximumSlots = 100_000;
const maximumLocationLength = 64;
const servicePattern = /^(?:[a-z][a-z\d-]{0,62})?$/u;

/** Longest text of one member that is parsed. */
const maximumMemberLength = 2048;

const port = integerBetween(1, maximumPort);
const locationName = valibot.pipe(valibot.string(), valibot.minLength(1), valibot.maxLength(maximumLocationLength));

export const memberNameSchema = valibot.pipe(valibot.string(), valibot.regex(/^[a-z\d][a-z\d-]{0,62}$/u, 'Expected a name of lower-case letters, digits and hyphens'));
export const memberHostSchema = valibot.pipe(valibot.string(), valibot.check(host => isIP(host) !== 0, 'Expected an IP address'));

/** A time in milliseconds since the Unix epoch, as incarnations are. Whether the system's clocks have reached it is checked when it is merged. */
export const incarnationSchema = integerBetween(0, maximumTime);

export const memberSchema = valibot.object({
	name: memberNameSchema,
	incarnation: incarnationSchema,
	version: integerBetween(0, maximumMemberVersion),
	location: valibot.object({region: locationName, failureDomain: locationName}),
	host: memberHostSchema,
	callersPort: port,
	peersPort: port,
	controlPort: port,
	service: valibot.pipe(valibot.string(), valibot.regex(servicePattern, 'Expected the name of a service, or no text')),
	state: valibot.enum(UpstreamState),
	slots: integerBetween(0, maximumSlots),
	liveness: valibot.enum(Liveness),
});

const isTopic = (topic: string): boolean => topic === manifestTopic || (topic.startsWith(rangesTopic('')) && servicePattern.test(topic.slice(rangesTopic('').length)));

/** A version number that spreads by gossip. */
export const rumorSchema = valibot.object({
	topic: valibot.pipe(valibot.string(), valibot.check(isTopic, 'Expected a known topic')),
	version: valibot.pipe(valibot.number(), valibot.safeInteger(), valibot.minValue(0)),
});

/** A statement that a manifest revision was the newest one in the store some time ago. */
export const manifestConfirmationSchema = valibot.object({
	number: valibot.pipe(valibot.number(), valibot.safeInteger(), valibot.minValue(1)),
	ageMilliseconds: valibot.pipe(valibot.number(), valibot.safeInteger(), valibot.minValue(0)),
});

/** Result of checking one value of another process. */
export type CheckedValue<Value>
	= | {readonly success: true; readonly value: Value}
		| {readonly success: false; /** Path of the first invalid field, and what was expected. */ readonly problem: string};

/**
 * Checks a value against a schema.
 *
 * @example
 * checkValue(memberSchema, {...member, peersPort: 0}); // {success: false, problem: 'peersPort: Invalid value: ...'}
 */
export function checkValue<Schema extends valibot.GenericSchema>(schema: Schema, value: unknown): CheckedValue<valibot.InferOutput<Schema>> {
	const result = valibot.safeParse(schema, value, {abortEarly: true});
	if (result.success) {
		return {success: true, value: result.output};
	}

	const [issue] = result.issues;
	return {success: false, problem: `${valibot.getDotPath(issue) ?? 'value'}: ${issue.message}`};
}

/**
 * A member as text, as short as possible: its values in a fixed order, as JSON.
 *
 * @example
 * checkMemberText(formatMember(member)); // {success: true, value: member}
 */
export function formatMember({name, incarnation, version, location, host, callersPort, peersPort, controlPort, service, state, slots, liveness}: Member): string {
	return JSON.stringify([name, incarnation, version, location.region, location.failureDomain, host, callersPort, peersPort, controlPort, service, state, slots, liveness]);
}

function toMemberDocument(values: readonly unknown[]): unknown {
	const [name, incarnation, version, region, failureDomain, host, callersPort, peersPort, controlPort, service, state, slots, liveness] = values;
	return {
		name, incarnation, version, location: {region, failureDomain}, host, callersPort, peersPort, controlPort, service, state, slots, liveness,
	};
}

/** Checks the text of one member: its values in the order of `formatMember`, or an object. */
export function checkMemberText(text: string): CheckedValue<Member> {
	if (text.length > maximumMemberLength) {
		return {success: false, problem: `the text has ${text.length} characters, expected at most ${maximumMemberLength}`};
	}

	try {
		const document: unknown = JSON.parse(text);
		return checkValue(memberSchema, Array.isArray(document) ? toMemberDocument(document) : document);
	} catch {
		return {success: false, problem: 'the text is not JSON'};
	}
}

/** Keeps the valid values of a list and reports the problem of each other one. */
export function keepValid<Schema extends valibot.GenericSchema>(schema: Schema, values: readonly unknown[], report: (problem: string) => void): Array<valibot.InferOutput<Schema>> {
	return values.flatMap(value => {
		const checked = checkValue(schema, value);
		if (checked.success) {
			return [checked.value];
		}

		report(checked.problem);
		return [];
	});
}
