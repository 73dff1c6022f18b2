/**
 * Fair shares of one upstream's room between the organisations whose calls have the same importance.
 *
 * The order is start-time fair queueing by expected work, and the overload level is divided by max-min fairness; see
 * `docs/design/fair-shares.md`.
 *
 * @module
 */
import {cohortCount, Importance, rankOf} from '../importance.js';
import {DividedRoom} from './divided-room.js';
import {
	demandOf, noOrganisation, ShareAccounts, useOf,
} from './share-accounts.js';
import {FairDivision} from './water-filling.js';
import type {Work} from './work.js';

/** Shares are computed again after this time, that of a window of the overload level, or after the one for all organisations if it is longer. */
const refreshMilliseconds = 50;

/** Bounds the cost with 5,000 organisations, whose shares take about 3 ms to compute, to 1 % of a core. */
const refreshMillisecondsPerOrganisation = 0.1;
const forgetMilliseconds = 1000;
const defaultWeight = 1;

/** The parts of a call that its share depends on. */
export type SharedWork = Pick<Work, 'organisation' | 'importance' | 'priority'>;

/** What an organisation uses and may use, in milliseconds of a slot per second. */
export type ShareUse = {
	/** Undefined for calls without an organisation. */
	readonly organisation: string | undefined;
	readonly useMilliseconds: number;
	/** Max-min fair share of what all organisations use at the importance. */
	readonly shareMilliseconds: number;
};

type Cached = {at: number; level: number};

/**
 * Shares of organisations at one upstream. Without a call that has an organisation it is inactive, keeps no state, and
 * changes no decision.
 *
 * @example
 * const shares = new FairShares();
 * shares.setWeights(new Map([['pulo780', 2]]));
 * shares.arrived(work, 20, now);
 * shares.levelOf(work, 160); // the lowest priority at which calls of this organisation are admitted, where it is 160 for all
 */
export class FairShares {
	#weights: ReadonlyMap<string, number> = new Map();
	#isActive = false;
	#forgottenAt = 0;
	#refused = 0;
	/** The overload level as it is divided; without a division the level holds for all organisations. */
	#divided: {readonly level: number; readonly room: DividedRoom | undefined} = {level: 0, room: undefined};
	readonly #byImportance = Object.fromEntries(Object.values(Importance).map(importance => [
		importance, new ShareAccounts(organisation => this.#weights.get(organisation) ?? defaultWeight),
	])) as Readonly<Record<Importance, ShareAccounts>>;

	readonly #rooms = new Map<Importance, {readonly at: number; readonly room: DividedRoom}>();
	readonly #useLevels = Object.fromEntries(Object.values(Importance).map(importance => [importance, {at: -Infinity, level: 0}])) as Readonly<Record<Importance, Cached>>;

	/** Whether calls with an organisation arrived in the last seconds. */
	get isActive(): boolean {
		return this.#isActive;
	}

	/** Number of calls that were refused because of the share of their organisation. */
	get refused(): number {
		return this.#refused;
	}

	/** Number of accounts. */
	get size(): number {
		return this.#accounts.reduce((sum, accounts) => sum + accounts.size, 0);
	}

	/** Sets the weights of the organisations; those without an entry have weight 1. */
	setWeights(weights: ReadonlyMap<string, number>): void {
		this.#weights = weights;
		this.#rooms.clear();
		this.#accounts.map(accounts => {
			accounts.updateWeights();
			return accounts;
		});
	}

	/** Whether the call has a share: it has an organisation, or competes with calls that have one. */
	concerns({organisation}: SharedWork): boolean {
		return organisation !== undefined || this.#isActive;
	}

	/**
	 * Records a call that arrives and has a share.
	 *
	 * @param work - its expected work in milliseconds of a slot
	 */
	arrived({organisation, importance}: SharedWork, work: number, now: number): void {
		this.#isActive = true;
		this.#byImportance[importance].arrived(organisation ?? noOrganisation, work, now);
	}

	/** Virtual time at which the next call of the organisation is due. */
	startOf({organisation, importance}: SharedWork, now: number): number {
		return this.#byImportance[importance].startOf(organisation ?? noOrganisation, now);
	}

	weightOf({organisation = noOrganisation}: SharedWork): number {
		return this.#weights.get(organisation) ?? defaultWeight;
	}

	/** Charges a dispatched call, see `ShareAccounts.charge`. */
	charge({organisation, importance}: SharedWork, work: number, leastStart: number, now: number): void {
		this.#byImportance[importance].charge(organisation ?? noOrganisation, work, leastStart, now);
	}

	/**
	 * Lowest priority at which calls of the organisation are admitted, where it is `level` for all calls together. Only
	 * the importance that the level divides differs by organisation; it refuses as much expected work as the level does.
	 */
	levelOf({organisation, importance, priority}: SharedWork, level: number, now: number): number {
		const {room} = this.#divided;
		if (room === undefined || this.#divided.level !== level || bandOf(priority) !== bandOf(level)) {
			return level;
		}

		const account = this.#byImportance[importance].of(organisation ?? noOrganisation, now);
		return levelAt(level, room.partOf({demand: demandOf(account, now), weight: account.weight}));
	}

	/** Level that holds for all organisations, and that entry nodes may apply without knowing their shares. */
	announcedLevel(level: number): number {
		const {room} = this.#divided;
		return room === undefined || this.#divided.level !== level ? level : levelAt(level, room.largestPart);
	}

	/** Divides the level, and removes idle accounts. Call it after each change of the level. */
	advance(level: number, now: number): void {
		if (!this.#isActive) {
			return;
		}

		if (now - this.#forgottenAt >= forgetMilliseconds) {
			this.#forgottenAt = now;
			this.#forget(now);
		}

		const importance = level % cohortCount === 0 ? undefined : importanceOfBand(bandOf(level));
		const room = importance === undefined || !this.#isActive ? undefined : this.#roomOf(importance, now);
		if (level !== this.#divided.level || room !== this.#divided.room) {
			room?.divide(1 - ((level % cohortCount) / cohortCount));
			this.#divided = {level, room};
		}
	}

	/** Use and share of the organisation of a call, for a refusal that its share decided; counts the refusal. */
	recordRefusal({organisation, importance}: SharedWork, now: number): ShareUse {
		this.#refused += 1;
		const accounts = this.#byImportance[importance];
		const account = accounts.of(organisation ?? noOrganisation, now);
		return {organisation, useMilliseconds: useOf(account, now), shareMilliseconds: this.#shareLevel(importance, now) * account.weight};
	}

	/**
	 * Use of each organisation over all importances, the largest first.
	 *
	 * @returns at most `count` organisations, and the sum of all others; undefined as organisation stands for calls without one
	 */
	largest(count: number, now: number): {readonly largest: ReadonlyArray<{readonly organisation: string | undefined; readonly useMilliseconds: number}>; readonly othersMilliseconds: number} {
		const uses = new Map<string, number>();
		this.#accounts.map(accounts => [...accounts.names].map(name => uses.set(name, (uses.get(name) ?? 0) + useOf(accounts.of(name, now), now))));
		const sorted = [...uses].toSorted(([, left], [, right]) => right - left);
		return {
			largest: sorted.slice(0, count).map(([name, useMilliseconds]) => ({organisation: name === noOrganisation ? undefined : name, useMilliseconds})),
			othersMilliseconds: sorted.slice(count).reduce((sum, [, use]) => sum + use, 0),
		};
	}

	get #accounts(): ShareAccounts[] {
		return Object.values(this.#byImportance);
	}

	#forget(now: number): void {
		this.#accounts.map(accounts => {
			accounts.forget(now);
			return accounts;
		});
		this.#isActive = this.#accounts.some(accounts => accounts.hasOrganisations);
		if (!this.#isActive) {
			this.#accounts.map(accounts => {
				accounts.clear();
				return accounts;
			});
		}
	}

	#roomOf(importance: Importance, now: number): DividedRoom {
		const accounts = this.#byImportance[importance];
		const known = this.#rooms.get(importance);
		if (known !== undefined && now - known.at < refreshTime(accounts)) {
			return known.room;
		}

		const room = new DividedRoom(accounts.at(now));
		this.#rooms.set(importance, {at: now, room});
		return room;
	}

	/** Share per weight, in milliseconds of a slot per second. It is kept for a while, since refusals are frequent. */
	#shareLevel(importance: Importance, now: number): number {
		const cached = this.#useLevels[importance];
		if (now - cached.at >= refreshTime(this.#byImportance[importance])) {
			cached.at = now;
			const accounts = this.#byImportance[importance].at(now);
			cached.level = new FairDivision(accounts).levelFor(accounts.reduce((sum, {use}) => sum + use, 0));
		}

		return cached.level;
	}
}

function refreshTime({size}: ShareAccounts): number {
	return Math.max(refreshMilliseconds, size * refreshMillisecondsPerOrganisation);
}

function importanceOfBand(band: number): Importance | undefined {
	return Object.values(Importance).find(importance => rankOf(importance) === band);
}

/** The importance, as a rank, to which a priority or level belongs. */
function bandOf(priority: number): number {
	return Math.floor(priority / cohortCount);
}

/** Level in the band of `level` that admits a part of the cohorts. */
function levelAt(level: number, part: number): number {
	return (bandOf(level) * cohortCount) + Math.round((1 - part) * cohortCount);
}
