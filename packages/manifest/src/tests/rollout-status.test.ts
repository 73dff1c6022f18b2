import {once} from 'node:events';
import {createServer} from 'node:net';
import {test} from 'tap';
import {readLiveNodes, readRolloutStatus} from '../rollout-status.js';
import {flood} from './flood.js';

const maximumAcceptedBytes = 64 * 1024 * 1024;

test('a node whose answers do not end is disconnected and counts as outdated', async t => {
	const sentByConnection: Array<Promise<number>> = [];
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		sentByConnection.push(new Promise(resolve => {
			socket.once('close', () => {
				resolve(socket.bytesWritten);
			});
		}));
		socket.once('data', () => {
			socket.write('HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n"');
			flood(socket, 'x');
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const node = `127.0.0.1:${(server.address() as {port: number}).port}`;
	t.same(await readRolloutStatus([node], 1), {activeCount: 0, liveCount: 1, outdatedNodes: [node]});
	await t.rejects(readLiveNodes(node));
	server.close();
	const sent = await Promise.all(sentByConnection);
	t.equal(sent.length, 2);
	t.ok(Math.max(...sent) < maximumAcceptedBytes, `the node sent ${Math.max(...sent)} bytes on one connection`);
});
