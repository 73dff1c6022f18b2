/**
 * Messages between callers, nodes and upstreams that carry a call or its answer.
 *
 * @module
 */
import type {ErrorKind, Outcome} from './errors.js';
import type {Importance} from './importance.js';
import type {AdmissionLoad} from './admission/admission-mechanisms.js';
import type {WorkReport} from './admission/work-left.js';
import type {Semantics} from './manifest/request-policy.js';

/** Alternating header names and values, as received. */
export type RawHeaders = readonly string[];

/** Complete request of a caller. The core does not interpret it. */
export type RequestPayload = {
	readonly method: string;
	/** Path and query for the upstream, without the service. */
	readonly target: string;
	readonly headers: RawHeaders;
	readonly body: Uint8Array;
	/** Digest of method, target and body; empty when the request has no idempotency key. */
	readonly digest: string;
};

/** Complete answer of an upstream. */
export type AnswerPayload = {
	readonly status: number;
	readonly headers: RawHeaders;
	readonly body: Uint8Array;
	/** Whether the body was passed on while it arrived, and is now complete. `body` is empty then. */
	readonly isStreamed?: boolean;
};

/** Status and headers of an answer whose body follows as a stream. */
export type AnswerHead = {
	readonly status: number;
	readonly headers: RawHeaders;
	/** Length of the body; undefined when the upstream does not state it. */
	readonly bodyBytes: number | undefined;
};

/** Identifies a customer action across the call chain. */
export type ActionContext = {
	/** 32 hexadecimal digits. */
	readonly actionId: string;
	/** Entries of `tracestate` from other vendors, passed on unchanged. */
	readonly vendorTraceState: readonly string[];
};

/** A call from its entry node to the serving node. */
export type CallFrame = {
	readonly callId: string;
	readonly action: ActionContext;
	/** Request id that the caller set; empty when it set none. */
	readonly requestId: string;
	readonly service: string;
	readonly kind: string;
	readonly semantics: Semantics;
	readonly answerBytesLimit: number;
	readonly importance: Importance;
	readonly priority: number;
	readonly timeLeftMilliseconds: number;
	/** Retries that the serving node may spend on nested calls. */
	readonly retries: number;
	/** Idempotency key of an at-most-once call. */
	readonly key: string | undefined;
	/** Epoch of the key's range, as known to the entry node. */
	readonly epoch: number;
	/** Whether all candidates refused the call before; the serving node then queues it even if the expected wait is too long. */
	readonly lastResort: boolean;
	/** Manifest revision that is active at the entry node. */
	readonly revision: number;
	readonly request: RequestPayload;
};

/** State of the serving node, sent with each answer. */
export type ServingState = AdmissionLoad & {
	/** Lowest priority that the downstream services admit for the calls that this request kind makes. */
	readonly downstreamLevel: number;
	readonly draining: boolean;
	readonly revision: number;
	/** Time from the arrival of the call at the serving node to its answer. */
	readonly servedMilliseconds: number;
	/** Work and speed of the upstream; absent unless cost-aware placement is enabled and the upstream reports its speed. */
	readonly work?: WorkReport;
};

/** An error that is sent instead of an upstream's answer. */
export type CallError = {
	readonly kind: ErrorKind;
	readonly detail: string;
	/** Time after which the caller may try again, where it is known. It is not sent between nodes. */
	readonly retryAfterMilliseconds?: number;
};

/** The answer of a serving node to a call. */
export type AnswerFrame = {
	readonly callId: string;
	readonly outcome: Outcome;
	/** Whether `not-run` holds for the whole customer action of the key, and not only for this call. */
	readonly coversAction: boolean;
	readonly answer: AnswerPayload | undefined;
	readonly error: CallError | undefined;
	/** Number of `CallFrame.retries` that were spent. */
	readonly retriesSpent: number;
	readonly serving: ServingState;
};

/** The answer to a caller's request. */
export type CallerAnswer = {
	readonly outcome: Outcome;
	/** 1 plus the retries that the customer action has spent. */
	readonly attempts: number;
	readonly answer: AnswerPayload | undefined;
	readonly error: CallError | undefined;
};
