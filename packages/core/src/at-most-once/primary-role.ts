/**
 * The primary of one key range: accepts each key once, and dispatches its call only after the backup has acknowledged
 * the claim in the current epoch.
 *
 * @module
 */
import {ErrorKind} from '../errors.js';
import type {AnswerPayload, CallError} from '../messages.js';
import {
	OpenResultType, AttemptStage, type Attempt, type AtMostOnceCall, type OpenResult,
} from './attempt.js';
import {OpenAttempts} from './attempts.js';
import {
	ClaimState, type Claim, type ClaimId, type ClaimMemory, type ClaimTable,
} from './claim-table.js';
import {
	AtMostOnceEffectType, AtMostOnceMessageType, type AtMostOnceEffect, type AtMostOnceMessage,
} from './messages.js';
import type {Holder} from './record.js';

const resendIntervalMilliseconds = 50;
const releaseTimeoutMilliseconds = 150;

/** Errors that concern only the first call with a key, not the calls that joined it. */
const callSpecificKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.Cancelled, ErrorKind.TimedOut, ErrorKind.InsufficientTime]);

/** Error of a call that waited for an earlier one; the call can be sent again. */
const earlierCallNotDispatched: CallError = {kind: ErrorKind.StaleRange, detail: 'An earlier call with this idempotency key was not dispatched'};

/** Dependencies that the primary role shares with its key range. */
export type PrimaryDefinition = {
	readonly service: string;
	readonly range: number;
	readonly table: ClaimTable;
	readonly memory: ClaimMemory;
	readonly nextClaimId: (epoch: number) => ClaimId;
	/** Whether the last confirmed lease renewal is recent enough to act as primary or backup, and no lease return is still to be recorded. */
	readonly hasConfirmedLease: (now: number) => boolean;
};

/**
 * Primary of one key range.
 *
 * @example
 * primary.open(call, now); // {type: OpenResultType.Proceed}
 * primary.callAdmitted(call.callId, now); // sends the claim to the backup
 * primary.receive(acknowledgement, now); // [{type: AtMostOnceEffectType.Granted, callId}]
 */
export class PrimaryRole {
	readonly #definition: PrimaryDefinition;
	readonly #attempts = new OpenAttempts();
	readonly #unresolvedKeys = new Set<string>();
	#epoch = 0;
	#backup: Holder | null = null;
	#isActive = false;
	#isDispatchPaused = false;

	constructor(definition: PrimaryDefinition) {
		this.#definition = definition;
	}

	get isActive(): boolean {
		return this.#isActive;
	}

	/** Whether no call of the range is open at this node. */
	get isIdle(): boolean {
		return this.#attempts.size === 0;
	}

	/** Whether any call waits for an acknowledgement of the backup. */
	get hasUnacknowledged(): boolean {
		return this.#attempts.hasUnacknowledged;
	}

	/**
	 * Starts to act as the primary in an epoch of the record. Claims that are open are sent again to the backup.
	 *
	 * @param unresolvedKeys - keys whose calls an earlier primary may have dispatched, with unknown outcome
	 */
	activate(epoch: number, backup: Holder | null, unresolvedKeys: readonly string[], now: number): AtMostOnceEffect[] {
		this.#epoch = epoch;
		this.#backup = backup;
		this.#isActive = true;
		this.#isDispatchPaused = false;
		unresolvedKeys.map(key => this.#unresolvedKeys.add(key));
		return this.#sendAll(now);
	}

	/**
	 * Stops acting as the primary. Calls that were not dispatched are refused, and their claims are released at the given
	 * holders, which otherwise treat them as dispatched. Running and waiting calls continue.
	 */
	deactivate(epoch: number, holders: readonly Holder[]): AtMostOnceEffect[] {
		this.#isActive = false;
		const error = {kind: ErrorKind.StaleRange, detail: `Range ${this.#definition.range} of ${this.#definition.service} has another primary`};
		return this.#attempts.all
			.filter(attempt => attempt.stage !== AttemptStage.Running && attempt.stage !== AttemptStage.Waiting)
			.flatMap(attempt => [
				...holders.map(to => this.#message(to, attempt, AtMostOnceMessageType.Release, epoch)),
				...this.#closeRefused(attempt, attempt.error ?? error, false),
			]);
	}

	/** Stops dispatching while the claims are copied to a new backup. */
	pauseDispatch(): void {
		this.#isDispatchPaused = true;
	}

	/** Resumes dispatching in the same epoch. */
	resumeDispatch(now: number): AtMostOnceEffect[] {
		this.#isDispatchPaused = false;
		return this.#sendAll(now);
	}

	open(call: AtMostOnceCall, now: number): OpenResult {
		const known = this.#definition.table.get(call.key);
		if (known === undefined) {
			return this.#openNew(call, now);
		}

		if (known.digest !== call.digest) {
			return this.#refusal(ErrorKind.KeyReused, 'The idempotency key was used with a different request', true);
		}

		if (known.state === ClaimState.Finished && known.answer !== undefined) {
			return {type: OpenResultType.Answered, answer: known.answer};
		}

		return this.#join(call, known);
	}

	/** Reports that admission control has admitted the call. */
	callAdmitted(callId: string, now: number): AtMostOnceEffect[] {
		const attempt = this.#attempts.get(callId);
		if (attempt?.stage !== AttemptStage.Admitting) {
			return [];
		}

		attempt.stage = AttemptStage.Claiming;
		return this.#sendAttempt(attempt, now);
	}

	/** Reports that the call was refused, or is proven not to have reached the upstream. */
	callNotRun(callId: string, error: CallError, now: number): AtMostOnceEffect[] {
		const attempt = this.#attempts.get(callId);
		if (attempt === undefined || attempt.stage === AttemptStage.Releasing) {
			return [];
		}

		attempt.stage = AttemptStage.Releasing;
		attempt.error = error;
		attempt.releaseDeadline = now + releaseTimeoutMilliseconds;
		this.#definition.table.remove(attempt.call.key, attempt.claimId);
		return this.#sendAttempt(attempt, now);
	}

	/** Reports the end of a dispatched call. Without an answer, it is unknown whether the call ran. */
	callFinished(callId: string, answer: AnswerPayload | undefined, now: number): AtMostOnceEffect[] {
		const attempt = this.#attempts.get(callId);
		if (attempt?.stage !== AttemptStage.Running) {
			return [];
		}

		this.#attempts.close(attempt);
		const {call, claimId} = attempt;
		if (answer === undefined) {
			this.#unresolvedKeys.add(call.key);
		} else {
			this.#putClaim(call, claimId, ClaimState.Finished, answer, now);
		}

		return attempt.joinedCalls.map(joined => this.#completeJoined(joined, answer));
	}

	/** An earlier primary released the claim without dispatching the call: calls that wait for its outcome can be sent again. */
	releasedByEarlierPrimary(key: string): AtMostOnceEffect[] {
		this.#unresolvedKeys.delete(key);
		const attempt = this.#attempts.findWaiting(key);
		return attempt === undefined ? [] : this.#closeRefused(attempt, earlierCallNotDispatched, false);
	}

	/** Answers the calls that wait for a call which an earlier primary ran. */
	finishedByEarlierPrimary(key: string): AtMostOnceEffect[] {
		const answer = this.#definition.table.get(key)?.answer;
		const attempt = this.#attempts.findWaiting(key);
		if (attempt === undefined || answer === undefined) {
			return [];
		}

		this.#attempts.close(attempt);
		return [attempt.call, ...attempt.joinedCalls].map(call => this.#completeJoined(call, answer));
	}

	receive(message: AtMostOnceMessage, now: number): AtMostOnceEffect[] {
		if (!this.#isActive || message.epoch !== this.#epoch) {
			return [];
		}

		const handlers: Readonly<Partial<Record<AtMostOnceMessageType, () => AtMostOnceEffect[]>>> = {
			[AtMostOnceMessageType.ClaimAcknowledged]: () => this.#claimAcknowledged(message, now),
			[AtMostOnceMessageType.ReleaseAcknowledged]: () => this.#releaseAcknowledged(message),
			[AtMostOnceMessageType.Refused]: () => this.#refusedByBackup(message, now),
		};
		return handlers[message.type]?.() ?? [];
	}

	advance(now: number): AtMostOnceEffect[] {
		return this.#attempts.all.flatMap(attempt => this.#advanceAttempt(attempt, now));
	}

	#openNew(call: AtMostOnceCall, now: number): OpenResult {
		if (!this.#definition.hasConfirmedLease(now)) {
			return this.#refusal(ErrorKind.NotReady, 'The store has not confirmed the lease of this node recently enough', false);
		}

		if (this.#definition.memory.isFull) {
			return this.#refusal(ErrorKind.ClaimsFull, 'The memory limit for idempotency keys is reached', true);
		}

		const claimId = this.#definition.nextClaimId(this.#epoch);
		this.#putClaim(call, claimId, ClaimState.Pending, undefined, now);
		this.#attempts.open(call, claimId, AttemptStage.Admitting);
		return {type: OpenResultType.Proceed};
	}

	#join(call: AtMostOnceCall, known: Claim): OpenResult {
		if (this.#unresolvedKeys.has(call.key)) {
			return this.#refusal(ErrorKind.KeyStateUnknown, 'An earlier call with this idempotency key may have run', false);
		}

		const attempt = this.#attempts.findByClaim(call.key, known.id);
		if (attempt === undefined) {
			this.#attempts.open(call, known.id, AttemptStage.Waiting);
		} else {
			attempt.joinedCalls.push(call);
		}

		return {type: OpenResultType.Joined};
	}

	#refusal(kind: ErrorKind, detail: string, isNotRun: boolean): OpenResult {
		return {type: OpenResultType.Refused, error: {kind, detail}, isNotRun};
	}

	#putClaim(call: AtMostOnceCall, id: ClaimId, state: ClaimState, answer: AnswerPayload | undefined, now: number): void {
		this.#definition.table.put({
			key: call.key, id, digest: call.digest, state, answer, changedAt: now,
		});
	}

	#sendAll(now: number): AtMostOnceEffect[] {
		return this.#attempts.all.flatMap(attempt => this.#sendAttempt(attempt, now));
	}

	#sendAttempt(attempt: Attempt, now: number): AtMostOnceEffect[] {
		if (!this.#isActive || this.#isDispatchPaused) {
			return [];
		}

		const handlers: Readonly<Record<AttemptStage, () => AtMostOnceEffect[]>> = {
			[AttemptStage.Admitting]: () => [],
			[AttemptStage.Running]: () => [],
			[AttemptStage.Waiting]: () => [],
			[AttemptStage.Claiming]: () => this.#backup === null
				? this.#grant(attempt, now)
				: this.#sendToBackup(attempt, AtMostOnceMessageType.Claim, now),
			[AttemptStage.Releasing]: () => this.#backup === null
				? this.#closeRefused(attempt, attempt.error!, this.#definition.hasConfirmedLease(now))
				: this.#sendToBackup(attempt, AtMostOnceMessageType.Release, now),
		};
		return handlers[attempt.stage]();
	}

	#sendToBackup(attempt: Attempt, type: AtMostOnceMessageType.Claim | AtMostOnceMessageType.Release, now: number): AtMostOnceEffect[] {
		attempt.sentAt = now;
		return [this.#message(this.#backup!, attempt, type, this.#epoch)];
	}

	#message(to: Holder, attempt: Attempt, type: AtMostOnceMessageType.Claim | AtMostOnceMessageType.Release, epoch: number): AtMostOnceEffect {
		const {service, range} = this.#definition;
		const {call: {key, digest}, claimId} = attempt;
		return {
			type: AtMostOnceEffectType.Send, to, message: {
				type, service, range, epoch, key, id: claimId, digest,
			},
		};
	}

	#grant(attempt: Attempt, now: number): AtMostOnceEffect[] {
		if (!this.#definition.hasConfirmedLease(now)) {
			return this.callNotRun(attempt.call.callId, {kind: ErrorKind.NotReady, detail: 'The store has not confirmed the lease of this node recently enough'}, now);
		}

		attempt.stage = AttemptStage.Running;
		this.#putClaim(attempt.call, attempt.claimId, ClaimState.Dispatched, undefined, now);
		return [{type: AtMostOnceEffectType.Granted, callId: attempt.call.callId}];
	}

	#claimAcknowledged(message: AtMostOnceMessage, now: number): AtMostOnceEffect[] {
		const attempt = this.#findAttempt(message, AttemptStage.Claiming);
		return attempt === undefined || this.#isDispatchPaused ? [] : this.#grant(attempt, now);
	}

	#releaseAcknowledged(message: AtMostOnceMessage): AtMostOnceEffect[] {
		const attempt = this.#findAttempt(message, AttemptStage.Releasing);
		return attempt === undefined ? [] : this.#closeRefused(attempt, attempt.error!, true);
	}

	#refusedByBackup(message: AtMostOnceMessage, now: number): AtMostOnceEffect[] {
		if (message.type !== AtMostOnceMessageType.Refused) {
			return [];
		}

		const attempt = this.#findAttempt(message, AttemptStage.Claiming) ?? this.#findAttempt(message, AttemptStage.Releasing);
		if (attempt !== undefined && message.isFull) {
			return this.callNotRun(attempt.call.callId, {kind: ErrorKind.ClaimsFull, detail: 'The memory limit for idempotency keys is reached at the backup'}, now);
		}

		return message.knownEpoch >= this.#epoch ? [{type: AtMostOnceEffectType.ReadRecord, service: this.#definition.service}] : [];
	}

	#findAttempt(message: AtMostOnceMessage, stage: AttemptStage): Attempt | undefined {
		return 'id' in message ? this.#attempts.findInStage(stage, message.id) : undefined;
	}

	#advanceAttempt(attempt: Attempt, now: number): AtMostOnceEffect[] {
		const handlers: Readonly<Record<AttemptStage, () => AtMostOnceEffect[]>> = {
			[AttemptStage.Admitting]: () => [],
			[AttemptStage.Running]: () => this.#expireJoined(attempt, now),
			[AttemptStage.Waiting]: () => [...this.#expireJoined(attempt, now), ...this.#expireWaiting(attempt, now)],
			[AttemptStage.Claiming]: () => now >= attempt.call.deadline
				? this.callNotRun(attempt.call.callId, {kind: ErrorKind.TimedOut, detail: 'The backup did not acknowledge the claim before the deadline of the call'}, now)
				: this.#resendIfDue(attempt, now),
			[AttemptStage.Releasing]: () => now >= attempt.releaseDeadline ? this.#closeRefused(attempt, attempt.error!, false) : this.#resendIfDue(attempt, now),
		};
		return handlers[attempt.stage]();
	}

	#resendIfDue(attempt: Attempt, now: number): AtMostOnceEffect[] {
		return now - attempt.sentAt >= resendIntervalMilliseconds ? this.#sendAttempt(attempt, now) : [];
	}

	/** A joined call waits until its own deadline, even when the first call's deadline is later. */
	#expireJoined(attempt: Attempt, now: number): AtMostOnceEffect[] {
		const expired = attempt.joinedCalls.filter(call => now >= call.deadline);
		attempt.joinedCalls.splice(0, attempt.joinedCalls.length, ...attempt.joinedCalls.filter(call => now < call.deadline));
		return expired.map(call => this.#completeJoined(call, undefined));
	}

	#expireWaiting(attempt: Attempt, now: number): AtMostOnceEffect[] {
		if (now < attempt.call.deadline) {
			return [];
		}

		this.#attempts.close(attempt);
		return [attempt.call, ...attempt.joinedCalls].map(call => this.#completeJoined(call, undefined));
	}

	#completeJoined(call: AtMostOnceCall, answer: AnswerPayload | undefined): AtMostOnceEffect {
		return answer === undefined
			? {
				type: AtMostOnceEffectType.Refused,
				callId: call.callId,
				error: {kind: ErrorKind.KeyStateUnknown, detail: 'An earlier call with this idempotency key may have run'},
				isNotRun: false,
				coversAction: false,
			}
			: {type: AtMostOnceEffectType.Answered, callId: call.callId, answer};
	}

	#closeRefused(attempt: Attempt, error: CallError, coversAction: boolean): AtMostOnceEffect[] {
		this.#attempts.close(attempt);
		this.#definition.table.remove(attempt.call.key, attempt.claimId);
		const refusal = {type: AtMostOnceEffectType.Refused, isNotRun: true, coversAction} as const;
		const joinedError = callSpecificKinds.has(error.kind) ? earlierCallNotDispatched : error;
		return [{...refusal, callId: attempt.call.callId, error}, ...attempt.joinedCalls.map(({callId}) => ({...refusal, callId, error: joinedError}))];
	}
}
