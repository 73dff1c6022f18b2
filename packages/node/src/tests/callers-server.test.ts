import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Server} from 'node:http';
import {createConnection, type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {
	NodeEffectType, Outcome, type CallerRequest, type NodeEffect,
} from '@laburnumspool/core';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {test, type Test} from 'tap';
import {CallersServer} from '../callers-server.js';
import {
	CoreMessageType, type CoreMessage, type CoreTask, type EffectHandlers,
} from '../core-task.js';
import type {OwnInterface} from '../own-interface.js';
import {silent, standStill} from './fixtures.js';

type AnswerCaller = Extract<NodeEffect, {type: NodeEffectType.AnswerCaller}>;

/** A server before a core that only notes what it is told, and answers when the test says so. */
async function start(t: Test, slowSenderMilliseconds = 5000): Promise<{
	server: CallersServer; port: number; messages: CoreMessage[]; told: EventTarget; answer: (entryId: number, body: string | Buffer) => void; connect: () => Promise<Socket>; open: () => Socket;
}> {
	const messages: CoreMessage[] = [];
	const told = new EventTarget();
	let handlers: EffectHandlers = {};
	const core = {
		core: {usesRoutes: true},
		handle(given: EffectHandlers) {
			handlers = given;
		},
		post(message: CoreMessage) {
			messages.push(message);
			return told.dispatchEvent(new Event(message.type));
		},
	} as unknown as CoreTask;
	const server = new CallersServer({
		core, requestBytes: 100_000, openRequests: 100, slowSenderMilliseconds, headers: {timeLeft: 'x-time', requestId: 'x-id'}, service: 'catalogue', observeAnswer: silent, own: undefined as unknown as OwnInterface,
	});
	const [port] = await findFreePorts(1);
	await server.listen(port!, '127.0.0.1');
	t.teardown(() => {
		server.close();
	});
	const open = (): Socket => {
		const socket = createConnection(port!, '127.0.0.1');
		socket.on('error', silent);
		t.teardown(() => socket.destroy());
		return socket;
	};

	return {
		server,
		port: port!,
		messages,
		told,
		open,
		answer(entryId, body) {
			const effect: AnswerCaller = {
				type: NodeEffectType.AnswerCaller, entryId, answer: {
					outcome: Outcome.Ran, attempts: 1, answer: {status: 200, headers: [], body: Buffer.from(body)}, error: undefined,
				},
			};
			handlers[NodeEffectType.AnswerCaller]?.(effect);
		},
		async connect() {
			const socket = open();
			await once(socket, 'connect');
			return socket;
		},
	};
}

const requestsOf = (messages: readonly CoreMessage[]): CallerRequest[] => messages.flatMap(message => message.type === CoreMessageType.CallerRequested ? [message.request] : []);

/** Length of a turn of the event loop of a busy node. */
const turnMilliseconds = 8;

/** Idle time that the tests set, and the time that the runtime adds to it. */
const idleMilliseconds = 100;
const longestIdleMilliseconds = idleMilliseconds + 1000;

/** Waits until so many requests have come. */
async function untilRequested(told: EventTarget, messages: readonly CoreMessage[], count: number): Promise<void> {
	while (requestsOf(messages).length < count) {
		await once(told, CoreMessageType.CallerRequested);
	}
}

/** Reads until the text holds the mark. */
async function readUntil(socket: Socket, mark: string): Promise<string> {
	let text = '';
	for await (const chunk of socket) {
		text += String(chunk);
		if (text.includes(mark)) {
			break;
		}
	}

	return text;
}

test('requests sent behind one another are answered in their order, each with its own answer', async t => {
	const {messages, told, answer, connect} = await start(t);
	const socket = await connect();
	socket.write(['one', 'two', 'three'].map(name => `GET /${name} HTTP/1.1\r\nhost: h\r\nx-id: ${name}\r\n\r\n`).join(''));
	await untilRequested(told, messages, 3);
	requestsOf(messages).toReversed().map(({entryId, requestId}) => {
		answer(entryId, `body of ${requestId};`);
		return entryId;
	});
	const text = await readUntil(socket, 'body of three;');
	t.same(text.match(/x-id: \w+|body of \w+;/gu), ['x-id: one', 'body of one;', 'x-id: two', 'body of two;', 'x-id: three', 'body of three;']);
});

test('a caller that closes its connection is told of to the core, for every request that is open', async t => {
	const {messages, told, connect} = await start(t);
	const socket = await connect();
	socket.write('GET /one HTTP/1.1\r\nhost: h\r\n\r\nGET /two HTTP/1.1\r\nhost: h\r\n\r\n');
	await untilRequested(told, messages, 2);
	socket.destroy();
	const gone = (): number[] => messages.flatMap(message => message.type === CoreMessageType.CallerGone ? [message.entryId] : []);
	while (gone().length < 2) {
		await once(told, CoreMessageType.CallerGone);
	}

	t.same(gone().toSorted((left, right) => left - right), requestsOf(messages).map(({entryId}) => entryId));
});

test('a node that stops answers all that came on a connection before it closes it, and opens nothing more', async t => {
	const {server, messages, told, answer, connect} = await start(t);
	const socket = await connect();
	const chunks: string[] = [];
	socket.on('data', chunk => chunks.push(String(chunk)));
	const ask = (name: string): string => `GET /${name} HTTP/1.1\r\nhost: h\r\nx-id: ${name}\r\n\r\n`;
	socket.write(ask('one') + ask('two') + ask('three'));
	await untilRequested(told, messages, 3);
	server.closeAfterAnswers();
	const [one, two, three] = requestsOf(messages).map(({entryId}) => entryId);
	answer(three!, 'body of three;');
	answer(two!, 'body of two;');
	socket.write(ask('four'));
	answer(one!, 'body of one;');
	await once(socket, 'close');
	t.same(chunks.join('').match(/connection: [\w-]+|body of \w+;/giu), [
		'Connection: keep-alive', 'body of one;', 'Connection: keep-alive', 'body of two;', 'Connection: close', 'body of three;',
	]);
	t.equal(requestsOf(messages).length, 3);
});

test('a node that stops listening answers what has arrived and was not read yet, also on connections that it has not taken', async t => {
	const {server, messages, told, answer, connect, open} = await start(t);
	const ask = (name: string): string => `GET /${name} HTTP/1.1\r\nhost: h\r\nx-id: ${name}\r\n\r\n`;
	const answerNewest = (): void => {
		const {entryId, requestId} = requestsOf(messages).at(-1)!;
		answer(entryId, `body of ${requestId};`);
	};

	const kept = await connect();
	kept.write(ask('earlier'));
	await untilRequested(told, messages, 1);
	answerNewest();
	await once(kept, 'data');
	kept.pause();
	told.addEventListener(CoreMessageType.CallerRequested, () => {
		queueMicrotask(answerNewest);
	});
	const fresh = Array.from({length: 20}, (_, index) => {
		const socket = open();
		socket.write(ask(`fresh${index}`));
		return socket;
	});
	kept.write(ask('later'));
	await server.stopListening(performance.now() + 10_000);
	const texts = await Promise.all([kept, ...fresh].map(async socket => readUntil(socket, ';')));
	t.same(texts.map(text => /body of \w+;/u.exec(text)?.[0]), ['body of later;', ...fresh.map((_, index) => `body of fresh${index};`)]);
});

test('a node that stops in a burst takes all connections that wait, however long its turns are', async t => {
	const {server, messages, told, answer, open} = await start(t);
	told.addEventListener(CoreMessageType.CallerRequested, () => {
		standStill(turnMilliseconds);
		const {entryId, requestId} = requestsOf(messages).at(-1)!;
		queueMicrotask(() => {
			answer(entryId, `body of ${requestId};`);
		});
	});
	const waiting = Array.from({length: 90}, (_, index) => {
		const socket = open();
		socket.write(`GET / HTTP/1.1\r\nhost: h\r\nx-id: waiting${index}\r\n\r\n`);
		return socket;
	});
	await server.stopListening(performance.now() + 10_000);
	const texts = await Promise.all(waiting.map(async socket => readUntil(socket, ';').catch(String)));
	t.same(texts.map(text => /body of \w+;/u.exec(text)?.[0] ?? text), waiting.map((_, index) => `body of waiting${index};`));
});

/** Connects when it is told to, and tells what came of it. */
const callerProgram = `
const {createConnection} = require('node:net');
const {workerData: {port, shared}} = require('node:worker_threads');
Atomics.wait(shared, 0, 0);
const end = result => {
	Atomics.store(shared, 1, result);
	Atomics.notify(shared, 1);
};
createConnection(port, '127.0.0.1').once('connect', () => end(1)).once('error', () => end(2));
`;

test('a node that stops listening resets no caller that connects while it closes silent connections', async t => {
	const {server, port} = await start(t);
	const shared = new Int32Array(new SharedArrayBuffer(2 * Int32Array.BYTES_PER_ELEMENT));
	const caller = new Worker(callerProgram, {eval: true, workerData: {port, shared}});
	await once(caller, 'online');
	const {closeIdleConnections} = Server.prototype;
	t.teardown(async () => {
		Server.prototype.closeIdleConnections = closeIdleConnections;
		await caller.terminate();
	});
	Server.prototype.closeIdleConnections = function () {
		Atomics.store(shared, 0, 1);
		Atomics.notify(shared, 0);
		Atomics.wait(shared, 1, 0, 5000);
		Reflect.apply(closeIdleConnections, this, []);
	};

	await server.stopListening(performance.now() + 10_000);
	t.equal(shared[1], 2, 'it was refused, and can go elsewhere');
});

test('a stop ends at its bound though new connections never cease', async t => {
	const {server, messages, told, answer, open} = await start(t);
	let isOver = false;
	const ask = (): void => {
		const socket = open();
		socket.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n');
	};

	told.addEventListener(CoreMessageType.CallerRequested, () => {
		standStill(turnMilliseconds);
		answer(requestsOf(messages).at(-1)!.entryId, 'body');
		if (!isOver) {
			ask();
			ask();
		}
	});
	ask();
	await untilRequested(told, messages, 1);
	const startedAt = performance.now();
	await server.stopListening(startedAt + 300);
	isOver = true;
	const milliseconds = performance.now() - startedAt;
	t.ok(milliseconds >= 300 && milliseconds < 2000, `took ${milliseconds} ms`);
});

test('a node that stood still past the idle time of a connection answers what came on it in that time', async t => {
	const {server, messages, told, answer, connect} = await start(t);
	server.setLimits({idleMilliseconds});
	told.addEventListener(CoreMessageType.CallerRequested, () => {
		const {entryId, requestId} = requestsOf(messages).at(-1)!;
		queueMicrotask(() => {
			answer(entryId, `body of ${requestId};`);
		});
	});
	const ask = (name: string): string => `GET / HTTP/1.1\r\nhost: h\r\nx-id: ${name}\r\n\r\n`;
	const [kept, silentOne] = [await connect(), await connect()];
	const texts: string[] = [];
	kept.on('data', chunk => texts.push(String(chunk)));
	silentOne.resume();
	silentOne.write(ask('other'));
	kept.write(ask('earlier'));
	await Promise.all([once(kept, 'data'), once(silentOne, 'data')]);
	kept.write(ask('later'));
	standStill(longestIdleMilliseconds + 400);
	await Promise.race([once(kept, 'close'), untilRequested(told, messages, 3)]);
	await Promise.all([once(kept, 'close'), once(silentOne, 'close')]);
	t.same(texts.join('').match(/body of \w+;/gu), ['body of earlier;', 'body of later;']);
});

test('a body comes whole and unchanged, whether its length is given or it is sent in chunks', async t => {
	const {messages, told, connect} = await start(t);
	const socket = await connect();
	socket.write('PUT /sized?a=%20b HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nab\r\nc');
	socket.write('PUT /chunked HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n');
	await untilRequested(told, messages, 2);
	t.same(requestsOf(messages).map(({request}) => [request.method, request.target, Buffer.from(request.body).toString()]), [
		['PUT', '/sized?a=%20b', 'ab\r\nc'],
		['PUT', '/chunked', 'abcde'],
	]);
});

test('the bounds of a manifest hold for headers, bodies and the time that headers take', async t => {
	const {server, messages, connect} = await start(t);
	server.setLimits({headerBytes: 200, bodyBytes: 10, headerMilliseconds: 50});
	const ask = async (text: string): Promise<string> => {
		const socket = await connect();
		socket.write(text);
		return readUntil(socket, '"detail"');
	};

	t.match(await ask(`GET / HTTP/1.1\r\nhost: h\r\nx: ${'y'.repeat(300)}\r\n\r\n`), /^HTTP\/1\.1 431 [\s\S]*laburnumspool-outcome: not-run[\s\S]*"kind":"headers-too-large"/u);
	t.match(await ask('PUT / HTTP/1.1\r\nhost: h\r\ncontent-length: 11\r\n\r\n'), /^HTTP\/1\.1 413 /u);
	t.match(await ask('GET / HTTP/1.1\r\nhost:'), /^HTTP\/1\.1 408 /u);
	t.same(requestsOf(messages), []);
});

test('a caller that does not read holds up nobody but itself', async t => {
	const {messages, told, answer, connect} = await start(t);
	const [slow, quick] = [await connect(), await connect()];
	slow.pause();
	slow.write('GET /large HTTP/1.1\r\nhost: h\r\n\r\n');
	await untilRequested(told, messages, 1);
	answer(requestsOf(messages)[0]!.entryId, Buffer.alloc(8 * 1024 * 1024, 'x'));
	quick.write('GET /small HTTP/1.1\r\nhost: h\r\n\r\n');
	await untilRequested(told, messages, 2);
	answer(requestsOf(messages)[1]!.entryId, 'small body');
	t.match(await readUntil(quick, 'small body'), /^HTTP\/1\.1 200 /u);
});

test('a caller that leaves in the middle of a request has the one before it cancelled', async t => {
	const {messages, told, connect} = await start(t);
	const socket = await connect();
	socket.on('error', silent);
	socket.write('GET /one HTTP/1.1\r\nhost: h\r\n\r\n');
	await untilRequested(told, messages, 1);
	const gone = once(told, CoreMessageType.CallerGone);
	socket.end('GET /two HTTP/1.1\r\nho');
	await gone;
	t.equal(messages.length, 2);
});

const broken: Readonly<Record<string, string>> = {
	'no HTTP': 'garbage\r\n\r\n',
	'headers that are too large': `GET /two HTTP/1.1\r\nhost: h\r\nx: ${'y'.repeat(200_000)}\r\n\r\n`,
	'a head that stays away': 'GET /two HTTP/1.1\r\nhost: h\r\n',
	'a body that stays away': 'PUT /two HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\nabc',
	'much that is no HTTP': `${'z'.repeat(1000)}\r\n`.repeat(16),
};
/** In several of them the server has seen each kind of broken request. */
const slowMilliseconds = 200;

for (const [name, bytes] of Object.entries(broken)) {
	test(`a request that cannot be read never takes the place of the answer to the one before it: ${name}`, async t => {
		const {messages, told, answer, connect} = await start(t, slowMilliseconds);
		const socket = await connect();
		const closed = new Promise(resolve => {
			socket.once('close', resolve);
		});
		const chunks: string[] = [];
		socket.on('data', chunk => chunks.push(String(chunk)));
		socket.write('GET /one HTTP/1.1\r\nhost: h\r\nx-id: one\r\n\r\n');
		await untilRequested(told, messages, 1);
		socket.write(bytes);
		await wait(slowMilliseconds * 5);
		t.same(messages.map(({type}) => type), [CoreMessageType.CallerRequested], 'the request before it goes on');
		answer(requestsOf(messages)[0]!.entryId, 'body of one;');
		await closed;
		t.match(chunks.join(''), /^HTTP\/1\.1 200 OK\r\nx-id: one\r\n[\s\S]*\r\nconnection: close\r\n[\s\S]*body of one;$/iu);
	});
}

const mostTakenBytes = 32 * 1024 * 1024;
const mostSentBytes = 256 * 1024 * 1024;
const chunkedHead = 'PUT /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n';
const endless: Readonly<Record<string, readonly [first: string, part: string]>> = {
	'a request line': ['GET /', 'x'],
	'a header line': ['GET / HTTP/1.1\r\nhost: h\r\nx: ', 'y'],
	'header lines': ['GET / HTTP/1.1\r\nhost: h\r\n', 'x: y\r\n'],
	chunks: [chunkedHead, '5\r\nabcde\r\n'],
	'a chunk extension': [`${chunkedHead}1;x=`, 'y'],
	'trailer lines': [`${chunkedHead}0\r\n`, 'x: y\r\n'],
	'no HTTP': ['', '\u0000zq'],
};

/** Bytes that the parser passes over; only the time for a request ends them. */
const passedOver: Readonly<Record<string, readonly [first: string, part: string]>> = {
	'empty lines': ['', '\r\n'],
	'a chunk size': [chunkedHead, '0'],
};

/** Has one caller send without end and another one ask; the bytes that the first one sent until its connection was closed. */
async function sendWithoutEnd(t: Test, first: string, part: string): Promise<number> {
	const {server, messages, told, answer, connect} = await start(t, 1000);
	server.setLimits({bodyBytes: 10_000, headerMilliseconds: 500});
	const [endlessCaller, other] = [await connect(), await connect()];
	const bytes = Buffer.from(part.repeat(Math.ceil(65_536 / part.length)));
	const more = (): void => {
		if (!endlessCaller.destroyed && endlessCaller.bytesWritten < mostSentBytes) {
			endlessCaller.write(bytes, more);
		}
	};

	const isClosed = new Promise(resolve => {
		endlessCaller.once('close', resolve);
	});
	endlessCaller.resume();
	endlessCaller.write(first);
	more();
	other.write('GET /other HTTP/1.1\r\nhost: h\r\n\r\n');
	await untilRequested(told, messages, 1);
	answer(requestsOf(messages)[0]!.entryId, 'other body');
	t.match(await readUntil(other, 'other body'), /^HTTP\/1\.1 200 /u);
	await isClosed;
	t.same(requestsOf(messages).map(({request}) => request.target), ['/other']);
	return endlessCaller.bytesWritten;
}

for (const [name, [first, part]] of Object.entries(endless)) {
	test(`a request without end is cut off, and holds up no other caller: ${name}`, async t => {
		t.ok(await sendWithoutEnd(t, first, part) < mostTakenBytes);
	});
}

for (const [name, [first, part]] of Object.entries(passedOver)) {
	test(`a request without end is cut off in time, and holds up no other caller: ${name}`, async t => {
		t.ok(await sendWithoutEnd(t, first, part));
	});
}
