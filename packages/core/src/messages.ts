/**
 * The messages between callers, nodes and upstreams that carry a call.
 *
 * @module
 */
import type {ErrorKind, Outcome} from './errors.js';
import type {Importance} from './importance.js';
import type {AdmissionLoad} from './admission/admission-controller.js';
import type {Semantics} from './manifest/request-policy.js';

/** Header names and values in turn, as they came. */
export type RawHeaders = readonly string[];

/** A whole request of a caller. The core never looks into it. */
export type RequestPayload = {
	readonly method: string;
	/** Path and query for the upstream, without the service. */
	readonly target: string;
	readonly headers: RawHeaders;
	readonly body: Uint8Array;
	/** Digest of method, target and body; empty when no key needs it. */
	readonly digest: string;
};

/** A whole answer of an upstream. */
export type AnswerPayload = {
	readonly status: number;
	readonly headers: RawHeaders;
	readonly body: Uint8Array;
};

/** Names a customer action across the chain. */
export type ActionContext = {
	/** 32 hexadecimal digits. */
	readonly actionId: string;
	/** Entries of `tracestate` that belong to others. */
	readonly vendorTraceState: readonly string[];
};

/** A call from its entry to the node that serves it. */
export type CallFrame = {
	readonly callId: string;
	readonly action: ActionContext;
	/** The caller's own name for the request; empty when it has none. */
	readonly requestId: string;
	readonly service: string;
	readonly kind: string;
	readonly semantics: Semantics;
	readonly answerBytesLimit: number;
	readonly importance: Importance;
	readonly priority: number;
	readonly timeLeftMilliseconds: number;
	/** Retries handed down. */
	readonly retries: number;
	/** Key of at-most-once work. */
	readonly key: string | undefined;
	/** Epoch of the key's range, as the entry knows it. */
	readonly epoch: number;
	readonly lastResort: boolean;
	/** Manifest revision in force at the entry. */
	readonly revision: number;
	readonly request: RequestPayload;
};

/** Where a serving node stands, told with each answer. */
export type ServingState = AdmissionLoad & {
	/** Least priority that the services below admit for what the kind calls. */
	readonly downstreamLevel: number;
	readonly draining: boolean;
	readonly revision: number;
	/** Time between the arrival of the call and its answer. */
	readonly servedMilliseconds: number;
};

/** An error that an answer carries in place of an upstream's answer. */
export type CallError = {
	readonly kind: ErrorKind;
	readonly detail: string;
};

/** The answer of a serving node to a call. */
export type AnswerFrame = {
	readonly callId: string;
	readonly outcome: Outcome;
	/** Whether `not-run` holds for the whole action of a key, and not just for this call. */
	readonly coversAction: boolean;
	readonly answer: AnswerPayload | undefined;
	readonly error: CallError | undefined;
	/** Retries spent of those handed down. */
	readonly retriesSpent: number;
	readonly serving: ServingState;
};

/** What a caller gets. */
export type CallerAnswer = {
	readonly outcome: Outcome;
	/** Attempts spent on the action. */
	readonly attempts: number;
	readonly answer: AnswerPayload | undefined;
	readonly error: CallError | undefined;
};
