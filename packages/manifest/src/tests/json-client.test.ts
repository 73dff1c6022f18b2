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
	const client = new JsonClient({
		url: `http://127.0.0.1:${(server.address() as {port: number}).port}`,
		maximumConnections: 1,
		connectTimeoutMilliseconds: 1000,
		answerTimeoutMilliseconds,
		callTimeoutMilliseconds,
		maximumAnswerBytes: 10_000,
		parse: JSON.parse,
	});
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
