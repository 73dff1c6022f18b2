/**
 * Calls that wait for a slot, ordered by importance (highest first) and then by deadline (earliest first).
 *
 * @module
 */
import {rankOf} from '../importance.js';
import type {Work} from './work.js';

/**
 * Priority queue of waiting calls. It has no limit of its own; the admission controller limits its length.
 *
 * @example
 * queue.add(work);
 * queue.takeFirst(); // the most important work
 */
export class WorkQueue {
	#entries: Work[] = [];

	get length(): number {
		return this.#entries.length;
	}

	get entries(): readonly Work[] {
		return this.#entries;
	}

	/** The entry that is displaced first when the queue is full. */
	get last(): Work | undefined {
		return this.#entries.at(-1);
	}

	add(work: Work): void {
		const position = this.#entries.findLastIndex(entry => compareWork(entry, work) <= 0);
		this.#entries.splice(position + 1, 0, work);
	}

	/** Removes and returns the first entry that passes the test. */
	takeFirst(test: (work: Work) => boolean = () => true): Work | undefined {
		const position = this.#entries.findIndex(entry => test(entry));
		return position === -1 ? undefined : this.#entries.splice(position, 1)[0];
	}

	remove(callId: string): Work | undefined {
		return this.takeFirst(work => work.callId === callId);
	}

	removeAll(test: (work: Work) => boolean): Work[] {
		const removed = this.#entries.filter(entry => test(entry));
		if (removed.length > 0) {
			this.#entries = this.#entries.filter(entry => !test(entry));
		}

		return removed;
	}

	/** Number of entries that are dispatched before the given work. Work that is in the queue counts itself. */
	countAhead(work: Work): number {
		return this.#entries.findLastIndex(entry => compareWork(entry, work) <= 0) + 1;
	}
}

/** Negative if the left work is dispatched first. */
export function compareWork(left: Work, right: Work): number {
	return (rankOf(right.importance) - rankOf(left.importance)) || (left.deadline - right.deadline);
}
