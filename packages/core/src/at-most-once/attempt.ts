/**
 * Calls of at-most-once work at their primary, and what becomes of them.
 *
 * @module
 */
import type {AnswerPayload, CallError} from '../messages.js';
import type {ClaimId} from './claim-table.js';

/** A call of at-most-once work, as it arrives at its primary. */
export type AtMostOnceCall = {
	readonly callId: string;
	readonly key: string;
	readonly digest: string;
	readonly deadline: number;
};

export enum OpenResultType {
	/** The key is new: admit the call, then say so with `callAdmitted`. */
	Proceed = 'proceed',
	/** The call waits for an earlier try of the same key. */
	Joined = 'joined',
	Answered = 'answered',
	Refused = 'refused',
}

export type OpenResult
	= | {readonly type: OpenResultType.Proceed | OpenResultType.Joined}
		| {readonly type: OpenResultType.Answered; readonly answer: AnswerPayload}
		| {readonly type: OpenResultType.Refused; readonly error: CallError; readonly isNotRun: boolean};

/** How far the first call of a key has come at its primary. */
export enum Stage {
	/** Waits for a slot. */
	Admitting = 'admitting',
	/** Has a slot and waits for the backup. */
	Claiming = 'claiming',
	/** May have been dispatched. */
	Running = 'running',
	/** Waits for the end of a call that the primary before this one runs. */
	Waiting = 'waiting',
	/** Refused before dispatch; waits for the backup to confirm that it forgot the claim. */
	Releasing = 'releasing',
}

/** The first call of a key, and those that joined it. */
export type Attempt = {
	readonly call: AtMostOnceCall;
	readonly id: ClaimId;
	readonly joined: AtMostOnceCall[];
	stage: Stage;
	sentAt: number;
	releaseUntil: number;
	error: CallError | undefined;
};
