/**
 * Messages between the primary and the backup of a key range, and what a range wants done.
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

/** A message between two holders of a range. */
export type AtMostOnceMessage = RangeAddress & (
	| {readonly type: AtMostOnceMessageType.Claim; readonly key: string; readonly id: ClaimId; readonly digest: string}
	| {readonly type: AtMostOnceMessageType.ClaimAcknowledged; readonly key: string; readonly id: ClaimId}
	| {readonly type: AtMostOnceMessageType.Release; readonly key: string; readonly id: ClaimId}
	| {readonly type: AtMostOnceMessageType.ReleaseAcknowledged; readonly key: string; readonly id: ClaimId}
	/** The receiver does not acknowledge claims of the epoch; it knows the range at `knownEpoch`. */
	| {readonly type: AtMostOnceMessageType.Refused; readonly key: string; readonly id: ClaimId; readonly knownEpoch: number; readonly isFull: boolean}
	| {readonly type: AtMostOnceMessageType.Finished; readonly key: string; readonly id: ClaimId; readonly digest: string; readonly answer: AnswerPayload | undefined}
	/** All claims of the range, for the epoch in which the receiver is to be backup. */
	| {readonly type: AtMostOnceMessageType.Sync; readonly claims: readonly Claim[]}
	| {readonly type: AtMostOnceMessageType.SyncAcknowledged}
);

export enum AtMostOnceEffectType {
	/** Send a message to a holder. */
	Send = 'once-send',
	/** The claim is safe: dispatch the call. */
	Granted = 'once-granted',
	/** The call will not run here. */
	Refused = 'once-refused',
	/** The call gets the answer of an earlier try. */
	Answered = 'once-answered',
	ReadRecord = 'once-read-record',
	WriteRecord = 'once-write-record',
	ReadHolders = 'once-read-holders',
	RoleChanged = 'once-role-changed',
}

/** What changed about who holds a range. */
export enum RoleChange {
	TakenOver = 'taken-over',
	HandedOver = 'handed-over',
	BackupReplaced = 'backup-replaced',
	Unavailable = 'standing-still',
	AdoptedWithoutClaims = 'adopted-without-claims',
}

/** What a range, or the ranges of a node, want done. */
export type AtMostOnceEffect
	= | {readonly type: AtMostOnceEffectType.Send; readonly to: Holder; readonly message: AtMostOnceMessage}
		| {readonly type: AtMostOnceEffectType.Granted; readonly callId: string}
		| {readonly type: AtMostOnceEffectType.Refused; readonly callId: string; readonly error: CallError; readonly isNotRun: boolean; readonly coversAction: boolean}
		| {readonly type: AtMostOnceEffectType.Answered; readonly callId: string; readonly answer: AnswerPayload}
		| {readonly type: AtMostOnceEffectType.ReadRecord; readonly service: string}
		| {readonly type: AtMostOnceEffectType.WriteRecord; readonly service: string; readonly expectedVersion: number; readonly record: RangeRecord}
		| {readonly type: AtMostOnceEffectType.ReadHolders; readonly holders: readonly Holder[]}
		| {readonly type: AtMostOnceEffectType.RoleChanged; readonly service: string; readonly range: number; readonly epoch: number; readonly change: RoleChange};
