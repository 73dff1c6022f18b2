import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {test} from 'tap';
import {doNothing} from './fixtures.js';
import {completeAnswer, startClient, summarize} from './raw-upstream.js';

const bodyBytes = 8 * 1024 * 1024;

test('an upstream that answers before it has read a long body receives the rest of that body, and then the next request', async t => {
	const connections: Socket[] = [];
	const server = createServer(socket => {
		connections.push(socket);
		socket.on('error', doNothing);
		socket.once('data', () => {
			socket.pause();
			socket.write(completeAnswer('r1', 'early'));
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {core, dispatch} = startClient(t, (server.address() as {port: number}).port);
	t.teardown(() => {
		connections.map(socket => socket.destroy());
		server.close();
	});

	const body = Buffer.alloc(bodyBytes, 'abcdefghij');
	dispatch(1, {method: 'POST', body});
	t.equal(summarize(await core.nextMessage()), '200 early');
	dispatch(2);

	const socket = connections[0]!;
	let received = Buffer.alloc(0);
	socket.on('data', (chunk: Buffer) => {
		received = Buffer.concat([received, chunk]);
	});
	socket.resume();
	while (!received.includes('request-id: r2') && connections.length === 1) {
		await nextTurn();
	}

	t.equal(connections.length, 1, 'both requests used one connection');
	const restLength = received.indexOf('GET /x HTTP/1.1');
	t.ok(received.subarray(0, restLength).equals(body.subarray(bodyBytes - restLength)), 'only the rest of the body precedes the next request');
	socket.write(completeAnswer('r2', 'next'));
	t.equal(summarize(await core.nextMessage()), '200 next');
});
