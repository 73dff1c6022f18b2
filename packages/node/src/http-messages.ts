/**
 * Functions that the HTTP servers and clients share: bodies with a size limit, hop-by-hop headers, and errors as problem
 * details (RFC 9457).
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	errorAnswers, ErrorKind, LaburnumspoolError, Outcome, statusOf, type CallError, type RawHeaders,
} from '@laburnumspool/core';
import {BodyBuffer} from './body-buffer.js';

/** Statuses that are sent with `retry-after`. */
const retryStatuses: ReadonlySet<number> = new Set([429, 503]);
const defaultRetryAfterMilliseconds = 1000;

/** Body of a request that has none. */
export const emptyBody = Buffer.alloc(0);

/** Headers that apply to one connection only and are never passed on. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'content-length',
	'expect',
]);

/** Values of the connection header that declare no further hop-by-hop headers. */
const standardConnectionOption = /^(?:keep-alive|close)$/iu;

export enum HeaderName {
	Key = 'idempotency-key',
	Timeout = 'laburnumspool-timeout-ms',
	Outcome = 'laburnumspool-outcome',
	Attempts = 'laburnumspool-attempts',
	TraceParent = 'traceparent',
	TraceState = 'tracestate',
}

/** Returns names and values in turn, with names in lower case, without hop-by-hop headers and without those in `dropped`. */
export function filterHeaders(headers: RawHeaders, dropped: ReadonlySet<string>): string[] {
	const pairs: string[] = [];
	let declaredNames: string | undefined;
	for (let position = 0; position + 1 < headers.length; position += 2) {
		const name = headers[position]!.toLowerCase();
		if (name === 'connection') {
			declaredNames = declaredNames === undefined ? headers[position + 1] : `${declaredNames},${headers[position + 1]}`;
		} else if (!hopByHopHeaders.has(name) && !dropped.has(name)) {
			pairs.push(name, headers[position + 1]!);
		}
	}

	return declaredNames === undefined || standardConnectionOption.test(declaredNames) ? pairs : dropDeclaredHeaders(pairs, declaredNames);
}

/** Removes the headers that the sender declares as hop-by-hop in its connection header. */
function dropDeclaredHeaders(headers: readonly string[], declaredNames: string): string[] {
	const names = new Set(declaredNames.split(',').map(name => name.trim().toLowerCase()));
	return headers.flatMap((name, position) => position % 2 === 0 && !names.has(name) ? [name, headers[position + 1]!] : []);
}

/** All values of a header in a list of names and values in turn, with names in lower case. */
export function findHeaders(headers: RawHeaders, name: string | undefined): string[] {
	return name === undefined ? [] : headers.filter((_value, index) => index % 2 === 1 && headers[index - 1] === name);
}

/** First value of a header in a list of names and values in turn, with names in lower case. */
export function findHeader(headers: RawHeaders, name: string | undefined): string | undefined {
	const position = name === undefined ? -1 : headers.findIndex((header, index) => index % 2 === 0 && header === name);
	return position === -1 ? undefined : headers[position + 1];
}

export function hasBody(request: IncomingMessage): boolean {
	return request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0;
}

/** Reads a body. Rejects with `payload-too-large`, or with `malformed` when the request ends before its body is complete. */
export async function readBody(request: IncomingMessage, maximumBytes: number): Promise<Buffer> {
	const declaredBytes = Number(request.headers['content-length'] ?? 0);
	if (declaredBytes > maximumBytes) {
		throw new LaburnumspoolError(ErrorKind.PayloadTooLarge, `The body has ${declaredBytes} bytes; at most ${maximumBytes} are accepted`);
	}

	if (!hasBody(request)) {
		return emptyBody;
	}

	return new Promise((resolve, reject) => {
		const body = new BodyBuffer();
		request.on('data', (chunk: Buffer) => {
			if (body.length + chunk.length > maximumBytes) {
				reject(new LaburnumspoolError(ErrorKind.PayloadTooLarge, `The body exceeds ${maximumBytes} bytes`));
				return;
			}

			body.add(chunk);
		});
		const rejectIncomplete = (): void => {
			if (!request.complete) {
				reject(new LaburnumspoolError(ErrorKind.Malformed, 'The request ended before its body was complete'));
			}
		};

		request.once('end', () => {
			resolve(body.bytes);
		});
		request.once('close', rejectIncomplete);
		request.once('error', rejectIncomplete);
	});
}

/** Problem details (RFC 9457) of an error as JSON. */
export function formatProblem(error: CallError, outcome: Outcome): string {
	const {title} = errorAnswers[error.kind];
	return JSON.stringify({
		type: 'about:blank', title, status: statusOf(error.kind, outcome), kind: error.kind, detail: error.detail,
	});
}

/** Answers with problem details. Does nothing when an answer has started or the connection is closed. */
export function sendProblem(response: ServerResponse, error: CallError, outcome = Outcome.NotRun, attempts = 0): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const status = statusOf(error.kind, outcome);
	const body = formatProblem(error, outcome);
	response.writeHead(status, {
		'content-type': 'application/problem+json',
		'content-length': Buffer.byteLength(body),
		[HeaderName.Outcome]: outcome,
		[HeaderName.Attempts]: String(attempts),
		...(retryStatuses.has(status) ? {'retry-after': formatRetryAfter(error)} : {}),
	});
	response.end(body);
}

/** Seconds with up to three decimals, never less than the given time. */
function formatRetryAfter({retryAfterMilliseconds = defaultRetryAfterMilliseconds}: CallError): string {
	return String(Math.ceil(retryAfterMilliseconds) / 1000);
}

/** Converts an error for callers and other nodes. An unexpected error is reported without its message, which may reveal internals. */
export function toCallError(error: unknown): CallError {
	return error instanceof LaburnumspoolError
		? {kind: error.kind, detail: error.message}
		: {kind: ErrorKind.Malformed, detail: 'The request could not be processed'};
}

/** Answers a request that cannot be parsed, has too large headers or does not arrive in time, and closes the connection. */
export function sendClientError(error: NodeJS.ErrnoException, socket: {readonly writable: boolean; readonly end: (text: string) => void}): void {
	if (!socket.writable) {
		return;
	}

	const isTooLarge = error.code === 'HPE_HEADER_OVERFLOW';
	const isSlow = error.code === 'ERR_HTTP_REQUEST_TIMEOUT';
	const status = isTooLarge ? '431 Request Header Fields Too Large' : (isSlow ? '408 Request Timeout' : '400 Bad Request');
	const detail = isTooLarge ? 'The headers are too large' : (isSlow ? 'The request did not arrive in time' : 'The request is not valid HTTP/1.1');
	const body = JSON.stringify({
		type: 'about:blank', title: 'The request is malformed', status: Number(status.slice(0, 3)), kind: ErrorKind.Malformed, detail,
	});
	const headers = [
		'content-type: application/problem+json',
		`content-length: ${Buffer.byteLength(body)}`,
		`${HeaderName.Outcome}: ${Outcome.NotRun}`,
		'connection: close',
	];
	socket.end(`HTTP/1.1 ${status}\r\n${headers.join('\r\n')}\r\n\r\n${body}`);
}
