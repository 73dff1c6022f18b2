/**
 * The claims of one key range: which keys may have been dispatched, and the answers of finished calls.
 *
 * @module
 */
import type {AnswerPayload} from '../messages.js';

/** Identity of a claim. Of two claims of the same key, the one with the higher id is the later. */
export type ClaimId = {
	readonly epoch: number;
	readonly sequence: number;
};

export enum ClaimState {
	/** Waits for admission or for the backup's acknowledgement; not dispatched. */
	Pending = 'pending',
	/** May have been dispatched. */
	Dispatched = 'dispatched',
	/** The call ran and was answered. */
	Finished = 'finished',
}

/** Marks an idempotency key as used, so that no other call with the key is dispatched. */
export type Claim = {
	readonly key: string;
	readonly id: ClaimId;
	readonly digest: string;
	readonly state: ClaimState;
	readonly answer: AnswerPayload | undefined;
	/** Time of the last change, in milliseconds on the node's clock. */
	readonly changedAt: number;
};

/** Limits for the claims of one node over all its ranges. */
export type ClaimLimits = {
	readonly maximumClaims: number;
	readonly maximumAnswerBytes: number;
};

/** Memory use of the claims of one node, shared by its tables. */
export class ClaimMemory {
	claims = 0;
	answerBytes = 0;
	readonly #limits: ClaimLimits;

	constructor(limits: ClaimLimits) {
		this.#limits = limits;
	}

	get isFull(): boolean {
		return this.claims >= this.#limits.maximumClaims || this.answerBytes >= this.#limits.maximumAnswerBytes;
	}
}

/** Negative when the left claim is the earlier. */
export function compareClaimIds(left: ClaimId, right: ClaimId): number {
	return (left.epoch - right.epoch) || (left.sequence - right.sequence);
}

const bytesOf = (claim: Claim | undefined): number => claim?.answer?.body.length ?? 0;

/**
 * Claims by key. No claim is evicted for lack of memory; claims are removed only on release, on expiry, or when
 * the node loses its role.
 *
 * @example
 * table.put(claim);
 * table.get('key-1')?.state;
 */
export class ClaimTable {
	readonly #memory: ClaimMemory;
	readonly #claims = new Map<string, Claim>();

	constructor(memory: ClaimMemory) {
		this.#memory = memory;
	}

	get size(): number {
		return this.#claims.size;
	}

	get all(): Claim[] {
		return [...this.#claims.values()];
	}

	get(key: string): Claim | undefined {
		return this.#claims.get(key);
	}

	put(claim: Claim): void {
		const known = this.#claims.get(claim.key);
		this.#memory.claims += known === undefined ? 1 : 0;
		this.#memory.answerBytes += bytesOf(claim) - bytesOf(known);
		this.#claims.delete(claim.key);
		this.#claims.set(claim.key, claim);
	}

	/**
	 * Removes the claim, unless the table holds another claim of the same key.
	 *
	 * @returns whether the claim was removed
	 */
	remove(key: string, id: ClaimId): boolean {
		const known = this.#claims.get(key);
		if (known === undefined || compareClaimIds(known.id, id) !== 0) {
			return false;
		}

		this.#claims.delete(key);
		this.#memory.claims -= 1;
		this.#memory.answerBytes -= bytesOf(known);
		return true;
	}

	clear(): void {
		this.all.map(claim => this.remove(claim.key, claim.id));
	}

	/**
	 * Removes expired claims. Pending claims never expire. The map is ordered by last change, so the scan stops at the
	 * first claim that is too young.
	 *
	 * @param finishedMilliseconds - time to keep a claim with an answer after its last change
	 * @param unfinishedMilliseconds - time to keep a dispatched claim without an answer after its last change
	 */
	expire(now: number, finishedMilliseconds: number, unfinishedMilliseconds: number): void {
		for (const claim of this.#claims.values()) {
			const age = now - claim.changedAt;
			if (age < finishedMilliseconds) {
				return;
			}

			const isExpired = claim.state === ClaimState.Finished || (claim.state === ClaimState.Dispatched && age >= unfinishedMilliseconds);
			if (isExpired) {
				this.remove(claim.key, claim.id);
			}
		}
	}
}
