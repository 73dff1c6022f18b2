import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import {AnnouncedState} from '@laburnumspool/core';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {test} from 'tap';
import {request} from 'undici';
import {CoreMessageType} from '../core-task.js';
import {checkSettings, defaultDeployment, startDaemon} from '../index.js';
import {createLookManifest, silentLog, blockEventLoop} from './fixtures.js';

const blockMilliseconds = 900;
const waitMilliseconds = 500;

/** Program of an upstream that answers only while the event loop of the node is blocked. */
const upstreamProgram = `
const {createServer} = require('node:http');
const {parentPort, workerData} = require('node:worker_threads');
const server = createServer((request, response) => {
	parentPort.postMessage('requested');
	Atomics.wait(workerData, 0, 0);
	response.end('answered');
}).listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

test('a node whose event loop is blocked past the deadline of a call passes on the answer that arrives meanwhile', async t => {
	const [callers, peers, control, store] = await findFreePorts(4);
	const daemon = await startDaemon(checkSettings({
		name: 'n', region: 'r', failureDomain: 'f', host: '127.0.0.1', ports: {callers, peers, control}, store: {url: `http://127.0.0.1:${store}`}, stopSeconds: 1,
	}), () => silentLog);
	const isBlocked = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
	const upstream = new Worker(upstreamProgram, {eval: true, workerData: isBlocked});
	t.teardown(async () => {
		await upstream.terminate();
		await daemon.stop();
	});
	const [port] = await once(upstream, 'message') as [number];
	daemon.core.post({type: CoreMessageType.ManifestArrived, revision: defaultDeployment.toRevision(1, createLookManifest(waitMilliseconds))});
	daemon.core.post({
		type: CoreMessageType.UpstreamAnnounced, announcement: {
			service: 'shop', address: `127.0.0.1:${port}`, slots: 4, connections: 4, state: AnnouncedState.Ready, load: undefined,
		},
	});
	const pendingResponse = request(`http://127.0.0.1:${callers}/shop/items`);
	await once(upstream, 'message');
	Atomics.store(isBlocked, 0, 1);
	Atomics.notify(isBlocked, 0);
	blockEventLoop(blockMilliseconds);
	const {statusCode, body} = await pendingResponse;
	t.same([statusCode, await body.text()], [200, 'answered']);
});
