import {Buffer} from 'node:buffer';
import {createConnection, type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {
	Importance, NodeEffectType, Outcome, type CallerRequest,
} from '@laburnumspool/core';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import fastCheck from 'fast-check';
import {test, type Test} from 'tap';
import {AnswerStreams} from '../answer-streams.js';
import {CallersServer} from '../callers-server.js';
import {
	CoreMessageType, type CoreMessage, type CoreTask, type EffectHandlers,
} from '../core-task.js';
import {MemoryBudget, type Reservation} from '../memory-budget.js';
import type {NodeInterface} from '../node-interface.js';
import {doNothing, silentLog} from './fixtures.js';

const requestBytes = 200_000;
/** Admits one body of the largest size, and no second one beside it. */
const totalBytes = requestBytes * 1.25;
/** Requests to this path stay open. */
const openPath = '/open';
const maximumPolls = 400;

/** Records the most bytes that were reserved at any time. */
class WatchedBudget extends MemoryBudget {
	peakBytes = 0;

	override reserve(bytes: number, importance: Importance): Reservation | undefined {
		const reservation = super.reserve(bytes, importance);
		this.#record();
		return reservation === undefined
			? undefined
			: {
				get bytes() {
					return reservation.bytes;
				},
				grow: bytes => {
					const isGrown = reservation.grow(bytes);
					this.#record();
					return isGrown;
				},
				release: reservation.release,
			};
	}

	#record(): void {
		this.peakBytes = Math.max(this.peakBytes, this.heldBytes);
	}
}

/** Starts a server whose core answers all requests but those to `openPath`. */
async function startServer(t: Test, {stalledBodyMilliseconds = 60_000, connections = 100, slowSenderMilliseconds = 60_000} = {}) {
	const requests: CallerRequest[] = [];
	const limits: string[] = [];
	const budget = new WatchedBudget(totalBytes);
	let handlers: EffectHandlers = {};
	const core = {
		core: {usesRoutes: true, importanceOf: () => Importance.Critical},
		handle(registered: EffectHandlers) {
			handlers = registered;
		},
		post(message: CoreMessage) {
			if (message.type === CoreMessageType.CallerRequested) {
				const {request} = message;
				requests.push(request);
				setImmediate(() => {
					if (request.request.target !== openPath) {
						handlers[NodeEffectType.AnswerCaller]?.({
							type: NodeEffectType.AnswerCaller,
							entryId: request.entryId,
							answer: {
								outcome: Outcome.Ran, attempts: 1, answer: {status: 200, headers: [], body: Buffer.from('done')}, error: undefined,
							},
						});
					}
				});
			}

			return true;
		},
	} as unknown as CoreTask;
	const server = new CallersServer({
		core,
		budget,
		stalledBodyMilliseconds,
		connections,
		requestBytes,
		slowSenderMilliseconds,
		streams: new AnswerStreams(),
		openRequests: 100,
		headers: {timeLeft: 'x-time'},
		service: undefined,
		observeAnswer: doNothing,
		log: silentLog,
		observeLimit: limit => limits.push(limit),
		nodeInterface: undefined as unknown as NodeInterface,
	});
	const [port] = await findFreePorts(1);
	await server.listen(port!, '127.0.0.1');
	t.teardown(() => {
		server.close();
	});
	const connect = (): {socket: Socket; received: () => string} => {
		const socket = createConnection(port!, '127.0.0.1');
		let text = '';
		socket.on('error', doNothing);
		socket.on('data', chunk => {
			text += String(chunk);
		});
		t.teardown(() => socket.destroy());
		return {socket, received: () => text};
	};

	return {
		budget, requests, limits, connect,
	};
}

const headOf = (path: string, bytes: number | undefined): string =>
	`PUT ${path} HTTP/1.1\r\nhost: h\r\n${bytes === undefined ? 'transfer-encoding: chunked' : `content-length: ${bytes}`}\r\n\r\n`;

const toChunks = (bytes: number, chunkBytes: number): string =>
	`${chunkBytes.toString(16)}\r\n${'a'.repeat(chunkBytes)}\r\n`.repeat(Math.ceil(bytes / chunkBytes));

async function isSoon(check: () => boolean): Promise<boolean> {
	for (let poll = 0; poll < maximumPolls && !check(); poll += 1) {
		await wait(10);
	}

	return check();
}

enum Ending {
	Complete = 'complete',
	Cancelled = 'cancelled',
	Reset = 'reset',
	Retried = 'retried',
}

// Guards against reservations that are lost when a request ends in an unusual way, after which all bodies would be refused.
test('the reserved bytes never exceed the budget and return to zero, however requests end', async t => {
	t.setTimeout(120_000);
	const {budget, connect} = await startServer(t, {stalledBodyMilliseconds: 5});
	const caller = fastCheck.record({
		bytes: fastCheck.integer({min: 1, max: requestBytes * 1.2}),
		chunkBytes: fastCheck.option(fastCheck.constantFrom(20, 300, 9000, 70_000), {nil: undefined}),
		sentShare: fastCheck.constantFrom(0, 0.3, 0.99, 1),
		ending: fastCheck.constantFrom(...Object.values(Ending)),
		path: fastCheck.constantFrom('/', openPath),
	});
	const send = ({bytes, chunkBytes, sentShare, path}: {bytes: number; chunkBytes: number | undefined; sentShare: number; path: string}): Socket => {
		const {socket} = connect();
		const sentBytes = Math.floor(bytes * sentShare);
		const body = chunkBytes === undefined ? 'a'.repeat(sentBytes) : toChunks(sentBytes, chunkBytes) + (sentShare === 1 ? '0\r\n\r\n' : '');
		socket.write(headOf(path, chunkBytes === undefined ? bytes : undefined) + body);
		return socket;
	};

	await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(caller, {minLength: 1, maxLength: 12}), async callers => {
		const sockets = callers.flatMap(definition => {
			const socket = send(definition);
			return definition.ending === Ending.Retried ? [socket, send(definition)] : [socket];
		});
		await wait(20);
		callers.map(({ending}, index) => ending === Ending.Reset ? sockets[index]!.resetAndDestroy() : sockets[index]!.end());
		await wait(10);
		sockets.map(socket => socket.destroy());
		t.ok(await isSoon(() => budget.heldBytes === 0), `${budget.heldBytes} bytes are held at the end`);
		t.ok(budget.peakBytes <= budget.totalBytes, `${budget.peakBytes} bytes were held`);
	}), {numRuns: 60});
});

// Guards against the unread rest of a refused request being run as a request of its own.
test('a body that does not fit is refused and the connection closed, and its rest is not parsed', async t => {
	const {budget, requests, limits, connect} = await startServer(t);
	const holder = connect();
	holder.socket.write(headOf('/', requestBytes));
	t.ok(await isSoon(() => budget.heldBytes === requestBytes));
	const refused = connect();
	refused.socket.write(headOf('/', 100_000) + 'GET /smuggled HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(3000));
	t.ok(await isSoon(() => refused.socket.destroyed));
	t.match(refused.received(), /^HTTP\/1\.1 503 [\s\S]*laburnumspool-outcome: not-run[\s\S]*retry-after: 1[\s\S]*connection: close[\s\S]*"kind":"overloaded"/iu);
	const small = connect();
	small.socket.write(`${headOf('/', 5)}small`);
	t.ok(await isSoon(() => small.received().endsWith('done')), 'a small request is served');
	t.same(requests.map(({request}) => request.method), ['PUT']);
	t.same(limits, ['held-bytes']);
});

test('a stalled body loses its memory to another body, and is answered 408', async t => {
	const {budget, limits, connect} = await startServer(t, {stalledBodyMilliseconds: 1});
	const stalled = connect();
	stalled.socket.write(`${headOf('/', requestBytes)}begin`);
	t.ok(await isSoon(() => budget.heldBytes === requestBytes));
	await wait(20);
	const other = connect();
	other.socket.write(headOf('/', requestBytes) + 'a'.repeat(requestBytes));
	t.ok(await isSoon(() => other.received().endsWith('done')));
	t.ok(await isSoon(() => stalled.received().includes('"detail"')));
	t.match(stalled.received(), /^HTTP\/1\.1 408 [\s\S]*laburnumspool-outcome: not-run/u);
	t.same(limits, ['stalled-body']);
});

test('a body that does not arrive in time returns its memory while its caller stays connected', async t => {
	const {budget, connect} = await startServer(t, {slowSenderMilliseconds: 100});
	const slow = connect();
	slow.socket.write(`${headOf('/', requestBytes)}begin`);
	t.ok(await isSoon(() => budget.heldBytes === requestBytes));
	t.ok(await isSoon(() => budget.heldBytes === 0));
	t.ok(await isSoon(() => slow.received().includes('"detail"')));
	t.match(slow.received(), /^HTTP\/1\.1 408 [\s\S]*laburnumspool-outcome: not-run/u);
});

test('a body in very small chunks is read in turns, and whole', async t => {
	const {requests, limits, connect} = await startServer(t);
	const callers = [connect(), connect()];
	callers.map(({socket}) => socket.write(`${headOf('/', undefined) + toChunks(60_000, 1)}0\r\n\r\nGET /next HTTP/1.1\r\nhost: h\r\n\r\n`));
	t.ok(await isSoon(() => callers.every(({received}) => received().match(/done/gu)?.length === 2)), 'also the request behind it is served');
	t.same(requests.map(({request}) => request.body.length).toSorted((left, right) => left - right), [0, 0, 60_000, 60_000]);
	t.same(limits, ['small-chunks', 'small-chunks']);
});

test('above the limit of connections, the one that is idle for longest is closed', async t => {
	const {budget, limits, connect} = await startServer(t, {connections: 3});
	const [busy, idle, used] = [connect(), connect(), connect()];
	busy.socket.write(`${headOf(openPath, 70_000)}${'a'.repeat(70_000)}`);
	t.ok(await isSoon(() => budget.heldBytes === 70_000));
	used.socket.write(`${headOf('/', 5)}first`);
	t.ok(await isSoon(() => used.received().endsWith('done')));
	const added = connect();
	t.ok(await isSoon(() => idle.socket.destroyed));
	added.socket.write(`${headOf('/', 5)}added`);
	t.ok(await isSoon(() => added.received().endsWith('done')));
	t.same([busy, used, added].map(({socket}) => socket.destroyed), [false, false, false]);
	t.same(limits, ['connections']);
});
