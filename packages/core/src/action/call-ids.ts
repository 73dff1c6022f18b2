/**
 * Ids of calls between nodes: unique for each sender and incarnation, and ordered within them.
 *
 * @module
 */

/**
 * Hands out call ids.
 *
 * @example
 * const ids = new CallIdGenerator('node-3', 1700000000);
 * ids.next(); // 'node-3.1700000000.1'
 */
export class CallIdGenerator {
	readonly #prefix: string;
	#sequence = 0;

	constructor(nodeName: string, incarnation: number) {
		this.#prefix = `${nodeName}.${incarnation}`;
	}

	next(): string {
		this.#sequence += 1;
		return `${this.#prefix}.${this.#sequence}`;
	}
}

/** Sender (name and incarnation) and sequence number of a call id; the sequence of a foreign text is Infinity. */
export function parseCallId(callId: string): {readonly sender: string; readonly sequence: number} {
	const position = callId.lastIndexOf('.');
	const sequence = position === -1 ? Number.NaN : Number(callId.slice(position + 1));
	return Number.isSafeInteger(sequence) ? {sender: callId.slice(0, position), sequence} : {sender: callId, sequence: Infinity};
}
