/**
 * Messages that consist of a head, an array of values as JSON, and a body of bytes.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {ErrorKind, LaburnumspoolError, parseJson} from '@laburnumspool/core';

const headLengthBytes = 4;

/** Whether a value of a head has the expected type. */
export type Check = (value: unknown) => boolean;

/** A message in parts that follow each other on the wire: the length of the head with the head, and the body, which is not copied. */
export type MessageParts = readonly [head: Buffer, body: Uint8Array];

/** A message in parts: the length of the head with the head as JSON, and the body. */
export function splitIntoParts(head: unknown, body: Uint8Array): MessageParts {
	const headText = JSON.stringify(head);
	const headBytes = Buffer.byteLength(headText);
	const headPart = Buffer.allocUnsafe(headLengthBytes + headBytes);
	headPart.writeUInt32BE(headBytes, 0);
	headPart.write(headText, headLengthBytes);
	return [headPart, body];
}

/** A message as one buffer, into which the body is copied. */
export function joinMessage(head: unknown, body: Uint8Array): Buffer {
	return Buffer.concat(splitIntoParts(head, body));
}

/** Splits a message; throws `malformed` when it ends within its head. */
export function splitMessage(content: Buffer): {head: string; body: Buffer} {
	const headBytes = content.length < headLengthBytes ? Infinity : content.readUInt32BE(0);
	const bodyStart = headLengthBytes + headBytes;
	if (bodyStart > content.length) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `The message has ${content.length} bytes and ends within its head`);
	}

	return {head: content.toString('utf8', headLengthBytes, bodyStart), body: content.subarray(bodyStart)};
}

/**
 * Parses a head and checks each value; throws `malformed`. Runs for every call and answer, so the checks are plain functions
 * and not a schema.
 *
 * @param optionalCheck - check of one further value, which may be absent
 */
export function parseHead<Head extends readonly unknown[]>(head: string, checks: readonly Check[], optionalCheck?: Check): Head {
	const values = parseJson(head, ErrorKind.Malformed, 'The head of the message is not JSON');
	const hasOptional = Array.isArray(values) && optionalCheck !== undefined && values.length === checks.length + 1;
	const isComplete = Array.isArray(values) && (hasOptional ? optionalCheck(values.at(-1)) : values.length === checks.length);
	if (!isComplete || !checks.every((check, index) => check(values[index]))) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `The head of the message is not an array of ${checks.length} values of the expected types`);
	}

	return values as unknown as Head;
}

export function nullOr(check: Check): Check {
	return value => value === null || check(value);
}

/** For values that are checked when they are decoded. */
export function isAny(): boolean {
	return true;
}

export function isArray(value: unknown): boolean {
	return Array.isArray(value);
}

export function isString(value: unknown): value is string {
	return typeof value === 'string';
}

export function isBoolean(value: unknown): value is boolean {
	return typeof value === 'boolean';
}

export function isNumber(value: unknown): value is number {
	return Number.isFinite(value);
}

export function isNonNegativeNumber(value: unknown): value is number {
	return isNumber(value) && value >= 0;
}

export function isStringArray(value: unknown): value is string[] {
	return Array.isArray(value) && value.every(item => typeof item === 'string');
}

/** Whether the value is an integer that counts bytes. */
export function isByteCount(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}
