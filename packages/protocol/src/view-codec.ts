/**
 * Requests and replies of view exchanges, as JSON.
 *
 * @module
 */
import {
	checkValue, ErrorKind, keepValid, LaburnumspoolError, memberSchema, parseJson, rumorSchema, type Member, type Rumor,
} from '@laburnumspool/core';
import * as valibot from 'valibot';

/** Entries beyond this number are dropped; it is several times the size of the largest system. */
const maximumMembers = 20_000;
const maximumRumors = 1000;
const maximumBuckets = 1024;

const list = (maximumLength: number) => valibot.pipe(valibot.array(valibot.unknown()), valibot.maxLength(maximumLength));
const viewRequestSchema = valibot.object({
	sender: memberSchema, buckets: valibot.pipe(valibot.array(valibot.number()), valibot.maxLength(maximumBuckets)), rumors: list(maximumRumors),
});
const viewReplySchema = valibot.object({members: list(maximumMembers), rumors: list(maximumRumors)});

/** The sender's own entry, its bucket digests, by which the other node finds the members that the sender lacks, and its rumors. */
export type ViewRequest = {readonly sender: Member; readonly buckets: readonly number[]; readonly rumors: readonly Rumor[]};
/** The members of the buckets whose digests differ, and the rumors of the replying node. */
export type ViewReply = {readonly members: readonly Member[]; readonly rumors: readonly Rumor[]};

/** Receives the path of the first invalid field of an entry that was left out, and what was expected. */
export type ReportProblem = (problem: string) => void;

const ignoreProblem: ReportProblem = () => undefined;

/** Parses a view request; throws `malformed`, for JSON with the path of the first invalid field. Invalid rumors are left out. */
export function parseViewRequest(text: string, report = ignoreProblem): ViewRequest {
	const {sender, buckets, rumors} = parseView(viewRequestSchema, text);
	return {sender, buckets, rumors: keepValid(rumorSchema, rumors, report)};
}

/** Parses a view reply; throws `malformed`, for JSON with the path of the first invalid field. Invalid members and rumors are left out. */
export function parseViewReply(text: string, report = ignoreProblem): ViewReply {
	const {members, rumors} = parseView(viewReplySchema, text);
	return {members: keepValid(memberSchema, members, report), rumors: keepValid(rumorSchema, rumors, report)};
}

function parseView<Schema extends valibot.GenericSchema>(schema: Schema, text: string): valibot.InferOutput<Schema> {
	const checked = checkValue(schema, parseJson(text, ErrorKind.Malformed, 'The view is not JSON'));
	if (!checked.success) {
		throw new LaburnumspoolError(ErrorKind.Malformed, checked.problem);
	}

	return checked.value;
}
