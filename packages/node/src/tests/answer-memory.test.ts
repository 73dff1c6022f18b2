import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {NodeEffectType} from '@laburnumspool/core';
import {encodeFrameHeader, FrameType} from '@laburnumspool/protocol';
import {test, type Test} from 'tap';
import {Pool} from 'undici';
import {AnswerStreams} from '../answer-streams.js';
import type {CoreTask, EffectHandlers} from '../core-task.js';
import {startExchange, type Exchange, type ExchangeResult} from '../http-client.js';
import {MemoryBudget} from '../memory-budget.js';
import {PeersClient} from '../peers-client.js';
import {doNothing, silentLog} from './fixtures.js';
import {createCall, createMember} from './link-nodes.js';

const bodyBytes = 300_000;
const partBytes = 100_000;
const pollMilliseconds = 5;
const maximumPolls = 400;

/** Less than one answer, since answers are counted and not refused. */
const createBudget = (): MemoryBudget => new MemoryBudget(1000);

async function waitUntil(isReached: () => boolean): Promise<void> {
	for (let polls = 0; !isReached() && polls < maximumPolls; polls += 1) {
		await wait(pollMilliseconds);
	}
}

async function listen(t: Test, server: Server): Promise<number> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return (server.address() as AddressInfo).port;
}

type StartedExchange = {readonly response: ServerResponse; readonly exchange: Exchange; readonly result: Promise<ExchangeResult>};

/** Starts an exchange whose answer has arrived in part. */
async function startPartialExchange(t: Test, budget: MemoryBudget): Promise<StartedExchange> {
	const responses: ServerResponse[] = [];
	const port = await listen(t, createServer((_request, response) => {
		responses.push(response);
		response.writeHead(200, {'content-length': bodyBytes});
		response.write(Buffer.alloc(partBytes));
	}));
	const pool = new Pool(`http://127.0.0.1:${port}`);
	t.teardown(async () => pool.destroy());
	const {promise: result, resolve} = createDeferred<ExchangeResult>();
	const exchange = startExchange(pool, {
		method: 'GET', path: '/', headers: [], body: undefined, maximumBytes: bodyBytes, timeoutMilliseconds: 10_000, totalMilliseconds: 10_000, budget,
	}, resolve);
	await waitUntil(() => budget.heldBytes === partBytes);
	return {response: responses[0]!, exchange, result};
}

function createDeferred<Value>(): {readonly promise: Promise<Value>; readonly resolve: (value: Value) => void} {
	let resolve: (value: Value) => void = doNothing;
	const promise = new Promise<Value>(resolvePromise => {
		resolve = resolvePromise;
	});
	return {promise, resolve};
}

// Guards against answers that leave bytes in the budget, which would refuse all later bodies.
test('the answer of an upstream counts while it is buffered, and not after its end, its abort or a broken connection', async t => {
	const ends: ReadonlyArray<(started: StartedExchange) => void> = [
		({response}) => {
			response.end(Buffer.alloc(bodyBytes - partBytes));
		},
		({exchange}) => {
			exchange.abort();
		},
		({response}) => {
			response.destroy();
		},
	];
	const results = await Promise.all(ends.map(async end => {
		const budget = createBudget();
		const started = await startPartialExchange(t, budget);
		const {heldBytes} = budget;
		end(started);
		const {success} = await started.result;
		return [heldBytes, success, budget.heldBytes];
	}));
	t.same(results, [[partBytes, true, 0], [partBytes, false, 0], [partBytes, false, 0]]);
});

test('an answer of a peer counts from its header on, and not after its link has closed', async t => {
	const budget = createBudget();
	const sockets: Socket[] = [];
	const server = createServer().on('upgrade', (_request, socket) => {
		sockets.push(socket as Socket);
		socket.on('error', doNothing);
		socket.write('HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: laburnumspool-calls\r\n\r\n');
		socket.write(Buffer.concat([encodeFrameHeader(FrameType.Answer, bodyBytes), Buffer.alloc(partBytes)]));
	});
	const port = await listen(t, server);
	let handlers: EffectHandlers = {};
	const core = {
		handle(registered: EffectHandlers) {
			handlers = registered;
		},
		post: () => true,
	};
	const client = new PeersClient({
		core: core as unknown as CoreTask, streams: new AnswerStreams(), log: silentLog, clock: () => performance.now(), budget,
	});
	t.teardown(async () => client.close());
	handlers[NodeEffectType.SendCall]?.({
		type: NodeEffectType.SendCall, to: createMember('peer', port), frame: createCall('n.1.1', 0), clock: 0,
	});
	await waitUntil(() => budget.heldBytes === bodyBytes);
	t.equal(budget.heldBytes, bodyBytes);
	sockets[0]!.destroy();
	await waitUntil(() => budget.heldBytes === 0);
	t.equal(budget.heldBytes, 0);
});
