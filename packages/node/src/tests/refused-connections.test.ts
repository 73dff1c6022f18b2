import {once} from 'node:events';
import {createServer} from 'node:net';
import {UpstreamFailure} from '@laburnumspool/core';
import {test} from 'tap';
import {startClient, summary} from './raw-upstream.js';

test('an upstream that takes no connections does not end the node, and its calls have not run', async t => {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as {port: number};
	server.close();
	await once(server, 'close');
	const {core, dispatch} = startClient(t, port);
	dispatch(1);
	t.equal(summary(await core.next()), UpstreamFailure.NotConnected);
	dispatch(2);
	t.equal(summary(await core.next()), UpstreamFailure.NotConnected);
});
