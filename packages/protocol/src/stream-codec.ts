/**
 * Messages of an answer whose body is passed on while it arrives: its head, the parts of its body, and the bytes that the
 * receiver has consumed.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {AnswerHead} from '@laburnumspool/core';
import {
	isByteCount, isNumber, isString, isStringArray, joinMessage, nullOr, parseHead, splitIntoParts, splitMessage, type MessageParts,
} from './message-head.js';

const noBody = new Uint8Array();

/** The head of a streamed answer. */
export type StartedAnswer = {readonly callId: string; readonly head: AnswerHead};

/** A part of the body, with its position. */
export type AnswerChunk = {readonly callId: string; readonly offset: number; readonly bytes: Buffer};

/** Bytes of the body that the receiver has consumed since its last message. */
export type AnswerCredit = {readonly callId: string; readonly bytes: number};

/**
 * Encodes the head of a streamed answer.
 *
 * @example
 * link.send(FrameType.AnswerHead, encodeAnswerHead({callId, head}));
 */
export function encodeAnswerHead({callId, head}: StartedAnswer): Buffer {
	return joinMessage([callId, head.status, head.headers, head.bodyBytes ?? null], noBody);
}

/** Decodes the head of a streamed answer; throws `malformed`. */
export function decodeAnswerHead(content: Buffer): StartedAnswer {
	type Head = readonly [callId: string, status: number, headers: readonly string[], bodyBytes: number | null];
	const [callId, status, headers, bodyBytes] = parseHead<Head>(splitMessage(content).head, [isString, isNumber, isStringArray, nullOr(isByteCount)]);
	return {callId, head: {status, headers, bodyBytes: bodyBytes ?? undefined}};
}

/** Encodes a part of a body. */
export function encodeAnswerChunk(chunk: AnswerChunk): Buffer {
	return Buffer.concat(encodeAnswerChunkParts(chunk));
}

/** Encodes a part of a body without copying it. */
export function encodeAnswerChunkParts({callId, offset, bytes}: AnswerChunk): MessageParts {
	return splitIntoParts([callId, offset], bytes);
}

/** Decodes a part of a body; throws `malformed`. */
export function decodeAnswerChunk(content: Buffer): AnswerChunk {
	const {head, body} = splitMessage(content);
	const [callId, offset] = parseHead<readonly [callId: string, offset: number]>(head, [isString, isByteCount]);
	return {callId, offset, bytes: body};
}

/** Encodes consumed bytes. */
export function encodeAnswerCredit({callId, bytes}: AnswerCredit): Buffer {
	return joinMessage([callId, bytes], noBody);
}

/** Decodes consumed bytes; throws `malformed`. */
export function decodeAnswerCredit(content: Buffer): AnswerCredit {
	const [callId, bytes] = parseHead<readonly [callId: string, bytes: number]>(splitMessage(content).head, [isString, isByteCount]);
	return {callId, bytes};
}
