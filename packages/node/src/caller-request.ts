/**
 * Conversion of HTTP requests of callers to requests for the core.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	ErrorKind, LaburnumspoolError, requestDigest, unusableKey, type CallerRequest, type RequestTarget,
} from '@laburnumspool/core';
import {filterHeaders, HeaderName} from './http-messages.js';
import type {HeaderNames} from './settings.js';

export type RequestReaderDefinition = {
	readonly headers: HeaderNames;
	/** Service of the own upstream; undefined when the node has none. */
	readonly service: string | undefined;
	/** Whether requests are matched by host and path prefix, and not by the service that their path names. */
	readonly usesRoutes: () => boolean;
};

/** Converts one request, whose body was read, and throws `malformed` for an invalid header. */
export type RequestReader = (entryId: number, request: IncomingMessage, url: string, body: Buffer) => CallerRequest;

/**
 * Creates the reader of a node's requests.
 *
 * @example
 * const readRequest = createRequestReader({headers, service: 'catalogue', usesRoutes: () => false});
 * readRequest(1, request, '/deposits/pay?id=7', body).service; // 'deposits'
 */
export function createRequestReader({headers, service, usesRoutes}: RequestReaderDefinition): RequestReader {
	const droppedHeaders = headersToDrop(headers);
	return (entryId, request, url, body) => {
		const method = request.method ?? 'GET';
		const servicePath = usesRoutes() ? undefined : splitServicePath(url);
		const key = headerValue(request, HeaderName.Key);
		const target = servicePath?.target ?? url;
		const passedHeaders = filterHeaders(request.rawHeaders, droppedHeaders);
		return {
			entryId,
			host: request.headers.host ?? '',
			requestId: headers.requestId === undefined ? '' : headerValue(request, headers.requestId) ?? '',
			service: servicePath?.service ?? '',
			request: {
				method,
				target,
				headers: headers.callerService === undefined || service === undefined ? passedHeaders : [...passedHeaders, headers.callerService, service],
				body,
				digest: key === undefined ? '' : requestDigest({method, target, body}),
			},
			organisationKey: headers.organisationKey === undefined ? undefined : readOrganisationKey(request, headers.organisationKey),
			key,
			timeoutMilliseconds: parseTimeout(headers.timeLeft, headerValue(request, headers.timeLeft)),
			traceparent: headerValue(request, HeaderName.TraceParent),
			tracestate: headerValue(request, HeaderName.TraceState),
		};
	};
}

/**
 * Headers that the node sets itself on the way to the upstream, and the key of the organisation. The request id is passed on
 * outside the headers, and the core adds the name of the organisation.
 */
function headersToDrop({timeLeft, requestId, expectedInstance, callerService, organisationKey, organisation}: HeaderNames): ReadonlySet<string> {
	const optionalNames = [requestId, expectedInstance, callerService, organisationKey, organisation].filter(name => name !== undefined);
	return new Set([timeLeft, HeaderName.TraceParent, HeaderName.TraceState, ...optionalNames]);
}

/**
 * The parts of a request's head that its importance depends on.
 *
 * @param usesRoutes - whether requests are matched by host and path prefix
 * @example
 * toRequestTarget(request, '/deposits/pay?id=7', false).service; // 'deposits'
 */
export function toRequestTarget(request: IncomingMessage, url: string, usesRoutes: boolean): RequestTarget {
	const {service = '', target = url} = usesRoutes ? {} : splitServicePath(url) ?? {};
	return {
		method: request.method ?? 'GET', host: request.headers.host ?? '', service, target,
	};
}

/** Service and target of a path that names the service; undefined when it names none. */
export function splitServicePath(url: string): {service: string; target: string} | undefined {
	const position = url.indexOf('/', 1);
	return !url.startsWith('/') || position === -1 ? undefined : {service: url.slice(1, position), target: url.slice(position)};
}

/**
 * Key of the organisation; undefined without the header. A header that is sent twice is refused, and so is a list in one
 * header, since a proxy may have joined two: the key would otherwise depend on which of them a reader takes.
 */
function readOrganisationKey({headers, rawHeaders}: IncomingMessage, name: string): string | undefined {
	if (headers[name] === undefined) {
		return undefined;
	}

	// Node.js keeps only the first of some repeated headers, such as authorization, so the raw headers are counted.
	const [value = '', ...others] = rawHeaders.filter((_value, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === name);
	return others.length > 0 ? unusableKey : toOrganisationKey(value);
}

/** The key in the value of one header. */
export function toOrganisationKey(value: string): string {
	return value.includes(',') ? unusableKey : value;
}

function headerValue(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value.join(',') : value;
}

function parseTimeout(name: string, text: string | undefined): number | undefined {
	if (text === undefined) {
		return undefined;
	}

	if (!/^\d{1,9}$/u.test(text)) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `${name}: expected a whole number of milliseconds with at most 9 digits`);
	}

	return Number(text);
}
