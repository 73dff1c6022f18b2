import {Buffer} from 'node:buffer';
import diagnosticsChannel from 'node:diagnostics_channel';
import type {Socket} from 'node:net';
import {NodeEffectType, UpstreamFailure} from '@laburnumspool/core';
import {test} from 'tap';
import {start, summary, whole} from './raw-upstream.js';

const repetitions = 20;
const bytesLimit = 1000;

const cutAnswer = (requestId: string, line = ''): string => `HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\nsignature: s\r\n${line}\r\nabc`;

function cut(socket: Socket, bytes: string): void {
	socket.write(bytes, 'latin1');
	socket.resetAndDestroy();
}

/** Codings after which a body ends with its connection (RFC 9112, section 6.3), or of which the parser says so. */
const codings = ['gzip', 'identity', 'chunked, gzip', 'xchunked', '', 'chunked\t', 'chunked\u00A0', '\u00A0chunked', 'gzip,\u00A0chunked', 'chunked,', 'chunked\r\ntransfer-encoding: gzip'];

for (const coding of codings) {
	test(`an answer whose last coding is not chunked and that is cut is none: ${JSON.stringify(coding)}`, async t => {
		const {call} = await start(t, (requestId, socket) => {
			cut(socket, cutAnswer(requestId, `transfer-encoding: ${coding}\r\n`));
		});
		for (let number = 1; number <= repetitions; number++) {
			t.equal(await call(number), UpstreamFailure.Broken);
		}
	});
}

test('an answer without a length that is cut is none, also when an observer has read the address of the peer', async t => {
	const read = (message: unknown): void => {
		t.ok((message as {socket: Socket}).socket.remoteAddress);
	};

	diagnosticsChannel.subscribe('undici:client:sendHeaders', read);
	t.teardown(() => diagnosticsChannel.unsubscribe('undici:client:sendHeaders', read));
	const {call} = await start(t, (requestId, socket) => {
		cut(socket, cutAnswer(requestId));
	});
	for (let number = 1; number <= repetitions; number++) {
		t.equal(await call(number), UpstreamFailure.Broken);
	}
});

const lateAndLarge: Readonly<Record<string, string>> = {
	'with a length': whole('r1', 'x'.repeat(bytesLimit + 1)),
	'without a length': `HTTP/1.1 200 OK\r\nrequest-id: r1\r\nsignature: s\r\n\r\n${'x'.repeat(bytesLimit + 1)}`,
};

for (const [name, bytes] of Object.entries(lateAndLarge)) {
	test(`a late second answer that is too large does not say that the next call ran: ${name}`, async t => {
		const {call, connections} = await start(t, (requestId, socket) => {
			socket.write((requestId === 'r2' ? bytes : '') + whole(requestId, requestId));
		}, {answerBytesLimit: bytesLimit});
		t.equal(await call(1), '200 r1');
		t.equal(await call(2), UpstreamFailure.Broken);
		t.equal(connections.length, 1, 'both went over one connection');
		t.equal(await call(3), '200 r3');
	});
}

/** Beginnings of an answer that break off where the head of the next one follows. */
const brokenOff = [
	'HTTP/1.1 503 Serv',
	'HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1',
	'HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\nretry-after: ',
	'HTTP/1.1 200 OK\r\nsignature: other\r\nx: y',
	'HTTP/1.1 421 Misdirected Request\r\nrequest-id: r2\r\nx: ',
];

for (const beginning of brokenOff) {
	test(`the head of an answer is not joined with one that broke off: ${JSON.stringify(beginning)}`, async t => {
		const {call, connections} = await start(t, (requestId, socket) => {
			socket.write((requestId === 'r2' ? beginning : '') + whole(requestId, requestId));
		});
		t.same([await call(1), await call(2), await call(3)], ['200 r1', UpstreamFailure.Broken, '200 r3']);
		t.equal(connections.length, 2);
	});
}

for (const names of [['r2', 'r1'], ['r1', 'r2'], ['r2', '']]) {
	test(`an answer that names two requests is none: ${JSON.stringify(names)}`, async t => {
		const {call} = await start(t, (requestId, socket) => {
			const head = (requestId === 'r2' ? names : [requestId]).map(name => `request-id: ${name}\r\n`).join('');
			socket.write(`HTTP/1.1 200 OK\r\n${head}signature: s\r\ncontent-length: 2\r\n\r\nok`);
		});
		t.same([await call(1), await call(2), await call(3)], ['200 ok', UpstreamFailure.Broken, '200 ok']);
	});
}

test('an answer to HEAD is whole with its head', async t => {
	const {core} = await start(t, (requestId, socket) => {
		socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\nsignature: s\r\n\r\n`);
	});
	core.carryOut({
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
	});
	t.equal(summary(await core.next()), '200 ');
});
