/**
 * Interface between the entry of callers' requests and the quotas of organisations.
 *
 * @module
 */

/** Whether a request may run; a refusal carries the milliseconds until this node is expected to have a token again. */
export type QuotaDecision = {readonly admitted: true} | {readonly admitted: false; readonly retryAfterMilliseconds: number};

/**
 * Admission by quota. `now` is the node's monotonic time in milliseconds.
 *
 * @example
 * const decision = gate.admit('acme', now);
 * gate.giveBack('acme', now); // once, when an admitted request ends without having run
 */
export type QuotaGate = {
	readonly admit: (organisation: string, now: number) => QuotaDecision;
	readonly giveBack: (organisation: string, now: number) => void;
};
