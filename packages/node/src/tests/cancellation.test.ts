import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import {createConnection, type AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {AnnouncedState} from '@laburnumspool/core';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {test, type Test} from 'tap';
import {CoreMessageType} from '../core-task.js';
import {
	checkSettings, defaultDeployment, startDaemon, type Daemon,
} from '../index.js';
import {createLookManifest, doNothing, silentLog} from './fixtures.js';

/** Longest time from the disconnect of a caller until the upstream's request is closed. */
const cancelMilliseconds = 500;
const waitMilliseconds = 20_000;

async function startNode(t: Test, name: string): Promise<{daemon: Daemon; callersPort: number}> {
	const [callers, peers, control, store] = await findFreePorts(4);
	const daemon = await startDaemon(checkSettings({
		name, region: 'r', failureDomain: 'f', host: '127.0.0.1', ports: {callers, peers, control}, store: {url: `http://127.0.0.1:${store}`}, stopSeconds: 1,
	}), () => silentLog);
	t.teardown(async () => daemon.stop());
	daemon.core.post({type: CoreMessageType.ManifestArrived, revision: defaultDeployment.toRevision(1, createLookManifest(waitMilliseconds))});
	return {daemon, callersPort: callers!};
}

test('a request that runs at the upstream of another node is closed soon after its caller disconnects', async t => {
	const upstreamEvents = new EventTarget();
	const received: IncomingMessage[] = [];
	const upstream = createServer(request => {
		received.push(request.on('error', doNothing));
		upstreamEvents.dispatchEvent(new Event('request'));
	}).listen(0, '127.0.0.1');
	await once(upstream, 'listening');
	const serving = await startNode(t, 'serving');
	const entry = await startNode(t, 'entry');
	t.teardown(() => {
		upstream.closeAllConnections();
		upstream.close();
	});
	serving.daemon.core.post({
		type: CoreMessageType.UpstreamAnnounced, announcement: {
			service: 'shop', address: `127.0.0.1:${(upstream.address() as AddressInfo).port}`, slots: 1, connections: 1, state: AnnouncedState.Ready, load: undefined,
		},
	});
	const caller = createConnection(entry.callersPort, '127.0.0.1');
	await once(caller, 'connect');
	entry.daemon.core.post({type: CoreMessageType.ViewArrived, members: [serving.daemon.core.core.own], rumors: []});
	const firstArrived = once(upstreamEvents, 'request');
	const toRequest = (path: string): string => `GET /shop/items/${path} HTTP/1.1\r\nhost: h\r\n\r\n`;
	caller.write(toRequest('running') + toRequest('waiting'));
	await firstArrived;

	const ended = new Promise(resolve => {
		received[0]!.once('close', resolve);
	});
	const disconnectedAt = performance.now();
	caller.destroy();
	await ended;
	const milliseconds = performance.now() - disconnectedAt;
	t.ok(milliseconds < cancelMilliseconds, `the running request ended after ${Math.round(milliseconds)} ms`);

	const nextCaller = createConnection(entry.callersPort, '127.0.0.1');
	const nextArrived = once(upstreamEvents, 'request');
	nextCaller.write(toRequest('next'));
	await nextArrived;
	t.same(received.map(({url}) => url), ['/items/running', '/items/next'], 'the request that waited was never dispatched');
	nextCaller.destroy();
});
