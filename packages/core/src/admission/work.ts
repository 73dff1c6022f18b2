/**
 * The messages of a guard.
 *
 * @module
 */
import type {ErrorKind} from '../errors.js';
import type {Importance} from '../importance.js';

/** One call, as admission sees it. */
export type Work = {
	readonly callId: string;
	readonly kind: string;
	readonly importance: Importance;
	/** Compound priority, see `priorityOf`. */
	readonly priority: number;
	readonly idempotent: boolean;
	/** Milliseconds on the node's clock. */
	readonly deadline: number;
	readonly arrivedAt: number;
	/** Share of the limit that the kind can always have, in [0, 0.5]. */
	readonly guaranteedShare: number;
	/** Whether all other candidates have refused, so that the call had better wait here. */
	readonly lastResort: boolean;
};

/** How a dispatched call ended. */
export enum DispatchOutcome {
	Answered = 'answered',
	Shed = 'shed',
	Broken = 'broken',
	Cancelled = 'cancelled',
}

export enum AdmissionEffectType {
	Dispatch = 'dispatch',
	Refuse = 'refuse',
	CancelDispatch = 'cancel-dispatch',
}

/** What a guard wants done. */
export type AdmissionEffect
	= | {readonly type: AdmissionEffectType.Dispatch; readonly work: Work}
		| {readonly type: AdmissionEffectType.Refuse; readonly work: Work; readonly reason: ErrorKind}
		| {readonly type: AdmissionEffectType.CancelDispatch; readonly work: Work; readonly reason: ErrorKind};

/** What became of a request to cancel a call. */
export enum CancelResult {
	/** It was waiting, or had not arrived: it will never run. */
	NotRun = 'not-run',
	/** It was dispatched: it may have run. */
	Dispatched = 'dispatched',
}
