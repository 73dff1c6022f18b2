/**
 * Ids of calls between nodes: unique across nodes and incarnations, and increasing within one incarnation.
 *
 * @module
 */

/**
 * Generates the call ids of one incarnation of a node.
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

/** Splits a call id into its sender (`NAME.INCARNATION`) and sequence number. The sequence is Infinity for text in another format. */
export function parseCallId(callId: string): {readonly sender: string; readonly sequence: number} {
	const position = callId.lastIndexOf('.');
	const sequence = position === -1 ? Number.NaN : Number(callId.slice(position + 1));
	return Number.isSafeInteger(sequence) ? {sender: callId.slice(0, position), sequence} : {sender: callId, sequence: Infinity};
}
