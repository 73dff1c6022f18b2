/**
 * The task that owns the connections to the upstream of this node.
 *
 * @module
 */
import {
	NodeEffectType, UpstreamFailure, type Announcement, type NodeEffect,
} from '@laburnumspool/core';
import {Pool} from 'undici';
import {StreamFlow, type AnswerStreams} from './answer-streams.js';
import {CoreMessageType, type CoreTask} from './core-task.js';
import {
	ExchangeFailure, startExchange, type Exchange, type ExchangeHead, type ExchangeResult, type ExchangeStream,
} from './http-client.js';
import {
	filterHeaders, findHeader, findHeaders, HeaderName,
} from './http-messages.js';
import type {Logger} from './logs.js';
import type {MemoryBudget} from './memory-budget.js';
import type {HeaderNames} from './settings.js';
import {WatchedConnections} from './watched-connections.js';

const connectTimeoutMilliseconds = 1000;

/** Added to twice the time left of a call; the sum is the longest time of its exchange. */
const exchangeMarginMilliseconds = 1000;
const maximumExchangeMilliseconds = 600_000;
const misdirectedStatus = 421;

/** Position of the slowness in a load header, after running calls, waiting calls and slots. */
const slowdownPosition = 3;

/** Body bytes of a download that are buffered. A smaller answer can still be replaced by that of a retry. */
const downloadBufferBytes = 64 * 1024;

const upstreamFailures: Readonly<Record<ExchangeFailure, UpstreamFailure>> = {
	[ExchangeFailure.NotConnected]: UpstreamFailure.NotConnected,
	[ExchangeFailure.Broken]: UpstreamFailure.Broken,
	[ExchangeFailure.TooLarge]: UpstreamFailure.TooLarge,
	[ExchangeFailure.Aborted]: UpstreamFailure.Cancelled,
};

type ExchangeAnswer = Extract<ExchangeResult, {success: true}>;
type DispatchEffect = Extract<NodeEffect, {type: NodeEffectType.Dispatch}>;

export type UpstreamClientDefinition = {
	readonly core: CoreTask;
	readonly streams: AnswerStreams;
	readonly headers: HeaderNames;
	readonly log: Logger;
	/** Counts the bodies of answers while they are buffered. Without it they are not counted. */
	readonly budget?: MemoryBudget;
};

/**
 * Sends calls to the upstream, over at most as many connections as the upstream announced.
 *
 * @example
 * const upstream = new UpstreamClient({core, streams, headers: settings.headers, log, budget});
 */
export class UpstreamClient {
	readonly #core: CoreTask;
	readonly #streams: AnswerStreams;
	readonly #log: Logger;
	readonly #budget: MemoryBudget | undefined;
	readonly #headers: HeaderNames;
	/** Headers of answers that are meant for this node, or that the entry node sets itself. */
	readonly #strippedHeaders: ReadonlySet<string>;
	readonly #exchanges = new Map<string, Exchange>();
	readonly #connections = new WatchedConnections(connectTimeoutMilliseconds);
	#pool: Pool | undefined;
	#poolKey = '';
	#instance: string | undefined;

	constructor({core, streams, headers, log, budget}: UpstreamClientDefinition) {
		this.#core = core;
		this.#streams = streams;
		this.#budget = budget;
		this.#headers = headers;
		this.#strippedHeaders = new Set([headers.requestId, headers.load].filter(name => name !== undefined));
		this.#log = log;
		core.handle({
			[NodeEffectType.UpstreamAnnounced]: ({announcement}) => {
				this.#setUpstream(announcement);
			},
			[NodeEffectType.Dispatch]: effect => {
				this.#dispatch(effect);
			},
			[NodeEffectType.CancelDispatch]: ({callId}) => {
				this.#exchanges.get(callId)?.abort();
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
		this.#log.info(`upstream ${service} ${instance ?? ''} is at ${address} with ${slots} slots`);
		void previous?.close();
	}

	#dispatch(effect: DispatchEffect): void {
		const {callId} = effect;
		if (this.#pool === undefined) {
			this.#core.post({type: CoreMessageType.UpstreamFailed, callId, failure: UpstreamFailure.NotConnected});
			return;
		}

		const {request, requestId, traceparent, tracestate, timeLeftMilliseconds, answerBytesLimit, canStream} = effect;
		const {timeLeft, requestId: requestIdHeader, expectedInstance} = this.#headers;
		const headers = [
			...request.headers,
			HeaderName.TraceParent,
			traceparent,
			HeaderName.TraceState,
			tracestate,
			timeLeft,
			String(Math.floor(timeLeftMilliseconds)),
			...(requestIdHeader === undefined || requestId === '' ? [] : [requestIdHeader, requestId]),
			...(expectedInstance === undefined || this.#instance === undefined ? [] : [expectedInstance, this.#instance]),
		];
		this.#connections.raiseByteLimit(answerBytesLimit);
		const timeoutMilliseconds = Math.min(maximumExchangeMilliseconds, (timeLeftMilliseconds * 2) + exchangeMarginMilliseconds);
		const exchange = startExchange(this.#pool, {
			method: request.method,
			path: request.target,
			headers,
			body: request.body,
			maximumBytes: answerBytesLimit,
			budget: this.#budget,
			timeoutMilliseconds,
			totalMilliseconds: timeoutMilliseconds,
			...(canStream ? {stream: this.#createStream(effect)} : {}),
		}, result => {
			this.#exchanges.delete(callId);
			this.#reportResult(effect, result);
			this.#streams.close(callId);
		}, this.#connections);
		this.#exchanges.set(callId, exchange);
	}

	/** Passes the body of a large answer on, once its head proves that it is the upstream's own answer to this call. */
	#createStream(effect: DispatchEffect): ExchangeStream {
		const {callId} = effect;
		let flow: StreamFlow | undefined;
		return {
			bufferBytes: downloadBufferBytes,
			start: (head, source) => {
				const requestIds = findHeaders(head.headers, this.#headers.requestId);
				if (this.#detectHeadFailure(effect, head, requestIds) !== undefined) {
					return false;
				}

				const bodyBytes = findHeader(head.headers, 'content-length');
				const startedFlow = new StreamFlow(source);
				flow = startedFlow;
				this.#streams.open(callId, startedFlow);
				this.#core.post({
					type: CoreMessageType.UpstreamStarted,
					callId,
					head: {
						status: head.status, headers: filterHeaders(head.headers, this.#strippedHeaders), bodyBytes: bodyBytes === undefined ? undefined : Number(bodyBytes),
					},
				});
				return true;
			},
			push: chunk => {
				flow?.sent(chunk.length);
				this.#streams.push(callId, chunk);
			},
		};
	}

	#reportResult(effect: DispatchEffect, result: ExchangeResult): void {
		const {callId} = effect;
		const {requestId: requestIdHeader} = this.#headers;
		const requestIds = findHeaders(result.headers, requestIdHeader);
		if (!result.success) {
			const belongsToCall = result.failure !== ExchangeFailure.TooLarge || this.#namesRequest(effect, requestIds);
			const failure = belongsToCall ? upstreamFailures[result.failure] : UpstreamFailure.Broken;
			this.#core.post({type: CoreMessageType.UpstreamFailed, callId, failure});
			return;
		}

		const {status, body, connection, isStreamed} = result;
		const failure = this.#detectFailure(effect, result, requestIds);
		if (failure !== undefined || (requestIdHeader !== undefined && requestIds.length === 0)) {
			// A duplicate of this answer could not be distinguished from the answer to a later call.
			connection?.close();
		}

		const answer = {
			status, headers: filterHeaders(result.headers, this.#strippedHeaders), body, ...(isStreamed ? {isStreamed} : {}),
		};
		this.#core.post(failure === undefined
			? {
				type: CoreMessageType.UpstreamAnswered, callId, answer, ...parseSlowdown(findHeader(result.headers, this.#headers.load)),
			}
			: {type: CoreMessageType.UpstreamFailed, callId, failure});
	}

	/** Whether the request ids of an answer match the call. Always true when request ids are not in use or the call has none. */
	#namesRequest({requestId}: DispatchEffect, requestIds: readonly string[]): boolean {
		return this.#headers.requestId === undefined || requestId === '' || (requestIds.length > 0 && requestIds.every(id => id === requestId));
	}

	/** Kind of refusal by status and headers; undefined for other answers. Does not check whether the answer belongs to the call. */
	#detectRefusal(status: number, headers: readonly string[]): UpstreamFailure | undefined {
		if (status === misdirectedStatus && this.#headers.expectedInstance !== undefined) {
			return UpstreamFailure.OtherInstance;
		}

		return findHeader(headers, this.#headers.notExecuted) === undefined ? undefined : UpstreamFailure.Refused;
	}

	/** As `#detectHeadFailure`; also `Broken` when the answer may have been cut off. */
	#detectFailure(effect: DispatchEffect, answer: ExchangeAnswer, requestIds: readonly string[]): UpstreamFailure | undefined {
		const failure = this.#detectHeadFailure(effect, answer, requestIds);
		if (failure === undefined && answer.connection?.hasAbnormalEnd !== false) {
			this.#log.warn(`dropped the answer to ${effect.callId}: it has no length, and its connection ended abnormally`);
			return UpstreamFailure.Broken;
		}

		return failure;
	}

	/**
	 * Returns a refusal when the answer proves that the request was not run, `Broken` when the answer is not proven to be the
	 * signed answer to this call, and undefined otherwise.
	 */
	#detectHeadFailure(effect: DispatchEffect, answer: ExchangeHead, requestIds: readonly string[]): UpstreamFailure | undefined {
		const {callId, requestId} = effect;
		const {status, headers, connection} = answer;
		const {signature} = this.#headers;
		if (requestIds.some(id => id !== requestId)) {
			const expected = requestId === '' ? 'none' : requestId;
			this.#log.warn(`dropped the answer to ${callId}: it carries request id ${requestIds.join(' and ')}, expected ${expected}`);
			return UpstreamFailure.Broken;
		}

		const refusal = this.#detectRefusal(status, headers);
		if (refusal !== undefined) {
			const isProof = (requestIds.length > 0 && requestId !== '') || connection?.isFirstAnswer === true;
			if (!isProof) {
				this.#log.warn(`dropped the refusal of ${callId}: it carries no request id and may belong to an earlier request`);
			}

			return isProof ? refusal : UpstreamFailure.Broken;
		}

		if (!this.#namesRequest(effect, requestIds)) {
			this.#log.warn(`dropped the answer to ${callId}: it carries no request id and may belong to an earlier request`);
			return UpstreamFailure.Broken;
		}

		const isUnsigned = signature !== undefined && status < 300 && findHeader(headers, signature) === undefined;
		return isUnsigned ? UpstreamFailure.Broken : undefined;
	}
}

/**
 * Reads the fourth figure of a load header: the time that work takes now, in percent of the usual one. Nothing for a header
 * without it, or with one that is not a positive number.
 */
function parseSlowdown(load: string | undefined): {readonly slowdown?: number} {
	const slowdown = Number(load?.split(',')[slowdownPosition]) / 100;
	return Number.isFinite(slowdown) && slowdown > 0 ? {slowdown} : {};
}
