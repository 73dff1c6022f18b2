import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {UpstreamFailure} from '@laburnumspool/core';
import {test, type Test} from 'tap';
import {startUpstream} from './raw-upstream.js';

const repetitions = 40;
const sizes = [0, 1, 100, 1460, 4096, 16_384, 65_535, 65_536, 65_700, 131_072, 400_000];
const answerBytesLimit = 2_000_000;

const head = (requestId: string): string => `HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\nsignature: s\r\n\r\n`;

/** Blocks the event loop, so that the client reads the bytes and the end of the connection together. */
function blockEventLoop(milliseconds: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

type Ending = (socket: Socket, bytes: Buffer) => void;

/** Resets of a connection. The bytes are those that the kernel accepts before the reset. */
const abnormalEndings: Readonly<Record<string, Ending>> = {
	'a reset in the same turn'(socket, bytes) {
		socket.write(bytes);
		socket.resetAndDestroy();
	},
	'a reset once the bytes are written'(socket, bytes) {
		socket.write(bytes, () => {
			socket.resetAndDestroy();
		});
	},
	'a reset in the next turn'(socket, bytes) {
		socket.write(bytes, () => {
			setImmediate(() => {
				socket.resetAndDestroy();
			});
		});
	},
	'a reset two milliseconds later'(socket, bytes) {
		socket.write(bytes, () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 2);
		});
	},
	'a reset that a slow reader sees together with all bytes'(socket, bytes) {
		socket.write(bytes, () => {
			socket.resetAndDestroy();
			blockEventLoop(2);
		});
	},
	'a reset after two parts with a pause'(socket, bytes) {
		const half = Math.floor(bytes.length / 2);
		socket.write(bytes.subarray(0, half), () => {
			setImmediate(() => {
				socket.write(bytes.subarray(half));
				socket.resetAndDestroy();
			});
		});
	},
};

const orderlyEndings: Readonly<Record<string, Ending>> = {
	'an end in the same turn'(socket, bytes) {
		socket.end(bytes);
	},
	'an end once the bytes are written'(socket, bytes) {
		socket.write(bytes, () => {
			socket.end();
		});
	},
	'an end that a slow reader sees together with all bytes'(socket, bytes) {
		socket.end(bytes, () => {
			blockEventLoop(2);
		});
	},
	'an end two milliseconds later'(socket, bytes) {
		socket.write(bytes, () => {
			setTimeout(() => {
				socket.end();
			}, 2);
		});
	},
};

/** Number of calls per result. An answer counts as complete only if it has all its bytes. */
async function resultsOf(t: Test, end: Ending): Promise<Record<string, number>> {
	let size = 0;
	const {call} = await startUpstream(t, (requestId, socket) => {
		end(socket, Buffer.from(head(requestId) + 'x'.repeat(size)));
	}, {answerBytesLimit});
	const results: Record<string, number> = {};
	for (let number = 1; number <= repetitions * sizes.length; number++) {
		size = sizes[number % sizes.length]!;
		const result = await call(number);
		const name = result === `200 ${'x'.repeat(size)}` ? 'complete' : (result.startsWith('200 ') ? 'short' : result);
		results[name] = (results[name] ?? 0) + 1;
	}

	return results;
}

for (const [name, end] of Object.entries(abnormalEndings)) {
	test(`an answer without a length fails as broken when its connection is reset: ${name}`, async t => {
		t.same(await resultsOf(t, end), {[UpstreamFailure.Broken]: repetitions * sizes.length});
	});
}

for (const [name, end] of Object.entries(orderlyEndings)) {
	test(`an answer without a length is complete when its connection ends in order: ${name}`, async t => {
		t.same(await resultsOf(t, end), {complete: repetitions * sizes.length});
	});
}
