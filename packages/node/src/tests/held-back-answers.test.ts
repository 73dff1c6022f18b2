import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {UpstreamFailure} from '@laburnumspool/core';
import {test, type Test} from 'tap';
import {streamWindowBytes} from '../answer-streams.js';
import {CoreMessageType} from '../core-task.js';
import {completeAnswer, startUpstream, summarize} from './raw-upstream.js';

const answerBytesLimit = 2 * streamWindowBytes;
const callId = 'n.1.1';

/** Time in which the client notices the end of the connection, which it must leave alone while the body is held back. */
const heldMilliseconds = 30;

/** With its last byte the body fills the window, so that all of it is held back when its connection ends. */
const body = Buffer.alloc(streamWindowBytes, 'x');
const head = 'HTTP/1.1 200 OK\r\nrequest-id: r1\r\nsignature: s\r\n';

type Framing = {readonly lines: string; readonly first?: string; readonly last?: string};

const framings: Readonly<Record<string, Framing>> = {
	'with a length': {lines: `content-length: ${body.length}\r\n`},
	'with a length and connection: close': {lines: `connection: close\r\ncontent-length: ${body.length}\r\n`},
	'in chunks': {lines: 'transfer-encoding: chunked\r\n', first: `${body.length.toString(16)}\r\n`, last: '\r\n0\r\n\r\n'},
	'in chunks, with connection: close': {lines: 'connection: close\r\ntransfer-encoding: chunked\r\n', first: `${body.length.toString(16)}\r\n`, last: '\r\n0\r\n\r\n'},
	'without a length': {lines: ''},
};

/** A body of which the last byte, or the last chunk, is missing. */
const truncatedFramings: Readonly<Record<string, Framing>> = {
	'with a length': {lines: `content-length: ${body.length + 1}\r\n`},
	'with a length and connection: close': {lines: `connection: close\r\ncontent-length: ${body.length + 1}\r\n`},
	'in chunks': {lines: 'transfer-encoding: chunked\r\n', first: `${body.length.toString(16)}\r\n`},
	'in chunks, with connection: close': {lines: 'connection: close\r\ntransfer-encoding: chunked\r\n', first: `${body.length.toString(16)}\r\n`},
};

const orderlyEnds: Readonly<Record<string, (socket: Socket) => void>> = {
	'an end in the same turn'(socket) {
		socket.end();
	},
	'a later end'(socket) {
		setTimeout(() => {
			socket.end();
		}, heldMilliseconds / 3);
	},
};

const resets: Readonly<Record<string, (socket: Socket) => void>> = {
	'a reset in the same turn'(socket) {
		socket.resetAndDestroy();
	},
	'a later reset'(socket) {
		setTimeout(() => {
			socket.resetAndDestroy();
		}, heldMilliseconds / 3);
	},
};

/** Result of a download whose caller reads nothing until the connection has ended, and the bytes that were passed on. */
async function resultOf(t: Test, {lines, first = '', last = ''}: Framing, end: (socket: Socket) => void): Promise<string> {
	const {core, streams, dispatch} = await startUpstream(t, (_requestId, socket) => {
		socket.write(`${head}${lines}\r\n${first}`);
		socket.write(body);
		socket.write(last);
		end(socket);
	}, {answerBytesLimit, canStream: true});
	let receivedBytes = 0;
	let heldBytes = 0;
	let isReading = false;
	dispatch(1);
	const started = await core.nextMessage();
	streams.attach(callId, {
		write(chunk) {
			receivedBytes += chunk.length;
			heldBytes += isReading ? 0 : chunk.length;
			if (isReading) {
				streams.consumed(callId, chunk.length);
			}
		},
	});
	await wait(heldMilliseconds);
	isReading = true;
	streams.consumed(callId, heldBytes);
	const ended = await core.nextMessage();
	return ended.type === CoreMessageType.UpstreamAnswered && started.type === CoreMessageType.UpstreamStarted ? `${receivedBytes} bytes` : summarize(ended);
}

for (const [framing, parts] of Object.entries(framings)) {
	for (const [name, end] of Object.entries(orderlyEnds)) {
		test(`a download that is held back when its connection ends in order arrives whole: a body ${framing}, ${name}`, async t => {
			t.equal(await resultOf(t, parts, end), `${body.length} bytes`);
		});
	}
}

for (const [framing, parts] of Object.entries(truncatedFramings)) {
	for (const [name, end] of Object.entries({...orderlyEnds, ...resets})) {
		test(`a truncated download that is held back when its connection ends fails as broken: a body ${framing}, ${name}`, async t => {
			t.equal(await resultOf(t, parts, end), UpstreamFailure.Broken);
		});
	}
}

for (const [name, end] of Object.entries(resets)) {
	test(`a download without a length that is held back when its connection is reset fails as broken: ${name}`, async t => {
		t.equal(await resultOf(t, framings['without a length']!, end), UpstreamFailure.Broken);
	});
}

test('a call is not held back by the unread body of the previous answer of its connection', async t => {
	const {core, dispatch, connections} = await startUpstream(t, (requestId, socket) => {
		socket.write(requestId === 'r1' ? completeAnswer(requestId, body.toString()) : completeAnswer(requestId, requestId));
	}, {answerBytesLimit, canStream: true});
	dispatch(1);
	t.same([summarize(await core.nextMessage()), summarize(await core.nextMessage())], [CoreMessageType.UpstreamStarted, '200 ']);
	dispatch(2);
	t.equal(summarize(await core.nextMessage()), '200 r2');
	t.equal(connections.length, 1, 'both calls used one connection');
});
