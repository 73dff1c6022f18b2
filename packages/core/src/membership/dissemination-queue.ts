/**
 * Queue of updates to be piggybacked on gossip: each is sent a bounded number of times, those with the most sends left first.
 *
 * @module
 */

/** Sends of an update for each doubling of the number of members. */
const retransmitMultiplier = 3;

/**
 * Names of updated items with the number of sends left. A name that is added again starts anew.
 *
 * @example
 * queue.add('node-7', 3200);
 * queue.take(8); // names of the items to put into the next message
 */
export class DisseminationQueue {
	readonly #sendsLeft = new Map<string, number>();

	get isEmpty(): boolean {
		return this.#sendsLeft.size === 0;
	}

	has(name: string): boolean {
		return this.#sendsLeft.has(name);
	}

	/**
	 * @param memberCount - number of members that the update has to reach
	 */
	add(name: string, memberCount: number): void {
		this.#sendsLeft.set(name, retransmitMultiplier * Math.ceil(Math.log2(memberCount + 1)));
	}

	/** Takes the names for one message, at most the given number, and counts one send for each. */
	take(count: number): string[] {
		const taken = [...this.#sendsLeft].toSorted((left, right) => right[1] - left[1]).slice(0, count);
		taken.map(([name, left]) => left <= 1 ? this.#sendsLeft.delete(name) : this.#sendsLeft.set(name, left - 1));
		return taken.map(([name]) => name);
	}
}
