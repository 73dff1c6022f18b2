/**
 * Max-min fair division of room between parties with a demand and a weight.
 *
 * @module
 */

/** Demand of one party, in the unit of the room, and its weight above 0. */
export type WeightedDemand = {readonly demand: number; readonly weight: number};

/**
 * Room per unit of weight at which the room is used up: a party gets the smaller of its demand and weight x level. What a
 * party does not need goes to the others.
 *
 * @returns Infinity when the room suffices for all demands
 * @example
 * fairLevel([{demand: 10, weight: 1}, {demand: 1, weight: 1}], 5); // 4: the second party gets 1, and the first the remaining 4
 */
export function fairLevel(parties: readonly WeightedDemand[], room: number): number {
	let open = parties;
	let left = room;
	while (open.length > 0) {
		const level = Math.max(0, left) / sumOf(open, ({weight}) => weight);
		const unsatisfied = open.filter(({demand, weight}) => demand > level * weight);
		if (unsatisfied.length === open.length) {
			return level;
		}

		left -= sumOf(open, ({demand, weight}) => demand > level * weight ? 0 : demand);
		open = unsatisfied;
	}

	return Infinity;
}

function sumOf(parties: readonly WeightedDemand[], value: (party: WeightedDemand) => number): number {
	return parties.reduce((sum, party) => sum + value(party), 0);
}
