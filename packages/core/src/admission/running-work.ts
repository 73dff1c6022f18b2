/**
 * Calls in flight at one upstream.
 *
 * @module
 */
import {rankOf} from '../importance.js';
import type {Work} from './work.js';

export type RunningEntry = {
	readonly work: Work;
	readonly startedAt: number;
	/** Calls in flight when this one was dispatched, including itself. */
	readonly inFlight: number;
	/** Whether its cancellation was requested. It holds its slot until the dispatch to the upstream ends. */
	isCancelled: boolean;
	/** Whether part of its answer has been sent, so that it is not preempted. */
	isAnswering: boolean;
};

/**
 * Calls in flight, with a count per kind.
 *
 * @example
 * running.add(work, now);
 * running.leastImportantBelow(3); // the least important call that a critical call may preempt
 */
export class RunningWork {
	readonly #entries = new Map<string, RunningEntry>();
	readonly #countByKind = new Map<string, number>();
	#cancelledCount = 0;

	get size(): number {
		return this.#entries.size;
	}

	/** Number of calls whose cancellation was requested and that have not ended yet. */
	get cancelledCount(): number {
		return this.#cancelledCount;
	}

	get(callId: string): RunningEntry | undefined {
		return this.#entries.get(callId);
	}

	countOf(kind: string): number {
		return this.#countByKind.get(kind) ?? 0;
	}

	add(work: Work, now: number): void {
		this.#entries.set(work.callId, {
			work, startedAt: now, inFlight: this.#entries.size + 1, isCancelled: false, isAnswering: false,
		});
		this.#countByKind.set(work.kind, this.countOf(work.kind) + 1);
	}

	remove(callId: string): RunningEntry | undefined {
		const entry = this.#entries.get(callId);
		if (entry === undefined) {
			return undefined;
		}

		this.#entries.delete(callId);
		this.#countByKind.set(entry.work.kind, this.countOf(entry.work.kind) - 1);
		this.#cancelledCount -= entry.isCancelled ? 1 : 0;
		return entry;
	}

	/** Marks a call as cancelled. Returns undefined if it is not running or is already marked. */
	markCancelled(callId: string): Work | undefined {
		const entry = this.#entries.get(callId);
		if (entry === undefined || entry.isCancelled) {
			return undefined;
		}

		entry.isCancelled = true;
		this.#cancelledCount += 1;
		return entry.work;
	}

	markAnswering(callId: string): void {
		const entry = this.#entries.get(callId);
		if (entry !== undefined) {
			entry.isAnswering = true;
		}
	}

	/** The least important idempotent call below the rank. Of equally important calls, the one that started last. */
	leastImportantBelow(rank: number): RunningEntry | undefined {
		return [...this.#entries.values()]
			.filter(entry => entry.work.idempotent && !entry.isCancelled && !entry.isAnswering && rankOf(entry.work.importance) < rank)
			.reduce<RunningEntry | undefined>((least, entry) => least === undefined || isLessImportant(entry, least) ? entry : least, undefined);
	}

	/** Idempotent calls that are still running at or after their deadline. */
	overdueEntries(now: number): RunningEntry[] {
		return [...this.#entries.values()].filter(entry => entry.work.idempotent && !entry.isCancelled && now >= entry.work.deadline);
	}
}

function isLessImportant(left: RunningEntry, right: RunningEntry): boolean {
	const difference = rankOf(left.work.importance) - rankOf(right.work.importance);
	return difference < 0 || (difference === 0 && left.startedAt >= right.startedAt);
}
