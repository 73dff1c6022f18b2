/**
 * Messages between the primary and the backup of a key range, and the effects that a key range requests.
 *
 * @module
 */
import type {CallError, AnswerPayload} from '../messages.js';
import type {Claim, ClaimId} from './claim-table.js';
import type {Holder, RangeRecord} from './record.js';

export enum AtMostOnceMessageType {
	Claim = 'claim',
	ClaimAcknowledged = 'claim-acknowledged',
	Release = 'release',
	ReleaseAcknowledged = 'release-acknowledged',
	Refused = 'refused',
	Finished = 'finished',
	Sync = 'sync',
	SyncAcknowledged = 'sync-acknowledged',
}

type RangeAddress = {
	readonly service: string;
	readonly range: number;
	readonly epoch: number;
};

/**
 * A message between two holders of a range. Its epoch is the sender's epoch of the range; `Sync` carries the next epoch.
 * An acknowledgement or refusal repeats the epoch of the message that it answers.
 */
export type AtMostOnceMessage = RangeAddress & (
	| {readonly type: AtMostOnceMessageType.Claim; readonly key: string; readonly id: ClaimId; readonly digest: string}
	| {readonly type: AtMostOnceMessageType.ClaimAcknowledged; readonly key: string; readonly id: ClaimId}
	| {readonly type: AtMostOnceMessageType.Release; readonly key: string; readonly id: ClaimId}
	| {readonly type: AtMostOnceMessageType.ReleaseAcknowledged; readonly key: string; readonly id: ClaimId}
	/** The sender does not acknowledge claims of the epoch, or has no memory for the claim. It knows the range at `knownEpoch`. */
	| {readonly type: AtMostOnceMessageType.Refused; readonly key: string; readonly id: ClaimId; readonly knownEpoch: number; readonly isFull: boolean}
	| {readonly type: AtMostOnceMessageType.Finished; readonly key: string; readonly id: ClaimId; readonly digest: string; readonly answer: AnswerPayload | undefined}
	/** All claims of the range. The epoch is the one in which the receiver is to become the backup. */
	| {readonly type: AtMostOnceMessageType.Sync; readonly claims: readonly Claim[]}
	| {readonly type: AtMostOnceMessageType.SyncAcknowledged}
);

export enum AtMostOnceEffectType {
	/** Send a message to a holder; delivery is not guaranteed. */
	Send = 'once-send',
	/** The backup has acknowledged the claim, or the range has no backup: dispatch the call. */
	Granted = 'once-granted',
	/** The call is not dispatched by this node. */
	Refused = 'once-refused',
	/** The call gets the answer of an earlier call with the same key. */
	Answered = 'once-answered',
	ReadRecord = 'once-read-record',
	WriteRecord = 'once-write-record',
	ReadHolders = 'once-read-holders',
	RoleChanged = 'once-role-changed',
}

/** How the holders of a range changed. */
export enum RoleChange {
	TakenOver = 'taken-over',
	HandedOver = 'handed-over',
	BackupReplaced = 'backup-replaced',
	Unavailable = 'standing-still',
	AdoptedWithoutClaims = 'adopted-without-claims',
}

/**
 * An effect that a key range or the coordinator requests. `isNotRun` guarantees that this call is not dispatched;
 * `coversAction` extends the guarantee to the earlier calls with the same key.
 */
export type AtMostOnceEffect
	= | {readonly type: AtMostOnceEffectType.Send; readonly to: Holder; readonly message: AtMostOnceMessage}
		| {readonly type: AtMostOnceEffectType.Granted; readonly callId: string}
		| {readonly type: AtMostOnceEffectType.Refused; readonly callId: string; readonly error: CallError; readonly isNotRun: boolean; readonly coversAction: boolean}
		| {readonly type: AtMostOnceEffectType.Answered; readonly callId: string; readonly answer: AnswerPayload}
		| {readonly type: AtMostOnceEffectType.ReadRecord; readonly service: string}
		| {readonly type: AtMostOnceEffectType.WriteRecord; readonly service: string; readonly expectedVersion: number; readonly record: RangeRecord}
		| {readonly type: AtMostOnceEffectType.ReadHolders; readonly holders: readonly Holder[]}
		| {readonly type: AtMostOnceEffectType.RoleChanged; readonly service: string; readonly range: number; readonly epoch: number; readonly change: RoleChange};
