/**
 * Asks a running node for an explanation.
 *
 * @module
 */
import {
	ErrorKind, LaburnumspoolError, tryParseJson, type Explanation,
} from '@laburnumspool/core';
import {Agent} from 'undici';
import * as valibot from 'valibot';

const connectTimeoutMilliseconds = 2000;
const answerTimeoutMilliseconds = 5000;
const maximumAnswerBytes = 16 * 1024 * 1024;
const explainPath = '/laburnumspool/v1/explain';

/** The parts that every explanation has. Nodes of later versions may add others. */
const explanationSchema = valibot.looseObject({
	node: valibot.looseObject({name: valibot.string()}),
	checks: valibot.array(valibot.looseObject({check: valibot.string(), result: valibot.string(), detail: valibot.string()})),
	candidates: valibot.array(valibot.looseObject({node: valibot.string(), distance: valibot.string(), headroom: valibot.number()})),
	choice: valibot.looseObject({rule: valibot.string(), detail: valibot.string()}),
});
const problemSchema = valibot.looseObject({detail: valibot.string()});

/** The request in question, as the node reads it. Fields that are undefined are not sent. */
export type Question = {
	readonly method?: string | undefined;
	readonly host?: string | undefined;
	/** Path and query, as a caller would send them. */
	readonly path: string;
	readonly organisationKey?: string | undefined;
	readonly requestId?: string | undefined;
	readonly idempotencyKey?: string | undefined;
	readonly traceparent?: string | undefined;
	readonly tracestate?: string | undefined;
	readonly timeLeftMilliseconds?: number | undefined;
	readonly bodyBytes?: number | undefined;
};

type Reply = {readonly status: number; readonly body: unknown};

/**
 * Asks a node; rejects with `peer-connection-lost` when it does not answer in time, with `unknown-request-kind` when it is of a
 * version without explanations or this is not the port of its metrics, and with `malformed` when it rejects the question.
 *
 * @param node - address HOST:PORT of the port of the node's metrics
 * @example
 * const {choice} = await askNode('127.0.0.1:9464', {path: '/orders/7', host: 'shop.example'});
 */
export async function askNode(node: string, question: Question): Promise<Explanation> {
	const {status, body} = await send(node, question);
	if (status === 404) {
		throw new LaburnumspoolError(ErrorKind.UnknownRequestKind, `${node} offers no explanations: its version is older, or this is not the port of its metrics (ports.metrics)`);
	}

	if (status !== 200) {
		const problem = valibot.safeParse(problemSchema, body);
		const kind = status === 400 || status === 413 ? ErrorKind.Malformed : ErrorKind.PeerConnectionLost;
		throw new LaburnumspoolError(kind, `${node} answered with status ${status}${problem.success ? `: ${problem.output.detail}` : ''}`);
	}

	const explanation = valibot.safeParse(explanationSchema, body);
	if (!explanation.success) {
		throw new LaburnumspoolError(ErrorKind.PeerConnectionLost, `${node} sent no valid explanation; it may be another program`);
	}

	return explanation.output as unknown as Explanation;
}

async function send(node: string, question: Question): Promise<Reply> {
	const agent = new Agent({
		connectTimeout: connectTimeoutMilliseconds, headersTimeout: answerTimeoutMilliseconds, bodyTimeout: answerTimeoutMilliseconds, maxResponseSize: maximumAnswerBytes,
	});
	try {
		const response = await agent.request({
			origin: `http://${node}`, path: explainPath, method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify(question), signal: AbortSignal.timeout(connectTimeoutMilliseconds + answerTimeoutMilliseconds),
		});
		const text = await response.body.text();
		return {status: response.statusCode, body: tryParseJson(text)};
	} catch (error) {
		throw new LaburnumspoolError(ErrorKind.PeerConnectionLost, `${node} did not answer: ${error instanceof Error ? error.message : String(error)}`, {cause: error});
	} finally {
		await agent.destroy();
	}
}
