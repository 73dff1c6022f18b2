import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {ErrorKind} from '@laburnumspool/core';
import {test, type Test} from 'tap';
import {JsonClient} from '../json-client.js';
import {flood} from './flood.js';

const maximumAcceptedBytes = 32 * 1024 * 1024;
const trickleIntervalMilliseconds = 10;
const answerTimeoutMilliseconds = 100;
const callTimeoutMilliseconds = 500;
const testTimeoutMilliseconds = 3000;
const doNothing = (): void => undefined;

const head = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n';

/** Sends a part every 10 ms until the client closes the connection. */
function trickle(socket: Socket, part: string): void {
	const timer = setInterval(() => {
		socket.write(part);
	}, trickleIntervalMilliseconds);
	socket.once('close', () => {
		clearInterval(timer);
	});
}

/** A client of a store at the port. */
function createClient(port: number): JsonClient {
	return new JsonClient({
		url: `http://127.0.0.1:${port}`,
		maximumConnections: 1,
		connectTimeoutMilliseconds: 1000,
		answerTimeoutMilliseconds,
		callTimeoutMilliseconds,
		maximumAnswerBytes: 10_000,
		parse: JSON.parse,
	});
}

/**
 * Calls a store whose answer starts with `first` and then repeats `part` without end.
 * Returns the outcome of the call, whether the connection was closed in time, and whether the store sent less than 32 MiB.
 */
async function callEndlessStore(t: Test, first: string, part: string, send: typeof flood): Promise<readonly unknown[]> {
	let isBelowLimit = false;
	const connection = new EventTarget();
	const closed = once(connection, 'close').then(() => 'closed');
	const server = createServer(socket => {
		socket.on('error', doNothing);
		socket.once('close', () => {
			isBelowLimit = socket.bytesWritten < maximumAcceptedBytes;
			connection.dispatchEvent(new Event('close'));
		});
		socket.once('data', () => {
			socket.write(first);
			send(socket, part);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const client = createClient((server.address() as {port: number}).port);
	t.teardown(async () => {
		server.close();
		await client.close();
	});
	const timeout = wait(testTimeoutMilliseconds, 'timed out', {ref: false});
	const call = client.send({method: 'GET', path: '/x'}).then(({status}) => status, (error: unknown) => (error as {kind: ErrorKind}).kind);
	return [await Promise.race([call, timeout]), await Promise.race([closed, timeout]), isBelowLimit];
}

const endlessAnswers: Readonly<Record<string, readonly [string, string, typeof flood]>> = {
	'an endless body': [`${head}\r\n`, ' ', flood],
	'endless chunks': [`${head}transfer-encoding: chunked\r\n\r\n`, '5\r\n     \r\n', flood],
	'a body of a terabyte': [`${head}content-length: 999999999999\r\n\r\n`, ' ', flood],
	'a body sent byte by byte': [`${head}content-length: 9000\r\n\r\n`, ' ', trickle],
	'endless interim responses': ['', 'HTTP/1.1 102 Processing\r\n\r\n', trickle],
	'an endless head': [head, 'x: y\r\n', flood],
};

for (const [name, [first, part, send]] of Object.entries(endlessAnswers)) {
	test(`a call fails with store-unavailable and closes its connection if the store answers with ${name}`, async t => {
		t.same(await callEndlessStore(t, first, part, send), [ErrorKind.StoreUnavailable, 'closed', true]);
	});
}

const document = '{"key":"a"}';

const truncatedAnswers: Readonly<Record<string, readonly [string, string]>> = {
	'with a length': [`${head}content-length: ${document.length}\r\n\r\n`, document],
	'with a length and connection: close': [`HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ${document.length}\r\n\r\n`, document],
	'in chunks, with connection: close': ['HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n', `${document.length.toString(16)}\r\n${document}\r\n0\r\n\r\n`],
	'without a length': [`${head}\r\n`, document],
};

const ends: Readonly<Record<string, (socket: Socket, bytes: string) => void>> = {
	'an end'(socket, bytes) {
		socket.end(bytes);
	},
	'a reset'(socket, bytes) {
		socket.write(bytes);
		socket.resetAndDestroy();
	},
};

for (const [name, [truncatedHead, body]] of Object.entries(truncatedAnswers)) {
	test(`a call fails with store-unavailable wherever the answer of the store is cut, and the whole answer is read: ${name}`, async t => {
		const bytes = truncatedHead + body;
		for (const [endName, end] of Object.entries(ends)) {
			let length = 0;
			const server = createServer(socket => {
				socket.on('error', doNothing);
				socket.once('data', () => {
					end(socket, bytes.slice(0, length));
				});
			}).listen(0, '127.0.0.1');
			await once(server, 'listening');
			const client = createClient((server.address() as {port: number}).port);
			const results = new Set<unknown>();
			for (; length < bytes.length; length++) {
				results.add(await client.send({method: 'GET', path: '/x'}).then(({status}) => status, (error: unknown) => (error as {kind: ErrorKind}).kind));
			}

			t.same([...results], [ErrorKind.StoreUnavailable], endName);
			if (endName === 'an end') {
				t.same(await client.send({method: 'GET', path: '/x'}), {status: 200, body: JSON.parse(document) as unknown});
			}

			await client.close();
			server.close();
		}
	});
}

// Guards against docs/incidents/review-silent-store.md: after all connections had gone silent, each call waited for the time limit on the next one.
test('every call is answered although each connection goes silent after its first answer', async t => {
	const answer = `${head}content-length: ${document.length}\r\n\r\n${document}`;
	const server = createServer(socket => {
		socket.on('error', doNothing);
		socket.once('data', () => {
			socket.write(answer);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const client = createClient((server.address() as {port: number}).port);
	t.teardown(async () => {
		server.close();
		await client.close();
	});
	const reply = {status: 200, body: JSON.parse(document) as unknown};
	t.same([await client.send({method: 'GET', path: '/x'}), await client.send({method: 'GET', path: '/x'}), await client.send({method: 'GET', path: '/x'})], [reply, reply, reply]);
});
