/**
 * Conversion of quota datagrams to and from Protocol Buffers. They share the port of gossip.
 *
 * @module
 */
import {
	checkValue, ErrorKind, LaburnumspoolError, ownersPerQuota, QuotaMessageType, type QuotaMessage,
} from '@laburnumspool/core';
import * as valibot from 'valibot';
import {laburnumspool} from '../generated/control.js';

const {Quota} = laburnumspool.control;

/** First byte of a quota datagram. As a Protocol Buffers tag it has the invalid wire type 7, so that a node without quotas rejects the datagram. */
const quotaMark = 7;
const maximumDatagramBytes = 1200;
const maximumNameLength = 200;

/** The decoder represents 64-bit fields as objects where the library for them is installed. */
const count = valibot.pipe(valibot.unknown(), valibot.transform(toNumber), valibot.number(), valibot.safeInteger(), valibot.minValue(0));
const name = valibot.pipe(valibot.string(), valibot.minLength(1), valibot.maxLength(maximumNameLength));
const positive = valibot.pipe(valibot.number(), valibot.finite(), valibot.minValue(0));
const part = valibot.pipe(count, valibot.maxValue(ownersPerQuota - 1));
const useSchema = valibot.object({
	organisation: name, part, series: valibot.pipe(count, valibot.minValue(1)), granted: count, used: count, returned: count, asked: count,
});
const grantSchema = valibot.object({
	organisation: name, part, series: count, granted: count, rate: positive, waitMilliseconds: count, isLow: valibot.boolean(),
});
const messageSchema = valibot.object({
	sender: name, incarnation: count, toIncarnation: count, stamp: count, uses: valibot.array(useSchema), grants: valibot.array(grantSchema),
});

/** Whether a datagram is one about quotas, and not gossip. */
export function isQuotaDatagram(content: Uint8Array): boolean {
	return content[0] === quotaMark;
}

/**
 * Encodes a quota datagram. Waiting times are rounded up to whole milliseconds.
 *
 * @example
 * socket.send(encodeQuota(message), port, host);
 */
export function encodeQuota(message: QuotaMessage): Uint8Array {
	const {sender, incarnation, toIncarnation, stamp} = message;
	const entries = message.type === QuotaMessageType.Report
		? {uses: message.uses.map(use => ({...use}))}
		: {grants: message.grants.map(grant => ({...grant, waitMilliseconds: Math.ceil(grant.waitMilliseconds)}))};
	const content = Quota.encode({
		sender, incarnation, toIncarnation, stamp, ...entries,
	}).finish();
	return Uint8Array.of(quotaMark, ...content);
}

/** Decodes a quota datagram; throws `malformed` with the path of the first invalid field. */
export function decodeQuota(content: Uint8Array): QuotaMessage {
	if (!isQuotaDatagram(content) || content.length > maximumDatagramBytes) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `The datagram of ${content.length} bytes is not one about quotas`);
	}

	const checked = checkValue(messageSchema, decodeWire(content.subarray(1)));
	if (!checked.success) {
		throw new LaburnumspoolError(ErrorKind.Malformed, checked.problem);
	}

	const {uses, grants, ...header} = checked.value;
	return grants.length > 0 ? {...header, type: QuotaMessageType.Reply, grants} : {...header, type: QuotaMessageType.Report, uses};
}

function toNumber(value: unknown): unknown {
	return typeof value === 'object' && value !== null && 'toNumber' in value ? (value as {readonly toNumber: () => number}).toNumber() : value;
}

function decodeWire(content: Uint8Array): unknown {
	try {
		return Quota.decode(content);
	} catch (error) {
		throw new LaburnumspoolError(ErrorKind.Malformed, 'The message is not valid Protocol Buffers', {cause: error});
	}
}
