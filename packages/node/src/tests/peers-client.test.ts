import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import {
	Importance, Liveness, NodeEffectType, priorityOf, Semantics, UpstreamState, type CallFrame, type Member,
} from '@laburnumspool/core';
import {test, type Test} from 'tap';
import {AnswerStreams} from '../answer-streams.js';
import {
	CoreMessageType, type CoreMessage, type CoreTask, type EffectHandlers,
} from '../core-task.js';
import {PeersClient} from '../peers-client.js';
import {silentLog, blockEventLoop} from './fixtures.js';

/** A peer in a worker thread. It accepts the upgrade, or ignores it, and reports the first frame that it receives. */
const peerProgram = String.raw`
const {createServer} = require('node:http');
const {parentPort, workerData: isSilent} = require('node:worker_threads');
const server = createServer().on('upgrade', (request, socket) => {
	if (!isSilent) {
		socket.write('HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: laburnumspool-calls\r\n\r\n');
		socket.once('data', () => parentPort.postMessage('called'));
	}
}).listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

const frame: CallFrame = {
	callId: 'n.1.1',
	action: {actionId: 'a'.repeat(32), vendorTraceState: []},
	requestId: '',
	service: 's',
	kind: 'look',
	semantics: Semantics.Idempotent,
	answerBytesLimit: 1000,
	importance: Importance.Normal,
	priority: priorityOf(Importance.Normal, 0),
	timeLeftMilliseconds: 5000,
	retries: 0,
	key: undefined,
	epoch: 0,
	lastResort: false,
	revision: 1,
	request: {
		method: 'GET', target: '/', headers: [], body: Buffer.alloc(0), digest: '',
	},
};

function createPeer(peersPort: number): Member {
	return {
		name: 'p',
		incarnation: 1,
		version: 1,
		location: {region: 'r', failureDomain: 'f'},
		host: '127.0.0.1',
		callersPort: 0,
		peersPort,
		controlPort: 0,
		service: 's',
		state: UpstreamState.Ready,
		slots: 1,
		liveness: Liveness.Alive,
	};
}

/** Sends a call to a new peer and pauses the node before it connects. Returns the first message of the node or the peer. */
async function callNewPeer(t: Test, ignoresUpgrade: boolean, pauseMilliseconds: number): Promise<string> {
	const peer = new Worker(peerProgram, {eval: true, workerData: ignoresUpgrade});
	const [port] = await once(peer, 'message') as [number];
	const firstMessage = new Promise<string>(resolve => {
		peer.once('message', resolve);
		let handlers: EffectHandlers = {};
		const core = {
			handle(registered: EffectHandlers) {
				handlers = registered;
			},
			post(message: CoreMessage) {
				resolve(message.type);
				return true;
			},
		} as unknown as CoreTask;
		const client = new PeersClient({
			core, streams: new AnswerStreams(), log: silentLog, clock: () => performance.now(),
		});
		t.teardown(async () => {
			await client.close();
			await peer.terminate();
		});
		handlers[NodeEffectType.SendCall]?.({
			type: NodeEffectType.SendCall, to: createPeer(port), frame, clock: 0,
		});
		setImmediate(blockEventLoop, pauseMilliseconds);
	});
	return firstMessage;
}

test('a node that is paused while it connects to a peer completes the connection and sends the call', async t => {
	t.equal(await callNewPeer(t, false, 1000), 'called');
});

test('a call to a peer that does not answer the upgrade fails within 3 seconds', async t => {
	const startedAt = performance.now();
	t.equal(await callNewPeer(t, true, 0), CoreMessageType.CallFailed);
	t.ok(performance.now() - startedAt < 3000);
});
