/**
 * W3C Trace Context: `traceparent` names the customer action, and the `laburnumspool` entry of `tracestate` names
 * the enclosing call, by which a node recognises calls that its own upstream makes on behalf of another.
 *
 * Source: https://www.w3.org/TR/trace-context/
 *
 * @module
 */

const traceparentPattern = /^[\da-f]{2}-([\da-f]{32})-([\da-f]{16})-([\da-f]{2})(?:-.*)?$/u;
const stateKey = 'laburnumspool';
const maximumStateEntries = 32;
const zeroTrace = '0'.repeat(32);

/** What a request says about the action it belongs to. */
export type TraceContext = {
	/** 32 hexadecimal digits. */
	readonly traceId: string;
	/** Call id of the enclosing call, if the request comes from an upstream that passes the context on. */
	readonly parentCallId: string | undefined;
	/** Entries of `tracestate` that belong to others, passed on unchanged. */
	readonly vendorTraceState: readonly string[];
};

/**
 * Reads the context from the two headers; undefined when `traceparent` is missing or invalid.
 *
 * @example
 * parseTraceContext('00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01', 'laburnumspool=n1.7.42');
 */
export function parseTraceContext(traceparent: string | undefined, tracestate: string | undefined): TraceContext | undefined {
	const traceId = traceparent === undefined ? undefined : traceparentPattern.exec(traceparent)?.[1];
	if (traceId === undefined || traceId === zeroTrace) {
		return undefined;
	}

	const entries = (tracestate ?? '').split(',').map(entry => entry.trim()).filter(entry => entry !== '');
	const prefix = `${stateKey}=`;
	return {
		traceId,
		parentCallId: entries.find(entry => entry.startsWith(prefix))?.slice(prefix.length),
		vendorTraceState: entries.filter(entry => !entry.startsWith(prefix)),
	};
}

/**
 * Headers for the upstream.
 *
 * @param spanId - 16 hexadecimal digits
 */
export function formatTraceContext(context: {readonly traceId: string; readonly vendorTraceState: readonly string[]}, spanId: string, callId: string): {traceparent: string; tracestate: string} {
	const entries = [`${stateKey}=${callId}`, ...context.vendorTraceState].slice(0, maximumStateEntries);
	return {traceparent: `00-${context.traceId}-${spanId}-01`, tracestate: entries.join(',')};
}
