/**
 * Callers of a soak that send requests on one connection without waiting for the earlier answers.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createConnection, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {Client} from 'undici';
import {v7 as newId} from 'uuid';
import {
	noAnswer, type SoakAnswer, type SoakPhase, type SoakResult,
} from './soak-clients.js';
import {
	longKind, slowKinds, windows, type SoakKind,
} from './soak-kinds.js';
import {ordinaryHeaders} from './soak-organisations.js';
import type {Instance} from './system.js';

/** Failure of a request that was sent behind another one whose answer announced that it closes the connection. */
export const behindClosingAnswer = 'behind an answer that closes the connection';
const closingAnswerCode = 'UND_ERR_INFO';
const timeoutMilliseconds = 15_000;
/** The queued answers stay below the size at which Node.js stops reading a connection. */
const maximumOpenRequests = 6;
const intervalMilliseconds = 100;
/** Time between the first requests of the connections that are opened before a stop and not used until then. */
const firstUseGapMilliseconds = 250;
const unusedConnections = 6;

/**
 * One connection to a node, which it opens at once and never opens again.
 *
 * @example
 * const caller = await PipelinedCaller.connect('deposits-0', '127.0.0.1:7001');
 * await Promise.all([caller.send('r-1', kind, SoakPhase.Faults), caller.send('r-2', kind, SoakPhase.Faults)]);
 */
export class PipelinedCaller {
	static async connect(entry: string, address: string): Promise<PipelinedCaller> {
		const [host, port] = address.split(':');
		const socket = createConnection(Number(port), host);
		await once(socket, 'connect');
		return new PipelinedCaller(entry, address, socket);
	}

	readonly results: SoakResult[] = [];
	readonly #entry: string;
	readonly #socket: Socket;
	readonly #client: Client;
	#openRequests = 0;
	#isUsed = false;

	private constructor(entry: string, address: string, socket: Socket) {
		this.#entry = entry;
		this.#socket = socket.on('error', () => undefined);
		this.#client = new Client(`http://${address}`, {
			pipelining: maximumOpenRequests,
			headersTimeout: timeoutMilliseconds,
			bodyTimeout: timeoutMilliseconds,
			connect(_options, callback) {
				callback(null, socket);
			},
		});
		// Without this, the client would send the requests behind a failed one again on a new connection.
		this.#client.once('disconnect', (_origin, _targets, error) => {
			void this.#client.destroy(error.code === closingAnswerCode ? new Error(behindClosingAnswer) : error);
		});
	}

	/** Sends a request and records its end, unless the connection closes before anything was sent; never rejects. */
	async send(id: string, kind: SoakKind, phase: SoakPhase): Promise<void> {
		const isReused = this.#isUsed;
		this.#isUsed = true;
		this.#openRequests += 1;
		const sentAt = performance.now();
		const {answer, writtenAt} = await this.#exchange(id, kind);
		this.#openRequests -= 1;
		if (writtenAt !== undefined) {
			this.results.push({
				...answer, id, kind, phase, entry: this.#entry, sentAt, writtenAt, endedAt: performance.now(), isReused,
			});
		}
	}

	/** Sends a request every 100 ms, up to six without an answer, until the connection is closed and all requests have ended. */
	async sendUntilClosed(kind: SoakKind, phase: SoakPhase): Promise<void> {
		const sent: Array<Promise<void>> = [];
		while (!this.#socket.destroyed) {
			if (this.#openRequests < maximumOpenRequests) {
				sent.push(this.send(newId(), kind, phase));
			}

			await delay(intervalMilliseconds); // eslint-disable-line no-await-in-loop
		}

		await Promise.all(sent);
	}

	async #exchange(id: string, {service, method, path}: SoakKind): Promise<{answer: SoakAnswer; writtenAt: number | undefined}> {
		return new Promise(resolve => {
			const chunks: Buffer[] = [];
			let writtenAt: number | undefined;
			let head: SoakAnswer = noAnswer;
			this.#client.dispatch({
				method, path: `/${service}${path}`, headers: {...ordinaryHeaders, 'x-request-id': id}, idempotent: true, blocking: false,
			}, {
				onRequestStart() {
					writtenAt = performance.now();
				},
				onResponseStart(_controller, status, headers) {
					const read = (name: string): string | undefined => typeof headers[name] === 'string' ? headers[name] : undefined;
					head = {
						...noAnswer, status, outcome: read('laburnumspool-outcome'), signature: read('x-signature'), answeredId: read('x-request-id'),
					};
				},
				onResponseData(_controller, chunk) {
					chunks.push(chunk);
				},
				onResponseEnd() {
					resolve({answer: {...head, body: chunks.map(String).join('')}, writtenAt});
				},
				onResponseError(_controller, error: NodeJS.ErrnoException) {
					resolve({answer: {...noAnswer, failure: error.message === behindClosingAnswer ? error.message : error.code ?? error.message}, writtenAt});
				},
			});
		});
	}
}

/**
 * Opens connections to a node that is about to be stopped, sends slow requests on some of them, and keeps using all of them until
 * they are closed. Resolves when the slow requests are sent; `ended` resolves to the results.
 *
 * @example
 * const {ended} = await attendStop(instance, SoakPhase.Faults, false);
 */
export async function attendStop({name, callersAddress}: Instance, phase: SoakPhase, isLong: boolean): Promise<{ended: Promise<readonly SoakResult[]>}> {
	const kinds = isLong ? [...slowKinds, longKind] : slowKinds;
	const callers = await Promise.all(Array.from({length: kinds.length + unusedConnections}, async () => PipelinedCaller.connect(name, callersAddress)));
	const slow = kinds.map(async (kind, index) => callers[index]!.send(newId(), kind, phase));
	await delay(intervalMilliseconds);
	const ended = Promise.all([...slow, ...callers.map(async (caller, index) => {
		await delay(Math.max(0, index - kinds.length) * firstUseGapMilliseconds);
		await caller.sendUntilClosed(windows, phase);
	})]).then(() => callers.flatMap(({results}) => results));
	return {ended};
}
