/**
 * Current incarnation of the node's own upstream, and which of its announcements are valid.
 *
 * @module
 */
import type {Announcement, Withdrawal} from '../node/effects.js';

type Incarnation = {
	readonly instance: string | undefined;
	readonly birth: number | undefined;
	/** Undefined while no announcement had one. */
	sequence: number | undefined;
	isWithdrawn: boolean;
};

/**
 * Accepts announcements of the current incarnation and rejects those that are late, repeated or of an earlier one.
 *
 * @example
 * const tracker = new UpstreamTracker();
 * tracker.accept({...announcement, instance: 'i-1', birth: 1000, sequence: 4}); // true
 * tracker.accept({...announcement, instance: 'i-1', birth: 1000, sequence: 3}); // false: out of order
 */
export class UpstreamTracker {
	#current: Incarnation | undefined;
	#suspected: {readonly instance: string; readonly until: number} | undefined;

	/** Instance name of the current incarnation. */
	get instance(): string | undefined {
		return this.#current?.instance;
	}

	/** Whether the announcement is the first one or belongs to another incarnation than the current one. */
	isNewIncarnation(announcement: Announcement): boolean {
		return this.#current === undefined || !isSame(this.#current, announcement);
	}

	/** Rejects announcements of the instance until the given time, because it answered that it does not serve. */
	suspect(instance: string, until: number): void {
		this.#suspected = {instance, until};
	}

	/** Records an announcement. Returns false if it is outdated or its instance is suspected. */
	accept(announcement: Announcement, now = 0): boolean {
		const {instance, birth, sequence} = announcement;
		if (this.#suspected !== undefined && this.#suspected.instance === instance && now < this.#suspected.until) {
			return false;
		}

		const current = this.#current;
		if (current !== undefined && !canBeOrdered(current, announcement)) {
			return false;
		}

		if (current === undefined || !isSame(current, announcement)) {
			if (current !== undefined && isEarlier(birth, current.birth)) {
				return false;
			}

			this.#current = {
				instance, birth, sequence, isWithdrawn: false,
			};
			return true;
		}

		const isOutOfOrder = sequence !== undefined && sequence <= (current.sequence ?? 0);
		const isAfterWithdrawal = current.isWithdrawn && sequence !== undefined;
		if (isOutOfOrder || isAfterWithdrawal) {
			return false;
		}

		current.sequence = sequence ?? current.sequence;
		current.isWithdrawn = false;
		return true;
	}

	/** Records a withdrawal. Returns false if it does not belong to the current incarnation. */
	withdraw(withdrawal: Withdrawal): boolean {
		const current = this.#current;
		if (current === undefined) {
			return false;
		}

		const isOther = withdrawal.instance !== undefined && withdrawal.instance !== current.instance;
		if (isOther || isEarlier(withdrawal.birth, current.birth)) {
			return false;
		}

		current.isWithdrawn = true;
		return true;
	}
}

/**
 * Whether the announcement has the fields that order it after the earlier ones. An upstream that states its birth or numbers
 * its announcements does so in each of them, so one without the field comes from another writer.
 */
function canBeOrdered(current: Incarnation, {birth, sequence}: Announcement): boolean {
	return (current.birth === undefined || birth !== undefined) && (current.sequence === undefined || sequence !== undefined);
}

function isSame(current: Incarnation, {instance, birth}: Announcement): boolean {
	const isBirthSame = current.birth === birth || current.birth === undefined || birth === undefined;
	return current.instance === instance && isBirthSame;
}

function isEarlier(birth: number | undefined, reference: number | undefined): boolean {
	return birth !== undefined && reference !== undefined && birth < reference;
}
