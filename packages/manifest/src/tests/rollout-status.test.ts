import {once} from 'node:events';
import {createServer} from 'node:net';
import {test} from 'tap';
import {readLiveNodes, readSpread} from '../rollout-status.js';
import {flood} from './flood.js';

const mostTakenBytes = 64 * 1024 * 1024;

test('a node that answers without end is cut off, and counts as one that did not answer', async t => {
	const closed: Array<Promise<number>> = [];
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		closed.push(new Promise(resolve => {
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
	t.same(await readSpread([node], 1), {inForce: 0, live: 1, behind: [node]});
	await t.rejects(readLiveNodes(node));
	server.close();
	const sent = await Promise.all(closed);
	t.equal(sent.length, 2);
	t.ok(Math.max(...sent) < mostTakenBytes, `${Math.max(...sent)} bytes`);
});
