import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {UpstreamFailure} from '@laburnumspool/core';
import {test, type Test} from 'tap';
import {start, whole} from './raw-upstream.js';

const mebibyte = 1024 * 1024;
const mostSentBytes = 256 * mebibyte;
const trickleMilliseconds = 10;

/** What an upstream may send before it sees its connection closed, with what the kernel holds. */
const mostTakenBytes = 32 * mebibyte;

/** Time left of a call, and what an exchange may take at most for it. */
const timeLeftMilliseconds = 50;
const longestMilliseconds = 2500;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const head = 'HTTP/1.1 200 OK\r\nrequest-id: r1\r\nsignature: s\r\n';
const chunkedHead = `${head}transfer-encoding: chunked\r\n\r\n`;

/** Sends the part again and again, as fast as it is read, until the other side closes. */
function flood(socket: Socket, part: string): void {
	const bytes = Buffer.from(part.repeat(Math.ceil(65_536 / part.length)), 'latin1');
	const more = (): void => {
		while (!socket.destroyed && socket.bytesWritten < mostSentBytes) {
			if (!socket.write(bytes)) {
				socket.once('drain', more);
				return;
			}
		}
	};

	more();
}

/** Sends a part now and then until the other side closes. */
function trickle(socket: Socket, part: string): void {
	const timer = setInterval(() => {
		socket.write(part);
	}, trickleMilliseconds);
	socket.once('close', () => {
		clearInterval(timer);
	});
}

/** Bytes of buffers that are in use. */
function heldBytes(): number {
	collectGarbage();
	return process.memoryUsage().arrayBuffers;
}

/** Sends a part so many times, and ends the body. */
function sendOneByOne(socket: Socket, part: string, count: number, sample: () => void): void {
	if (count % 500 === 0) {
		sample();
	}

	socket.write(count === 0 ? '0\r\n\r\n' : part, () => {
		if (count > 0) {
			sendOneByOne(socket, part, count - 1, sample);
		}
	});
}

type Endless = {readonly first: string; readonly part: string; readonly send?: typeof flood; readonly failure?: UpstreamFailure};

const endless: Readonly<Record<string, Endless>> = {
	'a header line': {first: `${head}x: `, part: 'y'},
	'header lines': {first: head, part: 'x: y\r\n'},
	'a header name': {first: head, part: 'y'},
	'a reason phrase': {first: 'HTTP/1.1 200 ', part: 'y'},
	'empty lines': {first: '', part: '\r\n'},
	chunks: {first: chunkedHead, part: '5\r\nabcde\r\n', failure: UpstreamFailure.TooLarge},
	'a chunk size': {first: chunkedHead, part: '0'},
	'a chunk extension': {first: `${chunkedHead}1;x=`, part: 'y'},
	'a body': {first: `${head}\r\n`, part: 'y', failure: UpstreamFailure.TooLarge},
	'a body longer than its length': {first: `${head}content-length: 999999999999\r\n\r\n`, part: 'y', failure: UpstreamFailure.TooLarge},
	'interim answers 100': {first: '', part: 'HTTP/1.1 100 Continue\r\n\r\n'},
	'interim answers 102': {first: '', part: 'HTTP/1.1 102 Processing\r\n\r\n'},
	'interim answers 103': {first: '', part: 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'},
	'a trailer line': {first: `${chunkedHead}0\r\nx: `, part: 'y'},
	'trailer lines': {first: `${chunkedHead}0\r\n`, part: 'x: y\r\n'},
	'no HTTP': {first: '', part: '\u0000\u00FFzq'},
	'a head byte by byte': {first: `${head}x: `, part: 'y', send: trickle},
	'interim answers now and then': {first: '', part: 'HTTP/1.1 102 Processing\r\n\r\n', send: trickle},
	'a sized body byte by byte': {first: `${head}content-length: 900\r\n\r\n`, part: 'y', send: trickle},
	'chunks now and then': {first: chunkedHead, part: '1\r\na\r\n', send: trickle},
	'chunk extensions now and then': {first: chunkedHead, part: '1;x=y\r\na\r\n', send: trickle},
	'trailers now and then': {first: `${chunkedHead}0\r\nx: `, part: 'y', send: trickle},
	'a body without a length byte by byte': {first: `${head}\r\n`, part: 'y', send: trickle},
};

/** Lets this process run for so long; while it is kept from its processor, its time stands still. */
async function runFor(milliseconds: number): Promise<void> {
	for (let ran = 0; ran < milliseconds; ran += trickleMilliseconds) {
		await wait(trickleMilliseconds, undefined, {ref: false});
	}
}

/** What the call and the one after it become, and whether the upstream saw its connection close. */
async function answerOf(t: Test, {first, part, send = flood}: Endless): Promise<readonly string[]> {
	const told = new EventTarget();
	let isLittle = false;
	const isClosed = once(told, 'close').then(() => isLittle ? 'closed' : 'closed late');
	const {call} = await start(t, (requestId, socket) => {
		if (requestId === 'r1') {
			socket.once('close', () => {
				isLittle = socket.bytesWritten < mostTakenBytes;
				told.dispatchEvent(new Event('close'));
			});
			socket.write(first);
			send(socket, part);
		} else {
			socket.write(whole(requestId, requestId));
		}
	}, {timeLeftMilliseconds});
	const isLate = runFor(longestMilliseconds).then(() => 'not in time');
	const result = await Promise.race([call(1), isLate]);
	return [result, await Promise.race([isClosed, isLate]), await Promise.race([call(2), isLate])];
}

for (const [name, answer] of Object.entries(endless)) {
	test(`an answer without end ends its call in time and its connection, and reaches nobody: ${name}`, async t => {
		t.same(await answerOf(t, answer), [answer.failure ?? UpstreamFailure.Broken, 'closed', '200 r2']);
	});
}

test('a body in tiny chunks between long chunk extensions takes no more memory than its bytes', async t => {
	const chunks = 6000;
	let mostBytes = 0;
	const {call} = await start(t, (_requestId, socket) => {
		socket.write(chunkedHead);
		sendOneByOne(socket, `1;x=${'y'.repeat(65_000)}\r\na\r\n`, chunks, () => {
			mostBytes = Math.max(mostBytes, heldBytes());
		});
	}, {answerBytesLimit: 64 * mebibyte});
	const before = heldBytes();
	t.equal(await call(1), `200 ${'a'.repeat(chunks)}`);
	t.ok(mostBytes - before < 64 * mebibyte, `${Math.round((mostBytes - before) / mebibyte)} MiB`);
});

const extras: Readonly<Record<string, string>> = {
	'answers of no request': whole('r9', 'extra'),
	'no HTTP': '\u0000\u00FFzq',
	'empty lines': '\r\n',
	'interim answers': 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n',
};

for (const [name, part] of Object.entries(extras)) {
	test(`bytes without end behind a whole answer end its connection, and reach nobody: ${name}`, async t => {
		const told = new EventTarget();
		let isLittle = false;
		const isClosed = once(told, 'close').then(() => isLittle ? 'closed' : 'closed late');
		const {call} = await start(t, (requestId, socket) => {
			socket.write(whole(requestId, requestId));
			if (requestId === 'r1') {
				socket.once('close', () => {
					isLittle = socket.bytesWritten < mostTakenBytes;
					told.dispatchEvent(new Event('close'));
				});
				flood(socket, part);
			}
		});
		const isLate = runFor(longestMilliseconds).then(() => 'not in time');
		t.equal(await call(1), '200 r1');
		t.equal(await Promise.race([isClosed, isLate]), 'closed');
		t.equal(await call(2), '200 r2');
	});
}
