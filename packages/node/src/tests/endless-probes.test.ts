import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {test, type Test} from 'tap';
import type {CoreTask} from '../core-task.js';
import {probeUpstream} from '../upstream-probe.js';
import {doNothing, silentLog} from './fixtures.js';

const mebibyte = 1024 * 1024;

/** Most bytes that an upstream may send before its connection is closed, including those buffered by the kernel. */
const maximumAcceptedBytes = 32 * mebibyte;
const head = 'HTTP/1.1 200 OK\r\ninstance: i\r\n';
const chunkedHead = `${head}transfer-encoding: chunked\r\n\r\n`;

/** What an upstream sends to a probe: a start, and a part that it repeats as fast as it is read until the connection closes. */
const endlessAnswers: Readonly<Record<string, readonly [first: string, part: string]>> = {
	'a header line': [`${head}x: `, 'y'],
	'header lines': [head, 'x: y\r\n'],
	'a reason phrase': ['HTTP/1.1 200 ', 'y'],
	'empty lines': ['', '\r\n'],
	'a body': [`${head}\r\n`, 'y'],
	chunks: [chunkedHead, '5\r\nabcde\r\n'],
	'a chunk extension': [`${chunkedHead}1;x=`, 'y'],
	'a trailer line': [`${chunkedHead}0\r\nx: `, 'y'],
	'interim answers': ['', 'HTTP/1.1 102 Processing\r\n\r\n'],
	'not HTTP': ['', '\u0000\u00FFzq'],
};

/** Probes an upstream; returns the bytes that it could send. */
async function probeEndlessUpstream(t: Test, first: string, part: string): Promise<number> {
	let sentBytes = 0;
	const bytes = part.repeat(Math.ceil(65_536 / part.length));
	const sendMore = (socket: Socket): void => {
		socket.write(bytes, 'latin1', () => {
			sentBytes = socket.bytesWritten;
			if (!socket.destroyed) {
				sendMore(socket);
			}
		});
	};

	const server = createServer(socket => {
		socket.on('error', doNothing);
		socket.once('data', () => {
			socket.write(first);
			sendMore(socket);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => server.close());
	const {port} = server.address() as {port: number};
	await probeUpstream({
		core: {post: doNothing, core: {}} as unknown as CoreTask, log: silentLog, headers: {timeLeft: 'time-left', instance: 'instance'}, upstream: {service: 's', address: `127.0.0.1:${port}`},
	}, '/health');
	return sentBytes;
}

// Guards against docs/incidents/endless-probe.md: a starting node read bytes from its upstream without a bound.
for (const [name, [first, part]] of Object.entries(endlessAnswers)) {
	test(`a probe closes its connection after a bounded number of bytes: ${name}`, async t => {
		const sentBytes = await probeEndlessUpstream(t, first, part);
		t.ok(sentBytes < maximumAcceptedBytes, `${Math.round(sentBytes / mebibyte)} MiB`);
	});
}
