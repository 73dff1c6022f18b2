import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Server} from 'node:http';
import {createConnection, type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {
	Importance, NodeEffectType, Outcome, type CallerRequest, type NodeEffect,
} from '@laburnumspool/core';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {test, type Test} from 'tap';
import {AnswerStreams} from '../answer-streams.js';
import {CallersServer} from '../callers-server.js';
import {
	CoreMessageType, type CoreMessage, type CoreTask, type EffectHandlers,
} from '../core-task.js';
import type {NodeInterface} from '../node-interface.js';
import {MemoryBudget} from '../memory-budget.js';
import {doNothing, blockEventLoop, silentLog} from './fixtures.js';

type AnswerCaller = Extract<NodeEffect, {type: NodeEffectType.AnswerCaller}>;

/** Starts a server with a stub of the core, which records messages and answers when the test calls `answer`. */
async function startServer(t: Test, slowSenderMilliseconds = 5000): Promise<{
	server: CallersServer;
	port: number;
	messages: CoreMessage[];
	messageEvents: EventTarget;
	answer: (entryId: number, body: string | Buffer) => void;
	connect: () => Promise<Socket>;
	open: () => Socket;
}> {
	const messages: CoreMessage[] = [];
	const messageEvents = new EventTarget();
	let handlers: EffectHandlers = {};
	const core = {
		core: {usesRoutes: true, importanceOf: () => Importance.Normal},
		handle(registered: EffectHandlers) {
			handlers = registered;
		},
		post(message: CoreMessage) {
			messages.push(message);
			return messageEvents.dispatchEvent(new Event(message.type));
		},
	} as unknown as CoreTask;
	const server = new CallersServer({
		core,
		streams: new AnswerStreams(),
		requestBytes: 100_000,
		openRequests: 100,
		budget: new MemoryBudget(1024 * 1024),
		stalledBodyMilliseconds: 1000,
		connections: 1000,
		log: silentLog,
		observeLimit: doNothing,
		slowSenderMilliseconds,
		headers: {timeLeft: 'x-time', requestId: 'x-id'},
		service: 'catalogue',
		observeAnswer: doNothing,
		nodeInterface: undefined as unknown as NodeInterface,
	});
	const [port] = await findFreePorts(1);
	await server.listen(port!, '127.0.0.1');
	t.teardown(() => {
		server.close();
	});
	const open = (): Socket => {
		const socket = createConnection(port!, '127.0.0.1');
		socket.on('error', doNothing);
		t.teardown(() => socket.destroy());
		return socket;
	};

	return {
		server,
		port: port!,
		messages,
		messageEvents,
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

const requestsOf = (messages: readonly CoreMessage[]): CallerRequest[] => messages
	.flatMap(message => message.type === CoreMessageType.CallerRequested ? [message.request] : []);

/** Length of a turn of the event loop of a busy node. */
const turnMilliseconds = 8;

const idleMilliseconds = 100;

/** Node.js adds one second to the idle time. */
const maximumIdleMilliseconds = idleMilliseconds + 1000;

/** Waits until the core has received `count` requests. */
async function waitForRequests(messageEvents: EventTarget, messages: readonly CoreMessage[], count: number): Promise<void> {
	while (requestsOf(messages).length < count) {
		await once(messageEvents, CoreMessageType.CallerRequested);
	}
}

/** Reads until the text contains `mark` or the connection ends. */
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

test('pipelined requests are answered in their order, each with its own answer', async t => {
	const {messages, messageEvents, answer, connect} = await startServer(t);
	const socket = await connect();
	socket.write(['one', 'two', 'three'].map(name => `GET /${name} HTTP/1.1\r\nhost: h\r\nx-id: ${name}\r\n\r\n`).join(''));
	await waitForRequests(messageEvents, messages, 3);
	requestsOf(messages).toReversed().map(({entryId, requestId}) => {
		answer(entryId, `body of ${requestId};`);
		return entryId;
	});
	const text = await readUntil(socket, 'body of three;');
	t.same(text.match(/x-id: \w+|body of \w+;/gu), ['x-id: one', 'body of one;', 'x-id: two', 'body of two;', 'x-id: three', 'body of three;']);
});

test('a rejected request does not close its connection under a later request that is open', async t => {
	const {messages, messageEvents, answer, connect} = await startServer(t);
	const socket = await connect();
	const requestText = (name: string, time: string): string => `GET /${name} HTTP/1.1\r\nhost: h\r\nx-id: ${name}\r\nx-time: ${time}\r\n\r\n`;
	socket.write(requestText('one', '1000') + requestText('two', 'invalid') + requestText('three', '1000'));
	await waitForRequests(messageEvents, messages, 2);
	const [one, three] = requestsOf(messages).map(({entryId}) => entryId);
	const received = readUntil(socket, 'body of three;');
	answer(one!, 'body of one;');
	await wait(50);
	answer(three!, 'body of three;');
	const text = await received;
	t.same(text.match(/HTTP\/1\.1 \d+|body of \w+;/gu), ['HTTP/1.1 200', 'body of one;', 'HTTP/1.1 400', 'HTTP/1.1 200', 'body of three;']);
});

test('when a caller closes its connection, the core receives a message for each open request', async t => {
	const {messages, messageEvents, connect} = await startServer(t);
	const socket = await connect();
	socket.write('GET /one HTTP/1.1\r\nhost: h\r\n\r\nGET /two HTTP/1.1\r\nhost: h\r\n\r\n');
	await waitForRequests(messageEvents, messages, 2);
	socket.destroy();
	const disconnectedIds = (): number[] => messages.flatMap(message => message.type === CoreMessageType.CallerDisconnected ? [message.entryId] : []);
	while (disconnectedIds().length < 2) {
		await once(messageEvents, CoreMessageType.CallerDisconnected);
	}

	t.same(disconnectedIds().toSorted((left, right) => left - right), requestsOf(messages).map(({entryId}) => entryId));
});

test('a stopping node answers all requests received on a connection before it closes it, and opens no later request', async t => {
	const {server, messages, messageEvents, answer, connect} = await startServer(t);
	const socket = await connect();
	const chunks: string[] = [];
	socket.on('data', chunk => chunks.push(String(chunk)));
	const requestText = (name: string): string => `GET /${name} HTTP/1.1\r\nhost: h\r\nx-id: ${name}\r\n\r\n`;
	socket.write(requestText('one') + requestText('two') + requestText('three'));
	await waitForRequests(messageEvents, messages, 3);
	server.closeAfterAnswers();
	const [one, two, three] = requestsOf(messages).map(({entryId}) => entryId);
	answer(three!, 'body of three;');
	answer(two!, 'body of two;');
	socket.write(requestText('four'));
	answer(one!, 'body of one;');
	await once(socket, 'close');
	t.same(chunks.join('').match(/connection: [\w-]+|body of \w+;/giu), [
		'Connection: keep-alive', 'body of one;', 'Connection: keep-alive', 'body of two;', 'Connection: close', 'body of three;',
	]);
	t.equal(requestsOf(messages).length, 3);
});

test('a node that stops listening answers requests that have arrived but are not read, also on connections not accepted yet', async t => {
	const {server, messages, messageEvents, answer, connect, open} = await startServer(t);
	const requestText = (name: string): string => `GET /${name} HTTP/1.1\r\nhost: h\r\nx-id: ${name}\r\n\r\n`;
	const answerNewest = (): void => {
		const {entryId, requestId} = requestsOf(messages).at(-1)!;
		answer(entryId, `body of ${requestId};`);
	};

	const keptSocket = await connect();
	keptSocket.write(requestText('earlier'));
	await waitForRequests(messageEvents, messages, 1);
	answerNewest();
	await once(keptSocket, 'data');
	keptSocket.pause();
	messageEvents.addEventListener(CoreMessageType.CallerRequested, () => {
		queueMicrotask(answerNewest);
	});
	const newSockets = Array.from({length: 20}, (_, index) => {
		const socket = open();
		socket.write(requestText(`fresh${index}`));
		return socket;
	});
	keptSocket.write(requestText('later'));
	await server.stopListening(performance.now() + 10_000);
	const texts = await Promise.all([keptSocket, ...newSockets].map(async socket => readUntil(socket, ';')));
	t.same(texts.map(text => /body of \w+;/u.exec(text)?.[0]), ['body of later;', ...newSockets.map((_, index) => `body of fresh${index};`)]);
});

test('a node that stops listening during a burst accepts all pending connections, also when its event loop is slow', async t => {
	const {server, messages, messageEvents, answer, open} = await startServer(t);
	messageEvents.addEventListener(CoreMessageType.CallerRequested, () => {
		blockEventLoop(turnMilliseconds);
		const {entryId, requestId} = requestsOf(messages).at(-1)!;
		queueMicrotask(() => {
			answer(entryId, `body of ${requestId};`);
		});
	});
	const waitingSockets = Array.from({length: 90}, (_, index) => {
		const socket = open();
		socket.write(`GET / HTTP/1.1\r\nhost: h\r\nx-id: waiting${index}\r\n\r\n`);
		return socket;
	});
	await server.stopListening(performance.now() + 10_000);
	const texts = await Promise.all(waitingSockets.map(async socket => readUntil(socket, ';').catch(String)));
	t.same(texts.map(text => /body of \w+;/u.exec(text)?.[0] ?? text), waitingSockets.map((_, index) => `body of waiting${index};`));
});

/** Connects when `shared[0]` is notified, and stores in `shared[1]` whether it connected (1) or failed (2). */
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

test('a caller that connects while a stopping node closes idle connections is refused, not reset', async t => {
	const {server, port} = await startServer(t);
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
	t.equal(shared[1], 2, 'the connection is refused, so the caller can use another node');
});

test('a node stops listening at the given time although new connections never cease', async t => {
	const {server, messages, messageEvents, answer, open} = await startServer(t);
	let hasStopped = false;
	const openCaller = (): void => {
		const socket = open();
		socket.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n');
	};

	messageEvents.addEventListener(CoreMessageType.CallerRequested, () => {
		blockEventLoop(turnMilliseconds);
		answer(requestsOf(messages).at(-1)!.entryId, 'body');
		if (!hasStopped) {
			openCaller();
			openCaller();
		}
	});
	openCaller();
	await waitForRequests(messageEvents, messages, 1);
	const startedAt = performance.now();
	await server.stopListening(startedAt + 300);
	hasStopped = true;
	const milliseconds = performance.now() - startedAt;
	t.ok(milliseconds >= 300 && milliseconds < 2000, `took ${milliseconds} ms`);
});

test('a node that was paused beyond the idle time of a connection answers the request that arrived during the pause', async t => {
	const {server, messages, messageEvents, answer, connect} = await startServer(t);
	server.setLimits({idleMilliseconds});
	messageEvents.addEventListener(CoreMessageType.CallerRequested, () => {
		const {entryId, requestId} = requestsOf(messages).at(-1)!;
		queueMicrotask(() => {
			answer(entryId, `body of ${requestId};`);
		});
	});
	const requestText = (name: string): string => `GET / HTTP/1.1\r\nhost: h\r\nx-id: ${name}\r\n\r\n`;
	const [keptSocket, idleSocket] = [await connect(), await connect()];
	const texts: string[] = [];
	keptSocket.on('data', chunk => texts.push(String(chunk)));
	idleSocket.resume();
	idleSocket.write(requestText('other'));
	keptSocket.write(requestText('earlier'));
	await Promise.all([once(keptSocket, 'data'), once(idleSocket, 'data')]);
	keptSocket.write(requestText('later'));
	blockEventLoop(maximumIdleMilliseconds + 400);
	await Promise.race([once(keptSocket, 'close'), waitForRequests(messageEvents, messages, 3)]);
	await Promise.all([once(keptSocket, 'close'), once(idleSocket, 'close')]);
	t.same(texts.join('').match(/body of \w+;/gu), ['body of earlier;', 'body of later;']);
});

test('a body is received complete and unchanged, whether it has a length or is chunked', async t => {
	const {messages, messageEvents, connect} = await startServer(t);
	const socket = await connect();
	socket.write('PUT /sized?a=%20b HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nab\r\nc');
	socket.write('PUT /chunked HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n');
	await waitForRequests(messageEvents, messages, 2);
	t.same(requestsOf(messages).map(({request}) => [request.method, request.target, Buffer.from(request.body).toString()]), [
		['PUT', '/sized?a=%20b', 'ab\r\nc'],
		['PUT', '/chunked', 'abcde'],
	]);
});

test('the limits of a manifest apply to headers, bodies and the time to send headers', async t => {
	const {server, messages, connect} = await startServer(t);
	server.setLimits({headerBytes: 200, bodyBytes: 10, headerMilliseconds: 50});
	const sendRequest = async (text: string): Promise<string> => {
		const socket = await connect();
		socket.write(text);
		return readUntil(socket, '"detail"');
	};

	t.match(await sendRequest(`GET / HTTP/1.1\r\nhost: h\r\nx: ${'y'.repeat(300)}\r\n\r\n`), /^HTTP\/1\.1 431 [\s\S]*laburnumspool-outcome: not-run[\s\S]*"kind":"headers-too-large"/u);
	t.match(await sendRequest('PUT / HTTP/1.1\r\nhost: h\r\ncontent-length: 11\r\n\r\n'), /^HTTP\/1\.1 413 /u);
	t.match(await sendRequest('GET / HTTP/1.1\r\nhost:'), /^HTTP\/1\.1 408 /u);
	t.same(requestsOf(messages), []);
});

test('a caller that does not read its answer does not delay other callers', async t => {
	const {messages, messageEvents, answer, connect} = await startServer(t);
	const [slowSocket, fastSocket] = [await connect(), await connect()];
	slowSocket.pause();
	slowSocket.write('GET /large HTTP/1.1\r\nhost: h\r\n\r\n');
	await waitForRequests(messageEvents, messages, 1);
	answer(requestsOf(messages)[0]!.entryId, Buffer.alloc(8 * 1024 * 1024, 'x'));
	fastSocket.write('GET /small HTTP/1.1\r\nhost: h\r\n\r\n');
	await waitForRequests(messageEvents, messages, 2);
	answer(requestsOf(messages)[1]!.entryId, 'small body');
	t.match(await readUntil(fastSocket, 'small body'), /^HTTP\/1\.1 200 /u);
});

test('a caller that ends its connection in the middle of a request has its earlier open request cancelled', async t => {
	const {messages, messageEvents, connect} = await startServer(t);
	const socket = await connect();
	socket.on('error', doNothing);
	socket.write('GET /one HTTP/1.1\r\nhost: h\r\n\r\n');
	await waitForRequests(messageEvents, messages, 1);
	const disconnected = once(messageEvents, CoreMessageType.CallerDisconnected);
	socket.end('GET /two HTTP/1.1\r\nho');
	await disconnected;
	t.equal(messages.length, 2);
});

const unreadableRequests: Readonly<Record<string, string>> = {
	'not HTTP': 'garbage\r\n\r\n',
	'oversized headers': `GET /two HTTP/1.1\r\nhost: h\r\nx: ${'y'.repeat(200_000)}\r\n\r\n`,
	'incomplete headers': 'GET /two HTTP/1.1\r\nhost: h\r\n',
	'an incomplete body': 'PUT /two HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\nabc',
	'many lines that are not HTTP': `${'z'.repeat(1000)}\r\n`.repeat(16),
};

/** Time limit for a request. Within five times this limit the server detects each kind of unreadable request. */
const shortSenderMilliseconds = 200;

for (const [name, bytes] of Object.entries(unreadableRequests)) {
	test(`an unreadable request does not replace the answer to the open request before it: ${name}`, async t => {
		const {messages, messageEvents, answer, connect} = await startServer(t, shortSenderMilliseconds);
		const socket = await connect();
		const closed = new Promise(resolve => {
			socket.once('close', resolve);
		});
		const chunks: string[] = [];
		socket.on('data', chunk => chunks.push(String(chunk)));
		socket.write('GET /one HTTP/1.1\r\nhost: h\r\nx-id: one\r\n\r\n');
		await waitForRequests(messageEvents, messages, 1);
		socket.write(bytes);
		await wait(shortSenderMilliseconds * 5);
		t.same(messages.map(({type}) => type), [CoreMessageType.CallerRequested], 'the earlier request stays open');
		answer(requestsOf(messages)[0]!.entryId, 'body of one;');
		await closed;
		t.match(chunks.join(''), /^HTTP\/1\.1 200 OK\r\nx-id: one\r\n[\s\S]*\r\nconnection: close\r\n[\s\S]*body of one;$/iu);
	});
}

const maximumAcceptedBytes = 32 * 1024 * 1024;
const maximumSentBytes = 256 * 1024 * 1024;
const chunkedHead = 'PUT /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n';
const endlessRequests: Readonly<Record<string, readonly [first: string, part: string]>> = {
	'a request line': ['GET /', 'x'],
	'a header line': ['GET / HTTP/1.1\r\nhost: h\r\nx: ', 'y'],
	'header lines': ['GET / HTTP/1.1\r\nhost: h\r\n', 'x: y\r\n'],
	chunks: [chunkedHead, '5\r\nabcde\r\n'],
	'a chunk extension': [`${chunkedHead}1;x=`, 'y'],
	'trailer lines': [`${chunkedHead}0\r\n`, 'x: y\r\n'],
	'not HTTP': ['', '\u0000zq'],
};

/** Bytes that the HTTP parser skips. Only the time limit for a request ends them. */
const skippedByParser: Readonly<Record<string, readonly [first: string, part: string]>> = {
	'empty lines': ['', '\r\n'],
	'a chunk size': [chunkedHead, '0'],
};

/**
 * Lets one caller send an endless request while another caller sends a complete one. Returns the bytes that the first caller
 * sent until its connection was closed.
 */
async function sendEndlessRequest(t: Test, first: string, part: string): Promise<number> {
	const {server, messages, messageEvents, answer, connect} = await startServer(t, 1000);
	server.setLimits({bodyBytes: 10_000, headerMilliseconds: 500});
	const [endlessCaller, otherCaller] = [await connect(), await connect()];
	const bytes = Buffer.from(part.repeat(Math.ceil(65_536 / part.length)));
	const writeMore = (): void => {
		if (!endlessCaller.destroyed && endlessCaller.bytesWritten < maximumSentBytes) {
			endlessCaller.write(bytes, writeMore);
		}
	};

	const closed = new Promise(resolve => {
		endlessCaller.once('close', resolve);
	});
	endlessCaller.resume();
	endlessCaller.write(first);
	writeMore();
	otherCaller.write('GET /other HTTP/1.1\r\nhost: h\r\n\r\n');
	await waitForRequests(messageEvents, messages, 1);
	answer(requestsOf(messages)[0]!.entryId, 'other body');
	t.match(await readUntil(otherCaller, 'other body'), /^HTTP\/1\.1 200 /u);
	await closed;
	t.same(requestsOf(messages).map(({request}) => request.target), ['/other']);
	return endlessCaller.bytesWritten;
}

for (const [name, [first, part]] of Object.entries(endlessRequests)) {
	test(`an endless request is ended after a limited number of bytes, and does not delay other callers: ${name}`, async t => {
		t.ok(await sendEndlessRequest(t, first, part) < maximumAcceptedBytes);
	});
}

for (const [name, [first, part]] of Object.entries(skippedByParser)) {
	test(`an endless request is ended by the time limit, and does not delay other callers: ${name}`, async t => {
		t.ok(await sendEndlessRequest(t, first, part));
	});
}
