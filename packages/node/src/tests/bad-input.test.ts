import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createConnection} from 'node:net';
import {encodeFrameHeader, FrameType} from '@laburnumspool/protocol';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {test, type Test} from 'tap';
import {request} from 'undici';
import {
	checkSettings, startDaemon, type Daemon, type Settings,
} from '../index.js';
import {doNothing, silentLog} from './fixtures.js';

async function start(t: Test): Promise<{daemon: Daemon; settings: Settings; callers: string; peers: string}> {
	const [callers, peers, control, store] = await findFreePorts(4);
	const settings = checkSettings({
		name: 'n', region: 'r', failureDomain: 'f', host: '127.0.0.1', ports: {callers, peers, control}, store: {url: `http://127.0.0.1:${store}`}, limits: {
			requestBytes: 1000, openRequests: 100, slowSenderSeconds: 1, claims: 10, claimAnswerBytes: 1000, events: 100,
		}, clockErrorMilliseconds: 100, stopSeconds: 1,
	});
	const daemon = await startDaemon(settings, () => silentLog);
	t.teardown(async () => daemon.stop());
	return {
		daemon, settings, callers: `http://127.0.0.1:${callers}`, peers: `http://127.0.0.1:${peers}`,
	};
}

/** Sends raw bytes and resolves with everything received until the connection closes. */
async function sendRaw(url: string, text: string): Promise<string> {
	const socket = createConnection(Number(new URL(url).port), '127.0.0.1');
	const chunks: Buffer[] = [];
	socket.on('data', chunk => chunks.push(chunk));
	socket.on('error', doNothing);
	socket.write(text);
	await once(socket, 'close');
	return Buffer.concat(chunks).toString('utf8');
}

test('invalid requests to the callers\' port are answered with a specific error, and the node goes on working', async t => {
	const {daemon, callers} = await start(t);
	t.match(await sendRaw(callers, 'nonsense\r\n\r\n'), /^HTTP\/1\.1 400 [\s\S]*"kind":"malformed"/u);
	t.match(await sendRaw(callers, `GET /a/b HTTP/1.1\r\nhost: x\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`), /^HTTP\/1\.1 431 /u);
	t.match(await sendRaw(callers, 'POST /a/b HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nab'), /^HTTP\/1\.1 408 /u);
	const large = await request(`${callers}/a/b`, {method: 'POST', body: 'x'.repeat(2000)});
	t.equal(large.statusCode, 413);
	t.match(await large.body.json(), {kind: 'payload-too-large'});
	const own = await request(`${callers}/laburnumspool/v1/nothing`);
	t.equal(own.statusCode, 404);
	await own.body.dump();
	const unready = await request(`${callers}/a/b`);
	t.match([unready.statusCode, unready.headers['laburnumspool-outcome'], unready.headers['retry-after']], [503, 'not-run', '1']);
	t.match(await unready.body.json(), {kind: 'not-ready'});
	const timeout = await request(`${callers}/a/b`, {headers: {'laburnumspool-timeout-ms': 'soon'}});
	t.match(await timeout.body.json(), {kind: 'malformed', detail: /laburnumspool-timeout-ms/u});
	const health = await request(`${callers}/laburnumspool/v1/health`);
	t.match([health.statusCode, await health.body.json()], [503, {ready: false}]);
	t.equal(daemon.core.core.openCalls, 0);
});

test('invalid announcements are rejected with the path of the invalid field', async t => {
	const {callers} = await start(t);
	const announce = async (body: string): Promise<{status: number; text: string}> => {
		const answer = await request(`${callers}/laburnumspool/v1/upstream`, {method: 'PUT', body});
		return {status: answer.statusCode, text: await answer.body.text()};
	};

	const good = {
		service: 'shop', address: '127.0.0.1:9', slots: 4, connections: 9, state: 'ready',
	};
	t.match(await announce('{'), {status: 400, text: /not JSON/u});
	t.match(await announce(JSON.stringify({...good, slots: '4'})), {status: 400, text: /slots: /u});
	t.match(await announce(JSON.stringify({...good, state: 'fine'})), {status: 400, text: /state: /u});
	t.match(await announce(JSON.stringify(good)), {status: 204});
});

test('invalid requests to the peers\' port are answered with an error, and invalid frames close the link', async t => {
	const {peers} = await start(t);
	t.match(await sendRaw(peers, 'nonsense\r\n\r\n'), /^HTTP\/1\.1 400 /u);
	const view = await request(`${peers}/members`, {method: 'POST', body: '{"sender":{}}'});
	t.match([view.statusCode, await view.body.json()], [400, {kind: 'malformed', detail: /sender/u}]);
	const upgrade = (protocol: string): string => `GET /calls HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: ${protocol}\r\n\r\n`;
	t.match(await sendRaw(peers, upgrade('other')), /^HTTP\/1\.1 400 /u);
	t.match(await sendRaw(peers, `${upgrade('laburnumspool-calls')}nonsense`), /^HTTP\/1\.1 101 /u, 'a link that receives an invalid frame is closed');
	const badCall = Buffer.concat([encodeFrameHeader(FrameType.Call, 8), Buffer.from('nonsense')]).toString('latin1');
	t.match(await sendRaw(peers, `${upgrade('laburnumspool-calls')}${badCall}`), /^HTTP\/1\.1 101 /u, 'a link that receives an invalid call is closed');
	const unknown = await request(`${peers}/nothing`);
	t.equal(unknown.statusCode, 404);
	await unknown.body.dump();
});
