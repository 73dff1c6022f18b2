/**
 * Fixtures: nodes of a core and its links, without the other tasks, and a raw link to a peers' server.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createConnection, type Socket} from 'node:net';
import {
	Importance, Liveness, priorityOf, Semantics, UpstreamState, type CallFrame, type Member,
} from '@laburnumspool/core';
import {
	encodeCall, encodeFrameHeader, FrameReader, FrameType, StringTableEncoder, type Frame,
} from '@laburnumspool/protocol';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import type {Test} from 'tap';
import {AnswerStreams} from '../answer-streams.js';
import {CoreTask} from '../core-task.js';
import {defaultDeployment} from '../daemon.js';
import {CoreMessageType} from '../index.js';
import type {MemoryBudget} from '../memory-budget.js';
import {PeersClient} from '../peers-client.js';
import {PeersServer} from '../peers-server.js';
import {createLookManifest, doNothing, silentLog} from './fixtures.js';

const maximumFrameBytes = 80 * 1024 * 1024;
const waitMilliseconds = 20_000;

export const createMember = (name: string, peersPort: number): Member => ({
	name,
	incarnation: 1,
	version: 1,
	location: {region: 'r', failureDomain: 'f'},
	host: '127.0.0.1',
	callersPort: 0,
	peersPort,
	// A member with the control address of another one is not accepted.
	controlPort: peersPort + 1,
	service: 'shop',
	state: UpstreamState.Ready,
	slots: 4,
	liveness: Liveness.Alive,
});

export const createCall = (callId: string, bodyBytes: number): CallFrame => ({
	callId,
	action: {actionId: 'a'.repeat(32), vendorTraceState: []},
	requestId: '',
	service: 'shop',
	kind: 'look',
	semantics: Semantics.Idempotent,
	answerBytesLimit: 1000,
	importance: Importance.Normal,
	priority: priorityOf(Importance.Normal, 64),
	timeLeftMilliseconds: waitMilliseconds,
	retries: 0,
	key: undefined,
	epoch: 0,
	lastResort: false,
	revision: 1,
	request: {
		method: 'GET', target: '/items/1', headers: ['accept', 'text/plain'], body: Buffer.alloc(bodyBytes, 'b'), digest: '',
	},
});

/** Starts a peers' server; returns its port. */
export async function listen(t: Test, core: CoreTask, budget: MemoryBudget): Promise<number> {
	const server = new PeersServer({
		core, streams: new AnswerStreams(), budget, requestBytes: maximumFrameBytes, slowSenderMilliseconds: waitMilliseconds,
	});
	// The server has no accessor for its port, so a free one is found first.
	const [port] = await findFreePorts(1);
	await server.listen(port!, '127.0.0.1');
	t.teardown(() => {
		server.close();
	});
	return port!;
}

/** Starts a core with the manifest of `look`, and a client for its calls to other nodes. */
export function startCore(t: Test, name: string, budget: MemoryBudget): CoreTask {
	const core = new CoreTask({
		own: {
			...createMember(name, 0), service: '', state: UpstreamState.Starting, slots: 0,
		},
		wallClock: () => Date.now(),
		random: () => 0.5,
		newActionId: () => '0'.repeat(32),
		membershipTimes: {probeIntervalMilliseconds: 1000, suspicionMilliseconds: 3000, exchangeIntervalMilliseconds: 10_000},
		claimLimits: {maximumClaims: 10, maximumAnswerBytes: 1000},
		storeOutageLimitMilliseconds: 1000,
		clockErrorMilliseconds: 0,
	}, () => performance.now(), 0, silentLog);
	const client = new PeersClient({
		core, streams: new AnswerStreams(), log: silentLog, clock: () => performance.now(), budget,
	});
	t.teardown(async () => client.close());
	core.post({type: CoreMessageType.ManifestArrived, revision: defaultDeployment.toRevision(1, createLookManifest(waitMilliseconds))});
	return core;
}

/** A link of which the test writes and reads the frames. */
export class RawLink {
	static async open(t: Test, port: number): Promise<RawLink> {
		const socket = createConnection(port, '127.0.0.1').on('error', doNothing);
		t.teardown(() => {
			socket.destroy();
		});
		socket.write('GET /calls HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: laburnumspool-calls\r\n\r\n');
		await once(socket, 'data');
		return new RawLink(socket);
	}

	readonly socket: Socket;
	readonly frames: Frame[] = [];
	readonly #encoder = new StringTableEncoder();

	constructor(socket: Socket) {
		const reader = new FrameReader(maximumFrameBytes);
		this.socket = socket;
		socket.on('data', chunk => {
			this.frames.push(...reader.push(chunk));
			socket.emit('frames');
		});
	}

	/** The bytes of a call's frame. Each must be written, at least up to the end of its head, before the next is encoded. */
	encodeCall(frame: CallFrame): Buffer {
		const content = encodeCall({frame, clock: 0}, this.#encoder);
		return Buffer.concat([encodeFrameHeader(FrameType.Call, content.length), content]);
	}

	cancel(callId: string): void {
		this.socket.write(Buffer.concat([encodeFrameHeader(FrameType.Cancellation, Buffer.byteLength(callId)), Buffer.from(callId)]));
	}

	/** Waits until the server has read everything that was written before. */
	async flush(): Promise<void> {
		const pongs = this.#count(FrameType.Pong);
		this.socket.write(encodeFrameHeader(FrameType.Ping, 0));
		while (this.#count(FrameType.Pong) === pongs) {
			await once(this.socket, 'frames'); // eslint-disable-line no-await-in-loop
		}
	}

	#count(type: FrameType): number {
		return this.frames.filter(frame => frame.type === type).length;
	}
}
