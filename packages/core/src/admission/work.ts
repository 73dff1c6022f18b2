/**
 * Input and effects of the admission controller.
 *
 * @module
 */
import type {ErrorKind} from '../errors.js';
import type {Importance} from '../importance.js';
import type {ShareUse} from './fair-shares.js';

/** One call submitted for admission. */
export type Work = {
	readonly callId: string;
	readonly kind: string;
	readonly importance: Importance;
	/** Priority of the customer action, see `priorityOf`. */
	readonly priority: number;
	readonly idempotent: boolean;
	/** Milliseconds on the monotonic clock of the node. */
	readonly deadline: number;
	readonly arrivedAt: number;
	/** Share of the limit that is guaranteed to the kind, in [0, 0.5]. Other kinds may use it while the kind does not. */
	readonly guaranteedShare: number;
	/** Whether all other candidates refused the call, so that waiting here is better than a refusal. */
	readonly lastResort: boolean;
	/** Organisation on whose behalf the call is made; absent where the manifest has none. */
	readonly organisation?: string | undefined;
};

/** How a dispatch to the upstream ended. */
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

/** Effect that the caller of the admission controller carries out. */
export type AdmissionEffect
	= | {readonly type: AdmissionEffectType.Dispatch; readonly work: Work}
		| {readonly type: AdmissionEffectType.Refuse; readonly work: Work; readonly reason: ErrorKind; /** Present when the share of the organisation decided. */ readonly share?: ShareUse}
		| {readonly type: AdmissionEffectType.CancelDispatch; readonly work: Work; readonly reason: ErrorKind};

/** Result of a request to cancel a call. */
export enum CancelResult {
	/** The call was waiting or had not arrived. It never runs. */
	NotRun = 'not-run',
	/** The call was dispatched. It may have run. */
	Dispatched = 'dispatched',
}
