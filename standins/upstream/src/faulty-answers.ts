/**
 * Answers of an upstream in trouble: cut, repeated, or of another request.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';

/** How the stand-in misbehaves. */
export enum UpstreamFault {
	None = 'none',
	/** Never answers. */
	Stuck = 'stuck',
	/** Closes the connection before the work. */
	ResetBefore = 'reset-before',
	/** Works, then closes the connection. */
	ResetAfter = 'reset-after',
	/** Sends half of the announced body, then closes. */
	HalfAnswer = 'half-answer',
	/** Sends half of a chunked body, then closes. */
	HalfChunked = 'half-chunked',
	/** Sends half of a body that has neither length nor chunks, and resets the connection. */
	HalfUnframed = 'half-unframed',
	/** Answers twice, the second time late. */
	Stutter = 'stutter',
	/** Answers in the name of another request. */
	Foreign = 'foreign',
	/** Sends a body that exceeds its bound, without end. */
	Endless = 'endless',
}

/** A whole answer, of which a fault makes something else. */
export type WholeAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
};

const stutterMilliseconds = 15;
const foreignId = 'another-request';
const endlessChunk = Buffer.alloc(64 * 1024, '.');

type FaultyAnswer = (socket: Socket, answer: WholeAnswer) => void;

/** What is written in place of a whole answer. */
export const faultyAnswers: Readonly<Partial<Record<UpstreamFault, FaultyAnswer>>> = {
	[UpstreamFault.ResetAfter](socket) {
		socket.destroy();
	},
	[UpstreamFault.HalfAnswer](socket, answer) {
		socket.end(headOf(answer, {'content-length': String(answer.body.length)}) + firstHalf(answer));
	},
	[UpstreamFault.HalfChunked](socket, answer) {
		const half = firstHalf(answer);
		socket.end(`${headOf(answer, {'transfer-encoding': 'chunked', connection: 'close'})}${half.length.toString(16)}\r\n${half}\r\n`);
	},
	[UpstreamFault.HalfUnframed](socket, answer) {
		socket.write(headOf(answer, {connection: 'close'}) + firstHalf(answer), () => {
			socket.resetAndDestroy();
		});
	},
	[UpstreamFault.Stutter](socket, answer) {
		const bytes = headOf(answer, {'content-length': String(answer.body.length)}) + answer.body;
		socket.write(bytes);
		setTimeout(() => {
			socket.write(bytes);
		}, stutterMilliseconds);
	},
	[UpstreamFault.Foreign](socket, answer) {
		const headers = Object.fromEntries(Object.keys(answer.headers).map(name => [name, name === 'x-request-id' ? foreignId : answer.headers[name]!]));
		socket.write(headOf({...answer, headers}, {'content-length': String(answer.body.length)}) + answer.body);
	},
	[UpstreamFault.Endless](socket, answer) {
		socket.write(headOf(answer, {connection: 'close'}));
		const writeOn = (): void => {
			if (!socket.destroyed) {
				socket.write(endlessChunk, () => {
					setImmediate(writeOn);
				});
			}
		};

		writeOn();
	},
};

function headOf({status, headers}: WholeAnswer, framing: Readonly<Record<string, string>>): string {
	const lines = Object.entries({...headers, ...framing}).map(([name, value]) => `${name}: ${value}\r\n`);
	return `HTTP/1.1 ${status} OK\r\n${lines.join('')}\r\n`;
}

function firstHalf({body}: WholeAnswer): string {
	return body.slice(0, Math.floor(body.length / 2));
}
