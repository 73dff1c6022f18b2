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

const lengthBytes = 4;

type CallHead = Omit<CallFrame, 'request'> & {readonly request: Omit<CallFrame['request'], 'body'>; readonly clock: HybridTime};
type AnswerHead = Omit<AnswerFrame, 'answer'> & {readonly answer?: {readonly status: number; readonly headers: readonly string[]; readonly bodyBytes: number}; readonly clock: HybridTime};
type Fields = Readonly<Record<string, unknown>>;

const importances: ReadonlySet<unknown> = new Set(Object.values(Importance));
const semantics: ReadonlySet<unknown> = new Set(Object.values(Semantics));
const outcomes: ReadonlySet<unknown> = new Set(Object.values(Outcome));
const errorKinds: ReadonlySet<unknown> = new Set(Object.values(ErrorKind));

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
	const parsed = parseJson(head);
	if (!isCallHead(parsed)) {
		throw new LaburnumspoolError(ErrorKind.Malformed, 'The head of the call lacks a field, or has one of another type');
	}

	const {clock, request, key, ...rest} = parsed;
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
	const parsed = parseJson(head);
	if (!isAnswerHead(parsed)) {
		throw new LaburnumspoolError(ErrorKind.Malformed, 'The head of the answer lacks a field, or has one of another type');
	}

	const {clock, answer, error, ...rest} = parsed;
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

/** Each call passes here, so the checks are plain tests and no schema. */
function isCallHead(head: unknown): head is CallHead {
	if (!isFields(head) || !isFields(head.action) || !isFields(head.request)) {
		return false;
	}

	const {action, request} = head;
	return isText(head.callId) && isText(action.actionId) && isTexts(action.foreignState) && isText(head.requestId)
		&& isText(head.service) && isText(head.kind) && semantics.has(head.semantics) && isNumber(head.answerBytesLimit)
		&& importances.has(head.importance) && isNumber(head.priority) && isAmount(head.timeLeftMilliseconds) && isAmount(head.retries)
		&& (head.key === undefined || isText(head.key)) && isNumber(head.epoch) && typeof head.lastResort === 'boolean' && isNumber(head.revision)
		&& isText(request.method) && isText(request.target) && isTexts(request.headers) && isText(request.digest) && isNumber(head.clock);
}

function isAnswerHead(head: unknown): head is AnswerHead {
	if (!isFields(head) || !isFields(head.serving)) {
		return false;
	}

	const {serving, answer, error} = head;
	const isAnswerRight = answer === undefined || (isFields(answer) && isNumber(answer.status) && isTexts(answer.headers) && isNumber(answer.bodyBytes));
	const isErrorRight = error === undefined || (isFields(error) && errorKinds.has(error.kind) && isText(error.detail));
	return isAnswerRight && isErrorRight && isText(head.callId) && outcomes.has(head.outcome) && typeof head.confirmed === 'boolean' && isNumber(head.retriesSpent)
		&& isNumber(serving.headroom) && isNumber(serving.level) && typeof serving.leaving === 'boolean' && isNumber(serving.revision)
		&& isNumber(serving.servedMilliseconds) && isNumber(head.clock);
}

function isFields(value: unknown): value is Fields {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isText(value: unknown): value is string {
	return typeof value === 'string';
}

function isNumber(value: unknown): value is number {
	return typeof value === 'number';
}

function isAmount(value: unknown): value is number {
	return typeof value === 'number' && value >= 0;
}

function isTexts(value: unknown): value is string[] {
	return Array.isArray(value) && value.every(item => typeof item === 'string');
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch (error) {
		throw new LaburnumspoolError(ErrorKind.Malformed, 'The head of the message is not JSON', {cause: error});
	}
}
