/**
 * The entry's side of a quota: admission of one organisation's requests at one node.
 *
 * @module
 */
import {QuotaAccount} from './quota-account.js';
import {ownersPerQuota, type Overdraft} from './quota.js';
import type {QuotaDecision} from './quota-gate.js';

/** Retry-after before the first reply of an owner. */
const unknownWaitMilliseconds = 100;
/** Time until a report and its reply have passed between two regions. */
const shortestWaitMilliseconds = 50;
const longestWaitMilliseconds = 5000;
/** Largest part that is added to retry-after at random, so that refused callers do not return at the same time. */
const spreadShare = 0.25;

/** Requests in shorter intervals count as frequent. */
const frequentMilliseconds = 500;
/** A meter is removed after this time without requests. */
const unusedMilliseconds = 60_000;

const admitted: QuotaDecision = {admitted: true};

export type QuotaMeterDefinition = {
	/** Uniformly distributed numbers in [0, 1). */
	readonly random: () => number;
	/** Requests that may be admitted before they are granted. */
	readonly overdraft: (now: number) => Overdraft;
	/** Rate of the whole quota. */
	readonly requestsPerSecond: () => number;
	/** Time between two reports while there is enough stock. */
	readonly regularMilliseconds: () => number;
	/** Fetches tokens for an account whose owner is this node. */
	readonly fetchLocally: (meter: QuotaMeter, account: QuotaAccount, now: number) => void;
};

/**
 * Accounts of one organisation at all owners of its quota.
 *
 * @example
 * const decision = meter.admit(now);
 */
export class QuotaMeter {
	readonly accounts: readonly QuotaAccount[];
	readonly #definition: QuotaMeterDefinition;
	#asked = 0;
	#askedAt = -Infinity;
	/** Admitted requests whose token was not given back. */
	#outstanding = 0;
	#refusedSinceReply = 0;

	constructor(definition: QuotaMeterDefinition, accounts = Array.from({length: ownersPerQuota}, () => new QuotaAccount())) {
		this.#definition = definition;
		this.accounts = accounts;
	}

	/** A meter in the same state, whose changes do not affect this one. */
	copy(definition: QuotaMeterDefinition): QuotaMeter {
		const meter = new QuotaMeter(definition, this.accounts.map(account => account.copy()));
		meter.#asked = this.#asked;
		meter.#askedAt = this.#askedAt;
		meter.#outstanding = this.#outstanding;
		meter.#refusedSinceReply = this.#refusedSinceReply;
		return meter;
	}

	/** Requests that asked for admission. */
	get asked(): number {
		return this.#asked;
	}

	/** Whether the meter holds nothing and was not used for a minute. */
	isUnused(now: number): boolean {
		return now - this.#askedAt > unusedMilliseconds && this.accounts.every(account => account.isSettled && !account.isOwnerLow(now));
	}

	admit(now: number): QuotaDecision {
		this.#asked += 1;
		const taken = this.#take(now);
		this.#scheduleReports(taken, now);
		this.#askedAt = now;
		if (taken === undefined) {
			this.#refusedSinceReply += 1;
			return {admitted: false, retryAfterMilliseconds: this.#retryAfter(now)};
		}

		this.#outstanding += 1;
		return admitted;
	}

	/** Returns the token of an admitted request to the owner with the most tokens outstanding. */
	giveBack(now: number): void {
		if (this.#outstanding === 0) {
			return;
		}

		this.#outstanding -= 1;
		const [account] = this.accounts.toSorted((left, right) => right.outstanding - left.outstanding);
		account!.giveBack(now, this.#definition.regularMilliseconds());
	}

	/** Records a reply, after which the waiting times are computed anew. */
	replied(): void {
		this.#refusedSinceReply = 0;
	}

	/** The account whose token the request takes; undefined when it is refused. */
	#take(now: number): QuotaAccount | undefined {
		this.accounts.map(account => account.advance(now));
		const taken = this.#takeFromStock();
		if (taken !== undefined) {
			return taken;
		}

		this.accounts.map(account => this.#definition.fetchLocally(this, account, now));
		return this.#takeFromStock() ?? this.#overdraw(now);
	}

	#takeFromStock(): QuotaAccount | undefined {
		const [fullest] = this.accounts.toSorted((left, right) => right.stock - left.stock);
		return fullest!.take() ? fullest : undefined;
	}

	/** A single request is reported to one owner. Requests in quick succession also ask the owners whose stock is low. */
	#scheduleReports(taken: QuotaAccount | undefined, now: number): void {
		const isFrequent = now - this.#askedAt < frequentMilliseconds;
		const asking = this.accounts.filter(account => account === taken || taken === undefined || (isFrequent && taken.isLow && account.isLow));
		asking.map(account => account.asked(now, this.#definition.regularMilliseconds()));
	}

	/** Parts whose owner has tokens are preferred, then those with the least debt; a random order spreads the rest evenly. */
	#overdraw(now: number): QuotaAccount | undefined {
		const {usual, low} = this.#definition.overdraft(now);
		const debt = this.accounts.reduce((sum, account) => sum + account.debt, 0);
		const start = Math.floor(this.#definition.random() * this.accounts.length);
		const [account] = [...this.accounts.slice(start), ...this.accounts.slice(0, start)]
			.map(candidate => ({candidate, isLow: candidate.isOwnerLow(now)}))
			.toSorted((left, right) => (Number(left.isLow) - Number(right.isLow)) || (left.candidate.debt - right.candidate.debt));
		if (debt >= (account!.isLow ? low : usual)) {
			return undefined;
		}

		account!.candidate.overdraw();
		return account!.candidate;
	}

	/**
	 * Time until the refused requests before this one and this one have tokens, at the rate that the owners expect for this
	 * node, but not before the owners can have a new token and this node can know of it.
	 */
	#retryAfter(now: number): number {
		const rate = this.accounts.reduce((sum, account) => sum + account.rate, 0);
		const waits = this.accounts.filter(account => account.rate > 0).map(account => account.waitUntil - now);
		const expected = waits.length === 0 ? unknownWaitMilliseconds : Math.max(0, Math.min(...waits)) + ((this.#refusedSinceReply - 1) / rate * 1000);
		const shortest = Math.max(shortestWaitMilliseconds, 1000 / this.#definition.requestsPerSecond());
		const bounded = Math.min(longestWaitMilliseconds, Math.max(shortest, expected));
		return bounded * (1 + (spreadShare * this.#definition.random()));
	}
}
