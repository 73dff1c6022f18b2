/**
 * Entries of other writers that state the own name with another address.
 *
 * @module
 */
import type {Member} from './member.js';

/** Time that a node at the stated address has to answer. It exceeds the round trip between regions and a short standstill. */
const verificationMilliseconds = 1500;

/**
 * The latest unverified claim to the own name.
 *
 * @example
 * claims.add(member, now); // true: contact its address
 * claims.takeUnanswered(now + 1500); // the claim, which may be refuted now
 */
export class NameClaims {
	#claim: {readonly member: Member; readonly dueAt: number} | undefined;

	/** Records a claim; false when one with this or a higher incarnation is being verified. */
	add(member: Member, now: number): boolean {
		if (this.#claim !== undefined && this.#claim.member.incarnation >= member.incarnation) {
			return false;
		}

		this.#claim = {member, dueAt: now + verificationMilliseconds};
		return true;
	}

	/** Removes and returns the claim once its time for an answer has passed. */
	takeUnanswered(now: number): Member | undefined {
		if (this.#claim === undefined || now < this.#claim.dueAt) {
			return undefined;
		}

		const {member} = this.#claim;
		this.#claim = undefined;
		return member;
	}
}
