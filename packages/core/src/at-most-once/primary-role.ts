/**
 * The primary of one key range: admits each key once, and dispatches it only after the backup has acknowledged the
 * claim in the current epoch.
 *
 * @module
 */
import {ErrorKind} from '../errors.js';
import type {AnswerPayload, CallError} from '../messages.js';
import {
	OpenResultType, Stage, type Attempt, type AtMostOnceCall, type OpenResult,
} from './attempt.js';
import {Attempts} from './attempts.js';
import {
	ClaimState, type Claim, type ClaimId, type ClaimMemory, type ClaimTable,
} from './claim-table.js';
import {
	AtMostOnceEffectType, AtMostOnceMessageType, type AtMostOnceEffect, type AtMostOnceMessage,
} from './messages.js';
import type {Holder} from './record.js';

const resendMilliseconds = 50;
const releaseWaitMilliseconds = 150;

/** Refusals that say something of one caller's try, and nothing of others with the same key. */
const kindsOfOneTry: ReadonlySet<ErrorKind> = new Set([ErrorKind.Cancelled, ErrorKind.TimedOut, ErrorKind.InsufficientTime]);

/** Has a try that waited for an earlier one sent anew. */
const givenUp: CallError = {kind: ErrorKind.StaleRange, detail: 'An earlier try with this key was given up before dispatch'};

/** What a primary shares with the range it belongs to. */
export type PrimaryDefinition = {
	readonly service: string;
	readonly range: number;
	readonly table: ClaimTable;
	readonly memory: ClaimMemory;
	readonly nextId: (epoch: number) => ClaimId;
	readonly hasAuthority: (now: number) => boolean;
};

/**
 * Primary of one range.
 *
 * @example
 * primary.open(call, now); // {type: OpenResultType.Proceed}
 * primary.admitted(call.callId, now); // sends the claim to the backup
 * primary.receive(acknowledgement, now); // [{type: AtMostOnceEffectType.Granted, callId}]
 */
export class PrimaryRole {
	readonly #definition: PrimaryDefinition;
	readonly #attempts = new Attempts();
	readonly #orphans = new Set<string>();
	#epoch = 0;
	#backup: Holder | null = null;
	#isActive = false;
	#isFrozen = false;

	constructor(definition: PrimaryDefinition) {
		this.#definition = definition;
	}

	get isActive(): boolean {
		return this.#isActive;
	}

	/** No call of the range is open here. */
	get isIdle(): boolean {
		return this.#attempts.size === 0;
	}

	/** Whether a call is waiting whose claim the backup has not acknowledged. */
	get hasPending(): boolean {
		return this.#attempts.hasUnacknowledged;
	}

	/**
	 * Works in an epoch of the record from now on.
	 *
	 * @param orphaned - keys whose calls were left by a primary that is gone
	 */
	activate(epoch: number, backup: Holder | null, orphaned: readonly string[], now: number): AtMostOnceEffect[] {
		this.#epoch = epoch;
		this.#backup = backup;
		this.#isActive = true;
		this.#isFrozen = false;
		orphaned.map(key => this.#orphans.add(key));
		return this.#sendAll(now);
	}

	/**
	 * Another node is primary: what was not dispatched is refused, and its claims are taken back at the holders, which
	 * take them for dispatched. What runs goes on.
	 */
	deactivate(epoch: number, holders: readonly Holder[]): AtMostOnceEffect[] {
		this.#isActive = false;
		const error = {kind: ErrorKind.StaleRange, detail: `Range ${this.#definition.range} of ${this.#definition.service} has another primary`};
		return this.#attempts.all
			.filter(attempt => attempt.stage !== Stage.Running && attempt.stage !== Stage.Waiting)
			.flatMap(attempt => [
				...holders.map(to => this.#message(to, attempt, AtMostOnceMessageType.Release, epoch)),
				...this.#settleRefused(attempt, attempt.error ?? error, false),
			]);
	}

	/** Stops dispatching while the claims are being given to a new backup. */
	freeze(): void {
		this.#isFrozen = true;
	}

	/** Goes on in the same epoch. */
	unfreeze(now: number): AtMostOnceEffect[] {
		this.#isFrozen = false;
		return this.#sendAll(now);
	}

	open(call: AtMostOnceCall, now: number): OpenResult {
		const known = this.#definition.table.get(call.key);
		if (known === undefined) {
			return this.#openNew(call, now);
		}

		if (known.digest !== call.digest) {
			return this.#refusedOpen(ErrorKind.KeyReused, 'The idempotency key was used with another request', true);
		}

		if (known.state === ClaimState.Finished && known.answer !== undefined) {
			return {type: OpenResultType.Answered, answer: known.answer};
		}

		return this.#join(call, known);
	}

	/** The call has a slot. */
	admitted(callId: string, now: number): AtMostOnceEffect[] {
		const attempt = this.#attempts.get(callId);
		if (attempt?.stage !== Stage.Admitting) {
			return [];
		}

		attempt.stage = Stage.Claiming;
		return this.#sendAttempt(attempt, now);
	}

	/** The call was refused, or is proven never to have reached the upstream. */
	notRun(callId: string, error: CallError, now: number): AtMostOnceEffect[] {
		const attempt = this.#attempts.get(callId);
		if (attempt === undefined || attempt.stage === Stage.Releasing) {
			return [];
		}

		attempt.stage = Stage.Releasing;
		attempt.error = error;
		attempt.releaseUntil = now + releaseWaitMilliseconds;
		this.#definition.table.remove(attempt.call.key, attempt.id);
		return this.#sendAttempt(attempt, now);
	}

	/** The call ended after its dispatch; without an answer nobody knows whether it ran. */
	finished(callId: string, answer: AnswerPayload | undefined, now: number): AtMostOnceEffect[] {
		const attempt = this.#attempts.get(callId);
		if (attempt?.stage !== Stage.Running) {
			return [];
		}

		this.#attempts.close(attempt);
		const {call, id} = attempt;
		if (answer === undefined) {
			this.#orphans.add(call.key);
		} else {
			this.#putClaim(call, id, ClaimState.Finished, answer, now);
		}

		return attempt.joined.map(joined => this.#settleJoined(joined, answer));
	}

	/** The primary before this one never dispatched the key: calls that wait for its end can be sent anew. */
	releasedElsewhere(key: string): AtMostOnceEffect[] {
		this.#orphans.delete(key);
		const attempt = this.#attempts.waitingFor(key);
		return attempt === undefined ? [] : this.#settleRefused(attempt, givenUp, false);
	}

	/** Takes the end of a call that the primary before this one ran. */
	finishedElsewhere(key: string): AtMostOnceEffect[] {
		const answer = this.#definition.table.get(key)?.answer;
		const attempt = this.#attempts.waitingFor(key);
		if (attempt === undefined || answer === undefined) {
			return [];
		}

		this.#attempts.close(attempt);
		return [attempt.call, ...attempt.joined].map(call => this.#settleJoined(call, answer));
	}

	receive(message: AtMostOnceMessage, now: number): AtMostOnceEffect[] {
		if (!this.#isActive || message.epoch !== this.#epoch) {
			return [];
		}

		const handlers: Readonly<Partial<Record<AtMostOnceMessageType, () => AtMostOnceEffect[]>>> = {
			[AtMostOnceMessageType.ClaimAcknowledged]: () => this.#acknowledged(message, now),
			[AtMostOnceMessageType.ReleaseAcknowledged]: () => this.#released(message),
			[AtMostOnceMessageType.Refused]: () => this.#refusedByBackup(message, now),
		};
		return handlers[message.type]?.() ?? [];
	}

	advance(now: number): AtMostOnceEffect[] {
		return this.#attempts.all.flatMap(attempt => this.#advanceAttempt(attempt, now));
	}

	#openNew(call: AtMostOnceCall, now: number): OpenResult {
		if (!this.#definition.hasAuthority(now)) {
			return this.#refusedOpen(ErrorKind.NotReady, 'The store has not confirmed this node for too long', false);
		}

		if (this.#definition.memory.isFull) {
			return this.#refusedOpen(ErrorKind.ClaimsFull, 'No memory is left for idempotency keys', true);
		}

		const id = this.#definition.nextId(this.#epoch);
		this.#putClaim(call, id, ClaimState.Pending, undefined, now);
		this.#attempts.open(call, id, Stage.Admitting);
		return {type: OpenResultType.Proceed};
	}

	#join(call: AtMostOnceCall, known: Claim): OpenResult {
		if (this.#orphans.has(call.key)) {
			return this.#refusedOpen(ErrorKind.KeyStateUnknown, 'An earlier try with this key may have run', false);
		}

		const attempt = this.#attempts.ofClaim(call.key, known.id);
		if (attempt === undefined) {
			this.#attempts.open(call, known.id, Stage.Waiting);
		} else {
			attempt.joined.push(call);
		}

		return {type: OpenResultType.Joined};
	}

	#refusedOpen(kind: ErrorKind, detail: string, isNotRun: boolean): OpenResult {
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
		if (!this.#isActive || this.#isFrozen) {
			return [];
		}

		const handlers: Readonly<Record<Stage, () => AtMostOnceEffect[]>> = {
			[Stage.Admitting]: () => [],
			[Stage.Running]: () => [],
			[Stage.Waiting]: () => [],
			[Stage.Claiming]: () => this.#backup === null ? this.#grant(attempt, now) : this.#sendToBackup(attempt, AtMostOnceMessageType.Claim, now),
			[Stage.Releasing]: () => this.#backup === null ? this.#settleRefused(attempt, attempt.error!, this.#definition.hasAuthority(now)) : this.#sendToBackup(attempt, AtMostOnceMessageType.Release, now),
		};
		return handlers[attempt.stage]();
	}

	#sendToBackup(attempt: Attempt, type: AtMostOnceMessageType.Claim | AtMostOnceMessageType.Release, now: number): AtMostOnceEffect[] {
		attempt.sentAt = now;
		return [this.#message(this.#backup!, attempt, type, this.#epoch)];
	}

	#message(to: Holder, attempt: Attempt, type: AtMostOnceMessageType.Claim | AtMostOnceMessageType.Release, epoch: number): AtMostOnceEffect {
		const {service, range} = this.#definition;
		const {call: {key, digest}, id} = attempt;
		return {
			type: AtMostOnceEffectType.Send, to, message: {
				type, service, range, epoch, key, id, digest,
			},
		};
	}

	#grant(attempt: Attempt, now: number): AtMostOnceEffect[] {
		if (!this.#definition.hasAuthority(now)) {
			return this.notRun(attempt.call.callId, {kind: ErrorKind.NotReady, detail: 'The store has not confirmed this node for too long'}, now);
		}

		attempt.stage = Stage.Running;
		this.#putClaim(attempt.call, attempt.id, ClaimState.Dispatched, undefined, now);
		return [{type: AtMostOnceEffectType.Granted, callId: attempt.call.callId}];
	}

	#acknowledged(message: AtMostOnceMessage, now: number): AtMostOnceEffect[] {
		const attempt = this.#attemptOf(message, Stage.Claiming);
		return attempt === undefined || this.#isFrozen ? [] : this.#grant(attempt, now);
	}

	#released(message: AtMostOnceMessage): AtMostOnceEffect[] {
		const attempt = this.#attemptOf(message, Stage.Releasing);
		return attempt === undefined ? [] : this.#settleRefused(attempt, attempt.error!, true);
	}

	#refusedByBackup(message: AtMostOnceMessage, now: number): AtMostOnceEffect[] {
		if (message.type !== AtMostOnceMessageType.Refused) {
			return [];
		}

		const attempt = this.#attemptOf(message, Stage.Claiming) ?? this.#attemptOf(message, Stage.Releasing);
		if (attempt !== undefined && message.isFull) {
			return this.notRun(attempt.call.callId, {kind: ErrorKind.ClaimsFull, detail: 'No memory is left for idempotency keys at the backup'}, now);
		}

		return message.knownEpoch >= this.#epoch ? [{type: AtMostOnceEffectType.ReadRecord, service: this.#definition.service}] : [];
	}

	#attemptOf(message: AtMostOnceMessage, stage: Stage): Attempt | undefined {
		return 'id' in message ? this.#attempts.at(stage, message.id) : undefined;
	}

	#advanceAttempt(attempt: Attempt, now: number): AtMostOnceEffect[] {
		const handlers: Readonly<Record<Stage, () => AtMostOnceEffect[]>> = {
			[Stage.Admitting]: () => [],
			[Stage.Running]: () => this.#expireJoined(attempt, now),
			[Stage.Waiting]: () => [...this.#expireJoined(attempt, now), ...this.#expireWaiting(attempt, now)],
			[Stage.Claiming]: () => now >= attempt.call.deadline
				? this.notRun(attempt.call.callId, {kind: ErrorKind.TimedOut, detail: 'The backup did not acknowledge the key in time'}, now)
				: this.#resend(attempt, now),
			[Stage.Releasing]: () => now >= attempt.releaseUntil ? this.#settleRefused(attempt, attempt.error!, false) : this.#resend(attempt, now),
		};
		return handlers[attempt.stage]();
	}

	#resend(attempt: Attempt, now: number): AtMostOnceEffect[] {
		return now - attempt.sentAt >= resendMilliseconds ? this.#sendAttempt(attempt, now) : [];
	}

	/** A second try waits no longer than its own time, whatever the first does. */
	#expireJoined(attempt: Attempt, now: number): AtMostOnceEffect[] {
		const over = attempt.joined.filter(call => now >= call.deadline);
		attempt.joined.splice(0, attempt.joined.length, ...attempt.joined.filter(call => now < call.deadline));
		return over.map(call => this.#settleJoined(call, undefined));
	}

	#expireWaiting(attempt: Attempt, now: number): AtMostOnceEffect[] {
		if (now < attempt.call.deadline) {
			return [];
		}

		this.#attempts.close(attempt);
		return [attempt.call, ...attempt.joined].map(call => this.#settleJoined(call, undefined));
	}

	#settleJoined(call: AtMostOnceCall, answer: AnswerPayload | undefined): AtMostOnceEffect {
		return answer === undefined
			? {
				type: AtMostOnceEffectType.Refused, callId: call.callId, error: {kind: ErrorKind.KeyStateUnknown, detail: 'An earlier try with this key may have run'}, isNotRun: false, coversAction: false,
			}
			: {type: AtMostOnceEffectType.Answered, callId: call.callId, answer};
	}

	#settleRefused(attempt: Attempt, error: CallError, coversAction: boolean): AtMostOnceEffect[] {
		this.#attempts.close(attempt);
		this.#definition.table.remove(attempt.call.key, attempt.id);
		const refusal = {type: AtMostOnceEffectType.Refused, isNotRun: true, coversAction} as const;
		const errorOfJoined = kindsOfOneTry.has(error.kind) ? givenUp : error;
		return [{...refusal, callId: attempt.call.callId, error}, ...attempt.joined.map(({callId}) => ({...refusal, callId, error: errorOfJoined}))];
	}
}
