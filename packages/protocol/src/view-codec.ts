/**
 * Requests and replies of view exchanges, as JSON.
 *
 * @module
 */
import {
	ErrorKind, LaburnumspoolError, Liveness, parseJson, UpstreamState,
} from '@laburnumspool/core';
import * as valibot from 'valibot';

const port = valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(0), valibot.maxValue(65_535));

export const memberSchema = valibot.object({
	name: valibot.string(),
	incarnation: valibot.number(),
	version: valibot.number(),
	location: valibot.object({region: valibot.string(), failureDomain: valibot.string()}),
	host: valibot.string(),
	callersPort: port,
	peersPort: port,
	controlPort: port,
	service: valibot.string(),
	state: valibot.enum(UpstreamState),
	slots: valibot.number(),
	liveness: valibot.enum(Liveness),
});

const rumorSchema = valibot.object({topic: valibot.string(), version: valibot.number()});

const viewRequestSchema = valibot.object({sender: memberSchema, buckets: valibot.array(valibot.number()), rumors: valibot.array(rumorSchema)});
const viewReplySchema = valibot.object({members: valibot.array(memberSchema), rumors: valibot.array(rumorSchema)});

/** The sender's own entry, its bucket digests, by which the other node finds the members that the sender lacks, and its rumors. */
export type ViewRequest = valibot.InferOutput<typeof viewRequestSchema>;
/** The members of the buckets whose digests differ, and the rumors of the replying node. */
export type ViewReply = valibot.InferOutput<typeof viewReplySchema>;

/** Parses a view request; throws `malformed`, for JSON with the path of the first invalid field. */
export function parseViewRequest(text: string): ViewRequest {
	return parseView(viewRequestSchema, text);
}

/** Parses a view reply; throws `malformed`, for JSON with the path of the first invalid field. */
export function parseViewReply(text: string): ViewReply {
	return parseView(viewReplySchema, text);
}

/** Parses a member; undefined when the text is not a valid member. */
export function tryParseMember(text: string): valibot.InferOutput<typeof memberSchema> | undefined {
	try {
		return parseView(memberSchema, text);
	} catch {
		return undefined;
	}
}

function parseView<Schema extends valibot.GenericSchema>(schema: Schema, text: string): valibot.InferOutput<Schema> {
	const result = valibot.safeParse(schema, parseJson(text, ErrorKind.Malformed, 'The view is not JSON'));
	if (!result.success) {
		const [issue] = result.issues;
		throw new LaburnumspoolError(ErrorKind.Malformed, `${valibot.getDotPath(issue) ?? 'view'}: ${issue.message}`);
	}

	return result.output;
}
