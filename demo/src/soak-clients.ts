/**
 * The callers of a soak: they keep connections open until the node's process is gone, and note what they get.
 *
 * @module
 */
import {Agent, request as sendRequest, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {SoakKind} from './soak-kinds.js';

/** When in a soak a request is sent. */
export enum SoakPhase {
	/** Faults of all types. */
	Trouble = 'trouble',
	/** After the last fault. */
	Recovery = 'recovery',
	/** Much less important work, and no fault. */
	Burst = 'burst',
	/** Planned stops one after the other, and no fault. */
	Roll = 'roll',
}

/** What a caller has seen of its request's end. */
export type SoakAnswer = {
	/** Undefined when the connection ended without a whole answer. */
	readonly status: number | undefined;
	readonly outcome: string | undefined;
	/** Service that signed the answer. */
	readonly signature: string | undefined;
	/** Request that the answer says it belongs to. */
	readonly answeredId: string | undefined;
	readonly body: string;
	/** Why there is no answer. */
	readonly failure: string | undefined;
};

/** What became of one request. */
export type SoakResult = SoakAnswer & {
	readonly id: string;
	readonly kind: SoakKind;
	readonly phase: SoakPhase;
	/** Name of the instance whose node was asked. */
	readonly entry: string;
	readonly sentAt: number;
	/** When the last byte was handed to the connection; undefined when it never was. */
	readonly writtenAt: number | undefined;
	readonly endedAt: number;
	/** Whether the connection had carried a request before. */
	readonly isReused: boolean;
};

const callerMilliseconds = 8000;
const callerConnections = 64;
const noAnswer = {
	status: undefined, outcome: undefined, signature: undefined, answeredId: undefined, body: '',
};

/**
 * Callers of one node.
 *
 * @example
 * const callers = new SoakCallers('deposits-0', '127.0.0.1:7001');
 * const result = await callers.send('r-1', kind, SoakPhase.Trouble);
 */
export class SoakCallers {
	readonly results: SoakResult[] = [];
	readonly #entry: string;
	readonly #host: string;
	readonly #port: string;
	readonly #agent: Agent;
	/** Connections that have carried a request. */
	readonly #used = new WeakSet<Socket>();
	readonly #milliseconds: number;

	constructor(entry: string, address: string, {milliseconds = callerMilliseconds, connections = callerConnections} = {}) {
		this.#entry = entry;
		this.#milliseconds = milliseconds;
		this.#agent = new Agent({keepAlive: true, maxSockets: connections});
		[this.#host = '', this.#port = ''] = address.split(':');
	}

	/** Sends a request and notes its end; never rejects. */
	async send(id: string, kind: SoakKind, phase: SoakPhase): Promise<SoakResult> {
		const sentAt = performance.now();
		const exchanged = await this.#exchange(id, kind);
		const result: SoakResult = {
			...exchanged, id, kind, phase, entry: this.#entry, sentAt, endedAt: performance.now(),
		};
		this.results.push(result);
		return result;
	}

	close(): void {
		this.#agent.destroy();
	}

	async #exchange(id: string, {service, method, path, isKeyed}: SoakKind): Promise<SoakAnswer & Pick<SoakResult, 'writtenAt' | 'isReused'>> {
		return new Promise(resolve => {
			let writtenAt: number | undefined;
			let isReused = false;
			const request = sendRequest({
				host: this.#host,
				port: this.#port,
				method,
				path: `/${service}${path}`,
				agent: this.#agent,
				headers: {'x-request-id': id, ...(isKeyed ? {'idempotency-key': id} : {})},
			});
			const end = (answer: SoakAnswer): void => {
				clearTimeout(timer);
				resolve({...answer, writtenAt, isReused});
			};

			const fail = (error: NodeJS.ErrnoException): void => {
				end({...noAnswer, failure: error.code ?? error.message});
			};

			// The node has its time from when the request has a connection; before that it waits for other callers here.
			let timer: NodeJS.Timeout | undefined;
			request.once('socket', socket => {
				isReused = this.#used.has(socket);
				this.#used.add(socket);
				timer = setTimeout(() => {
					request.destroy(new Error('timed out'));
				}, this.#milliseconds);
			});
			request.once('finish', () => {
				writtenAt = performance.now();
			});
			request.once('error', fail);
			request.once('response', response => {
				void readAnswer(response).then(end, fail);
			});
			request.end();
		});
	}
}

async function readAnswer(response: IncomingMessage): Promise<SoakAnswer> {
	const chunks: string[] = [];
	response.setEncoding('utf8');
	for await (const chunk of response) {
		chunks.push(chunk as string);
	}

	if (!response.complete) {
		throw new Error('half an answer');
	}

	const read = (name: string): string | undefined => {
		const value = response.headers[name];
		return typeof value === 'string' ? value : undefined;
	};

	return {
		status: response.statusCode, outcome: read('laburnumspool-outcome'), signature: read('x-signature'), answeredId: read('x-request-id'), body: chunks.join(''), failure: undefined,
	};
}
