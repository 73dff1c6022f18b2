import {once} from 'node:events';
import {createServer} from 'node:net';
import {Worker} from 'node:worker_threads';
import {test} from 'tap';
import {findFreePorts} from '../index.js';

test('concurrent searches return different ports while none of them is in use', async t => {
	const ports = await Promise.all([findFreePorts(20), findFreePorts(20), findFreePorts(20)]);
	t.equal(new Set(ports.flat()).size, 60);
});

test('a search skips a port that a server listens on', async t => {
	const [port] = await findFreePorts(1);
	const server = createServer().listen(port! + 1, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => server.close());
	const ports = await findFreePorts(3);
	t.notOk(ports.includes(port! + 1));
});

/** Searches in a thread, which shares the process id but not the block. */
const otherSearch = `
const {parentPort, workerData} = require('node:worker_threads');
import(workerData).then(async ({findFreePorts}) => parentPort.postMessage(await findFreePorts(50)));
`;

test('searches of processes whose ids lead to the same block return different ports', async t => {
	const ports = await findFreePorts(50);
	const other = new Worker(otherSearch, {eval: true, workerData: new URL('../index.js', import.meta.url).href});
	t.teardown(async () => other.terminate());
	const [otherPorts] = await once(other, 'message') as [number[]];
	t.equal(new Set([...ports, ...otherPorts]).size, 100);
});

test('a search for more ports than a block holds is rejected', async t => {
	await t.rejects(findFreePorts(101), {message: 'Fewer than 101 of the 100 ports in the block of this process are free'});
});
