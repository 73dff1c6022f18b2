/**
 * Questions of operators about where a request would go: their form, and their conversion to requests for the core.
 *
 * @module
 */
import {
	ErrorKind, LaburnumspoolError, parseJson, type CallerRequest, type CheckExplanation, type Explanation, type Importance, type NodeCore,
} from '@laburnumspool/core';
import * as valibot from 'valibot';
import {splitServicePath, toOrganisationKey} from './caller-request.js';
import {emptyBody} from './http-messages.js';

/** Path of questions at the port of the metrics. */
export const explainPath = '/laburnumspool/v1/explain';

/** A path has at most 8,192 characters and a key 1,024, and JSON may write each character with up to six. */
export const maximumQuestionBytes = 64 * 1024;

const maximumPathCharacters = 8192;
const maximumTextCharacters = 1024;

const text = valibot.pipe(valibot.string(), valibot.regex(/^[\u0020-\u007E]*$/u), valibot.maxLength(maximumTextCharacters));
const count = valibot.pipe(valibot.number(), valibot.safeInteger(), valibot.minValue(0));

const questionSchema = valibot.strictObject({
	method: valibot.optional(valibot.pipe(valibot.string(), valibot.regex(/^[A-Z]{1,32}$/u)), 'GET'),
	host: valibot.optional(text, ''),
	/** Path and query, as a caller would send them. */
	path: valibot.pipe(valibot.string(), valibot.regex(/^\/[\u0021-\u007E]*$/u), valibot.maxLength(maximumPathCharacters)),
	/** Key of the organisation; without it the request carries none. */
	organisationKey: valibot.optional(text),
	requestId: valibot.optional(text),
	idempotencyKey: valibot.optional(text),
	traceparent: valibot.optional(text),
	tracestate: valibot.optional(text),
	timeLeftMilliseconds: valibot.optional(count),
	bodyBytes: valibot.optional(count, 0),
});

/** A request that is not sent. */
export type Question = valibot.InferOutput<typeof questionSchema>;

/**
 * Parses a question; throws `malformed` with the path of each invalid value, and without any value, since one is a key.
 *
 * @example
 * parseQuestion('{"path":"/orders/7","host":"shop.example","bodyBytes":2000}');
 */
export function parseQuestion(json: string): Question {
	const result = valibot.safeParse(questionSchema, parseJson(json, ErrorKind.Malformed, 'body: not JSON'));
	if (!result.success) {
		const paths = result.issues.map(issue => valibot.getDotPath(issue) ?? 'body');
		throw new LaburnumspoolError(ErrorKind.Malformed, `invalid or unknown: ${[...new Set(paths)].join(', ')}`);
	}

	return result.output;
}

/**
 * The request of a question as the callers' port passes it to the core.
 *
 * @param usesRoutes - whether requests are matched by host and path prefix
 * @param readsKeys - whether the settings name the header of the key
 * @example
 * toCallerRequest(parseQuestion('{"path":"/deposits/pay?id=7"}'), false, false).service; // 'deposits'
 */
export function toCallerRequest(question: Question, usesRoutes: boolean, readsKeys: boolean): CallerRequest {
	const {service = '', target = question.path} = usesRoutes ? {} : splitServicePath(question.path) ?? {};
	const {organisationKey} = question;
	return {
		entryId: 0,
		host: question.host,
		requestId: question.requestId ?? '',
		service,
		request: {
			method: question.method, target, headers: [], body: emptyBody, digest: '',
		},
		organisationKey: organisationKey === undefined || !readsKeys ? undefined : toOrganisationKey(organisationKey),
		key: question.idempotencyKey,
		timeoutMilliseconds: question.timeLeftMilliseconds,
		traceparent: question.traceparent,
		tracestate: question.tracestate,
	};
}

export type ExplainerDefinition = {
	readonly core: NodeCore;
	/** Milliseconds on the monotonic clock of the node. */
	readonly clock: () => number;
	/** Whether the settings name the header of the key. */
	readonly readsKeys: boolean;
	/** Checks of the callers' port for a body of the given length. */
	readonly checksOf: (bodyBytes: number, importance: Importance) => readonly CheckExplanation[];
};

/**
 * Creates the function that answers questions. Its random numbers are not those of the core.
 *
 * @example
 * const explain = createExplainer(definition);
 * explain(parseQuestion('{"path":"/orders/7"}')).choice.node; // 'node-2'
 */
export function createExplainer({core, clock, readsKeys, checksOf}: ExplainerDefinition): (question: Question) => Explanation {
	return question => {
		const caller = toCallerRequest(question, core.usesRoutes, readsKeys);
		const {host, service, request: {method, target}} = caller;
		const importance = core.importanceOf({
			method, host: host ?? '', service, target,
		});
		return core.explain({caller, bodyBytes: question.bodyBytes, hostChecks: checksOf(question.bodyBytes, importance)}, Math.random, clock());
	};
}
