import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {UpstreamFailure} from '@laburnumspool/core';
import {test, type Test} from 'tap';
import {completeAnswer, startUpstream} from './raw-upstream.js';

const mebibyte = 1024 * 1024;
const maximumSentBytes = 256 * mebibyte;
const trickleMilliseconds = 10;

/** Most bytes that an upstream may send before its connection is closed, including those buffered by the kernel. */
const maximumAcceptedBytes = 32 * mebibyte;

const timeLeftMilliseconds = 50;

/** Longest accepted time of the exchange of a call with that time left. */
const maximumExchangeMilliseconds = 2500;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const head = 'HTTP/1.1 200 OK\r\nrequest-id: r1\r\nsignature: s\r\n';
const chunkedHead = `${head}transfer-encoding: chunked\r\n\r\n`;

/** Sends a part repeatedly, as fast as it is read, until the connection closes. */
function flood(socket: Socket, part: string): void {
	const bytes = Buffer.from(part.repeat(Math.ceil(65_536 / part.length)), 'latin1');
	const writeMore = (): void => {
		while (!socket.destroyed && socket.bytesWritten < maximumSentBytes) {
			if (!socket.write(bytes)) {
				socket.once('drain', writeMore);
				return;
			}
		}
	};

	writeMore();
}

/** Sends a part every few milliseconds until the connection closes. */
function trickle(socket: Socket, part: string): void {
	const timer = setInterval(() => {
		socket.write(part);
	}, trickleMilliseconds);
	socket.once('close', () => {
		clearInterval(timer);
	});
}

/** Bytes held by array buffers after a garbage collection. */
function heldBytes(): number {
	collectGarbage();
	return process.memoryUsage().arrayBuffers;
}

/** Sends a part `count` times, one after another, and then ends the body. Calls `sample` once per 500 parts. */
function sendChunks(socket: Socket, part: string, count: number, sample: () => void): void {
	if (count % 500 === 0) {
		sample();
	}

	socket.write(count === 0 ? '0\r\n\r\n' : part, () => {
		if (count > 0) {
			sendChunks(socket, part, count - 1, sample);
		}
	});
}

type EndlessAnswer = {readonly first: string; readonly part: string; readonly send?: typeof flood; readonly failure?: UpstreamFailure};

const endlessAnswers: Readonly<Record<string, EndlessAnswer>> = {
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
	'not HTTP': {first: '', part: '\u0000\u00FFzq'},
	'a head byte by byte': {first: `${head}x: `, part: 'y', send: trickle},
	'slow interim answers': {first: '', part: 'HTTP/1.1 102 Processing\r\n\r\n', send: trickle},
	'a sized body byte by byte': {first: `${head}content-length: 900\r\n\r\n`, part: 'y', send: trickle},
	'slow chunks': {first: chunkedHead, part: '1\r\na\r\n', send: trickle},
	'slow chunk extensions': {first: chunkedHead, part: '1;x=y\r\na\r\n', send: trickle},
	'a slow trailer line': {first: `${chunkedHead}0\r\nx: `, part: 'y', send: trickle},
	'a body without a length byte by byte': {first: `${head}\r\n`, part: 'y', send: trickle},
};

/** Waits for an amount of time in short steps, so that a pause of this process counts as one step. */
async function waitWhileRunning(milliseconds: number): Promise<void> {
	for (let ran = 0; ran < milliseconds; ran += trickleMilliseconds) {
		await wait(trickleMilliseconds, undefined, {ref: false});
	}
}

/** Result of the call, state of the upstream connection, and result of the next call. */
async function resultsOf(t: Test, {first, part, send = flood}: EndlessAnswer): Promise<readonly string[]> {
	const closeEvents = new EventTarget();
	let isWithinLimit = false;
	const closed = once(closeEvents, 'close').then(() => isWithinLimit ? 'closed' : 'closed late');
	const {call} = await startUpstream(t, (requestId, socket) => {
		if (requestId === 'r1') {
			socket.once('close', () => {
				isWithinLimit = socket.bytesWritten < maximumAcceptedBytes;
				closeEvents.dispatchEvent(new Event('close'));
			});
			socket.write(first);
			send(socket, part);
		} else {
			socket.write(completeAnswer(requestId, requestId));
		}
	}, {timeLeftMilliseconds});
	const timedOut = waitWhileRunning(maximumExchangeMilliseconds).then(() => 'not in time');
	const result = await Promise.race([call(1), timedOut]);
	return [result, await Promise.race([closed, timedOut]), await Promise.race([call(2), timedOut])];
}

for (const [name, answer] of Object.entries(endlessAnswers)) {
	test(`an endless answer fails its call in time, closes its connection and does not affect the next call: ${name}`, async t => {
		t.same(await resultsOf(t, answer), [answer.failure ?? UpstreamFailure.Broken, 'closed', '200 r2']);
	});
}

test('a body of tiny chunks with long chunk extensions is held in less than 64 MiB of memory', async t => {
	const chunks = 6000;
	let maximumHeldBytes = 0;
	const {call} = await startUpstream(t, (_requestId, socket) => {
		socket.write(chunkedHead);
		sendChunks(socket, `1;x=${'y'.repeat(65_000)}\r\na\r\n`, chunks, () => {
			maximumHeldBytes = Math.max(maximumHeldBytes, heldBytes());
		});
	}, {answerBytesLimit: 64 * mebibyte});
	const before = heldBytes();
	t.equal(await call(1), `200 ${'a'.repeat(chunks)}`);
	t.ok(maximumHeldBytes - before < 64 * mebibyte, `${Math.round((maximumHeldBytes - before) / mebibyte)} MiB`);
});

const trailingBytes: Readonly<Record<string, string>> = {
	'answers without a request': completeAnswer('r9', 'extra'),
	'not HTTP': '\u0000\u00FFzq',
	'empty lines': '\r\n',
	'interim answers': 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n',
};

for (const [name, part] of Object.entries(trailingBytes)) {
	test(`endless bytes after a complete answer close its connection and do not affect the next call: ${name}`, async t => {
		const closeEvents = new EventTarget();
		let isWithinLimit = false;
		const closed = once(closeEvents, 'close').then(() => isWithinLimit ? 'closed' : 'closed late');
		const {call} = await startUpstream(t, (requestId, socket) => {
			socket.write(completeAnswer(requestId, requestId));
			if (requestId === 'r1') {
				socket.once('close', () => {
					isWithinLimit = socket.bytesWritten < maximumAcceptedBytes;
					closeEvents.dispatchEvent(new Event('close'));
				});
				flood(socket, part);
			}
		});
		const timedOut = waitWhileRunning(maximumExchangeMilliseconds).then(() => 'not in time');
		t.equal(await call(1), '200 r1');
		t.equal(await Promise.race([closed, timedOut]), 'closed');
		t.equal(await call(2), '200 r2');
	});
}
