/**
 * What the HTTP servers and clients share: bodies within a bound, headers that belong to one connection, and errors as
 * problem details (RFC 9457).
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	errorAnswers, ErrorKind, LaburnumspoolError, Outcome, statusOf, type CallError, type RawHeaders,
} from '@laburnumspool/core';
import {BodyBuffer} from './body-buffer.js';

const retryAfterSeconds = 1;

/** The body of a request without one. */
export const noBody = Buffer.alloc(0);

/** Headers of one connection, never passed on. */
const hopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'content-length', 'expect',
]);

/** Values of the connection header that declare no others. */
const onlyKeepsOrCloses = /^(?:keep-alive|close)$/iu;

/** Names of the system's own headers. */
export enum HeaderName {
	Key = 'idempotency-key',
	Timeout = 'laburnumspool-timeout-ms',
	Outcome = 'laburnumspool-outcome',
	Attempts = 'laburnumspool-attempts',
	TraceParent = 'traceparent',
	TraceState = 'tracestate',
}

/** Pairs of name and value of raw headers, with lower-case names, without those of one connection and those to drop. */
export function filterHeaders(headers: RawHeaders, dropped: ReadonlySet<string>): string[] {
	const kept: string[] = [];
	let declared: string | undefined;
	for (let position = 0; position + 1 < headers.length; position += 2) {
		const name = headers[position]!.toLowerCase();
		if (name === 'connection') {
			declared = declared === undefined ? headers[position + 1] : `${declared},${headers[position + 1]}`;
		} else if (!hopHeaders.has(name) && !dropped.has(name)) {
			kept.push(name, headers[position + 1]!);
		}
	}

	return declared === undefined || onlyKeepsOrCloses.test(declared) ? kept : withoutDeclared(kept, declared);
}

/** Leaves out the headers that the sender declares as those of the connection. */
function withoutDeclared(headers: readonly string[], declared: string): string[] {
	const names = new Set(declared.split(',').map(name => name.trim().toLowerCase()));
	return headers.flatMap((name, position) => position % 2 === 0 && !names.has(name) ? [name, headers[position + 1]!] : []);
}

/** Values of a header among raw pairs with lower-case names. */
export function findHeaders(headers: RawHeaders, name: string | undefined): string[] {
	return name === undefined ? [] : headers.filter((_value, index) => index % 2 === 1 && headers[index - 1] === name);
}

/** Value of a header among raw pairs with lower-case names. */
export function findHeader(headers: RawHeaders, name: string | undefined): string | undefined {
	const position = name === undefined ? -1 : headers.findIndex((header, index) => index % 2 === 0 && header === name);
	return position === -1 ? undefined : headers[position + 1];
}

/** Whether a request has a body to be read. */
export function hasBody(request: IncomingMessage): boolean {
	return request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0;
}

/** Reads a body; rejects with `payload-too-large`, or with `malformed` when the sender stops before its end. */
export async function readBody(request: IncomingMessage, maximumBytes: number): Promise<Buffer> {
	const declared = Number(request.headers['content-length'] ?? 0);
	if (declared > maximumBytes) {
		throw new LaburnumspoolError(ErrorKind.PayloadTooLarge, `The body has ${declared} bytes; at most ${maximumBytes} are taken`);
	}

	if (!hasBody(request)) {
		return noBody;
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
		const endEarly = (): void => {
			if (!request.complete) {
				reject(new LaburnumspoolError(ErrorKind.Malformed, 'The body ended early'));
			}
		};

		request.once('end', () => {
			resolve(body.bytes);
		});
		request.once('close', endEarly);
		request.once('error', endEarly);
	});
}

/** The body of an error answer. */
export function problemOf(error: CallError, outcome: Outcome): string {
	const {title} = errorAnswers[error.kind];
	return JSON.stringify({
		type: 'about:blank', title, status: statusOf(error.kind, outcome), kind: error.kind, detail: error.detail,
	});
}

/** Answers with an error of the closed list. */
export function sendProblem(response: ServerResponse, error: CallError, outcome = Outcome.NotRun, attempts = 0): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const status = statusOf(error.kind, outcome);
	const body = problemOf(error, outcome);
	response.writeHead(status, {
		'content-type': 'application/problem+json',
		'content-length': Buffer.byteLength(body),
		[HeaderName.Outcome]: outcome,
		[HeaderName.Attempts]: String(attempts),
		...(status === 503 ? {'retry-after': String(retryAfterSeconds)} : {}),
	});
	response.end(body);
}

/** An error as it is told to others; unexpected ones say nothing of their inside. */
export function toCallError(error: unknown): CallError {
	return error instanceof LaburnumspoolError
		? {kind: error.kind, detail: error.message}
		: {kind: ErrorKind.Malformed, detail: 'The request could not be processed'};
}

/** Answers a request that is not HTTP, or whose headers are too large. */
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
	socket.end(`HTTP/1.1 ${status}\r\ncontent-type: application/problem+json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n${HeaderName.Outcome}: ${Outcome.NotRun}\r\nconnection: close\r\n\r\n${body}`);
}
