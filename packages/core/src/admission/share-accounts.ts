/**
 * Accounts of the organisations whose calls have one importance: what they ask for, what they use, and when their next call
 * is due in the fair order.
 *
 * @module
 */
/**
 * Demand and use are sums that decay with this time constant. With 1000 ms, the demands of 20 equal organisations with 15
 * calls/s each often differ from each other by more than a factor 2.
 */
const memoryMilliseconds = 2000;

/** Work above the share is held against an organisation for this time after its last dispatched call. */
const debtMilliseconds = 1000;

/**
 * After this time without calls, demand is measured anew: neither the demand before a pause nor the pause itself counts. It
 * is also the shortest time over which demand is measured.
 */
const pauseMilliseconds = 500;

/** An account without calls for this time is removed. Its demand and use have decayed to less than 1 %. */
const idleMilliseconds = 10_000;

/** The design size in organisations. Further ones share the account of calls without an organisation. */
const maximumAccounts = 5000;

/** Key of the account of calls without an organisation. No organisation has an empty name. */
export const noOrganisation = '';

/** State of one organisation. */
export type ShareAccount = {
	weight: number;
	/** Virtual time at which the work charged so far ends. */
	finish: number;
	chargedAt: number;
	/** Start of the time over which `demand` was measured. */
	since: number;
	/** Work of the calls that arrived, and of those that were dispatched, both decayed up to `updatedAt`. */
	demand: number;
	use: number;
	updatedAt: number;
};

/**
 * Accounts by organisation. The virtual time is work per weight, in milliseconds of a slot: an organisation of weight 2
 * advances by half of its expected work. It never runs ahead of an organisation that waits.
 *
 * @example
 * accounts.arrived('pulo780', 20, now);
 * accounts.charge('pulo780', 20, accounts.startOf('pulo780', now), now);
 */
export class ShareAccounts {
	readonly #weightOf: (organisation: string) => number;
	readonly #accounts = new Map<string, ShareAccount>();
	#virtualTime = 0;

	constructor(weightOf: (organisation: string) => number) {
		this.#weightOf = weightOf;
	}

	get size(): number {
		return this.#accounts.size;
	}

	/** Whether there is an account other than that of calls without an organisation. */
	get hasOrganisations(): boolean {
		return this.#accounts.size > Number(this.#accounts.has(noOrganisation));
	}

	get names(): Iterable<string> {
		return this.#accounts.keys();
	}

	/** Account of the organisation; without one a new account, which is in neither debt nor credit and is not stored. */
	of(organisation: string, now: number): ShareAccount {
		return this.#accounts.get(this.#nameOf(organisation)) ?? {
			weight: this.#weightOf(organisation), finish: 0, chargedAt: -Infinity, since: now, demand: 0, use: 0, updatedAt: now,
		};
	}

	/** Records the work that a call asks for, whether it is admitted or not. */
	arrived(organisation: string, work: number, now: number): void {
		const account = this.#open(organisation, now);
		if (now - account.updatedAt > pauseMilliseconds) {
			account.since = now;
			account.demand = 0;
		}

		decay(account, now);
		account.demand += work;
	}

	/** Virtual time at which the next call of the organisation is due. */
	startOf(organisation: string, now: number): number {
		const {finish, chargedAt} = this.of(organisation, now);
		return now - chargedAt > debtMilliseconds ? this.#virtualTime : Math.max(this.#virtualTime, finish);
	}

	/**
	 * Charges a dispatched call.
	 *
	 * @param work - expected work in milliseconds of a slot
	 * @param leastStart - smallest start of the organisations that waited, including this one; the virtual time advances to it
	 */
	charge(organisation: string, work: number, leastStart: number, now: number): void {
		const account = this.#open(organisation, now);
		account.finish = this.startOf(organisation, now) + (work / account.weight);
		account.chargedAt = now;
		decay(account, now);
		account.use += work;
		this.#virtualTime = Math.max(this.#virtualTime, leastStart);
	}

	/** Applies the weights of a new manifest. */
	updateWeights(): void {
		[...this.#accounts].map(([organisation, account]) => {
			account.weight = this.#weightOf(organisation);
			return account;
		});
	}

	/** Demand, use and weight of all organisations, in milliseconds of a slot per second. */
	at(now: number): Array<{readonly demand: number; readonly use: number; readonly weight: number}> {
		return [...this.#accounts.values()].map(account => ({demand: demandOf(account, now), use: useOf(account, now), weight: account.weight}));
	}

	/** Removes idle accounts. */
	forget(now: number): void {
		for (const [organisation, {updatedAt}] of this.#accounts) {
			if (now - updatedAt > idleMilliseconds) {
				this.#accounts.delete(organisation);
			}
		}
	}

	/** Removes all accounts. */
	clear(): void {
		this.#accounts.clear();
	}

	#open(organisation: string, now: number): ShareAccount {
		const account = this.of(organisation, now);
		this.#accounts.set(this.#nameOf(organisation), account);
		return account;
	}

	/** Organisations beyond the limit share the account of calls without an organisation. */
	#nameOf(organisation: string): string {
		return this.#accounts.has(organisation) || this.#accounts.size < maximumAccounts ? organisation : noOrganisation;
	}
}

/** Work that the organisation asks for at this moment, in milliseconds of a slot per second. */
export function demandOf(account: ShareAccount, now: number): number {
	const measuredMilliseconds = Math.max(pauseMilliseconds, now - account.since);
	return account.demand * decayFactor(account, now) / (1 - Math.exp(-measuredMilliseconds / memoryMilliseconds)) / memoryMilliseconds * 1000;
}

/** Work of dispatched calls at this moment, in milliseconds of a slot per second. */
export function useOf(account: ShareAccount, now: number): number {
	return account.use * decayFactor(account, now) / memoryMilliseconds * 1000;
}

function decayFactor({updatedAt}: ShareAccount, now: number): number {
	return now > updatedAt ? Math.exp((updatedAt - now) / memoryMilliseconds) : 1;
}

function decay(account: ShareAccount, now: number): void {
	const factor = decayFactor(account, now);
	account.demand *= factor;
	account.use *= factor;
	account.updatedAt = Math.max(account.updatedAt, now);
}
