/**
 * The open attempts of one key range at its primary.
 *
 * @module
 */
import {AttemptStage, type Attempt, type AtMostOnceCall} from './attempt.js';
import {compareClaimIds, type ClaimId} from './claim-table.js';

const unacknowledgedStages: ReadonlySet<AttemptStage> = new Set([AttemptStage.Claiming, AttemptStage.Releasing]);

/**
 * Open attempts by the call id of their first call.
 *
 * @example
 * const attempts = new OpenAttempts();
 * attempts.open(call, claimId, AttemptStage.Admitting);
 * attempts.findInStage(AttemptStage.Admitting, claimId); // the attempt
 */
export class OpenAttempts {
	readonly #attempts = new Map<string, Attempt>();

	get size(): number {
		return this.#attempts.size;
	}

	/** Whether any attempt waits for an acknowledgement of the backup. */
	get hasUnacknowledged(): boolean {
		return this.all.some(attempt => unacknowledgedStages.has(attempt.stage));
	}

	/** Oldest first. */
	get all(): Attempt[] {
		return [...this.#attempts.values()];
	}

	open(call: AtMostOnceCall, claimId: ClaimId, stage: AttemptStage): void {
		this.#attempts.set(call.callId, {
			call, claimId, joinedCalls: [], stage, sentAt: -Infinity, releaseDeadline: Infinity, error: undefined,
		});
	}

	get(callId: string): Attempt | undefined {
		return this.#attempts.get(callId);
	}

	close(attempt: Attempt): void {
		this.#attempts.delete(attempt.call.callId);
	}

	/** The attempt that holds the claim or waits for its outcome. */
	findByClaim(key: string, claimId: ClaimId): Attempt | undefined {
		return this.all.find(attempt => attempt.call.key === key && compareClaimIds(attempt.claimId, claimId) === 0);
	}

	/** The attempt with the claim, if it is in the given stage. */
	findInStage(stage: AttemptStage, claimId: ClaimId): Attempt | undefined {
		return this.all.find(attempt => attempt.stage === stage && compareClaimIds(attempt.claimId, claimId) === 0);
	}

	/** The attempt that waits for the outcome of a call that an earlier primary runs. */
	findWaiting(key: string): Attempt | undefined {
		return this.all.find(attempt => attempt.call.key === key && attempt.stage === AttemptStage.Waiting);
	}
}
