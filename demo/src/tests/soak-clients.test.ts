import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {AddressInfo} from 'node:net';
import {test, type Test} from 'tap';
import {SoakCallers, SoakPhase} from '../soak-clients.js';
import {receipt} from '../soak-kinds.js';

const shortMilliseconds = 1000;
/** Long against the pauses of a busy machine; two answers fit into it, and three do not. */
const longMilliseconds = 4000;
const answerMilliseconds = 1500;

/** Callers with one connection to a server. */
async function start(t: Test, milliseconds: number, answer: (response: ServerResponse) => void): Promise<SoakCallers> {
	const server = createServer((_request, response) => {
		answer(response);
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const callers = new SoakCallers('n', `127.0.0.1:${(server.address() as AddressInfo).port}`, {milliseconds, connections: 1});
	t.teardown(() => {
		callers.close();
		server.closeAllConnections();
		server.close();
	});
	return callers;
}

test('a request that waited long for a connection of its caller is not taken for one that its node left without an answer', async t => {
	const callers = await start(t, longMilliseconds, response => {
		void delay(answerMilliseconds).then(() => response.end('answered'));
	});
	const results = await Promise.all(['a', 'b', 'c'].map(async id => callers.send(id, receipt, SoakPhase.Trouble)));
	t.same(results.map(({status, failure}) => status ?? failure), [200, 200, 200]);
});

test('a request that its node leaves without an answer ends after the callers\' time, also behind others', async t => {
	const callers = await start(t, shortMilliseconds, () => undefined);
	const startedAt = performance.now();
	const results = await Promise.all(['a', 'b'].map(async id => callers.send(id, receipt, SoakPhase.Trouble)));
	t.same(results.map(({failure}) => failure), ['timed out', 'timed out']);
	t.ok(performance.now() - startedAt >= shortMilliseconds * 2 * 0.99);
});

test('a kept connection that a waiting request gets is not taken for a new one', async t => {
	const callers = await start(t, longMilliseconds, response => response.end('answered'));
	const results = await Promise.all(['a', 'b', 'c'].map(async id => callers.send(id, receipt, SoakPhase.Trouble)));
	t.same(results.map(({isReused}) => isReused), [false, true, true]);
});
