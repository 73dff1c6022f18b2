/**
 * Division of the admitted part of all work between organisations with different demands.
 *
 * @module
 */
import {fairLevel, type WeightedDemand} from './water-filling.js';

/**
 * Organisations whose demand per weight is within this factor of the typical one are treated alike. Without it, organisations
 * that are equal but for chance get equal amounts of work, and those that ask for a little more see fewer of their calls answered.
 */
const alikeFactor = 2;

/** Steps in which the typical demand settles; it moves by less than 10 % after them with one organisation at 10 times the others. */
const typicalSteps = 6;

/**
 * Division of room: max-min fair, where organisations near the typical demand count with the mean of their demands.
 *
 * @example
 * const division = new DividedRoom([{demand: 10, weight: 1}, {demand: 1, weight: 1}], 0.5);
 * division.partOf({demand: 10, weight: 1}); // 0.45
 * division.partOf({demand: 1, weight: 1}); // 1
 */
export class DividedRoom {
	/** Largest part that any party gets. */
	readonly largestPart: number;
	readonly #perWeight: number;
	readonly #typical: number;
	readonly #alikeMean: number;

	/** @param part - part of all demands for which there is room, in [0, 1] */
	constructor(parties: readonly WeightedDemand[], part: number) {
		const active = parties.filter(({demand}) => demand > 0);
		this.#typical = typicalDemand(active);
		const alike = active.filter(party => this.#isAlike(party));
		this.#alikeMean = sumOf(alike, ({demand}) => demand) / sumOf(alike, ({weight}) => weight);
		const counted = active.map(party => ({weight: party.weight, demand: this.#countedDemand(party)}));
		this.#perWeight = fairLevel(counted, sumOf(counted, ({demand}) => demand) * part);
		this.largestPart = counted.reduce((largest, party) => Math.max(largest, partAt(party, this.#perWeight)), 0);
	}

	/** Part of the party's demand that is admitted, in [0, 1]. */
	partOf(party: WeightedDemand): number {
		return partAt({weight: party.weight, demand: this.#countedDemand(party)}, this.#perWeight);
	}

	#isAlike({demand, weight}: WeightedDemand): boolean {
		return demand <= weight * this.#typical * alikeFactor && demand * alikeFactor >= weight * this.#typical;
	}

	#countedDemand(party: WeightedDemand): number {
		return this.#isAlike(party) ? party.weight * this.#alikeMean : party.demand;
	}
}

/**
 * Demand per weight at which most work is asked for, without the excess of single parties: the mean weighted by demand,
 * where demands count up to a multiple of the mean of the step before.
 */
function typicalDemand(parties: readonly WeightedDemand[]): number {
	let typical = Infinity;
	for (let step = 0; step < typicalSteps; step += 1) {
		const limit = typical * alikeFactor;
		const counted = parties.map(({demand, weight}) => ({weight, demand: Math.min(demand, weight * limit)}));
		typical = sumOf(counted, ({demand, weight}) => demand * demand / weight) / sumOf(counted, ({demand}) => demand);
	}

	return typical;
}

function partAt({demand, weight}: WeightedDemand, perWeight: number): number {
	const room = weight * perWeight;
	return demand <= room ? 1 : room / demand;
}

function sumOf(parties: readonly WeightedDemand[], value: (party: WeightedDemand) => number): number {
	return parties.reduce((sum, party) => sum + value(party), 0);
}
