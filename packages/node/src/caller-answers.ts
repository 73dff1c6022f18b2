/**
 * Sends the answers of the core to callers.
 *
 * @module
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {
	ErrorKind, Outcome, type AnswerHead, type CallerAnswer, type NodeEffect, type NodeEffectType,
} from '@laburnumspool/core';
import type {AnswerStreams} from './answer-streams.js';
import {filterHeaders, HeaderName, sendProblem} from './http-messages.js';
import {smallBodyBytes, type MemoryBudget} from './memory-budget.js';
import type {OpenRequest, OpenRequests} from './open-requests.js';
import {readUntilClosed} from './refusals.js';
import {StreamedAnswer} from './streamed-answer.js';

const reservedAnswerHeaders: ReadonlySet<string> = new Set([HeaderName.Outcome, HeaderName.Attempts]);

type StartAnswerEffect = Extract<NodeEffect, {type: NodeEffectType.StartCallerAnswer}>;

export type CallerAnswersDefinition = {
	readonly openRequests: OpenRequests;
	readonly streams: AnswerStreams;
	readonly budget: MemoryBudget;
	/** Header that repeats the caller's id of the request; undefined when the deployment has none. */
	readonly requestIdHeader: string | undefined;
	/** Whether the last answer of each connection closes it. */
	readonly isStopping: () => boolean;
	/** Receives the outcome of each answer and its duration. */
	readonly observeAnswer: (kind: string, milliseconds: number) => void;
	/** Called for each request that is no longer open. */
	readonly observeEnd: (socket: Socket) => void;
};

/**
 * Writes answers to the responses of the open requests. Answers to requests that are no longer open are dropped.
 *
 * @example
 * const answers = new CallerAnswers(definition);
 * answers.send(entryId, answer);
 */
export class CallerAnswers {
	readonly #definition: CallerAnswersDefinition;

	constructor(definition: CallerAnswersDefinition) {
		this.#definition = definition;
	}

	/** Sends a whole answer, or ends one whose body was passed on as it arrived. */
	send(entryId: number, answer: CallerAnswer): void {
		const openRequest = this.#definition.openRequests.remove(entryId);
		if (openRequest === undefined) {
			return;
		}

		const {response, startedAt, streamedAnswer} = openRequest;
		this.#definition.observeEnd(openRequest.socket);
		this.#definition.observeAnswer(answer.outcome, performance.now() - startedAt);
		if (streamedAnswer !== undefined) {
			if (answer.answer?.isStreamed === true) {
				streamedAnswer.finish();
			} else {
				streamedAnswer.breakOff();
			}

			return;
		}

		this.#closeConnectionIfLast(entryId, openRequest);
		if (answer.answer === undefined) {
			sendProblem(response, answer.error ?? {kind: ErrorKind.UpstreamBroken, detail: 'No answer was received'}, answer.outcome, answer.attempts);
			return;
		}

		const {status, body} = answer.answer;
		const headerPairs = this.#toAnswerHeaders(openRequest, answer.answer);
		headerPairs.push(HeaderName.Outcome, answer.outcome, HeaderName.Attempts, String(answer.attempts), 'content-length', String(body.length));
		response.writeHead(status, headerPairs);
		this.#holdUntilSent(response, body.length);
		response.end(body);
	}

	/** Sends the head of an answer whose body follows. Its attempts are not known yet. */
	start({entryId, callId, head}: StartAnswerEffect): void {
		const openRequest = this.#definition.openRequests.get(entryId);
		if (openRequest === undefined) {
			return;
		}

		const {response} = openRequest;
		this.#closeConnectionIfLast(entryId, openRequest);
		const headerPairs = this.#toAnswerHeaders(openRequest, head);
		headerPairs.push(HeaderName.Outcome, Outcome.Ran);
		if (head.bodyBytes !== undefined) {
			headerPairs.push('content-length', String(head.bodyBytes));
		}

		response.writeHead(head.status, headerPairs);
		const streamedAnswer = new StreamedAnswer(response, head.bodyBytes, bytes => {
			this.#definition.streams.consumed(callId, bytes);
		});
		openRequest.streamedAnswer = streamedAnswer;
		this.#definition.streams.attach(callId, streamedAnswer);
	}

	/** While the node stops, the answer to the last request of a connection closes the connection. */
	#closeConnectionIfLast(entryId: number, {response, socket}: OpenRequest): void {
		if ((this.#definition.isStopping() || this.#definition.openRequests.isUnreadable(socket)) && this.#definition.openRequests.closeWithAnswer(entryId, socket)) {
			response.shouldKeepAlive = false;
			if (!this.#definition.openRequests.isUnreadable(socket)) {
				readUntilClosed(socket);
			}
		}
	}

	/** Counts a large answer in the budget until it is sent, since its caller may read slowly. */
	#holdUntilSent(response: ServerResponse, bytes: number): void {
		if (bytes > smallBodyBytes) {
			const {release} = this.#definition.budget.hold(bytes);
			response.once('close', release);
		}
	}

	#toAnswerHeaders({requestId}: OpenRequest, {headers}: Pick<AnswerHead, 'headers'>): string[] {
		const headerPairs = filterHeaders(headers, reservedAnswerHeaders);
		const {requestIdHeader} = this.#definition;
		if (requestIdHeader !== undefined && requestId !== '') {
			headerPairs.push(requestIdHeader, requestId);
		}

		return headerPairs;
	}
}
