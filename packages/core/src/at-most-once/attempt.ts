/**
 * Calls of at-most-once work at the primary of their key range, and the results of opening them.
 *
 * @module
 */
import type {AnswerPayload, CallError} from '../messages.js';
import type {ClaimId} from './claim-table.js';

/** A call with an idempotency key. The deadline is in milliseconds on the node's clock. */
export type AtMostOnceCall = {
	readonly callId: string;
	readonly key: string;
	readonly digest: string;
	readonly deadline: number;
};

export enum OpenResultType {
	/** The key is new. The call proceeds to admission control, and `callAdmitted` or `callNotRun` reports the decision. */
	Proceed = 'proceed',
	/** The call waits for the outcome of an earlier call with the same key. */
	Joined = 'joined',
	/** An earlier call with the same key has an answer. */
	Answered = 'answered',
	Refused = 'refused',
}

export type OpenResult
	= | {readonly type: OpenResultType.Proceed | OpenResultType.Joined}
		| {readonly type: OpenResultType.Answered; readonly answer: AnswerPayload}
		| {readonly type: OpenResultType.Refused; readonly error: CallError; readonly isNotRun: boolean};

/** Progress of the first call with a key at its primary. */
export enum AttemptStage {
	/** Waits for admission. */
	Admitting = 'admitting',
	/** Is admitted and waits until the backup acknowledges the claim. */
	Claiming = 'claiming',
	/** May have been dispatched. */
	Running = 'running',
	/** Waits for the outcome of a call that an earlier primary runs. */
	Waiting = 'waiting',
	/** Refused before dispatch; waits until the backup confirms that it removed the claim. */
	Releasing = 'releasing',
}

/** The first call with a key, and later calls that wait for its outcome. Times are in milliseconds on the node's clock. */
export type Attempt = {
	readonly call: AtMostOnceCall;
	readonly claimId: ClaimId;
	readonly joinedCalls: AtMostOnceCall[];
	stage: AttemptStage;
	sentAt: number;
	releaseDeadline: number;
	error: CallError | undefined;
};
