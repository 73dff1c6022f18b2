/**
 * Calls in flight at one upstream.
 *
 * @module
 */
import type {Work} from './work.js';

export type RunningEntry = {
	readonly work: Work;
	readonly startedAt: number;
	/** Calls in flight when this one was dispatched, including itself. */
	readonly inFlight: number;
	/** Whether its cancellation was requested. It holds its slot until the dispatch to the upstream ends. */
	isCancelled: boolean;
};

/**
 * Calls in flight, with a count per kind.
 *
 * @example
 * running.add(work, now);
 * running.countOf('look');
 */
export class RunningWork {
	readonly #entries = new Map<string, RunningEntry>();
	readonly #countByKind = new Map<string, number>();

	get size(): number {
		return this.#entries.size;
	}

	get(callId: string): RunningEntry | undefined {
		return this.#entries.get(callId);
	}

	countOf(kind: string): number {
		return this.#countByKind.get(kind) ?? 0;
	}

	add(work: Work, now: number): void {
		this.#entries.set(work.callId, {
			work, startedAt: now, inFlight: this.#entries.size + 1, isCancelled: false,
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
		return entry;
	}

	/** Marks a call as cancelled. Returns undefined if it is not running or is already marked. */
	markCancelled(callId: string): Work | undefined {
		const entry = this.#entries.get(callId);
		if (entry === undefined || entry.isCancelled) {
			return undefined;
		}

		entry.isCancelled = true;
		return entry.work;
	}

	/** Idempotent calls that are still running at or after their deadline. */
	overdueEntries(now: number): RunningEntry[] {
		return [...this.#entries.values()].filter(entry => entry.work.idempotent && !entry.isCancelled && now >= entry.work.deadline);
	}
}
