/**
 * Order of waiting calls by the shares of their organisations, within one importance.
 *
 * @module
 */
import {rankOf} from '../importance.js';
import type {FairShares} from './fair-shares.js';
import type {Work} from './work.js';

/** What the order depends on. */
export type FairOrderDefinition = {
	readonly shares: FairShares;
	/** Expected work of a call in milliseconds of a slot. */
	readonly workOf: (work: Work, now: number) => number;
	/**
	 * Work in milliseconds of a slot, above 0, within which the starts of organisations count as equal. The earlier deadline
	 * then goes first.
	 */
	readonly toleranceMilliseconds: () => number;
};

/** Next entry, and the smallest virtual start of the organisations that wait with it. */
export type FairPosition = {readonly position: number; readonly leastStart: number};

type Place = {readonly turn: number; readonly deadline: number};

/**
 * Order by importance, then by the turn of the organisation, then by deadline. All methods expect entries that are sorted
 * by importance and deadline, and cost a time in proportion to their number.
 *
 * @example
 * order.first(entries, () => true, now); // {position: 3, leastStart: 120}
 */
export class FairOrder {
	readonly #definition: FairOrderDefinition;

	constructor(definition: FairOrderDefinition) {
		this.#definition = definition;
	}

	/** The entry that is dispatched first among those that pass the test; undefined when none does. */
	first(entries: readonly Work[], test: (work: Work) => boolean, now: number): FairPosition | undefined {
		const from = entries.findIndex(entry => test(entry));
		if (from === -1) {
			return undefined;
		}

		const {shares} = this.#definition;
		const {importance} = entries[from]!;
		const organisations = new Set<string | undefined>();
		let leastStart = Infinity;
		let best = {position: from, place: {turn: Infinity, deadline: Infinity}};
		for (let position = from; position < entries.length && entries[position]!.importance === importance; position += 1) {
			const entry = entries[position]!;
			if (!organisations.has(entry.organisation) && test(entry)) {
				organisations.add(entry.organisation);
				const start = shares.startOf(entry, now);
				const place = {turn: this.#turnAt(start), deadline: entry.deadline};
				leastStart = Math.min(leastStart, start);
				best = comparePlaces(place, best.place) < 0 ? {position, place} : best;
			}
		}

		return {position: best.position, leastStart};
	}

	/** The entry that is dispatched last. */
	last(entries: readonly Work[], now: number): Work | undefined {
		const places = this.#placesOf(entries, entries.at(-1)?.importance, now);
		return places.reduce<{readonly work: Work; readonly place: Place} | undefined>((last, entry) => last === undefined || comparePlaces(entry.place, last.place) >= 0 ? entry : last, undefined)?.work;
	}

	/** Number of entries that are dispatched before a call that is not among them. */
	countAhead(entries: readonly Work[], work: Work, now: number): number {
		const moreImportant = entries.filter(entry => rankOf(entry.importance) > rankOf(work.importance)).length;
		const place = this.#placeOfNew(entries, work, now);
		return moreImportant + this.#placesOf(entries, work.importance, now).filter(entry => isAhead(entry, {work, place})).length;
	}

	/** Whether a call that is not among the entries, and has the importance of the last one, takes its turn before it. */
	isBeforeLast(entries: readonly Work[], work: Work, now: number): boolean {
		const last = this.last(entries, now);
		if (last === undefined || last.importance !== work.importance || last.organisation === work.organisation) {
			return false;
		}

		const lastPlace = this.#placesOf(entries, last.importance, now).find(entry => entry.work === last)!.place;
		return this.#placeOfNew(entries, work, now).turn < lastPlace.turn;
	}

	/** Places of the entries of one importance. The calls of an organisation follow each other by deadline. */
	#placesOf(entries: readonly Work[], importance: Work['importance'] | undefined, now: number): Array<{readonly work: Work; readonly place: Place}> {
		const {shares, workOf} = this.#definition;
		const starts = new Map<string | undefined, number>();
		return entries.filter(entry => entry.importance === importance).map(work => {
			const start = starts.get(work.organisation) ?? shares.startOf(work, now);
			starts.set(work.organisation, start + (workOf(work, now) / shares.weightOf(work)));
			return {work, place: {turn: this.#turnAt(start), deadline: work.deadline}};
		});
	}

	#placeOfNew(entries: readonly Work[], work: Work, now: number): Place {
		const {shares, workOf} = this.#definition;
		const earlier = entries.filter(entry => isOfSameOrganisation(entry, work) && entry.deadline <= work.deadline);
		const ahead = earlier.reduce((sum, entry) => sum + workOf(entry, now), 0);
		return {turn: this.#turnAt(shares.startOf(work, now) + (ahead / shares.weightOf(work))), deadline: work.deadline};
	}

	#turnAt(start: number): number {
		return Math.floor(start / this.#definition.toleranceMilliseconds());
	}
}

function isOfSameOrganisation(left: Work, right: Work): boolean {
	return left.organisation === right.organisation && left.importance === right.importance;
}

/** Within an organisation the deadline decides, whatever the turns. */
function isAhead(entry: {readonly work: Work; readonly place: Place}, other: {readonly work: Work; readonly place: Place}): boolean {
	return isOfSameOrganisation(entry.work, other.work) ? entry.work.deadline <= other.work.deadline : comparePlaces(entry.place, other.place) <= 0;
}

function comparePlaces(left: Place, right: Place): number {
	return left.turn === right.turn ? left.deadline - right.deadline : left.turn - right.turn;
}
