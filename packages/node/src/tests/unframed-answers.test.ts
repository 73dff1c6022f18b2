import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {UpstreamFailure} from '@laburnumspool/core';
import {test, type Test} from 'tap';
import {start} from './raw-upstream.js';

const repetitions = 40;
const sizes = [0, 1, 100, 1460, 4096, 16_384, 65_535, 65_536, 65_700, 131_072, 400_000];
const mostBytes = 2_000_000;

const head = (requestId: string): string => `HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\nsignature: s\r\n\r\n`;

/** Keeps the event loop from reading, so that bytes and what follows them come together. */
function block(milliseconds: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

type End = (socket: Socket, bytes: Buffer) => void;

/** Ends that cut an answer. The bytes are what the kernel takes before the cut. */
const cuts: Readonly<Record<string, End>> = {
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
	'a reset that a slow reader meets with all bytes'(socket, bytes) {
		socket.write(bytes, () => {
			socket.resetAndDestroy();
			block(2);
		});
	},
	'a reset behind parts with pauses'(socket, bytes) {
		const half = Math.floor(bytes.length / 2);
		socket.write(bytes.subarray(0, half), () => {
			setImmediate(() => {
				socket.write(bytes.subarray(half));
				socket.resetAndDestroy();
			});
		});
	},
};

const orderly: Readonly<Record<string, End>> = {
	'an end in the same turn'(socket, bytes) {
		socket.end(bytes);
	},
	'an end once the bytes are written'(socket, bytes) {
		socket.write(bytes, () => {
			socket.end();
		});
	},
	'an end that a slow reader meets with all bytes'(socket, bytes) {
		socket.end(bytes, () => {
			block(2);
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

/** How often each result came; a whole answer counts as such only with all its bytes. */
async function resultsOf(t: Test, end: End): Promise<Record<string, number>> {
	let size = 0;
	const {call} = await start(t, (requestId, socket) => {
		end(socket, Buffer.from(head(requestId) + 'x'.repeat(size)));
	}, {answerBytesLimit: mostBytes});
	const results: Record<string, number> = {};
	for (let number = 1; number <= repetitions * sizes.length; number++) {
		size = sizes[number % sizes.length]!;
		const result = await call(number);
		const name = result === `200 ${'x'.repeat(size)}` ? 'whole' : (result.startsWith('200 ') ? 'short' : result);
		results[name] = (results[name] ?? 0) + 1;
	}

	return results;
}

for (const [name, end] of Object.entries(cuts)) {
	test(`an answer without a length that is cut is none: ${name}`, async t => {
		t.same(await resultsOf(t, end), {[UpstreamFailure.Broken]: repetitions * sizes.length});
	});
}

for (const [name, end] of Object.entries(orderly)) {
	test(`an answer without a length that ends in order with its connection is whole: ${name}`, async t => {
		t.same(await resultsOf(t, end), {whole: repetitions * sizes.length});
	});
}
