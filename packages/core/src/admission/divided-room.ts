/**
 * Division of the admitted part of all work between organisations with different demands.
 *
 * @module
 */
import {FairDivision, type WeightedDemand} from './water-filling.js';

/**
 * Organisations of one weight whose demand is within this factor of the typical one are treated alike. Without it, organisations
 * that are equal but for chance get equal amounts of work, and those that ask for a little more see fewer of their calls
 * answered: the worst of 20 equal ones 0.42 in place of 0.44.
 */
const alikeFactor = 2;

/** Steps in which the typical demand settles; it moves by less than 10 % after them with one organisation at 10 times the others. */
const typicalSteps = 6;

/** Organisations of one weight: the demand at which most of their work is asked for, and the mean of the demands near it. */
type Group = {readonly typical: number; readonly alikeMean: number};

/**
 * Division of room: max-min fair, where organisations near the typical demand of their weight count with the mean of these.
 *
 * @example
 * const division = new DividedRoom([{demand: 10, weight: 1}, {demand: 1, weight: 1}]);
 * division.divide(0.5);
 * division.partOf({demand: 10, weight: 1}); // 0.45
 * division.partOf({demand: 1, weight: 1}); // 1
 */
export class DividedRoom {
	readonly #groups: ReadonlyMap<number, Group>;
	readonly #division: FairDivision;
	#perWeight = Infinity;

	constructor(parties: readonly WeightedDemand[]) {
		const active = parties.filter(({demand}) => demand > 0);
		this.#groups = groupByWeight(active);
		this.#division = new FairDivision(active.map(party => ({weight: party.weight, demand: this.#countedDemand(party)})));
	}

	/** Largest part that any party gets. */
	get largestPart(): number {
		return partAt({demand: this.#division.leastDemand, weight: 1}, this.#perWeight);
	}

	/** Divides the room anew. @param part - part of all demands for which there is room, in [0, 1] */
	divide(part: number): void {
		this.#perWeight = this.#division.levelFor(this.#division.demand * part);
	}

	/** Part of the party's demand that is admitted, in [0, 1]. */
	partOf(party: WeightedDemand): number {
		return partAt({weight: party.weight, demand: this.#countedDemand(party)}, this.#perWeight);
	}

	#countedDemand({demand, weight}: WeightedDemand): number {
		const group = this.#groups.get(weight);
		return group !== undefined && isAlike(demand, group.typical) ? group.alikeMean : demand;
	}
}

function groupByWeight(parties: readonly WeightedDemand[]): ReadonlyMap<number, Group> {
	const demandsByWeight = new Map<number, number[]>();
	parties.map(({demand, weight}) => demandsByWeight.set(weight, demandsByWeight.get(weight) ?? []).get(weight)!.push(demand));
	return new Map([...demandsByWeight].map(([weight, demands]) => {
		const typical = typicalDemand(demands);
		const alike = demands.filter(demand => isAlike(demand, typical));
		return [weight, {typical, alikeMean: sumOf(alike, demand => demand) / alike.length}];
	}));
}

/**
 * Demand at which most work is asked for, without the excess of single organisations: the mean weighted by demand, where
 * demands count up to a multiple of the mean of the step before.
 */
function typicalDemand(demands: readonly number[]): number {
	let typical = Infinity;
	for (let step = 0; step < typicalSteps; step += 1) {
		const limit = typical * alikeFactor;
		typical = sumOf(demands, demand => Math.min(demand, limit) ** 2) / sumOf(demands, demand => Math.min(demand, limit));
	}

	return typical;
}

function isAlike(demand: number, typical: number): boolean {
	return demand <= typical * alikeFactor && demand * alikeFactor >= typical;
}

function partAt({demand, weight}: WeightedDemand, perWeight: number): number {
	const room = weight * perWeight;
	return demand <= room ? 1 : room / demand;
}

function sumOf<Item>(items: readonly Item[], value: (item: Item) => number): number {
	return items.reduce((sum, item) => sum + value(item), 0);
}
