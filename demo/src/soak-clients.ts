/**
 * Callers of a soak. They reuse connections until the node closes them, and record every answer.
 *
 * @module
 */
import {Agent, request as sendRequest, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {SoakKind} from './soak-kinds.js';
import {ordinaryHeaders} from './soak-organisations.js';

/** When in a soak a request is sent. */
export enum SoakPhase {
	/** Load while disruptions of all types are carried out. */
	Faults = 'trouble',
	/** After the last fault. */
	Recovery = 'recovery',
	/** A burst of less important work, without faults. */
	Burst = 'burst',
	/** Planned stops one after the other, without other faults. */
	RollingRestart = 'roll',
}

/** End of a request as its caller observed it. */
export type SoakAnswer = {
	/** Undefined when the connection ended without a complete answer. */
	readonly status: number | undefined;
	readonly outcome: string | undefined;
	/** Service that signed the answer. */
	readonly signature: string | undefined;
	/** Request id in the answer. */
	readonly answeredId: string | undefined;
	readonly body: string;
	/** Error code or message; undefined when there is an answer. */
	readonly failure: string | undefined;
	readonly retryAfter?: string | undefined;
};

/** A request and its end; times as of `performance.now()`. */
export type SoakResult = SoakAnswer & {
	readonly id: string;
	readonly kind: SoakKind;
	readonly phase: SoakPhase;
	/** Name of the instance whose node received the request. */
	readonly entry: string;
	readonly sentAt: number;
	/** When the last byte was passed to the socket; undefined when the request ended earlier. */
	readonly writtenAt: number | undefined;
	readonly endedAt: number;
	/** Whether the connection had been used by an earlier request. */
	readonly isReused: boolean;
};

const defaultTimeoutMilliseconds = 8000;
const defaultConnections = 64;
/** Fields of a result without an answer, except its failure. */
export const noAnswer = {
	status: undefined, outcome: undefined, signature: undefined, answeredId: undefined, body: '', failure: undefined,
};

/**
 * Callers of one node.
 *
 * @example
 * const callers = new SoakCallers('deposits-0', '127.0.0.1:7001');
 * const result = await callers.send('r-1', kind, SoakPhase.Faults);
 */
export class SoakCallers {
	readonly results: SoakResult[] = [];
	readonly #entry: string;
	readonly #host: string;
	readonly #port: string;
	readonly #agent: Agent;
	/** Sockets that an earlier request has used. */
	readonly #usedSockets = new WeakSet<Socket>();
	readonly #timeoutMilliseconds: number;

	constructor(entry: string, address: string, {milliseconds = defaultTimeoutMilliseconds, connections = defaultConnections} = {}) {
		this.#entry = entry;
		this.#timeoutMilliseconds = milliseconds;
		this.#agent = new Agent({keepAlive: true, maxSockets: connections});
		[this.#host = '', this.#port = ''] = address.split(':');
	}

	/** Sends a request, by default with the key of the ordinary organisation, and records its end; never rejects. */
	async send(id: string, kind: SoakKind, phase: SoakPhase, headers = ordinaryHeaders): Promise<SoakResult> {
		const sentAt = performance.now();
		const exchange = await this.#exchange(id, kind, headers);
		const result: SoakResult = {
			...exchange, id, kind, phase, entry: this.#entry, sentAt, endedAt: performance.now(),
		};
		this.results.push(result);
		return result;
	}

	close(): void {
		this.#agent.destroy();
	}

	async #exchange(id: string, {service, method, path, isKeyed}: SoakKind, headers: Readonly<Record<string, string>>): Promise<SoakAnswer & Pick<SoakResult, 'writtenAt' | 'isReused'>> {
		return new Promise(resolve => {
			let writtenAt: number | undefined;
			let isReused = false;
			const request = sendRequest({
				host: this.#host,
				port: this.#port,
				method,
				path: `/${service}${path}`,
				agent: this.#agent,
				headers: {...headers, 'x-request-id': id, ...(isKeyed ? {'idempotency-key': id} : {})},
			});
			const end = (answer: SoakAnswer): void => {
				clearTimeout(timer);
				resolve({...answer, writtenAt, isReused});
			};

			const fail = (error: NodeJS.ErrnoException): void => {
				end({...noAnswer, failure: error.code ?? error.message});
			};

			// The timeout starts when the request gets a connection; until then it waits for other requests of this caller.
			let timer: NodeJS.Timeout | undefined;
			request.once('socket', socket => {
				isReused = this.#usedSockets.has(socket);
				this.#usedSockets.add(socket);
				timer = setTimeout(() => {
					request.destroy(new Error('timed out'));
				}, this.#timeoutMilliseconds);
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
		throw new Error('the answer is incomplete');
	}

	const read = (name: string): string | undefined => {
		const value = response.headers[name];
		return typeof value === 'string' ? value : undefined;
	};

	return {
		status: response.statusCode, outcome: read('laburnumspool-outcome'), signature: read('x-signature'), answeredId: read('x-request-id'), body: chunks.join(''), failure: undefined, retryAfter: read('retry-after'),
	};
}
