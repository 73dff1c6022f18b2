/**
 * Max-min fair division of room between parties with a demand and a weight.
 *
 * @module
 */

/** Demand of one party, in the unit of the room, and its weight above 0. */
export type WeightedDemand = {readonly demand: number; readonly weight: number};

/**
 * Demands between which different amounts of room are divided, each in a time in proportion to the logarithm of their number.
 *
 * @example
 * new FairDivision([{demand: 10, weight: 1}, {demand: 1, weight: 1}]).levelFor(5); // 4: the second party gets 1, and the first the remaining 4
 */
export class FairDivision {
	/** Sum of all demands. */
	readonly demand: number;
	/** Smallest demand per weight; Infinity without parties. */
	readonly leastDemand: number;
	/** By demand per weight, the smallest first, with the demand of those before and the weight of this one and those after. */
	readonly #parties: ReadonlyArray<{readonly demandPerWeight: number; readonly demandBefore: number; readonly weightFrom: number}>;

	constructor(parties: readonly WeightedDemand[]) {
		let demandBefore = 0;
		let weightFrom = parties.reduce((sum, {weight}) => sum + weight, 0);
		this.#parties = parties.toSorted((left, right) => (left.demand / left.weight) - (right.demand / right.weight)).map(({demand, weight}) => {
			const party = {demandPerWeight: demand / weight, demandBefore, weightFrom};
			demandBefore += demand;
			weightFrom -= weight;
			return party;
		});
		this.demand = demandBefore;
		this.leastDemand = this.#parties[0]?.demandPerWeight ?? Infinity;
	}

	/**
	 * Room per unit of weight at which the room is used up: a party gets the smaller of its demand and weight x level. What a
	 * party does not need goes to the others.
	 *
	 * @returns Infinity when the room suffices for all demands
	 */
	levelFor(room: number): number {
		if (room >= this.demand) {
			return Infinity;
		}

		const levelFrom = (index: number): number => {
			const {demandBefore, weightFrom} = this.#parties[index]!;
			return Math.max(0, room - demandBefore) / weightFrom;
		};

		// Searches for the first party whose demand is not met by what those before it leave.
		let [low, high] = [0, this.#parties.length - 1];
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			[low, high] = this.#parties[middle]!.demandPerWeight > levelFrom(middle) ? [low, middle] : [middle + 1, high];
		}

		return levelFrom(low);
	}
}
