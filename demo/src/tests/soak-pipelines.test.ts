import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test, type Test} from 'tap';
import {SoakPhase} from '../soak-clients.js';
import {windows} from '../soak-kinds.js';
import {behindClosingAnswer, PipelinedCaller} from '../soak-pipelines.js';

/** Connects a caller to a server that receives three requests before it answers; resolves to their results. */
async function sendThree(t: Test, answer: (socket: Socket) => void): Promise<Array<number | string | undefined>> {
	let connections = 0;
	const server = createServer(socket => {
		connections += 1;
		let text = '';
		socket.on('data', chunk => {
			text += String(chunk);
			if (text.split('\r\n\r\n').length === 4) {
				answer(socket);
			}
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => server.close());
	const caller = await PipelinedCaller.connect('n', `127.0.0.1:${(server.address() as AddressInfo).port}`);
	await Promise.all(['a', 'b', 'c'].map(async id => caller.send(id, windows, SoakPhase.Faults)));
	await caller.sendUntilClosed(windows, SoakPhase.Faults);
	t.equal(connections, 1, 'no request is sent again on another connection');
	t.same(caller.results.map(({id}) => id), ['a', 'b', 'c']);
	t.same(caller.results.map(({isReused}) => isReused), [false, true, true]);
	t.ok(caller.results.every(({writtenAt, endedAt}) => writtenAt !== undefined && writtenAt <= endedAt));
	return caller.results.map(({status, failure}) => status ?? failure);
}

const writeAnswer = (socket: Socket, headers = ''): boolean => socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 2\r\n${headers}\r\nok`);

test('requests are sent before the first is answered, and those behind an answer that closes the connection are recorded as such', async t => {
	t.same(await sendThree(t, socket => {
		writeAnswer(socket);
		writeAnswer(socket, 'connection: close\r\n');
		socket.end();
	}), [200, 200, behindClosingAnswer]);
});

test('requests on a connection that closes without an announcement have no answer', async t => {
	t.same(await sendThree(t, socket => {
		writeAnswer(socket);
		socket.end();
	}), [200, 'UND_ERR_SOCKET', 'UND_ERR_SOCKET']);
});
