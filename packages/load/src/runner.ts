/**
 * Sends the planned requests over HTTP and classifies each answer.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, type Dispatcher} from 'undici';
import {v7 as newTimedKey} from 'uuid';
import {planArrivals, type Arrival} from './arrivals.js';
import type {Profile} from './profile.js';
import {
	ResultType, summarize, type RequestResult, type Summary,
} from './results.js';

const maximumConnectionsPerNode = 512;
const schedulerTickMilliseconds = 1;
/** Wait for an answer after the time limit, so that a late answer is told apart from a missing one. */
const answerGraceMilliseconds = 1000;
const retryDelayMilliseconds = 20;

type AttemptResult = {readonly type: ResultType; readonly attempts: number};

/**
 * Sends the load of a profile and summarizes the results. Resolves when every request has ended.
 *
 * @param onPhaseStart - called with the name of a phase just before its first request is sent
 * @example
 * const summary = await runProfile(profile, phase => console.log(phase));
 */
export async function runProfile(profile: Profile, onPhaseStart: (phase: string) => void = () => undefined): Promise<{summary: Summary; results: RequestResult[]}> {
	const agent = new Agent({connections: maximumConnectionsPerNode, pipelining: 1});
	const arrivals = planArrivals(profile);
	const startedAt = performance.now();
	const pending: Array<Promise<RequestResult>> = [];
	let phase = '';
	let nextIndex = 0;
	while (nextIndex < arrivals.length) {
		const now = performance.now() - startedAt;
		while (nextIndex < arrivals.length && arrivals[nextIndex]!.offsetMilliseconds <= now) {
			const arrival = arrivals[nextIndex]!;
			if (arrival.phase !== phase) {
				phase = arrival.phase;
				onPhaseStart(phase);
			}

			pending.push(sendWithRetries(agent, arrival, startedAt));
			nextIndex += 1;
		}

		await delay(schedulerTickMilliseconds); // eslint-disable-line no-await-in-loop
	}

	const results = await Promise.all(pending);
	await agent.destroy();
	return {summary: summarize(profile, results), results};
}

async function sendWithRetries(agent: Agent, arrival: Arrival, runStartedAt: number): Promise<RequestResult> {
	const {request, phase, index} = arrival;
	const idempotencyKey = request.keyed ? newTimedKey() : undefined;
	const firstSentAt = performance.now();
	let attempt = await sendAttempt(agent, arrival, idempotencyKey, firstSentAt);
	let callerAttempts = 1;
	while (attempt.type !== ResultType.Good && attempt.type !== ResultType.Wrong && callerAttempts <= request.callerRetries && performance.now() - firstSentAt < request.timeoutMilliseconds) {
		await delay(retryDelayMilliseconds); // eslint-disable-line no-await-in-loop
		attempt = await sendAttempt(agent, {...arrival, index}, idempotencyKey, firstSentAt); // eslint-disable-line no-await-in-loop
		callerAttempts += 1;
	}

	return {
		kind: request.kind, phase, sentAtMilliseconds: firstSentAt - runStartedAt, latencyMilliseconds: performance.now() - firstSentAt, callerAttempts, ...attempt,
	};
}

async function sendAttempt(agent: Agent, arrival: Arrival, idempotencyKey: string | undefined, firstSentAt: number): Promise<AttemptResult> {
	const {request, node, index} = arrival;
	const requestId = `request-${index}`;
	const remainingMilliseconds = Math.max(1, Math.floor(request.timeoutMilliseconds - (performance.now() - firstSentAt)));
	try {
		const answer = await agent.request({
			origin: `http://${node}`,
			method: request.method,
			path: request.path.replace('{n}', String(index)),
			headers: {
				'x-request-id': requestId, 'laburnumspool-timeout-ms': String(remainingMilliseconds), ...(idempotencyKey === undefined ? {} : {'idempotency-key': idempotencyKey}),
			},
			headersTimeout: remainingMilliseconds + answerGraceMilliseconds,
			bodyTimeout: remainingMilliseconds + answerGraceMilliseconds,
		});
		const body = await answer.body.text();
		const isInTime = performance.now() - firstSentAt <= request.timeoutMilliseconds;
		return {type: classifyAnswer(answer.statusCode, String(answer.headers['laburnumspool-outcome']), body, requestId, isInTime), attempts: Number(answer.headers['laburnumspool-attempts'] ?? 0)};
	} catch {
		return {type: ResultType.Unknown, attempts: 0};
	}
}

function classifyAnswer(status: number, outcome: string, body: string, requestId: string, isInTime: boolean): ResultType {
	if (outcome === 'not-run') {
		return ResultType.NotRun;
	}

	if (outcome === 'unknown') {
		return ResultType.Unknown;
	}

	if (status >= 400) {
		return ResultType.Failed;
	}

	if (!hasRequestId(body, requestId)) {
		return ResultType.Wrong;
	}

	return isInTime ? ResultType.Good : ResultType.Late;
}

function hasRequestId(body: string, requestId: string): boolean {
	try {
		return (JSON.parse(body) as {id?: unknown}).id === requestId;
	} catch {
		return false;
	}
}
