/**
 * The open attempts of one key range at its primary.
 *
 * @module
 */
import {Stage, type Attempt, type AtMostOnceCall} from './attempt.js';
import {compareClaimIds, type ClaimId} from './claim-table.js';

const unacknowledgedStages: ReadonlySet<Stage> = new Set([Stage.Claiming, Stage.Releasing]);

/**
 * Attempts by the id of their first call.
 *
 * @example
 * const attempts = new Attempts();
 * attempts.open(call, claimId, Stage.Admitting);
 * attempts.at(Stage.Admitting, claimId); // the attempt
 */
export class Attempts {
	readonly #attempts = new Map<string, Attempt>();

	get size(): number {
		return this.#attempts.size;
	}

	/** Whether one waits for a word of the backup. */
	get hasUnacknowledged(): boolean {
		return this.all.some(attempt => unacknowledgedStages.has(attempt.stage));
	}

	/** Oldest first. */
	get all(): Attempt[] {
		return [...this.#attempts.values()];
	}

	open(call: AtMostOnceCall, id: ClaimId, stage: Stage): void {
		this.#attempts.set(call.callId, {
			call, id, joined: [], stage, sentAt: -Infinity, releaseUntil: Infinity, error: undefined,
		});
	}

	get(callId: string): Attempt | undefined {
		return this.#attempts.get(callId);
	}

	close(attempt: Attempt): void {
		this.#attempts.delete(attempt.call.callId);
	}

	/** The attempt that holds or waits for a claim of the key. */
	ofClaim(key: string, id: ClaimId): Attempt | undefined {
		return this.all.find(attempt => attempt.call.key === key && compareClaimIds(attempt.id, id) === 0);
	}

	/** The attempt with the claim, if it has come so far. */
	at(stage: Stage, id: ClaimId): Attempt | undefined {
		return this.all.find(attempt => attempt.stage === stage && compareClaimIds(attempt.id, id) === 0);
	}

	/** The attempt that waits for the end of a call which an earlier primary runs. */
	waitingFor(key: string): Attempt | undefined {
		return this.all.find(attempt => attempt.call.key === key && attempt.stage === Stage.Waiting);
	}
}
