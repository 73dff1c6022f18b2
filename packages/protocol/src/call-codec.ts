/**
 * Calls and answers between nodes: four bytes with the length of the head, the head as a JSON array, and the body of
 * the payload. The head has values in a fixed order without names, because traffic between failure domains is billed by
 * volume.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	ErrorKind, Importance, LaburnumspoolError, Outcome, parseCallId, Semantics, type AnswerFrame, type CallFrame, type HybridTime, type WorkReport,
} from '@laburnumspool/core';
import {
	isAny, isArray, isBoolean, isByteCount, isNonNegativeNumber, isNumber, isString, isStringArray, nullOr, parseHead, splitIntoParts, splitMessage, type Check, type MessageParts,
} from './message-head.js';
import type {StringTableDecoder, StringTableEncoder, EncodedString} from './string-table.js';

const importances: ReadonlySet<unknown> = new Set(Object.values(Importance));
const semantics: ReadonlySet<unknown> = new Set(Object.values(Semantics));
const outcomes: ReadonlySet<unknown> = new Set(Object.values(Outcome));
const errorKinds: ReadonlySet<unknown> = new Set(Object.values(ErrorKind));

/** Values of a call's head in their order; those of type `unknown` are decoded by the connection's string table. */
type CallHead = readonly [
	sender: unknown, sequence: unknown, actionId: string, vendorTraceState: readonly string[], requestId: string, service: unknown, kind: unknown,
	semantics: Semantics, answerBytesLimit: number, importance: Importance, priority: number,
	timeLeftMilliseconds: number, retries: number, key: string | null, epoch: number, lastResort: boolean, revision: number,
	method: string, target: string, headers: readonly unknown[], digest: string, clock: HybridTime,
];

/** Values of an answer's head in their order. `bodyBytes` is null when the body was sent as a stream before. */
type AnswerHead = readonly [
	sender: unknown, sequence: unknown, outcome: Outcome, coversAction: boolean, status: number | null, headers: readonly unknown[], bodyBytes: number | null,
	errorKind: ErrorKind | null, detail: string, retriesSpent: number,
	headroom: number, level: number, downstreamLevel: number, draining: boolean, revision: number, servedMilliseconds: number, clock: HybridTime, work?: WorkValues,
];

const emptyBody = Buffer.alloc(0);

/** Values of a work report in their order. */
type WorkValues = readonly [workLeftMilliseconds: number, ownMilliseconds: number, slowdown: number, ageMilliseconds: number];

const workValueCount = 4;

/** Digits of the values of a work report; they are estimates, and each digit is sent with each answer. */
const workDigits = 3;

/** Longest time that a call can have left. */
const maximumTimeLeftMilliseconds = 600_000;

const isCounter: Check = value => Number.isSafeInteger(value) && (value as number) >= 0;
const isDuration: Check = value => isNonNegativeNumber(value) && value <= maximumTimeLeftMilliseconds;
const isOneOf = (values: ReadonlySet<unknown>): Check => value => values.has(value);

/** Checks of a call's head, one per value, in the order of `CallHead`. */
const callChecks: readonly Check[] = [
	isAny,
	isAny,
	isString,
	isStringArray,
	isString,
	isAny,
	isAny,
	isOneOf(semantics),
	isByteCount,
	isOneOf(importances),
	isNumber,
	isDuration,
	isNonNegativeNumber,
	nullOr(isString),
	isCounter,
	isBoolean,
	isCounter,
	isString,
	isString,
	isArray,
	isString,
	isNumber,
];

/** Checks of an answer's head, one per value, in the order of `AnswerHead`. */
const answerChecks: readonly Check[] = [
	isAny,
	isAny,
	isOneOf(outcomes),
	isBoolean,
	nullOr(isNumber),
	isArray,
	nullOr(isNumber),
	nullOr(isOneOf(errorKinds)),
	isString,
	isNumber,
	isNumber,
	isNumber,
	isNumber,
	isBoolean,
	isCounter,
	isNonNegativeNumber,
	isNumber,
];

/** Check of the work report, which follows the other values of an answer's head where the link carries it. */
const isWorkReport: Check = value => Array.isArray(value) && value.length === workValueCount && value.every(item => isNonNegativeNumber(item));

/** A call with the sender's hybrid time. */
export type TimedCall = {readonly frame: CallFrame; readonly clock: HybridTime};

/** An answer with the sender's hybrid time. */
export type TimedAnswer = {readonly frame: AnswerFrame; readonly clock: HybridTime};

/**
 * Encodes a call.
 *
 * @example
 * const content = encodeCall({frame, clock}, new StringTableEncoder());
 */
export function encodeCall(call: TimedCall, strings: StringTableEncoder): Buffer {
	return Buffer.concat(encodeCallParts(call, strings));
}

/**
 * Encodes a call without copying its body.
 *
 * @example
 * const [head, body] = encodeCallParts({frame, clock}, new StringTableEncoder());
 */
export function encodeCallParts({frame, clock}: TimedCall, strings: StringTableEncoder): MessageParts {
	const {action, request} = frame;
	return splitIntoParts([
		...encodeCallId(frame.callId, strings),
		action.actionId,
		action.vendorTraceState,
		frame.requestId,
		strings.encode(frame.service),
		strings.encode(frame.kind),
		frame.semantics,
		frame.answerBytesLimit,
		frame.importance,
		frame.priority,
		roundToMicroseconds(frame.timeLeftMilliseconds),
		frame.retries,
		frame.key ?? null,
		frame.epoch,
		frame.lastResort,
		frame.revision,
		request.method,
		request.target,
		request.headers.map(text => strings.encode(text)),
		request.digest,
		clock,
	], request.body);
}

/** Decodes a call; throws `malformed`. */
export function decodeCall(content: Buffer, strings: StringTableDecoder): TimedCall {
	return setCallBody(decodeCallHead(content, strings), content);
}

/** Sets the body of a call, of which only the head was decoded, from its whole message. */
export function setCallBody({frame, clock}: TimedCall, content: Buffer): TimedCall {
	return {clock, frame: {...frame, request: {...frame.request, body: splitMessage(content).body}}};
}

/**
 * Decodes a call from the beginning of its message; throws `malformed`. Its body is empty. The head of each call must be
 * decoded exactly once, also that of a discarded call, because it may add strings to the table.
 *
 * @param content - the message as far as it has arrived, at least up to the end of its head
 */
export function decodeCallHead(content: Buffer, strings: StringTableDecoder): TimedCall {
	const {head} = splitMessage(content);
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
		callId: decodeCallId(sender, sequence, strings),
		action: {actionId, vendorTraceState},
		requestId,
		service: strings.decode(service),
		kind: strings.decode(kind),
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
			method, target, headers: decodeStrings(headers, strings), digest, body: emptyBody,
		},
	};
	return {clock, frame};
}

export function encodeAnswer(answer: TimedAnswer, strings: StringTableEncoder): Buffer {
	return Buffer.concat(encodeAnswerParts(answer, strings));
}

/** Encodes an answer without copying its body. */
export function encodeAnswerParts({frame, clock}: TimedAnswer, strings: StringTableEncoder): MessageParts {
	const {answer, error, serving} = frame;
	return splitIntoParts([
		...encodeCallId(frame.callId, strings),
		frame.outcome,
		frame.coversAction,
		answer === undefined ? null : answer.status,
		(answer?.headers ?? []).map(text => strings.encode(text)),
		answer?.isStreamed === true ? null : answer?.body.length ?? 0,
		error?.kind ?? null,
		error?.detail ?? '',
		frame.retriesSpent,
		serving.headroom,
		serving.level,
		serving.downstreamLevel,
		serving.draining,
		serving.revision,
		roundToMicroseconds(serving.servedMilliseconds),
		clock,
		...(serving.work === undefined ? [] : [encodeWork(serving.work)]),
	], answer?.body ?? emptyBody);
}

/** Decodes an answer; throws `malformed`, also when the body is not as long as the head states. */
export function decodeAnswer(content: Buffer, strings: StringTableDecoder): TimedAnswer {
	const {head, body} = splitMessage(content);
	const [
		sender, sequence, outcome, coversAction, status, headers, bodyBytes, errorKind, detail, retriesSpent, headroom, level, downstreamLevel, draining, revision, servedMilliseconds, clock, work,
	] = parseHead<AnswerHead>(head, answerChecks, isWorkReport);
	const callId = decodeCallId(sender, sequence, strings);
	const answerHeaders = decodeStrings(headers, strings);
	if ((bodyBytes ?? 0) !== body.length) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `The body of answer ${callId} has ${body.length} bytes; its head states ${String(bodyBytes)}`);
	}

	const frame: AnswerFrame = {
		callId,
		outcome,
		coversAction,
		answer: status === null
			? undefined
			: {
				status, headers: answerHeaders, body, ...(bodyBytes === null ? {isStreamed: true} : {}),
			},
		error: errorKind === null ? undefined : {kind: errorKind, detail},
		retriesSpent,
		serving: {
			headroom, level, downstreamLevel, draining, revision, servedMilliseconds, ...(work === undefined ? {} : {work: decodeWork(work)}),
		},
	};
	return {clock, frame};
}

function encodeWork({workLeftMilliseconds, ownMilliseconds, slowdown, ageMilliseconds}: WorkReport): WorkValues {
	return [roundToDigits(workLeftMilliseconds), roundToDigits(ownMilliseconds), roundToDigits(slowdown), Math.round(ageMilliseconds)];
}

function decodeWork([workLeftMilliseconds, ownMilliseconds, slowdown, ageMilliseconds]: WorkValues): WorkReport {
	return {
		workLeftMilliseconds, ownMilliseconds, slowdown, ageMilliseconds,
	};
}

function roundToDigits(value: number): number {
	return Number(value.toPrecision(workDigits));
}

/** No time is measured with a finer resolution than microseconds. */
function roundToMicroseconds(milliseconds: number): number {
	return Math.round(milliseconds * 1000) / 1000;
}

/** The sender part of an id repeats on a connection and goes into the string table; the sequence number does not repeat. */
function encodeCallId(callId: string, strings: StringTableEncoder): [EncodedString, number | null] {
	const {sender, sequence} = parseCallId(callId);
	return Number.isFinite(sequence) && callId === `${sender}.${sequence}` ? [strings.encode(sender), sequence] : [strings.encode(callId), null];
}

function decodeCallId(sender: unknown, sequence: unknown, strings: StringTableDecoder): string {
	const text = strings.decode(sender);
	return isNumber(sequence) ? `${text}.${sequence}` : text;
}

function decodeStrings(values: readonly unknown[], strings: StringTableDecoder): string[] {
	return values.map(value => strings.decode(value));
}
