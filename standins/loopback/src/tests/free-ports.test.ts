import {once} from 'node:events';
import {createServer} from 'node:net';
import {test} from 'tap';
import {findFreePorts} from '../index.js';

test('ports asked for one after the other differ, also when none is used in between', async t => {
	const ports = await Promise.all([findFreePorts(20), findFreePorts(20), findFreePorts(20)]);
	t.equal(new Set(ports.flat()).size, 60);
});

test('a port that somebody listens on is passed over', async t => {
	const [port] = await findFreePorts(1);
	const server = createServer().listen(port! + 1, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => server.close());
	const ports = await findFreePorts(3);
	t.notOk(ports.includes(port! + 1));
});

test('more ports than a process has are refused', async t => {
	await t.rejects(findFreePorts(101), {message: 'Fewer than 101 of the 100 ports of this process are free'});
});
