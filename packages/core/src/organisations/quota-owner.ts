/**
 * The owner's side of a quota: a token bucket whose tokens are granted to the nodes in advance.
 *
 * A token is in the bucket, in the stock of one node, or used. The bucket and all stocks together never exceed the bucket's
 * size, so that requests in a window stay within rate x window + size whatever messages are lost, repeated or reordered.
 *
 * @module
 */
import type {QuotaGrant, QuotaUse} from './messages.js';
import {ownersPerQuota, type Bucket} from './quota.js';

/** Time constant of the demand of a node. */
const demandMilliseconds = 1000;
/** Part of all unused tokens that is distributed by demand, and part that stays with the owner for nodes that begin to ask. */
const distributedShare = 0.7;
const keptShare = 0.2;
/** Demand in requests per second that each account counts in addition, so that a new account gets a part. */
const equalDemand = 0.5;
/** An account without reports for this time is removed, and its stock counts as used. */
const accountMilliseconds = 60_000;
const longestWaitMilliseconds = 5000;
/** A node that was left without a token counts as waiting for this time after its report. */
const waitingMilliseconds = 2000;
const smallestReach = 0.01;
/** Place of the low mark between the negative tolerance and the size. */
const lowShare = 0.25;
/** Tokens above the low mark at which the bucket counts as recovered, as a part of its size. */
const recoveredShare = 0.25;
/** Stock of a node lasts for at most this time at its demand, apart from a part of the size, which lets its demand grow. */
const stockSeconds = 2;
const initialShare = 1 / 8;

type Account = {
	readonly incarnation: number;
	readonly series: number;
	stamp: number;
	used: number;
	returned: number;
	asked: number;
	granted: number;
	/** Requests per second at the time of the last report. */
	demand: number;
	reportedAt: number;
	/** Whether the last grant had no token for the node. */
	isWaiting: boolean;
};

/** Origin of a report: the node, its incarnation, and the stamp of the report. */
export type ReportOrigin = {readonly sender: string; readonly incarnation: number; readonly stamp: number};

/**
 * Bucket and accounts of one part of a quota.
 *
 * @example
 * const owner = new QuotaOwner(bucketOf(quota), 0, now);
 * owner.report({sender: 'node-1', incarnation: 7, stamp: 12}, use, now); // the grant to send
 */
export class QuotaOwner {
	#bucket: Bucket;
	#level = 0;
	#refilledAt: number;
	#reach = 1;
	readonly #accounts = new Map<string, Account>();

	/**
	 * @param level - tokens to begin with; above the size they are dropped
	 * @param refillsFrom - time at which the bucket begins to refill
	 */
	constructor(bucket: Bucket, level: number, refillsFrom: number) {
		this.#bucket = bucket;
		this.#refilledAt = refillsFrom;
		this.#add(level);
	}

	/** An owner in the same state, whose changes do not affect this one. */
	copy(): QuotaOwner {
		const owner = new QuotaOwner(this.#bucket, 0, this.#refilledAt);
		owner.#level = this.#level;
		owner.#reach = this.#reach;
		[...this.#accounts].map(([node, account]) => owner.#accounts.set(node, {...account}));
		return owner;
	}

	/** Whether the unused tokens, less the requests that nodes have admitted in advance, are few. */
	get isLow(): boolean {
		return this.#unused < this.#lowMark;
	}

	/** Whether the unused tokens are clearly above the number below which they are few. */
	isRecovered(now: number): boolean {
		this.#refill(now);
		return this.#unused >= this.#lowMark + (this.#bucket.size * recoveredShare);
	}

	get #lowMark(): number {
		return (this.#bucket.size - this.#bucket.tolerance) * lowShare;
	}

	/** Tokens of the bucket and of all nodes, less the requests that nodes have admitted in advance. */
	get #unused(): number {
		const debts = [...this.#accounts.values()].reduce((sum, {granted, used}) => sum + Math.max(0, used - granted), 0);
		return this.#level + this.#stocks() - debts;
	}

	/** Removes the accounts without reports for a minute; true when none is left. */
	isIdle(now: number): boolean {
		[...this.#accounts].filter(([, account]) => now - account.reportedAt > accountMilliseconds).map(([node]) => this.#accounts.delete(node));
		return this.#accounts.size === 0;
	}

	/** Applies a changed quota at once; tokens above the new size are dropped. */
	setBucket(bucket: Bucket, now: number): void {
		this.#refill(now);
		this.#bucket = bucket;
		this.#add(0);
	}

	/** Sets the share of the members of the last minute that this node can reach; the bucket refills in proportion. */
	setReach(reach: number, now: number): void {
		this.#refill(now);
		this.#reach = reach;
	}

	/** Processes a report; undefined when it is not newer than one that was processed. */
	report(origin: ReportOrigin, use: QuotaUse, now: number): QuotaGrant | undefined {
		const known = this.#accounts.get(origin.sender);
		if (known !== undefined && isOutdated(known, origin, use)) {
			return undefined;
		}

		this.#refill(now);
		const isSame = known?.incarnation === origin.incarnation && known.series === use.series;
		const account = isSame ? known : this.#open(origin, use, now);
		const hasNewDemand = use.asked > account.asked;
		this.#update(account, origin.stamp, use, now);
		return this.#grant(account, hasNewDemand, use, now);
	}

	/**
	 * Opens an account. The stock of an account that it replaces is lost: its requests may have run without a report. A series
	 * that this owner granted tokens to, and whose account was removed, continues from the counts of the report.
	 */
	#open({sender, incarnation}: ReportOrigin, {series, granted, returned}: QuotaUse, now: number): Account {
		const account: Account = {
			incarnation, series, stamp: 0, used: 0, returned: granted > 0 ? returned : 0, asked: 0, granted, demand: 0, reportedAt: now, isWaiting: false,
		};
		this.#accounts.set(sender, account);
		return account;
	}

	#update(account: Account, stamp: number, use: QuotaUse, now: number): void {
		const returned = Math.max(0, use.returned - account.returned);
		account.demand = demandAt(account, now) + (Math.max(0, use.asked - account.asked) / (demandMilliseconds / 1000));
		account.stamp = stamp;
		account.asked = use.asked;
		account.used = use.used;
		account.returned = use.returned;
		account.reportedAt = now;
		this.#add(returned);
	}

	/** A debt is paid first. Stock is granted only to a node that has asked since its last report, so that idle nodes get none. */
	#grant(account: Account, hasNewDemand: boolean, {organisation, part}: QuotaUse, now: number): QuotaGrant {
		const share = this.#shareOf(account, now);
		const debt = Math.max(0, account.used - account.granted);
		const target = hasNewDemand ? this.#targetOf(account, share, now) : 0;
		const available = Math.floor(this.#level);
		const forDebt = Math.min(available, debt);
		const kept = Math.ceil((this.#level + this.#stocks()) * keptShare);
		const tokens = forDebt + Math.max(0, Math.min(available - forDebt - kept, target - stockOf(account)));
		this.#level -= tokens;
		account.granted += tokens;
		const rate = this.#bucket.requestsPerSecond * this.#reach * share;
		const missing = Math.max(0, account.used + 1 - account.granted - this.#level);
		account.isWaiting = missing > 0;
		return {
			organisation, part, series: account.series, granted: account.granted, rate,
			waitMilliseconds: account.isWaiting ? this.#waitOf(missing, now) : 0,
			isLow: this.isLow,
		};
	}

	/** Time until the nodes that wait, and this one, have a token. */
	#waitOf(missing: number, now: number): number {
		const waiting = [...this.#accounts.values()].filter(({isWaiting, reportedAt}) => isWaiting && now - reportedAt < waitingMilliseconds).length;
		return Math.min(longestWaitMilliseconds, (missing + waiting - 1) / (this.#bucket.requestsPerSecond * Math.max(smallestReach, this.#reach)) * 1000);
	}

	/**
	 * Stock that a node should have: its share of the unused tokens, but no more than it is likely to use. Where the shares
	 * are below one token, single ones are granted above the quota from a bucket that is half full, so that few are lost to its
	 * limit.
	 */
	#targetOf({demand}: Account, share: number, now: number): number {
		const fairPart = (this.#level + this.#stocks()) * distributedShare * share;
		const stock = Math.floor(Math.min(fairPart, (demand * stockSeconds) + (this.#bucket.size * initialShare)));
		const isOverloaded = this.#totalDemand(now) > this.#bucket.requestsPerSecond * ownersPerQuota;
		return Math.max(stock, Number(isOverloaded && this.#level > this.#bucket.size / 2));
	}

	#shareOf(account: Account, now: number): number {
		return (demandAt(account, now) + equalDemand) / (this.#totalDemand(now) + (this.#accounts.size * equalDemand));
	}

	/** Demand of all nodes for the whole quota, in requests per second. */
	#totalDemand(now: number): number {
		return [...this.#accounts.values()].reduce((sum, account) => sum + demandAt(account, now), 0);
	}

	#stocks(): number {
		return [...this.#accounts.values()].reduce((sum, account) => sum + stockOf(account), 0);
	}

	#refill(now: number): void {
		const seconds = Math.max(0, now - this.#refilledAt) / 1000;
		this.#refilledAt = Math.max(this.#refilledAt, now);
		this.#add(this.#bucket.requestsPerSecond * this.#reach * seconds);
	}

	#add(tokens: number): void {
		this.#level = Math.max(0, Math.min(this.#bucket.size - this.#stocks(), this.#level + tokens));
	}
}

function stockOf({granted, used}: Account): number {
	return Math.max(0, granted - used);
}

/** The demand of a node that has stopped reporting decays, so that its share goes to the others. */
function demandAt({demand, reportedAt}: Account, now: number): number {
	return demand * Math.exp((reportedAt - now) / demandMilliseconds);
}

function isOutdated(account: Account, {incarnation, stamp}: ReportOrigin, {series}: QuotaUse): boolean {
	if (incarnation !== account.incarnation) {
		return incarnation < account.incarnation;
	}

	return stamp <= account.stamp || series < account.series;
}
