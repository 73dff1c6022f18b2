/**
 * Remembers calls that ended or were cancelled before they arrived, so that a late or doubled copy is never run.
 *
 * @module
 */
import {parseCallId} from '../action/call-ids.js';

/**
 * Bounded by time. Whatever is forgotten leaves a watermark for its sender: a call with a sequence number at or below
 * it is taken as seen, so a copy is refused however late it comes.
 *
 * @example
 * seen.add('n1.1.7', now);
 * seen.has('n1.1.7'); // true, also when the entry has been forgotten
 */
export class SeenCalls {
	readonly #keepMilliseconds: number;
	readonly #maximumEntries: number;
	readonly #addedAt = new Map<string, number>();
	readonly #watermarks = new Map<string, number>();

	constructor(keepMilliseconds: number, maximumEntries: number) {
		this.#keepMilliseconds = keepMilliseconds;
		this.#maximumEntries = maximumEntries;
	}

	get size(): number {
		return this.#addedAt.size;
	}

	add(callId: string, now: number): void {
		this.#addedAt.delete(callId);
		this.#addedAt.set(callId, now);
		if (this.#addedAt.size > this.#maximumEntries) {
			this.#forgetOldest();
		}
	}

	has(callId: string): boolean {
		if (this.#addedAt.has(callId)) {
			return true;
		}

		const {sender, sequence} = parseCallId(callId);
		return sequence <= (this.#watermarks.get(sender) ?? 0);
	}

	/** Forgets entries whose time is over; they stand in the order of their addition. */
	advance(now: number): void {
		for (const addedAt of this.#addedAt.values()) {
			if (now - addedAt < this.#keepMilliseconds) {
				return;
			}

			this.#forgetOldest();
		}
	}

	#forgetOldest(): void {
		const [callId] = this.#addedAt.keys();
		if (callId === undefined) {
			return;
		}

		this.#addedAt.delete(callId);
		const {sender, sequence} = parseCallId(callId);
		this.#watermarks.set(sender, Math.max(sequence, this.#watermarks.get(sender) ?? 0));
	}
}
