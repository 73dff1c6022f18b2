/**
 * News that still has to be passed on: each item a bounded number of times, the freshest first.
 *
 * @module
 */

const sendsPerDoubling = 3;

/**
 * Items by name with the number of sends left.
 *
 * @example
 * news.add('node-7', 3200);
 * news.take(8); // names of the items to put into the next message
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
	 * @param memberCount - number of members that the item has to reach
	 */
	add(name: string, memberCount: number): void {
		this.#sendsLeft.set(name, sendsPerDoubling * Math.ceil(Math.log2(memberCount + 1)));
	}

	take(count: number): string[] {
		const taken = [...this.#sendsLeft].toSorted((left, right) => right[1] - left[1]).slice(0, count);
		taken.map(([name, left]) => left <= 1 ? this.#sendsLeft.delete(name) : this.#sendsLeft.set(name, left - 1));
		return taken.map(([name]) => name);
	}
}
