/**
 * A client of the upstream before a core that only notes what it is told, and an upstream of raw bytes.
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
import {CoreMessageType, type CoreMessage, type CoreTask} from '../core-task.js';
import {UpstreamClient} from '../upstream-client.js';
import {silent, silentLog} from './fixtures.js';

const headers = {
	timeLeft: 'time-left', requestId: 'request-id', expectedInstance: 'expected', notExecuted: 'not-executed', signature: 'signature',
};

/** What the core does with effects and messages, as far as the client sees it. */
class CoreStandIn {
	readonly #handlers = new Map<string, (effect: NodeEffect) => void>();
	readonly #messages: CoreMessage[] = [];
	#wake = silent;

	handle(handlers: Readonly<Record<string, (effect: NodeEffect) => void>>): void {
		Object.entries(handlers).map(([type, handler]) => this.#handlers.set(type, handler));
	}

	post(message: CoreMessage): boolean {
		this.#messages.push(message);
		this.#wake();
		return true;
	}

	carryOut(effect: NodeEffect): void {
		this.#handlers.get(effect.type)?.(effect);
	}

	async next(): Promise<CoreMessage> {
		const message = this.#messages.shift();
		if (message !== undefined) {
			return message;
		}

		await new Promise<void>(resolve => {
			this.#wake = resolve;
		});
		return this.next();
	}
}

export type Upstream = {
	readonly core: CoreStandIn;
	/** Sends a call and resolves with what became of it. */
	readonly call: (number: number) => Promise<string>;
	readonly dispatch: (number: number) => void;
	readonly connections: Socket[];
	/** From now on connections are refused. */
	readonly stopListening: () => Promise<void>;
};

/** Bytes of an answer. */
export const whole = (requestId: string, text: string): string => `HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\nsignature: s\r\ncontent-length: ${text.length}\r\n\r\n${text}`;

/** Starts an upstream that answers each request with the bytes that the test gives for it. */
export async function start(t: Test, answer: (requestId: string, socket: Socket) => void, {timeLeftMilliseconds = 60_000, answerBytesLimit = 1000} = {}): Promise<Upstream> {
	const connections: Socket[] = [];
	const server = createServer(socket => {
		connections.push(socket);
		socket.on('error', silent);
		socket.on('data', (chunk: Buffer) => {
			answer(/request-id: (\S+)/u.exec(chunk.toString('latin1'))![1]!, socket);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const core = new CoreStandIn();
	const client = new UpstreamClient(core as unknown as CoreTask, headers, silentLog);
	t.teardown(async () => {
		connections.map(socket => socket.destroy());
		server.close();
		await client.close();
	});
	core.carryOut({
		type: NodeEffectType.UpstreamAnnounced,
		announcement: {
			service: 's', slots: 1, address: `127.0.0.1:${(server.address() as {port: number}).port}`, state: AnnouncedState.Ready, instance: 'i-1', load: undefined,
		},
	});
	const dispatch = (number: number): void => {
		core.carryOut({
			type: NodeEffectType.Dispatch,
			callId: `n.1.${number}`,
			requestId: `r${number}`,
			request: {
				method: 'GET', target: '/x', headers: [], body: Buffer.alloc(0), digest: '',
			},
			traceparent: 'p',
			tracestate: 's',
			timeLeftMilliseconds,
			answerBytesLimit,
		});
	};

	return {
		core, connections, dispatch, async call(number) {
			dispatch(number);
			return summary(await core.next());
		},
		async stopListening() {
			server.close();
			await once(server, 'close');
		},
	};
}

export function summary(message: CoreMessage): string {
	if (message.type === CoreMessageType.UpstreamAnswered) {
		return `${message.answer.status} ${Buffer.from(message.answer.body).toString('utf8')}`;
	}

	return message.type === CoreMessageType.UpstreamFailed ? message.failure : message.type;
}
