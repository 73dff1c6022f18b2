import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {createConnection, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {AnnouncedState} from '@laburnumspool/core';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {test, type Test} from 'tap';
import {CoreMessageType} from '../core-task.js';
import {
	checkSettings, defaultDeployment, startDaemon, type Daemon,
} from '../index.js';
import {
	blockEventLoop, createLookManifest, doNothing, silentLog,
} from './fixtures.js';

const defaultStopSeconds = 2;
const stopMilliseconds = defaultStopSeconds * 1000;
const lingerMilliseconds = 200;
const waitMilliseconds = 20_000;

/** Longer than a stop that does not wait for an answer to be read. */
const pauseMilliseconds = 1000;

/** More than the buffers of both ends of a connection hold. */
const largeBytes = 16 * 1024 * 1024;

/** Fits into the buffers of both ends of a connection, but not into that of the receiver alone. */
const kernelBytes = 1024 * 1024;

/** A caller's connection and all that it has received. */
type Caller = {readonly socket: Socket; readonly closed: Promise<unknown>; readonly text: () => string};

type StartedNodes = {
	/** The node that is stopped. */
	readonly entry: Daemon;
	/** Paths of the requests that an upstream has received. */
	readonly received: string[];
	readonly receipts: EventTarget;
	readonly responses: Map<string, ServerResponse>;
	readonly connect: () => Promise<Caller>;
};

const requestText = (name: string): string => `GET /shop/items/${name} HTTP/1.1\r\nhost: h\r\n\r\n`;

const refusal = /^HTTP\/1\.1 503 [\s\S]*laburnumspool-outcome: not-run\r\n[\s\S]*retry-after: \d+\r\n[\s\S]*connection: close\r\n[\s\S]*"kind":"leaving"/iu;

const manifest = createLookManifest(waitMilliseconds).replace('  shop:', `  shop:\n    answerBytesLimit: ${largeBytes}`);

type NodeOptions = {readonly slots?: number; readonly stopSeconds?: number};

async function startNode(t: Test, name: string, stopSeconds: number): Promise<{daemon: Daemon; callersPort: number}> {
	const [callers, peers, control, store] = await findFreePorts(4);
	const daemon = await startDaemon(checkSettings({
		name, region: 'r', failureDomain: 'f', host: '127.0.0.1', ports: {callers, peers, control}, store: {url: `http://127.0.0.1:${store}`}, stopSeconds, lingerMilliseconds, admission: {adaptiveLimit: false},
	}), () => silentLog);
	daemon.core.post({type: CoreMessageType.ManifestArrived, revision: defaultDeployment.toRevision(1, manifest)});
	return {daemon, callersPort: callers!};
}

/** Starts an entry node, and another node beside an upstream that answers when the test says so. */
async function startNodes(t: Test, {slots = 8, stopSeconds = defaultStopSeconds}: NodeOptions = {}): Promise<StartedNodes> {
	const received: string[] = [];
	const receipts = new EventTarget();
	const responses = new Map<string, ServerResponse>();
	const upstream = createServer((request, response) => {
		const name = request.url!.split('/').at(-1)!;
		received.push(name);
		responses.set(name, response.on('error', doNothing));
		receipts.dispatchEvent(new Event(name));
	}).listen(0, '127.0.0.1');
	await once(upstream, 'listening');
	const serving = await startNode(t, 'serving', stopSeconds);
	const entry = await startNode(t, 'entry', stopSeconds);
	t.teardown(async () => {
		upstream.closeAllConnections();
		upstream.close();
		await serving.daemon.stop();
	});
	serving.daemon.core.post({
		type: CoreMessageType.UpstreamAnnounced, announcement: {
			service: 'shop', address: `127.0.0.1:${(upstream.address() as AddressInfo).port}`, slots, connections: slots, state: AnnouncedState.Ready, load: undefined,
		},
	});
	entry.daemon.core.post({type: CoreMessageType.ViewArrived, members: [serving.daemon.core.core.own], rumors: []});
	return {
		entry: entry.daemon,
		received,
		receipts,
		responses,
		async connect() {
			const socket = createConnection(entry.callersPort, '127.0.0.1');
			socket.on('error', doNothing);
			const chunks: string[] = [];
			socket.on('data', chunk => chunks.push(String(chunk)));
			await once(socket, 'connect');
			return {socket, closed: once(socket, 'close'), text: () => chunks.join('')};
		},
	};
}

/** Opens a connection and sends the request `first`; resolves when the upstream has received it. */
async function openFirst({receipts, connect}: StartedNodes): Promise<Caller> {
	const caller = await connect();
	const received = once(receipts, 'first');
	caller.socket.write(requestText('first'));
	await received;
	return caller;
}

/** Within the announcement that the node has left, if nothing is in flight. */
const lateMilliseconds = lingerMilliseconds + 400;

test('a stopping node does not pass on a request that arrives behind an open one late in the stop', async t => {
	const nodes = await startNodes(t);
	const {entry, received} = nodes;
	const caller = await openFirst(nodes);
	const stopped = entry.stop();
	await wait(lateMilliseconds);
	caller.socket.write(requestText('second'));
	await stopped;
	t.same(received, ['first'], 'the upstream receives only the request that was open before the stop');
	t.same(caller.text().match(/HTTP\/1\.1 \d+|laburnumspool-outcome: [\w-]+/gu), [
		'HTTP/1.1 502', 'laburnumspool-outcome: unknown', 'HTTP/1.1 503', 'laburnumspool-outcome: not-run',
	]);
});

test('a stopping node does not pass on the first request of an old connection late in the stop', async t => {
	const nodes = await startNodes(t);
	const {entry, received} = nodes;
	const quietCaller = await nodes.connect();
	await openFirst(nodes);
	const stopped = entry.stop();
	await wait(lateMilliseconds);
	quietCaller.socket.write(requestText('second'));
	await stopped;
	t.same(received, ['first'], 'the upstream receives only the request that was open before the stop');
	t.match(quietCaller.text(), refusal);
});

test('a node that has nothing left in flight does not pass on a request while it announces that it has left', async t => {
	const {entry, received, connect} = await startNodes(t);
	const caller = await connect();
	const stopped = entry.stop();
	await wait(lateMilliseconds);
	caller.socket.write(requestText('late'));
	await stopped;
	t.same(received, [], 'the upstream receives no request');
	t.match(caller.text(), refusal);
});

test('a request that ends while a stopping node announces that it has left is answered, and the stop takes no longer than its time', async t => {
	const nodes = await startNodes(t);
	const {entry, responses} = nodes;
	const caller = await openFirst(nodes);
	const startedAt = performance.now();
	const stopped = entry.stop();
	await wait(stopMilliseconds - 900);
	responses.get('first')!.end('whole answer');
	await caller.closed;
	t.equal(await stopped, true);
	const milliseconds = performance.now() - startedAt;
	t.match(caller.text(), /^HTTP\/1\.1 200 [\s\S]*whole answer$/u);
	t.ok(milliseconds <= stopMilliseconds, `the stop took ${Math.round(milliseconds)} ms`);
});

test('a stop whose requests do not end takes no longer than its time', async t => {
	const nodes = await startNodes(t);
	const {entry} = nodes;
	const caller = await openFirst(nodes);
	const startedAt = performance.now();
	t.equal(await entry.stop(), false);
	const milliseconds = performance.now() - startedAt;
	t.ok(milliseconds <= stopMilliseconds, `the stop took ${Math.round(milliseconds)} ms`);
});

test('a stop whose requests do not end takes no longer than its time although the event loop is blocked for a part of it', async t => {
	const nodes = await startNodes(t);
	const {entry} = nodes;
	const caller = await openFirst(nodes);
	const startedAt = performance.now();
	const stopped = entry.stop();
	await wait((stopMilliseconds / 2) - 100);
	blockEventLoop(600);
	t.equal(await stopped, false);
	const milliseconds = performance.now() - startedAt;
	await caller.closed;
	t.ok(milliseconds <= stopMilliseconds, `the stop took ${Math.round(milliseconds)} ms`);
	t.match(caller.text(), /^HTTP\/1\.1 502 /u);
});

test('a caller that connects late in a stop is told that its request was not run', async t => {
	const {entry, received, connect} = await startNodes(t);
	const stopped = entry.stop();
	await wait(lateMilliseconds);
	const caller = await connect();
	caller.socket.write(requestText('late'));
	await caller.closed;
	await stopped;
	t.same(received, [], 'the upstream receives no request');
	t.match(caller.text(), refusal);
});

test('requests that are open at the end of a stop are answered with what is known of them', async t => {
	const {entry, received, receipts, connect} = await startNodes(t, {slots: 1});
	const [running, waiting] = [await connect(), await connect()];
	const runningReceived = once(receipts, 'running');
	running.socket.write(requestText('running'));
	await runningReceived;
	waiting.socket.write(requestText('waiting'));
	t.equal(await entry.stop(), false, 'the stop reports that requests were in flight');
	await Promise.all([running.closed, waiting.closed]);
	t.match(running.text(), /^HTTP\/1\.1 502 [\s\S]*laburnumspool-outcome: unknown\r\n[\s\S]*"kind":"leaving"/u);
	t.match(waiting.text(), refusal);
	t.same(received, ['running'], 'the upstream receives no other request');
});

test('a stop waits for a caller that reads its whole answer slowly', async t => {
	const nodes = await startNodes(t, {stopSeconds: 8});
	const {entry, responses} = nodes;
	const caller = await openFirst(nodes);
	caller.socket.pause();
	const stopped = entry.stop();
	responses.get('first')!.end(Buffer.alloc(largeBytes, 'x'));
	await wait(pauseMilliseconds);
	caller.socket.resume();
	await caller.closed;
	t.equal(await stopped, true);
	t.equal(caller.text().split('\r\n\r\n')[1]?.length, largeBytes);
});

test('a request behind an answer that closes its connection does not cut off the answer', async t => {
	const nodes = await startNodes(t);
	const {entry, responses} = nodes;
	const caller = await openFirst(nodes);
	caller.socket.pause();
	const stopped = entry.stop();
	responses.get('first')!.end(Buffer.alloc(kernelBytes, 'x'));
	await wait(lingerMilliseconds);
	caller.socket.write(requestText('second'));
	await wait(lingerMilliseconds);
	caller.socket.resume();
	await caller.closed;
	t.equal(await stopped, true);
	t.equal(caller.text().split('\r\n\r\n')[1]?.length, kernelBytes);
});
