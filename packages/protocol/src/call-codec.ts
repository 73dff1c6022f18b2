/**
 * Calls and answers between nodes as HTTP bodies: four bytes with the length of the head, the head as JSON, and the
 * payload's body.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	ErrorKind, Importance, LaburnumspoolError, Outcome, Semantics, type AnswerFrame, type CallFrame, type HybridTime,
} from '@laburnumspool/core';
import * as valibot from 'valibot';

const lengthBytes = 4;

const headersSchema = valibot.array(valibot.string());

const callHeadSchema = valibot.object({
	callId: valibot.string(),
	action: valibot.object({actionId: valibot.string(), foreignState: valibot.array(valibot.string())}),
	requestId: valibot.string(),
	service: valibot.string(),
	kind: valibot.string(),
	semantics: valibot.enum(Semantics),
	answerBytesLimit: valibot.number(),
	importance: valibot.enum(Importance),
	priority: valibot.number(),
	timeLeftMilliseconds: valibot.pipe(valibot.number(), valibot.minValue(0)),
	retries: valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(0)),
	key: valibot.optional(valibot.string()),
	epoch: valibot.number(),
	lastResort: valibot.boolean(),
	revision: valibot.number(),
	request: valibot.object({
		method: valibot.string(), target: valibot.string(), headers: headersSchema, digest: valibot.string(),
	}),
	clock: valibot.number(),
});

const answerHeadSchema = valibot.object({
	callId: valibot.string(),
	outcome: valibot.enum(Outcome),
	confirmed: valibot.boolean(),
	answer: valibot.optional(valibot.object({status: valibot.number(), headers: headersSchema, bodyBytes: valibot.number()})),
	error: valibot.optional(valibot.object({kind: valibot.enum(ErrorKind), detail: valibot.string()})),
	retriesSpent: valibot.number(),
	serving: valibot.object({
		headroom: valibot.number(),
		level: valibot.number(),
		leaving: valibot.boolean(),
		revision: valibot.number(),
		servedMilliseconds: valibot.number(),
	}),
	clock: valibot.number(),
});

/** A call with the sender's clock. */
export type TimedCall = {readonly frame: CallFrame; readonly clock: HybridTime};

/** An answer with the sender's clock. */
export type TimedAnswer = {readonly frame: AnswerFrame; readonly clock: HybridTime};

/**
 * Encodes a call.
 *
 * @example
 * const body = encodeCall({frame, clock});
 */
export function encodeCall({frame, clock}: TimedCall): Buffer {
	const {request: {body, ...request}, ...head} = frame;
	return join({...head, request, clock}, body);
}

/** Decodes a call; throws `malformed`. */
export function decodeCall(content: Buffer): TimedCall {
	const {head, body} = split(content);
	const {clock, request, key, ...rest} = parseHead(callHeadSchema, head);
	return {clock, frame: {...rest, key, request: {...request, body}}};
}

export function encodeAnswer({frame, clock}: TimedAnswer): Buffer {
	const {answer, ...head} = frame;
	const answerHead = answer === undefined ? undefined : {status: answer.status, headers: answer.headers, bodyBytes: answer.body.length};
	return join({...head, answer: answerHead, clock}, answer?.body ?? new Uint8Array());
}

/** Decodes an answer; throws `malformed` also when the body is shorter or longer than the head says. */
export function decodeAnswer(content: Buffer): TimedAnswer {
	const {head, body} = split(content);
	const {clock, answer, error, ...rest} = parseHead(answerHeadSchema, head);
	if (answer !== undefined && answer.bodyBytes !== body.length) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `Answer ${rest.callId} has ${body.length} bytes in place of ${answer.bodyBytes}`);
	}

	return {clock, frame: {...rest, error, answer: answer === undefined ? undefined : {status: answer.status, headers: answer.headers, body}}};
}

function join(head: unknown, body: Uint8Array): Buffer {
	const headText = JSON.stringify(head);
	const headBytes = Buffer.byteLength(headText);
	const content = Buffer.allocUnsafe(lengthBytes + headBytes + body.length);
	content.writeUInt32BE(headBytes, 0);
	content.write(headText, lengthBytes);
	content.set(body, lengthBytes + headBytes);
	return content;
}

function split(content: Buffer): {head: string; body: Buffer} {
	const headBytes = content.length < lengthBytes ? Infinity : content.readUInt32BE(0);
	const bodyStart = lengthBytes + headBytes;
	if (bodyStart > content.length) {
		throw new LaburnumspoolError(ErrorKind.Malformed, 'The message ends before its head does');
	}

	return {head: content.toString('utf8', lengthBytes, bodyStart), body: content.subarray(bodyStart)};
}

function parseHead<Schema extends valibot.GenericSchema>(schema: Schema, head: string): valibot.InferOutput<Schema> {
	const result = valibot.safeParse(schema, parseJson(head));
	if (!result.success) {
		const [issue] = result.issues;
		throw new LaburnumspoolError(ErrorKind.Malformed, `${valibot.getDotPath(issue) ?? 'head'}: ${issue.message}`);
	}

	return result.output;
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch (error) {
		throw new LaburnumspoolError(ErrorKind.Malformed, 'The head of the message is not JSON', {cause: error});
	}
}
