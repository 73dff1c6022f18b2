import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {test} from 'tap';
import {checkSettings, startDaemon} from '../index.js';
import {silentLog} from './fixtures.js';

test('a stop completes although the store does not answer the revocation of the lease', async t => {
	const arrivals = new EventTarget();
	const pendingRevocations: ServerResponse[] = [];
	const answers: Readonly<Record<string, unknown>> = {'POST /v1/leases': {lease: '1'}, 'PUT /v1/keys': {version: 1}};
	const store = createServer((request, response) => {
		const call = `${request.method} ${request.url!.split('/').slice(0, 3).join('/')}`;
		request.resume();
		if (call in answers) {
			response.end(JSON.stringify(answers[call]));
		} else if (request.method === 'DELETE') {
			pendingRevocations.push(response);
		}

		arrivals.dispatchEvent(new Event(request.method!));
	}).listen(0, '127.0.0.1');
	await once(store, 'listening');
	t.teardown(() => {
		store.closeAllConnections();
		store.close();
	});
	const [callers, peers, control] = await findFreePorts(3);
	const settings = checkSettings({
		name: 'n', region: 'r', failureDomain: 'f', host: '127.0.0.1', ports: {callers, peers, control}, store: {url: `http://127.0.0.1:${(store.address() as {port: number}).port}`}, stopSeconds: 1,
	});
	const holderKeyWritten = once(arrivals, 'PUT');
	const daemon = await startDaemon(settings, () => silentLog);
	await holderKeyWritten;
	await daemon.stop();
	t.equal(pendingRevocations.length, 1, 'the revocation of the lease was requested');
	t.notOk(pendingRevocations[0]!.destroyed, 'the store has not answered yet');
});

test('settings whose linger time leaves no time for the rest of a stop are invalid', async t => {
	const settings = {
		name: 'n', region: 'r', failureDomain: 'f', host: '127.0.0.1', ports: {callers: 1, peers: 2, control: 3}, store: {url: 'http://127.0.0.1:4'}, stopSeconds: 3.7, stopMarginMilliseconds: 200,
	};
	t.throws(() => checkSettings({...settings, lingerMilliseconds: 2501}), /lingerMilliseconds: Expected at most stopSeconds less stopMarginMilliseconds and 1000 ms/u);
	t.equal(checkSettings({...settings, lingerMilliseconds: 2500}).lingerMilliseconds, 2500);
});
