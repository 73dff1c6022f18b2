/**
 * Calls that wait for a slot, ordered by importance (highest first) and then by deadline (earliest first). While calls have
 * an organisation, the shares of the organisations go before the deadline.
 *
 * @module
 */
import {rankOf} from '../importance.js';
import type {FairOrder} from './fair-order.js';
import type {Work} from './work.js';

/** Entry that was taken from the queue. */
export type Taken = {readonly work: Work; readonly leastStart: number | undefined};

/**
 * Priority queue of waiting calls. It has no limit of its own; the admission controller limits its length.
 *
 * @example
 * queue.add(work);
 * queue.takeFirst(() => true, undefined, now)?.work; // the most important work
 */
export class WorkQueue {
	/** Sorted by importance and deadline. */
	#entries: Work[] = [];

	get length(): number {
		return this.#entries.length;
	}

	get entries(): readonly Work[] {
		return this.#entries;
	}

	/** The entry that is displaced first when the queue is full. @param order - order by shares, if it applies */
	last(order: FairOrder | undefined, now: number): Work | undefined {
		return order === undefined ? this.#entries.at(-1) : order.last(this.#entries, now);
	}

	add(work: Work): void {
		const position = this.#entries.findLastIndex(entry => compareWork(entry, work) <= 0);
		this.#entries.splice(position + 1, 0, work);
	}

	/**
	 * Removes and returns the first entry that passes the test.
	 *
	 * @param order - order by shares, if it applies
	 * @returns the entry, and with an order by shares the smallest virtual start of the organisations that wait
	 */
	takeFirst(test: (work: Work) => boolean, order: FairOrder | undefined, now: number): Taken | undefined {
		const {position, leastStart} = order === undefined
			? {position: this.#entries.findIndex(entry => test(entry)), leastStart: undefined}
			: order.first(this.#entries, test, now) ?? {position: -1, leastStart: undefined};
		return position === -1 ? undefined : {work: this.#entries.splice(position, 1)[0]!, leastStart};
	}

	remove(callId: string): Work | undefined {
		return this.takeFirst(work => work.callId === callId, undefined, 0)?.work;
	}

	removeAll(test: (work: Work) => boolean): Work[] {
		const removed = this.#entries.filter(entry => test(entry));
		if (removed.length > 0) {
			this.#entries = this.#entries.filter(entry => !test(entry));
		}

		return removed;
	}

	/** Number of entries that are dispatched before work that is not in the queue. */
	countAhead(work: Work, order: FairOrder | undefined, now: number): number {
		if (order !== undefined) {
			return order.countAhead(this.#entries, work, now);
		}

		return this.#entries.findLastIndex(entry => compareWork(entry, work) <= 0) + 1;
	}
}

/** Negative if the left work is dispatched first. */
export function compareWork(left: Work, right: Work): number {
	return (rankOf(right.importance) - rankOf(left.importance)) || (left.deadline - right.deadline);
}
