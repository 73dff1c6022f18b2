import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {AddressInfo} from 'node:net';
import {test, type Test} from 'tap';
import {SoakCallers, SoakPhase} from '../soak-clients.js';
import {receipt} from '../soak-kinds.js';

const shortTimeoutMilliseconds = 1000;
/** Much longer than the stalls of a busy machine; it covers two answers, but not three. */
const longTimeoutMilliseconds = 4000;
const answerDelayMilliseconds = 1500;

/** Starts a server, and callers with one connection to it. */
async function startCallers(t: Test, milliseconds: number, answer: (response: ServerResponse) => void): Promise<SoakCallers> {
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

test('the time that a request waits for a free connection does not count towards its timeout', async t => {
	const callers = await startCallers(t, longTimeoutMilliseconds, response => {
		void delay(answerDelayMilliseconds).then(() => response.end('answered'));
	});
	const results = await Promise.all(['a', 'b', 'c'].map(async id => callers.send(id, receipt, SoakPhase.Faults)));
	t.same(results.map(({status, failure}) => status ?? failure), [200, 200, 200]);
});

test('a request that the node does not answer ends after the timeout, also when it waited for a connection', async t => {
	const callers = await startCallers(t, shortTimeoutMilliseconds, () => undefined);
	const startedAt = performance.now();
	const results = await Promise.all(['a', 'b'].map(async id => callers.send(id, receipt, SoakPhase.Faults)));
	t.same(results.map(({failure}) => failure), ['timed out', 'timed out']);
	t.ok(performance.now() - startedAt >= shortTimeoutMilliseconds * 2 * 0.99);
});

test('a connection that a waiting request takes over is recorded as reused', async t => {
	const callers = await startCallers(t, longTimeoutMilliseconds, response => response.end('answered'));
	const results = await Promise.all(['a', 'b', 'c'].map(async id => callers.send(id, receipt, SoakPhase.Faults)));
	t.same(results.map(({isReused}) => isReused), [false, true, true]);
});
