import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {Liveness, UpstreamState, type Member} from '@laburnumspool/core';
import {test} from 'tap';
import {AnswerStreams} from '../answer-streams.js';
import type {CoreTask} from '../core-task.js';
import {PeersClient} from '../peers-client.js';
import {doNothing, silentLog} from './fixtures.js';

const manifest = {number: 7, document: 'name: shop'};

// Guards against docs/incidents/review-silent-store.md: a pull waited for the time limit on a connection that had gone silent after an earlier pull.
test('a manifest is pulled from a peer whose earlier connections have gone silent', async t => {
	const body = JSON.stringify(manifest);
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		sockets.push(socket);
		socket.on('error', doNothing);
		socket.once('data', () => {
			socket.write(`HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const peer: Member = {
		name: 'p',
		incarnation: 1,
		version: 1,
		location: {region: 'r', failureDomain: 'f'},
		host: '127.0.0.1',
		callersPort: 1,
		peersPort: (server.address() as {port: number}).port,
		controlPort: 3,
		service: 's',
		state: UpstreamState.Ready,
		slots: 1,
		liveness: Liveness.Alive,
	};
	const peers = new PeersClient({
		core: {handle: doNothing} as unknown as CoreTask, streams: new AnswerStreams(), log: silentLog, clock: () => performance.now(),
	});
	t.teardown(async () => {
		await peers.close();
		sockets.map(socket => socket.destroy());
		server.close();
	});
	t.same([await peers.pullManifest(peer), await peers.pullManifest(peer)], [manifest, manifest]);
});
