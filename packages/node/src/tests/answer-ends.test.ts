import {Buffer} from 'node:buffer';
import diagnosticsChannel from 'node:diagnostics_channel';
import type {Socket} from 'node:net';
import {NodeEffectType, UpstreamFailure} from '@laburnumspool/core';
import {test} from 'tap';
import {completeAnswer, startUpstream, summarize} from './raw-upstream.js';

const repetitions = 20;
const bytesLimit = 1000;

const unframedAnswer = (requestId: string, line = ''): string => `HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\nsignature: s\r\n${line}\r\nabc`;

function writeAndReset(socket: Socket, bytes: string): void {
	socket.write(bytes, 'latin1');
	socket.resetAndDestroy();
}

/** Transfer codings after which a body ends with its connection, by RFC 9112, section 6.3, or by the HTTP parser. */
const codings = ['gzip', 'identity', 'chunked, gzip', 'xchunked', '', 'chunked\t', 'chunked\u00A0', '\u00A0chunked', 'gzip,\u00A0chunked', 'chunked,', 'chunked\r\ntransfer-encoding: gzip'];

for (const coding of codings) {
	test(`an answer whose last transfer coding is not chunked fails as broken when its connection is reset: ${JSON.stringify(coding)}`, async t => {
		const {call} = await startUpstream(t, (requestId, socket) => {
			writeAndReset(socket, unframedAnswer(requestId, `transfer-encoding: ${coding}\r\n`));
		});
		for (let number = 1; number <= repetitions; number++) {
			t.equal(await call(number), UpstreamFailure.Broken);
		}
	});
}

test('an answer without a length fails as broken when its connection is reset, also after a subscriber has read the peer address', async t => {
	const readPeerAddress = (message: unknown): void => {
		t.ok((message as {socket: Socket}).socket.remoteAddress);
	};

	diagnosticsChannel.subscribe('undici:client:sendHeaders', readPeerAddress);
	t.teardown(() => diagnosticsChannel.unsubscribe('undici:client:sendHeaders', readPeerAddress));
	const {call} = await startUpstream(t, (requestId, socket) => {
		writeAndReset(socket, unframedAnswer(requestId));
	});
	for (let number = 1; number <= repetitions; number++) {
		t.equal(await call(number), UpstreamFailure.Broken);
	}
});

const oversizedAnswers: Readonly<Record<string, string>> = {
	'with a length': completeAnswer('r1', 'x'.repeat(bytesLimit + 1)),
	'without a length': `HTTP/1.1 200 OK\r\nrequest-id: r1\r\nsignature: s\r\n\r\n${'x'.repeat(bytesLimit + 1)}`,
};

for (const [name, bytes] of Object.entries(oversizedAnswers)) {
	test(`a late second answer that is too large fails the next call as broken, not as too large: ${name}`, async t => {
		const {call, connections} = await startUpstream(t, (requestId, socket) => {
			socket.write((requestId === 'r2' ? bytes : '') + completeAnswer(requestId, requestId));
		}, {answerBytesLimit: bytesLimit});
		t.equal(await call(1), '200 r1');
		t.equal(await call(2), UpstreamFailure.Broken);
		t.equal(connections.length, 1, 'both calls used one connection');
		t.equal(await call(3), '200 r3');
	});
}

/** Truncated beginnings of an answer, directly followed by the head of the next answer. */
const truncatedHeads = [
	'HTTP/1.1 503 Serv',
	'HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1',
	'HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\nretry-after: ',
	'HTTP/1.1 200 OK\r\nsignature: other\r\nx: y',
	'HTTP/1.1 421 Misdirected Request\r\nrequest-id: r2\r\nx: ',
];

for (const beginning of truncatedHeads) {
	test(`an answer that follows a truncated head is not merged with it, and its call fails as broken: ${JSON.stringify(beginning)}`, async t => {
		const {call, connections} = await startUpstream(t, (requestId, socket) => {
			socket.write((requestId === 'r2' ? beginning : '') + completeAnswer(requestId, requestId));
		});
		t.same([await call(1), await call(2), await call(3)], ['200 r1', UpstreamFailure.Broken, '200 r3']);
		t.equal(connections.length, 2);
	});
}

for (const requestIds of [['r2', 'r1'], ['r1', 'r2'], ['r2', '']]) {
	test(`an answer with two different request ids fails as broken: ${JSON.stringify(requestIds)}`, async t => {
		const {call} = await startUpstream(t, (requestId, socket) => {
			const head = (requestId === 'r2' ? requestIds : [requestId]).map(name => `request-id: ${name}\r\n`).join('');
			socket.write(`HTTP/1.1 200 OK\r\n${head}signature: s\r\ncontent-length: 2\r\n\r\nok`);
		});
		t.same([await call(1), await call(2), await call(3)], ['200 ok', UpstreamFailure.Broken, '200 ok']);
	});
}

test('an answer to a HEAD request is complete without a body', async t => {
	const {core} = await startUpstream(t, (requestId, socket) => {
		socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\nsignature: s\r\n\r\n`);
	});
	core.apply({
		type: NodeEffectType.Dispatch,
		callId: 'n.1.1',
		requestId: 'r1',
		request: {
			method: 'HEAD', target: '/x', headers: [], body: Buffer.alloc(0), digest: '',
		},
		traceparent: 'p',
		tracestate: 's',
		timeLeftMilliseconds: 60_000,
		answerBytesLimit: bytesLimit,
		canStream: false,
	});
	t.equal(summarize(await core.nextMessage()), '200 ');
});

for (const [name, line] of Object.entries({'keep-alive': '', 'connection: close': 'connection: close\r\n'})) {
	test(`an answer with status 304 is complete without a body, whatever length it carries: ${name}`, async t => {
		const {call} = await startUpstream(t, (requestId, socket) => {
			socket.write(`HTTP/1.1 304 Not Modified\r\n${line}request-id: ${requestId}\r\netag: "a"\r\ncontent-length: 12\r\n\r\n`);
		});
		t.same([await call(1), await call(2), await call(3)], ['304 ', '304 ', '304 ']);
	});
}

test('an answer with status 304 that is followed by a body does not affect the next call', async t => {
	const {call} = await startUpstream(t, (requestId, socket) => {
		socket.write(requestId === 'r2' ? completeAnswer(requestId, requestId) : `HTTP/1.1 304 Not Modified\r\nrequest-id: ${requestId}\r\ncontent-length: 2\r\n\r\nok`);
	});
	t.same([await call(1), await call(2), await call(3)], ['304 ', '200 r2', '304 ']);
});
