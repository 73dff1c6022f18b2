/**
 * The task that owns the connections to the own upstream.
 *
 * @module
 */
import {
	NodeEffectType, UpstreamFailure, type Announcement, type NodeEffect,
} from '@laburnumspool/core';
import {Pool} from 'undici';
import {CoreMessageType, type CoreTask} from './core-task.js';
import {
	ExchangeFailure, startExchange, type Exchange, type ExchangeResult,
} from './http-client.js';
import {
	filterHeaders, findHeader, findHeaders, HeaderName,
} from './http-messages.js';
import type {PartLog} from './logs.js';
import type {HeaderNames} from './settings.js';
import {WatchedConnections} from './watched-connections.js';

const connectMilliseconds = 1000;
const extraMilliseconds = 1000;
const longestMilliseconds = 600_000;
const misdirectedStatus = 421;

const failures: Readonly<Record<ExchangeFailure, UpstreamFailure>> = {
	[ExchangeFailure.NotConnected]: UpstreamFailure.NotConnected,
	[ExchangeFailure.Broken]: UpstreamFailure.Broken,
	[ExchangeFailure.TooLarge]: UpstreamFailure.TooLarge,
	[ExchangeFailure.Aborted]: UpstreamFailure.Cancelled,
};

type ExchangeAnswer = Extract<ExchangeResult, {success: true}>;
type DispatchEffect = Extract<NodeEffect, {type: NodeEffectType.Dispatch}>;

/**
 * Sends calls to the upstream, over no more connections than it announced.
 *
 * @example
 * const upstream = new UpstreamClient(core, settings.headers, log);
 */
export class UpstreamClient {
	readonly #core: CoreTask;
	readonly #log: PartLog;
	readonly #headers: HeaderNames;
	/** Headers of answers that are for the node, or that the caller's node sets. */
	readonly #ownHeaders: ReadonlySet<string>;
	readonly #open = new Map<string, Exchange>();
	readonly #connections = new WatchedConnections(connectMilliseconds);
	#pool: Pool | undefined;
	#poolKey = '';
	#instance: string | undefined;

	constructor(core: CoreTask, headers: HeaderNames, log: PartLog) {
		this.#core = core;
		this.#headers = headers;
		this.#ownHeaders = new Set([headers.requestId, headers.load].filter(name => name !== undefined));
		this.#log = log;
		core.handle({
			[NodeEffectType.UpstreamAnnounced]: ({announcement}) => {
				this.#setUpstream(announcement);
			},
			[NodeEffectType.Dispatch]: effect => {
				this.#dispatch(effect);
			},
			[NodeEffectType.CancelDispatch]: ({callId}) => {
				this.#open.get(callId)?.abort();
			},
		});
	}

	async close(): Promise<void> {
		await this.#pool?.destroy();
	}

	#setUpstream({address = '', connections, slots, service, instance}: Announcement): void {
		const connectionCount = Math.min(connections ?? slots, slots);
		this.#instance = instance;
		const key = `${address} ${connectionCount} ${instance ?? ''}`;
		if (key === this.#poolKey) {
			return;
		}

		const previous = this.#pool;
		this.#poolKey = key;
		this.#pool = new Pool(`http://${address}`, {connections: connectionCount, pipelining: 1, connect: this.#connections.connect});
		this.#log.info(`${service} ${instance ?? ''} is at ${address} with ${slots} slots`);
		void previous?.close();
	}

	#dispatch(effect: DispatchEffect): void {
		const {callId} = effect;
		if (this.#pool === undefined) {
			this.#core.post({type: CoreMessageType.UpstreamFailed, callId, failure: UpstreamFailure.NotConnected});
			return;
		}

		const {request, requestId, traceparent, tracestate, timeLeftMilliseconds, answerBytesLimit} = effect;
		const {timeLeft, requestId: requestIdName, expectedInstance} = this.#headers;
		const headers = [
			...request.headers,
			HeaderName.TraceParent,
			traceparent,
			HeaderName.TraceState,
			tracestate,
			timeLeft,
			String(Math.floor(timeLeftMilliseconds)),
			...(requestIdName === undefined || requestId === '' ? [] : [requestIdName, requestId]),
			...(expectedInstance === undefined || this.#instance === undefined ? [] : [expectedInstance, this.#instance]),
		];
		this.#connections.allowBody(answerBytesLimit);
		const timeoutMilliseconds = Math.min(longestMilliseconds, (timeLeftMilliseconds * 2) + extraMilliseconds);
		const exchange = startExchange(this.#pool, {
			method: request.method,
			path: request.target,
			headers,
			body: request.body,
			maximumBytes: answerBytesLimit,
			timeoutMilliseconds,
			totalMilliseconds: timeoutMilliseconds,
		}, result => {
			this.#open.delete(callId);
			this.#report(effect, result);
		}, this.#connections);
		this.#open.set(callId, exchange);
	}

	#report(effect: DispatchEffect, result: ExchangeResult): void {
		const {callId} = effect;
		const {requestId: name} = this.#headers;
		const names = findHeaders(result.headers, name);
		if (!result.success) {
			const isOwn = result.failure !== ExchangeFailure.TooLarge || this.#isNamed(effect, names);
			this.#core.post({type: CoreMessageType.UpstreamFailed, callId, failure: isOwn ? failures[result.failure] : UpstreamFailure.Broken});
			return;
		}

		const {status, body, connection} = result;
		const failure = this.#failureOf(effect, result, names);
		if (failure !== undefined || (name !== undefined && names.length === 0)) {
			// A second copy of this answer could not be told from one to a later call.
			connection?.close();
		}

		const answer = {status, headers: filterHeaders(result.headers, this.#ownHeaders), body};
		this.#core.post(failure === undefined
			? {type: CoreMessageType.UpstreamAnswered, callId, answer}
			: {type: CoreMessageType.UpstreamFailed, callId, failure});
	}

	/** Whether an answer with these names is one to the request, where names are in use. */
	#isNamed({requestId}: DispatchEffect, names: readonly string[]): boolean {
		return this.#headers.requestId === undefined || requestId === '' || (names.length > 0 && names.every(name => name === requestId));
	}

	/** What an answer with the mark of a refusal says, if it answers this call. */
	#refusalOf(status: number, headers: readonly string[]): UpstreamFailure | undefined {
		if (status === misdirectedStatus && this.#headers.expectedInstance !== undefined) {
			return UpstreamFailure.OtherInstance;
		}

		return findHeader(headers, this.#headers.notExecuted) === undefined ? undefined : UpstreamFailure.Refused;
	}

	/** What an answer says beside its body: that the request was not run, or that the answer is not its own. */
	#failureOf(effect: DispatchEffect, {status, headers, connection}: ExchangeAnswer, names: readonly string[]): UpstreamFailure | undefined {
		const {callId, requestId} = effect;
		const {signature} = this.#headers;
		if (names.some(name => name !== requestId)) {
			this.#log.warn(`the answer to ${callId} belongs to request ${names.join(' or ')} in place of ${requestId}`);
			return UpstreamFailure.Broken;
		}

		const refusal = this.#refusalOf(status, headers);
		if (refusal !== undefined) {
			const isProof = (names.length > 0 && requestId !== '') || connection?.isFirstAnswer === true;
			if (!isProof) {
				this.#log.warn(`the refusal of ${callId} names no request, and may be a second one of an earlier request`);
			}

			return isProof ? refusal : UpstreamFailure.Broken;
		}

		if (!this.#isNamed(effect, names)) {
			this.#log.warn(`the answer to ${callId} names no request, and may be a second one of an earlier request`);
			return UpstreamFailure.Broken;
		}

		if (connection?.isCut !== false) {
			this.#log.warn(`the answer to ${callId} has no length and ended with its connection, which was cut`);
			return UpstreamFailure.Broken;
		}

		const isUnsigned = signature !== undefined && status < 300 && findHeader(headers, signature) === undefined;
		return isUnsigned ? UpstreamFailure.Broken : undefined;
	}
}
