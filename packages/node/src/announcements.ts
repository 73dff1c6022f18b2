/**
 * Parsing of the announcements by which the upstream registers itself with the node.
 *
 * @module
 */
import {
	AnnouncedState, ErrorKind, isReachableTime, LaburnumspoolError, parseJson, type Announcement,
} from '@laburnumspool/core';
import * as valibot from 'valibot';

const maximumSlots = 100_000;
const slotCount = valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(1), valibot.maxValue(maximumSlots));

const announcementSchema = valibot.object({
	service: valibot.pipe(valibot.string(), valibot.regex(/^[a-z][a-z\d-]{0,62}$/u, 'Expected the name of a service')),
	address: valibot.pipe(valibot.string(), valibot.regex(/^[^:\s]+:\d{1,5}$/u, 'Expected HOST:PORT')),
	slots: slotCount,
	connections: valibot.optional(slotCount),
	/** Incarnation of the upstream. */
	instance: valibot.optional(valibot.string()),
	/** Milliseconds since the epoch at the incarnation's start. */
	birth: valibot.optional(valibot.pipe(valibot.number(), valibot.safeInteger(), valibot.check(birth => isReachableTime(birth, Date.now()), 'Expected a time that the clocks have reached'))),
	/** Grows with each announcement of the incarnation. */
	sequence: valibot.optional(valibot.pipe(valibot.number(), valibot.safeInteger())),
	/** Remaining time in which the upstream is slow after its start. */
	coldMilliseconds: valibot.optional(valibot.pipe(valibot.number(), valibot.minValue(0))),
	state: valibot.enum(AnnouncedState),
	load: valibot.optional(valibot.strictObject({
		inFlight: valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(0)),
		healthy: valibot.boolean(),
	})),
});

/**
 * Parses an announcement; throws `malformed` with the path of each invalid value. `instance` replaces the one in the text.
 *
 * @example
 * parseAnnouncement('{"service":"catalogue","address":"127.0.0.1:8001","slots":140,"connections":940,"state":"ready"}');
 */
export function parseAnnouncement(text: string, instance?: string): Announcement {
	const document = parseJson(text, ErrorKind.Malformed, 'body: not JSON');
	const result = valibot.safeParse(announcementSchema, instance === undefined ? document : {...document as object, instance});
	if (!result.success) {
		const errors = result.issues.map(issue => `${valibot.getDotPath(issue) ?? 'body'}: ${issue.message}`);
		throw new LaburnumspoolError(ErrorKind.Malformed, errors.join('; '));
	}

	const {load, ...announcement} = result.output;
	return {...announcement, load};
}
