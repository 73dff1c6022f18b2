/**
 * Calls and answers between nodes: four bytes with the length of the head, the head as a JSON array, and the payload's
 * body. The values of the head stand in a fixed order, since the bytes between failure domains are paid for.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	ErrorKind, Importance, LaburnumspoolError, Outcome, parseCallId, parseJson, Semantics, type AnswerFrame, type CallFrame, type HybridTime,
} from '@laburnumspool/core';
import type {StringTableDecoder, StringTableEncoder, EncodedString} from './string-table.js';

const lengthBytes = 4;

const importances: ReadonlySet<unknown> = new Set(Object.values(Importance));
const semantics: ReadonlySet<unknown> = new Set(Object.values(Semantics));
const outcomes: ReadonlySet<unknown> = new Set(Object.values(Outcome));
const errorKinds: ReadonlySet<unknown> = new Set(Object.values(ErrorKind));

/** Values of a call's head in their order; those of unknown type are decoded by the link's texts. */
type CallHead = readonly [
	sender: unknown, sequence: unknown, actionId: string, foreignState: readonly string[], requestId: string, service: unknown, kind: unknown,
	semantics: Semantics, answerBytesLimit: number, importance: Importance, priority: number,
	timeLeftMilliseconds: number, retries: number, key: string | null, epoch: number, lastResort: boolean, revision: number,
	method: string, target: string, headers: readonly unknown[], digest: string, clock: HybridTime,
];

/** Values of an answer's head in their order. */
type AnswerHead = readonly [
	sender: unknown, sequence: unknown, outcome: Outcome, confirmed: boolean, status: number | null, headers: readonly unknown[], bodyBytes: number,
	errorKind: ErrorKind | null, detail: string, retriesSpent: number,
	headroom: number, level: number, levelBelow: number, leaving: boolean, revision: number, servedMilliseconds: number, clock: HybridTime,
];

type Check = (value: unknown) => boolean;

const isOneOf = (values: ReadonlySet<unknown>): Check => value => values.has(value);
const orNull = (check: Check): Check => value => value === null || check(value);

/** What stands at each place of a call's head. */
const callChecks: readonly Check[] = [
	isAny,
	isAny,
	isText,
	isTexts,
	isText,
	isAny,
	isAny,
	isOneOf(semantics),
	isNumber,
	isOneOf(importances),
	isNumber,
	isAmount,
	isAmount,
	orNull(isText),
	isNumber,
	isBoolean,
	isNumber,
	isText,
	isText,
	isList,
	isText,
	isNumber,
];

/** What stands at each place of an answer's head. */
const answerChecks: readonly Check[] = [
	isAny,
	isAny,
	isOneOf(outcomes),
	isBoolean,
	orNull(isNumber),
	isList,
	isNumber,
	orNull(isOneOf(errorKinds)),
	isText,
	isNumber,
	isNumber,
	isNumber,
	isNumber,
	isBoolean,
	isNumber,
	isNumber,
	isNumber,
];

/** A call with the sender's clock. */
export type TimedCall = {readonly frame: CallFrame; readonly clock: HybridTime};

/** An answer with the sender's clock. */
export type TimedAnswer = {readonly frame: AnswerFrame; readonly clock: HybridTime};

/**
 * Encodes a call.
 *
 * @example
 * const content = encodeCall({frame, clock}, new StringTableEncoder());
 */
export function encodeCall({frame, clock}: TimedCall, texts: StringTableEncoder): Buffer {
	const {action, request} = frame;
	return join([
		...encodeCallId(frame.callId, texts),
		action.actionId,
		action.vendorTraceState,
		frame.requestId,
		texts.encode(frame.service),
		texts.encode(frame.kind),
		frame.semantics,
		frame.answerBytesLimit,
		frame.importance,
		frame.priority,
		round(frame.timeLeftMilliseconds),
		frame.retries,
		frame.key ?? null,
		frame.epoch,
		frame.lastResort,
		frame.revision,
		request.method,
		request.target,
		request.headers.map(text => texts.encode(text)),
		request.digest,
		clock,
	], request.body);
}

/** Decodes a call; throws `malformed`. */
export function decodeCall(content: Buffer, texts: StringTableDecoder): TimedCall {
	const {head, body} = split(content);
	const [
		sender,
		sequence,
		actionId,
		vendorTraceState,
		requestId,
		service,
		kind,
		callSemantics,
		answerBytesLimit,
		importance,
		priority,
		timeLeftMilliseconds,
		retries,
		key,
		epoch,
		lastResort,
		revision,
		method,
		target,
		headers,
		digest,
		clock,
	] = parseHead<CallHead>(head, callChecks);
	const frame: CallFrame = {
		callId: decodeCallId(sender, sequence, texts),
		action: {actionId, vendorTraceState},
		requestId,
		service: texts.decode(service),
		kind: texts.decode(kind),
		semantics: callSemantics,
		answerBytesLimit,
		importance,
		priority,
		timeLeftMilliseconds,
		retries,
		key: key ?? undefined,
		epoch,
		lastResort,
		revision,
		request: {
			method, target, headers: decodeTexts(headers, texts), digest, body,
		},
	};
	return {clock, frame};
}

export function encodeAnswer({frame, clock}: TimedAnswer, texts: StringTableEncoder): Buffer {
	const {answer, error, serving} = frame;
	return join([
		...encodeCallId(frame.callId, texts),
		frame.outcome,
		frame.coversAction,
		answer === undefined ? null : answer.status,
		(answer?.headers ?? []).map(text => texts.encode(text)),
		answer?.body.length ?? 0,
		error?.kind ?? null,
		error?.detail ?? '',
		frame.retriesSpent,
		serving.headroom,
		serving.level,
		serving.downstreamLevel,
		serving.draining,
		serving.revision,
		round(serving.servedMilliseconds),
		clock,
	], answer?.body ?? new Uint8Array());
}

/** Decodes an answer; throws `malformed` also when the body is shorter or longer than the head says. */
export function decodeAnswer(content: Buffer, texts: StringTableDecoder): TimedAnswer {
	const {head, body} = split(content);
	const [
		sender, sequence, outcome, coversAction, status, headers, bodyBytes, errorKind, detail, retriesSpent, headroom, level, downstreamLevel, draining, revision, servedMilliseconds, clock,
	] = parseHead<AnswerHead>(head, answerChecks);
	const callId = decodeCallId(sender, sequence, texts);
	const answerHeaders = decodeTexts(headers, texts);
	if (bodyBytes !== body.length) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `Answer ${callId} has ${body.length} bytes in place of ${String(bodyBytes)}`);
	}

	const frame: AnswerFrame = {
		callId,
		outcome,
		coversAction,
		answer: status === null ? undefined : {status, headers: answerHeaders, body},
		error: errorKind === null ? undefined : {kind: errorKind, detail},
		retriesSpent,
		serving: {
			headroom, level, downstreamLevel, draining, revision, servedMilliseconds,
		},
	};
	return {clock, frame};
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
function parseHead<Head extends readonly unknown[]>(head: string, checks: readonly Check[]): Head {
	const values = parseJson(head, ErrorKind.Malformed, 'The head of the message is not JSON');
	if (!Array.isArray(values) || values.length !== checks.length || !checks.every((check, index) => check(values[index]))) {
		throw new LaburnumspoolError(ErrorKind.Malformed, 'The head of the message lacks a value, or has one of another type');
	}

	return values as unknown as Head;
}

/** Microseconds are as fine as any time is measured. */
function round(milliseconds: number): number {
	return Math.round(milliseconds * 1000) / 1000;
}

/** The sender's part of an id repeats, and its number does not. */
function encodeCallId(callId: string, texts: StringTableEncoder): [EncodedString, number | null] {
	const {sender, sequence} = parseCallId(callId);
	return Number.isFinite(sequence) && callId === `${sender}.${sequence}` ? [texts.encode(sender), sequence] : [texts.encode(callId), null];
}

function decodeCallId(sender: unknown, sequence: unknown, texts: StringTableDecoder): string {
	const text = texts.decode(sender);
	return isNumber(sequence) ? `${text}.${sequence}` : text;
}

function decodeTexts(values: readonly unknown[], texts: StringTableDecoder): string[] {
	return values.map(value => texts.decode(value));
}

/** Judged where it is decoded. */
function isAny(): boolean {
	return true;
}

function isList(value: unknown): boolean {
	return Array.isArray(value);
}

function isText(value: unknown): value is string {
	return typeof value === 'string';
}

function isBoolean(value: unknown): value is boolean {
	return typeof value === 'boolean';
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
