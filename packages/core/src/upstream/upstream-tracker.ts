/**
 * Which incarnation of the upstream stands beside the node, and which of its announcements still count.
 *
 * @module
 */
import type {Announcement, Withdrawal} from '../node/effects.js';

type Incarnation = {
	readonly instance: string | undefined;
	readonly birth: number | undefined;
	sequence: number;
	isWithdrawn: boolean;
};

/**
 * Tells announcements of the present incarnation from those that are late, repeated or of an earlier one.
 *
 * @example
 * const tracker = new UpstreamTracker();
 * tracker.accept({...announcement, instance: 'i-1', birth: 1000, sequence: 4}); // true
 * tracker.accept({...announcement, instance: 'i-1', birth: 1000, sequence: 3}); // false: overtaken
 */
export class UpstreamTracker {
	#current: Incarnation | undefined;
	#doubted: {readonly instance: string; readonly until: number} | undefined;

	/** Name of the present incarnation. */
	get instance(): string | undefined {
		return this.#current?.instance;
	}

	/** Whether the announcement is of another incarnation than the present one, or the first. */
	isNewIncarnation(announcement: Announcement): boolean {
		return this.#current === undefined || !isSame(this.#current, announcement);
	}

	/** The incarnation has said itself that it does not serve: until the given time its late words are not believed. */
	suspect(instance: string, until: number): void {
		this.#doubted = {instance, until};
	}

	/** Takes an announcement; false when a later word of the upstream is known already. */
	accept(announcement: Announcement, now = 0): boolean {
		const {instance, birth, sequence} = announcement;
		if (this.#doubted !== undefined && this.#doubted.instance === instance && now < this.#doubted.until) {
			return false;
		}

		const current = this.#current;
		if (current === undefined || !isSame(current, announcement)) {
			if (current !== undefined && isEarlier(birth, current.birth)) {
				return false;
			}

			this.#current = {
				instance, birth, sequence: sequence ?? 0, isWithdrawn: false,
			};
			return true;
		}

		const isOvertaken = sequence !== undefined && sequence <= current.sequence;
		const isOver = current.isWithdrawn && sequence !== undefined;
		if (isOvertaken || isOver) {
			return false;
		}

		current.sequence = sequence ?? current.sequence;
		current.isWithdrawn = false;
		return true;
	}

	/** Takes the upstream's word that it goes away; false when it is not of the present incarnation. */
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

function isSame(current: Incarnation, {instance, birth}: Announcement): boolean {
	const isBirthSame = current.birth === birth || current.birth === undefined || birth === undefined;
	return current.instance === instance && isBirthSame;
}

function isEarlier(birth: number | undefined, than: number | undefined): boolean {
	return birth !== undefined && than !== undefined && birth < than;
}
