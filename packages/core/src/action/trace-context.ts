/**
 * W3C Trace Context: `traceparent` identifies the customer action, and the `laburnumspool` entry of `tracestate` identifies
 * the parent call. By the latter a node recognises calls that its own upstream makes on behalf of another call.
 *
 * Source: https://www.w3.org/TR/trace-context/
 *
 * @module
 */

const traceparentPattern = /^[\da-f]{2}-([\da-f]{32})-([\da-f]{16})-([\da-f]{2})(?:-.*)?$/u;
const tracestateKey = 'laburnumspool';
const maximumTracestateEntries = 32;
const invalidTraceId = '0'.repeat(32);

/** The customer action and the parent call of a request. */
export type TraceContext = {
	/** 32 hexadecimal digits. */
	readonly traceId: string;
	/** Call on whose behalf the upstream makes the request; undefined when the request carries no such entry. */
	readonly parentCallId: string | undefined;
	/** Entries of `tracestate` that belong to other vendors, passed on unchanged. */
	readonly vendorTraceState: readonly string[];
};

/**
 * Parses the two headers. Returns undefined when `traceparent` is missing or invalid.
 *
 * @example
 * parseTraceContext('00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01', 'laburnumspool=n1.7.42');
 */
export function parseTraceContext(traceparent: string | undefined, tracestate: string | undefined): TraceContext | undefined {
	const traceId = traceparent === undefined ? undefined : traceparentPattern.exec(traceparent)?.[1];
	if (traceId === undefined || traceId === invalidTraceId) {
		return undefined;
	}

	const entries = (tracestate ?? '').split(',').map(entry => entry.trim()).filter(entry => entry !== '');
	const prefix = `${tracestateKey}=`;
	return {
		traceId,
		parentCallId: entries.find(entry => entry.startsWith(prefix))?.slice(prefix.length),
		vendorTraceState: entries.filter(entry => !entry.startsWith(prefix)),
	};
}

/**
 * Formats the headers of a request to the upstream.
 *
 * @param spanId - 16 hexadecimal digits
 */
export function formatTraceContext(context: {readonly traceId: string; readonly vendorTraceState: readonly string[]}, spanId: string, callId: string): {traceparent: string; tracestate: string} {
	const entries = [`${tracestateKey}=${callId}`, ...context.vendorTraceState].slice(0, maximumTracestateEntries);
	return {traceparent: `00-${context.traceId}-${spanId}-01`, tracestate: entries.join(',')};
}
