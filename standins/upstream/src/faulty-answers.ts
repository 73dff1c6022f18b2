/**
 * Faults of the upstream stand-in, and the faulty answers that it writes: truncated, repeated, or labelled with another
 * request's id.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';

/** Fault that the stand-in injects; set through `/control/behaviour`. */
export enum UpstreamFault {
	None = 'none',
	/** Holds the request without an answer. */
	Stuck = 'stuck',
	/** Closes the connection before it processes the request. */
	ResetBefore = 'reset-before',
	/** Processes the request, then closes the connection without an answer. */
	ResetAfter = 'reset-after',
	/** Sends half of the bytes that content-length states, then closes the connection. */
	HalfAnswer = 'half-answer',
	/** Sends half of a chunked body without the last chunk, then closes the connection. */
	HalfChunked = 'half-chunked',
	/** Sends half of a body that has neither content-length nor chunks, then resets the connection. */
	HalfUnframed = 'half-unframed',
	/** Sends the answer, and sends it again after a delay. */
	RepeatedAnswer = 'stutter',
	/** Sends an answer whose x-request-id belongs to another request. */
	WrongRequestId = 'foreign',
	/** Sends a body that never ends, without content-length or chunks. */
	Endless = 'endless',
}

/** The correct answer to a request. */
export type CompleteAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
};

const repeatDelayMilliseconds = 15;
const otherRequestId = 'another-request';
const endlessChunk = Buffer.alloc(64 * 1024, '.');

type FaultyAnswerWriter = (socket: Socket, answer: CompleteAnswer) => void;

/** Writers for the faults that replace the correct answer by bytes on the socket; other faults have none. */
export const faultyAnswerWriters: Readonly<Partial<Record<UpstreamFault, FaultyAnswerWriter>>> = {
	[UpstreamFault.ResetAfter](socket) {
		socket.destroy();
	},
	[UpstreamFault.HalfAnswer](socket, answer) {
		socket.end(formatHead(answer, {'content-length': String(answer.body.length)}) + firstHalf(answer));
	},
	[UpstreamFault.HalfChunked](socket, answer) {
		const half = firstHalf(answer);
		socket.end(`${formatHead(answer, {'transfer-encoding': 'chunked', connection: 'close'})}${half.length.toString(16)}\r\n${half}\r\n`);
	},
	[UpstreamFault.HalfUnframed](socket, answer) {
		socket.write(formatHead(answer, {connection: 'close'}) + firstHalf(answer), () => {
			socket.resetAndDestroy();
		});
	},
	[UpstreamFault.RepeatedAnswer](socket, answer) {
		const bytes = formatHead(answer, {'content-length': String(answer.body.length)}) + answer.body;
		socket.write(bytes);
		setTimeout(() => {
			socket.write(bytes);
		}, repeatDelayMilliseconds);
	},
	[UpstreamFault.WrongRequestId](socket, answer) {
		const headers = Object.fromEntries(Object.keys(answer.headers).map(name => [name, name === 'x-request-id' ? otherRequestId : answer.headers[name]!]));
		socket.write(formatHead({...answer, headers}, {'content-length': String(answer.body.length)}) + answer.body);
	},
	[UpstreamFault.Endless](socket, answer) {
		socket.write(formatHead(answer, {connection: 'close'}));
		const writeNextChunk = (): void => {
			if (!socket.destroyed) {
				socket.write(endlessChunk, () => {
					setImmediate(writeNextChunk);
				});
			}
		};

		writeNextChunk();
	},
};

function formatHead({status, headers}: CompleteAnswer, framing: Readonly<Record<string, string>>): string {
	const lines = Object.entries({...headers, ...framing}).map(([name, value]) => `${name}: ${value}\r\n`);
	return `HTTP/1.1 ${status} OK\r\n${lines.join('')}\r\n`;
}

function firstHalf({body}: CompleteAnswer): string {
	return body.slice(0, Math.floor(body.length / 2));
}
