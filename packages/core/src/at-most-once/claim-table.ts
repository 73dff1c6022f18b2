/**
 * The claims of one key range: which keys may have been dispatched, and the answers of those that finished.
 *
 * @module
 */
import type {AnswerPayload} from '../messages.js';

/** Identity of a claim. Of two claims of a key, the higher is the later. */
export type ClaimId = {
	readonly epoch: number;
	readonly sequence: number;
};

export enum ClaimState {
	/** Waits for admission or for the backup; not dispatched. */
	Pending = 'pending',
	/** May have been dispatched. */
	Dispatched = 'dispatched',
	/** Ran, with an answer. */
	Finished = 'finished',
}

/** One key's claim. */
export type Claim = {
	readonly key: string;
	readonly id: ClaimId;
	readonly digest: string;
	readonly state: ClaimState;
	readonly answer: AnswerPayload | undefined;
	/** When the claim was last changed, in milliseconds on the node's clock. */
	readonly changedAt: number;
};

/** Bounds for the claims of one node over all its ranges. */
export type ClaimLimits = {
	readonly maximumClaims: number;
	readonly maximumAnswerBytes: number;
};

/** Memory that the claims of one node use, shared by its tables. */
export class ClaimMemory {
	claims = 0;
	answerBytes = 0;
	readonly #bounds: ClaimLimits;

	constructor(bounds: ClaimLimits) {
		this.#bounds = bounds;
	}

	get isFull(): boolean {
		return this.claims >= this.#bounds.maximumClaims || this.answerBytes >= this.#bounds.maximumAnswerBytes;
	}
}

/** Negative when the left claim is the earlier. */
export function compareClaimIds(left: ClaimId, right: ClaimId): number {
	return (left.epoch - right.epoch) || (left.sequence - right.sequence);
}

const bytesOf = (claim: Claim | undefined): number => claim?.answer?.body.length ?? 0;

/**
 * Claims by key. No claim is dropped before its time.
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

	/** Removes the claim, but never a later one of the same key. */
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

	/** Forgets claims that nobody has to remember any longer; they stand in the order of their last change. */
	expire(now: number, finishedMilliseconds: number, unfinishedMilliseconds: number): void {
		for (const claim of this.#claims.values()) {
			const age = now - claim.changedAt;
			if (age < finishedMilliseconds) {
				return;
			}

			const isOver = claim.state === ClaimState.Finished || (claim.state === ClaimState.Dispatched && age >= unfinishedMilliseconds);
			if (isOver) {
				this.remove(claim.key, claim.id);
			}
		}
	}
}
