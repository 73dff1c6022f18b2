/**
 * Ids of calls that ended or were cancelled before their arrival, so that a late or duplicate copy never runs.
 *
 * @module
 */
import {parseCallId} from '../action/call-ids.js';

/**
 * Set of call ids, limited by retention time and number of entries. An evicted entry raises the watermark of its sender:
 * a call with a sequence number at or below the watermark counts as seen, so a copy is refused however late it arrives.
 *
 * @example
 * seen.add('n1.1.7', now);
 * seen.has('n1.1.7'); // true, also after the entry was evicted
 */
export class SeenCalls {
	readonly #retentionMilliseconds: number;
	readonly #maximumEntries: number;
	readonly #addedAt = new Map<string, number>();
	readonly #watermarks = new Map<string, number>();

	constructor(retentionMilliseconds: number, maximumEntries: number) {
		this.#retentionMilliseconds = retentionMilliseconds;
		this.#maximumEntries = maximumEntries;
	}

	get size(): number {
		return this.#addedAt.size;
	}

	add(callId: string, now: number): void {
		this.#addedAt.delete(callId);
		this.#addedAt.set(callId, now);
		if (this.#addedAt.size > this.#maximumEntries) {
			this.#evictOldest();
		}
	}

	has(callId: string): boolean {
		if (this.#addedAt.has(callId)) {
			return true;
		}

		const {sender, sequence} = parseCallId(callId);
		return sequence <= (this.#watermarks.get(sender) ?? 0);
	}

	/** Evicts entries whose retention time is over. The map iterates in the order of addition, so the oldest come first. */
	advance(now: number): void {
		for (const addedAt of this.#addedAt.values()) {
			if (now - addedAt < this.#retentionMilliseconds) {
				return;
			}

			this.#evictOldest();
		}
	}

	#evictOldest(): void {
		const [callId] = this.#addedAt.keys();
		if (callId === undefined) {
			return;
		}

		this.#addedAt.delete(callId);
		const {sender, sequence} = parseCallId(callId);
		this.#watermarks.set(sender, Math.max(sequence, this.#watermarks.get(sender) ?? 0));
	}
}
