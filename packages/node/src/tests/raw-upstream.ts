/**
 * Fixtures: an upstream client with a stub of the core, and an upstream that answers with raw bytes.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {
	AnnouncedState, NodeEffectType, UpstreamFailure, type NodeEffect,
} from '@laburnumspool/core';
import type {Test} from 'tap';
import {AnswerStreams} from '../answer-streams.js';
import {CoreMessageType, type CoreMessage, type CoreTask} from '../core-task.js';
import {UpstreamClient} from '../upstream-client.js';
import {doNothing, silentLog} from './fixtures.js';

const headers = {
	timeLeft: 'time-left', requestId: 'request-id', expectedInstance: 'expected', notExecuted: 'not-executed', signature: 'signature',
};

/** Passes effects to the client and queues the messages that the client posts. */
class CoreStub {
	readonly #handlers = new Map<string, (effect: NodeEffect) => void>();
	readonly #messages: CoreMessage[] = [];
	#notify = doNothing;

	handle(handlers: Readonly<Record<string, (effect: NodeEffect) => void>>): void {
		Object.entries(handlers).map(([type, handler]) => this.#handlers.set(type, handler));
	}

	post(message: CoreMessage): boolean {
		this.#messages.push(message);
		this.#notify();
		return true;
	}

	apply(effect: NodeEffect): void {
		this.#handlers.get(effect.type)?.(effect);
	}

	async nextMessage(): Promise<CoreMessage> {
		const message = this.#messages.shift();
		if (message !== undefined) {
			return message;
		}

		await new Promise<void>(resolve => {
			this.#notify = resolve;
		});
		return this.nextMessage();
	}
}

/** Bytes of a complete, signed answer. */
export const completeAnswer = (requestId: string, text: string): string =>
	`HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\nsignature: s\r\ncontent-length: ${text.length}\r\n\r\n${text}`;

type RequestParts = {readonly method?: string; readonly body?: Buffer};
type ClientOptions = {readonly timeLeftMilliseconds?: number; readonly answerBytesLimit?: number; readonly sendsRequestId?: boolean; readonly canStream?: boolean};

export type StartedClient = {
	readonly core: CoreStub;
	readonly streams: AnswerStreams;
	readonly dispatch: (number: number, parts?: RequestParts) => void;
	/** Sends a call and resolves with the summary of its result. */
	readonly call: (number: number) => Promise<string>;
};

export type StartedUpstream = StartedClient & {readonly connections: Socket[]};

/** Starts a client of an upstream that listens on the given port. */
export function startClient(t: Test, port: number, options: ClientOptions = {}): StartedClient {
	const {timeLeftMilliseconds = 60_000, answerBytesLimit = 1000, sendsRequestId = true, canStream = false} = options;
	const core = new CoreStub();
	const streams = new AnswerStreams();
	const client = new UpstreamClient({
		core: core as unknown as CoreTask, streams, headers, log: silentLog,
	});
	t.teardown(async () => client.close());
	core.apply({
		type: NodeEffectType.UpstreamAnnounced,
		announcement: {
			service: 's', slots: 1, address: `127.0.0.1:${port}`, state: AnnouncedState.Ready, instance: 'i-1', load: undefined,
		},
	});
	const dispatch = (number: number, {method = 'GET', body = Buffer.alloc(0)}: RequestParts = {}): void => {
		core.apply({
			type: NodeEffectType.Dispatch,
			callId: `n.1.${number}`,
			requestId: sendsRequestId ? `r${number}` : '',
			request: {
				method, target: '/x', headers: [], body, digest: '',
			},
			traceparent: 'p',
			tracestate: 's',
			timeLeftMilliseconds,
			answerBytesLimit,
			canStream,
		});
	};

	return {
		core, streams, dispatch, async call(number) {
			dispatch(number);
			return summarize(await core.nextMessage());
		},
	};
}

/** Starts an upstream that calls `answer` for each request, and a client of it. */
export async function startUpstream(
	t: Test,
	answer: (requestId: string, socket: Socket) => void,
	options: ClientOptions = {},
): Promise<StartedUpstream> {
	const connections: Socket[] = [];
	const server = createServer(socket => {
		connections.push(socket);
		socket.on('error', doNothing);
		socket.on('data', (chunk: Buffer) => {
			answer(/request-id: (\S+)/u.exec(chunk.toString('latin1'))?.[1] ?? '', socket);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		connections.map(socket => socket.destroy());
		server.close();
	});
	return {...startClient(t, (server.address() as {port: number}).port, options), connections};
}

/** Status and body of an answer, or the kind of failure. */
export function summarize(message: CoreMessage): string {
	if (message.type === CoreMessageType.UpstreamAnswered) {
		return `${message.answer.status} ${Buffer.from(message.answer.body).toString('utf8')}`;
	}

	return message.type === CoreMessageType.UpstreamFailed ? message.failure : message.type;
}
