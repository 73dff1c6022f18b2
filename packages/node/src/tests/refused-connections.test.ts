import {once} from 'node:events';
import {createServer} from 'node:net';
import {UpstreamFailure} from '@laburnumspool/core';
import {test} from 'tap';
import {startClient, summarize} from './raw-upstream.js';

test('calls to an upstream that refuses connections fail as not connected', async t => {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as {port: number};
	server.close();
	await once(server, 'close');
	const {core, dispatch} = startClient(t, port);
	dispatch(1);
	t.equal(summarize(await core.nextMessage()), UpstreamFailure.NotConnected);
	dispatch(2);
	t.equal(summarize(await core.nextMessage()), UpstreamFailure.NotConnected);
});
