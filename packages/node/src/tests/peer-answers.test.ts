import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {createConnection, type AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {
	AnnouncedState, Importance, Outcome, priorityOf, Semantics,
} from '@laburnumspool/core';
import {
	decodeAnswer, encodeCall, encodeFrameHeader, FrameReader, FrameType, StringTableDecoder, StringTableEncoder,
} from '@laburnumspool/protocol';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {test} from 'tap';
import {CoreMessageType} from '../core-task.js';
import {checkSettings, defaultDeployment, startDaemon} from '../index.js';
import {createLookManifest, doNothing, silentLog} from './fixtures.js';

const stopSeconds = 8;

/** Longer than a stop that does not wait for the answer. */
const pauseMilliseconds = 1000;
const waitMilliseconds = 20_000;

/** More than the buffers of both ends of a link hold. */
const answerBytes = 16 * 1024 * 1024;
const maximumFrameBytes = 2 * answerBytes;

test('a stop waits for an entry node that reads the answer to its call slowly', async t => {
	const responses: ServerResponse[] = [];
	const upstream = createServer((_request, response) => {
		responses.push(response);
		upstream.emit('received');
	}).listen(0, '127.0.0.1');
	await once(upstream, 'listening');
	t.teardown(() => {
		upstream.closeAllConnections();
		upstream.close();
	});
	const [callers, peers, control, store] = await findFreePorts(4);
	const daemon = await startDaemon(checkSettings({
		name: 'serving', region: 'r', failureDomain: 'f', host: '127.0.0.1', ports: {callers, peers, control}, store: {url: `http://127.0.0.1:${store}`}, stopSeconds,
	}), () => silentLog);
	daemon.core.post({type: CoreMessageType.ManifestArrived, revision: defaultDeployment.toRevision(1, createLookManifest(waitMilliseconds))});
	daemon.core.post({
		type: CoreMessageType.UpstreamAnnounced, announcement: {
			service: 'shop', address: `127.0.0.1:${(upstream.address() as AddressInfo).port}`, slots: 1, connections: 1, state: AnnouncedState.Ready, load: undefined,
		},
	});
	const link = createConnection(peers!, '127.0.0.1').on('error', doNothing);
	const closed = once(link, 'close');
	link.write('GET /calls HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: laburnumspool-calls\r\n\r\n');
	await once(link, 'data');
	const call = encodeCall({
		frame: {
			callId: 'n.1.1',
			action: {actionId: 'a'.repeat(32), vendorTraceState: []},
			requestId: '',
			service: 'shop',
			kind: 'look',
			semantics: Semantics.Idempotent,
			answerBytesLimit: answerBytes,
			importance: Importance.Normal,
			priority: priorityOf(Importance.Normal, 64),
			timeLeftMilliseconds: waitMilliseconds,
			retries: 0,
			key: undefined,
			epoch: 0,
			lastResort: false,
			revision: 1,
			request: {
				method: 'GET', target: '/items/1', headers: [], body: Buffer.alloc(0), digest: '',
			},
		}, clock: 0,
	}, new StringTableEncoder());
	const received = once(upstream, 'received');
	link.write(Buffer.concat([encodeFrameHeader(FrameType.Call, call.length), call]));
	await received;
	const reader = new FrameReader(maximumFrameBytes);
	const frames: Array<{type: FrameType; content: Buffer}> = [];
	link.on('data', chunk => {
		frames.push(...reader.push(chunk));
	});
	link.pause();
	const stopped = daemon.stop();
	responses[0]!.end(Buffer.alloc(answerBytes, 'x'));
	await wait(pauseMilliseconds);
	link.resume();
	await closed;
	t.equal(await stopped, true);
	const answers = frames.filter(({type}) => type === FrameType.Answer).map(({content}) => decodeAnswer(content, new StringTableDecoder()).frame);
	t.same(answers.map(({callId, outcome, answer}) => [callId, outcome, answer?.status, answer?.body.length]), [['n.1.1', Outcome.Ran, 200, answerBytes]]);
});
