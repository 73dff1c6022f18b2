import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {
	createServer, get, type IncomingMessage, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {setTimeout as wait} from 'node:timers/promises';
import {AnnouncedState} from '@laburnumspool/core';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {test, type Test} from 'tap';
import {CoreMessageType} from '../core-task.js';
import {
	checkSettings, defaultDeployment, startDaemon, type Daemon,
} from '../index.js';
import {createLookManifest, doNothing, silentLog} from './fixtures.js';

const cancelMilliseconds = 500;
const defaultWaitMilliseconds = 20_000;
const chunk = Buffer.alloc(64 * 1024, 'laburnum');
const slowReaderChunks = 1024;

/** Largest growth of the buffers of caller, two nodes and upstream together while the caller does not read. */
const slowReaderBytes = 8 * 1024 * 1024;
const maximumCollections = 20;
const collectionPauseMilliseconds = 20;

type Answer = (response: ServerResponse, request: IncomingMessage) => void;

async function startNode(t: Test, name: string, waitMilliseconds: number): Promise<{daemon: Daemon; callersPort: number}> {
	const [callers, peers, control, store] = await findFreePorts(4);
	const daemon = await startDaemon(checkSettings({
		name, region: 'r', failureDomain: 'f', host: '127.0.0.1', ports: {callers, peers, control}, store: {url: `http://127.0.0.1:${store}`}, stopSeconds: 1,
	}), () => silentLog);
	t.teardown(async () => daemon.stop());
	const manifest = createLookManifest(waitMilliseconds).replace('idempotent', 'download');
	daemon.core.post({type: CoreMessageType.ManifestArrived, revision: defaultDeployment.toRevision(1, manifest)});
	return {daemon, callersPort: callers!};
}

/** Starts an upstream, the node beside it and another node; returns the callers' ports by the place of the entry node. */
async function start(t: Test, answer: Answer, waitMilliseconds = defaultWaitMilliseconds): Promise<Readonly<Record<'own' | 'other', number>>> {
	const upstream = createServer((request, response) => {
		response.on('error', doNothing);
		answer(response, request);
	}).listen(0, '127.0.0.1');
	await once(upstream, 'listening');
	const serving = await startNode(t, 'serving', waitMilliseconds);
	const entry = await startNode(t, 'entry', waitMilliseconds);
	t.teardown(() => {
		upstream.closeAllConnections();
		upstream.close();
	});
	serving.daemon.core.post({
		type: CoreMessageType.UpstreamAnnounced, announcement: {
			service: 'shop', address: `127.0.0.1:${(upstream.address() as AddressInfo).port}`, slots: 4, connections: 4, state: AnnouncedState.Ready, load: undefined,
		},
	});
	entry.daemon.core.post({type: CoreMessageType.ViewArrived, members: [serving.daemon.core.core.own], rumors: []});
	return {own: serving.callersPort, other: entry.callersPort};
}

function collectGarbage(): void {
	setFlagsFromString('--expose-gc');
	(runInNewContext('gc') as () => void)();
}

/** Growth of the buffers after each collection, until one is below the bound. The runtime frees buffers in the background after a collection. */
async function measureRetained(before: number): Promise<number[]> {
	const growths: number[] = [];
	while (growths.length < maximumCollections && !(growths.at(-1)! < slowReaderBytes)) {
		collectGarbage();
		await wait(collectionPauseMilliseconds);
		growths.push(process.memoryUsage().arrayBuffers - before);
	}

	return growths;
}

/** Sends a request; resolves with the answer as soon as its head has arrived, or with undefined when none arrives. */
async function open(port: number): Promise<IncomingMessage | undefined> {
	const request = get({
		host: '127.0.0.1', port, path: '/shop/items/1', agent: false,
	});
	return new Promise(resolve => {
		request.once('response', response => {
			resolve(response.on('error', doNothing));
		});
		request.once('error', () => {
			resolve(undefined);
		});
	});
}

/** Status, length and digest of a complete answer, or `broken`. */
async function readAnswer(response: IncomingMessage | undefined): Promise<string> {
	if (response === undefined) {
		return 'broken';
	}

	const hash = createHash('md5');
	let length = 0;
	response.on('data', (bytes: Buffer) => {
		length += bytes.length;
		hash.update(bytes);
	});
	await new Promise(resolve => {
		response.once('close', resolve);
	});
	return response.complete ? `${response.statusCode} ${length} ${hash.digest('hex')}` : 'broken';
}

const expected = (body: Buffer): string => `200 ${body.length} ${createHash('md5').update(body).digest('hex')}`;

const bodySizes = [0, 36 * 1024, 5 * 1024 * 1024];

const framings: Readonly<Record<string, (response: ServerResponse, body: Buffer) => void>> = {
	'with a length'(response, body) {
		response.writeHead(200, {'content-length': body.length}).end(body);
	},
	'in chunks'(response, body) {
		response.writeHead(200);
		response.write(body.subarray(0, body.length / 2));
		response.end(body.subarray(body.length / 2));
	},
	'that ends with its connection'(response, body) {
		response.socket!.end(Buffer.concat([Buffer.from('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n'), body]));
	},
};

for (const [framing, send] of Object.entries(framings)) {
	for (const place of ['own', 'other'] as const) {
		test(`downloads of all sizes arrive whole: a body ${framing}, upstream of the ${place} node`, async t => {
			let body = Buffer.alloc(0);
			const ports = await start(t, response => {
				send(response, body);
			});
			for (const size of bodySizes) {
				body = Buffer.alloc(size, 'shift');
				t.equal(await readAnswer(await open(ports[place])), expected(body), `${size} bytes`);
			}
		});
	}
}

const resets: Readonly<Record<string, (response: ServerResponse) => void>> = {
	'with a length'(response) {
		response.writeHead(200, {'content-length': chunk.length * 80});
	},
	'in chunks'(response) {
		response.writeHead(200);
	},
	'without a length'(response) {
		response.socket!.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n');
	},
};

for (const [framing, sendHead] of Object.entries(resets)) {
	for (const place of ['own', 'other'] as const) {
		test(`a download that its upstream resets halfway never arrives as complete: a body ${framing}, upstream of the ${place} node`, async t => {
			const ports = await start(t, response => {
				const socket = response.socket!;
				sendHead(response);
				const write = (count: number): void => {
					if (count === 0) {
						socket.resetAndDestroy();
					} else {
						(framing === 'without a length' ? socket : response).write(chunk, () => {
							write(count - 1);
						});
					}
				};

				write(40);
			});
			for (const attempt of [1, 2, 3]) {
				t.equal(await readAnswer(await open(ports[place])), 'broken', `attempt ${attempt}`);
			}
		});
	}
}

test('a caller that does not read holds its upstream back, memory stays bounded, and the answer is whole in the end', async t => {
	let sentChunks = 0;
	const ports = await start(t, response => {
		response.writeHead(200, {'content-length': chunk.length * slowReaderChunks});
		const write = (): void => {
			while (sentChunks < slowReaderChunks) {
				sentChunks += 1;
				if (!response.write(chunk)) {
					response.once('drain', write);
					return;
				}
			}

			response.end();
		};

		write();
	});
	collectGarbage();
	const before = process.memoryUsage().arrayBuffers;
	const response = await open(ports.other);
	const states: number[] = [];
	while (states.length < 3 || states.at(-1) !== states.at(-3)) {
		await wait(100);
		states.push(sentChunks);
	}

	t.ok(sentChunks < slowReaderChunks, `the upstream has sent ${sentChunks} of ${slowReaderChunks} chunks`);
	const growths = await measureRetained(before);
	t.ok(growths.at(-1)! < slowReaderBytes, `the buffers grew by ${growths.join(', ')} bytes`);
	t.equal(await readAnswer(response), expected(Buffer.concat(Array.from({length: slowReaderChunks}, () => chunk))));
});

for (const place of ['own', 'other'] as const) {
	test(`a download ends at its upstream soon after its caller disconnects: upstream of the ${place} node`, async t => {
		const closed: Array<Promise<unknown>> = [];
		const ports = await start(t, (response, request) => {
			closed.push(new Promise(resolve => {
				request.socket.once('close', resolve);
			}));
			response.writeHead(200, {'content-length': chunk.length * slowReaderChunks});
			response.write(Buffer.concat([chunk, chunk]));
		});
		const response = await open(ports[place]);
		const disconnectedAt = performance.now();
		response!.destroy();
		await closed[0];
		const milliseconds = performance.now() - disconnectedAt;
		t.ok(milliseconds < cancelMilliseconds, `the upstream's connection closed after ${Math.round(milliseconds)} ms`);
	});
}

test('a download that is not complete at the deadline of its kind is broken off', async t => {
	const ports = await start(t, response => {
		response.writeHead(200, {'content-length': chunk.length * 3});
		response.write(Buffer.concat([chunk, chunk]));
	}, 400);
	t.equal(await readAnswer(await open(ports.other)), 'broken');
});
