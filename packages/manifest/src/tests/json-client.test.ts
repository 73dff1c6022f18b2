import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {ErrorKind} from '@laburnumspool/core';
import {test, type Test} from 'tap';
import {JsonClient} from '../json-client.js';
import {flood} from './flood.js';

const mostTakenBytes = 32 * 1024 * 1024;
const trickleMilliseconds = 10;
const answerMilliseconds = 100;
const totalMilliseconds = 500;
const longestMilliseconds = 3000;
const silent = (): void => undefined;

const head = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n';

/** Sends a part now and then until the other side closes. */
function trickle(socket: Socket, part: string): void {
	const timer = setInterval(() => {
		socket.write(part);
	}, trickleMilliseconds);
	socket.once('close', () => {
		clearInterval(timer);
	});
}

/** A store that begins each answer and then sends the part without end; what a call becomes, and whether the store saw its end soon. */
async function answerOf(t: Test, first: string, part: string, send: typeof flood): Promise<readonly unknown[]> {
	let isLittle = false;
	const told = new EventTarget();
	const isClosed = once(told, 'close').then(() => 'closed');
	const server = createServer(socket => {
		socket.on('error', silent);
		socket.once('close', () => {
			isLittle = socket.bytesWritten < mostTakenBytes;
			told.dispatchEvent(new Event('close'));
		});
		socket.once('data', () => {
			socket.write(first);
			send(socket, part);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const client = new JsonClient({
		url: `http://127.0.0.1:${(server.address() as {port: number}).port}`, connections: 1, connectMilliseconds: 1000, answerMilliseconds, totalMilliseconds, maximumBytes: 10_000, parse: JSON.parse,
	});
	t.teardown(async () => {
		server.close();
		await client.close();
	});
	const isLate = wait(longestMilliseconds, 'not in time', {ref: false});
	const call = client.send({method: 'GET', path: '/x'}).then(({status}) => status, (error: unknown) => (error as {kind: ErrorKind}).kind);
	return [await Promise.race([call, isLate]), await Promise.race([isClosed, isLate]), isLittle];
}

const endless: Readonly<Record<string, readonly [string, string, typeof flood]>> = {
	'a body': [`${head}\r\n`, ' ', flood],
	chunks: [`${head}transfer-encoding: chunked\r\n\r\n`, '5\r\n     \r\n', flood],
	'a body longer than its length': [`${head}content-length: 999999999999\r\n\r\n`, ' ', flood],
	'a body byte by byte': [`${head}content-length: 9000\r\n\r\n`, ' ', trickle],
	'interim answers now and then': ['', 'HTTP/1.1 102 Processing\r\n\r\n', trickle],
	'a head': [head, 'x: y\r\n', flood],
};

for (const [name, [first, part, send]] of Object.entries(endless)) {
	test(`an answer of the store without end is no answer, and its connection is closed: ${name}`, async t => {
		t.same(await answerOf(t, first, part, send), [ErrorKind.StoreUnavailable, 'closed', true]);
	});
}
