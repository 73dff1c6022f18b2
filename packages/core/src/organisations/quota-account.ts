/**
 * A node's account at one owner of a quota: the tokens that the owner has granted, and when to report.
 *
 * @module
 */
import type {QuotaGrant, QuotaUse} from './messages.js';

/** Shortest time between two reports of an account that runs out of tokens. */
const urgentIntervalMilliseconds = 20;
/** Bounds of the time between two reports while the owner has no tokens. */
const shortestWaitMilliseconds = 50;
const longestWaitMilliseconds = 500;
/** First repetition of a report without a reply; the time doubles with each repetition. */
const repeatMilliseconds = 200;
const longestRepeatMilliseconds = 2000;
/** Unused tokens go back to the owner after this time without requests. */
const idleMilliseconds = 1000;
/** Time for which the statement of an owner that its tokens are low is in force, unless it is withdrawn before. */
const lowMilliseconds = 10_000;
/** Stock is dropped after this time without a reply. The owner keeps the account for a minute. */
const stockMilliseconds = 30_000;
/** Stock of the previous owner is dropped after this time, or when the new owner replies. */
const carriedMilliseconds = 5000;

/**
 * One account. Times are milliseconds on the node's monotonic clock.
 *
 * @example
 * account.take(); // true when a token was in stock
 * account.isDue(now); // then send account.report(stamp, now) to the owner
 */
export class QuotaAccount {
	#owner = '';
	#series = 0;
	#granted = 0;
	#used = 0;
	#returned = 0;
	#rate = 0;
	#waitUntil = 0;
	#askedAt = -Infinity;
	#repliedAt = -Infinity;
	#reportedAt = -Infinity;
	#reportAt = Infinity;
	#intervalMilliseconds = urgentIntervalMilliseconds;
	#repetitions = 0;
	#lowMark = 0;
	#stamp = 0;
	/** Counts of the latest report. */
	#reportedUsed = 0;
	#reportedReturned = 0;
	#lowUntil = -Infinity;
	/** Time of the first report since the last reply. */
	#unansweredSince = Infinity;
	/** Stock that the previous owner has granted. */
	#carried = 0;
	#carriedUntil = 0;

	/** An account in the same state, whose changes do not affect this one. */
	copy(): QuotaAccount {
		const account = new QuotaAccount();
		account.#owner = this.#owner;
		account.#series = this.#series;
		account.#granted = this.#granted;
		account.#used = this.#used;
		account.#returned = this.#returned;
		account.#rate = this.#rate;
		account.#waitUntil = this.#waitUntil;
		account.#askedAt = this.#askedAt;
		account.#repliedAt = this.#repliedAt;
		account.#reportedAt = this.#reportedAt;
		account.#reportAt = this.#reportAt;
		account.#intervalMilliseconds = this.#intervalMilliseconds;
		account.#repetitions = this.#repetitions;
		account.#lowMark = this.#lowMark;
		account.#stamp = this.#stamp;
		account.#reportedUsed = this.#reportedUsed;
		account.#reportedReturned = this.#reportedReturned;
		account.#lowUntil = this.#lowUntil;
		account.#unansweredSince = this.#unansweredSince;
		account.#carried = this.#carried;
		account.#carriedUntil = this.#carriedUntil;
		return account;
	}

	/** Owner's name and incarnation as one text; empty before the first. */
	get owner(): string {
		return this.#owner;
	}

	get stock(): number {
		return this.#carried + Math.max(0, this.#granted - this.#used);
	}

	/** Tokens taken in advance that the owner has not granted yet. */
	get debt(): number {
		return Math.max(0, this.#used - this.#granted);
	}

	get rate(): number {
		return this.#rate;
	}

	/** Time at which the owner expects to have a token for this node. */
	get waitUntil(): number {
		return this.#waitUntil;
	}

	/** Time at which a report is due; infinite when there is nothing to report. */
	get dueAt(): number {
		return this.#reportAt;
	}

	/** Whether the stock is at most half of what the last reply left. */
	get isLow(): boolean {
		return this.stock <= this.#lowMark;
	}

	/** Tokens taken and not given back. */
	get outstanding(): number {
		return this.#used - this.#returned;
	}

	/** Processes the owner's statement whether its tokens are low. */
	setLow(isLow: boolean, now: number): void {
		this.#lowUntil = isLow ? now + lowMilliseconds : -Infinity;
	}

	/** Whether the owner has stated that its tokens are low, or has not answered a report in time, so that it may be unable to state it. */
	isOwnerLow(now: number): boolean {
		return now < this.#lowUntil || now - this.#unansweredSince > repeatMilliseconds;
	}

	/** Begins an account at another owner. Stock stays usable until the new owner replies, and debt is carried over. */
	setOwner(owner: string, series: number, now: number): void {
		const {stock, debt} = this;
		this.#carriedUntil = this.#carried > 0 ? this.#carriedUntil : now + carriedMilliseconds;
		this.#carried = stock;
		this.#begin(owner, series, debt, now);
	}

	/** Begins an account under a changed quota. The stock goes back to the owner, which drops what exceeds the new bucket. */
	restart(series: number, now: number): void {
		const {debt} = this;
		const stock = Math.max(0, this.#granted - this.#used);
		this.#carried = 0;
		this.#begin(this.#owner, series, debt, now);
		this.#returned = stock;
	}

	/** Takes a token from the stock; false when there is none. */
	take(): boolean {
		if (this.#carried > 0) {
			this.#carried -= 1;
			return true;
		}

		if (this.#granted <= this.#used) {
			return false;
		}

		this.#used += 1;
		return true;
	}

	/** Takes a token that the owner has not granted. */
	overdraw(): void {
		this.#used += 1;
	}

	giveBack(now: number, regularMilliseconds: number): void {
		this.#returned += 1;
		this.#scheduleBy(this.#reportedAt + regularMilliseconds, now);
	}

	/** Records that a request asked for admission, and schedules the report of it. */
	asked(now: number, regularMilliseconds: number): void {
		this.#askedAt = now;
		const interval = this.isLow ? this.#intervalMilliseconds : regularMilliseconds;
		this.#scheduleBy(this.#reportedAt + interval, now);
	}

	/** Drops stock whose time has passed, and returns unused stock after a time without requests. */
	advance(now: number): void {
		if (this.#carried > 0 && now >= this.#carriedUntil) {
			this.#carried = 0;
		}

		const stock = this.#granted - this.#used;
		if (stock > 0 && now - this.#repliedAt > stockMilliseconds) {
			this.#used += stock;
		} else if (stock > 0 && now - this.#askedAt >= idleMilliseconds) {
			this.#used += stock;
			this.#returned += stock;
			this.#scheduleBy(now, now);
		}
	}

	/** Whether nothing is held and nothing is left to report. */
	get isSettled(): boolean {
		return this.#reportAt === Infinity && this.stock === 0 && this.debt === 0;
	}

	/** The present counts. The report is repeated until a reply arrives. */
	report(stamp: number, now: number): Omit<QuotaUse, 'organisation' | 'part' | 'asked'> {
		this.#stamp = stamp;
		this.#reportedAt = now;
		this.#unansweredSince = Math.min(this.#unansweredSince, now);
		this.#reportedUsed = this.#used;
		this.#reportedReturned = this.#returned;
		this.#reportAt = now + Math.min(longestRepeatMilliseconds, repeatMilliseconds * (2 ** this.#repetitions));
		this.#repetitions = Math.min(10, this.#repetitions + 1);
		return {
			series: this.#series, granted: this.#granted, used: this.#used, returned: this.#returned,
		};
	}

	/** Processes a grant. One of another series, or older than the last one, is ignored. */
	grant(grant: QuotaGrant, {stamp, regularMilliseconds}: {readonly stamp: number; readonly regularMilliseconds: number}, now: number): void {
		if (grant.series !== this.#series || grant.granted < this.#granted) {
			return;
		}

		this.setLow(grant.isLow, now);
		this.#unansweredSince = Infinity;
		this.#carried = 0;
		this.#granted = grant.granted;
		this.#repliedAt = now;
		this.#rate = grant.rate;
		this.#lowMark = Math.floor(this.stock / 2);
		const isEmpty = this.stock === 0 && grant.waitMilliseconds > 0;
		const longestInterval = Math.max(longestWaitMilliseconds, regularMilliseconds / 2);
		this.#intervalMilliseconds = isEmpty ? Math.min(longestInterval, Math.max(shortestWaitMilliseconds, grant.waitMilliseconds)) : urgentIntervalMilliseconds;
		this.#waitUntil = now + (isEmpty ? Math.max(grant.waitMilliseconds, this.#intervalMilliseconds) : 0);
		if (stamp === this.#stamp) {
			this.#settle(now, regularMilliseconds);
		}
	}

	/** After the reply to the latest report, another one is needed for later requests, for returned tokens and for debt. */
	#settle(now: number, regularMilliseconds: number): void {
		this.#repetitions = 0;
		const isUrgent = this.debt > 0 || (this.#askedAt > this.#reportedAt && this.stock === 0);
		const hasNews = this.#used !== this.#reportedUsed || this.#returned !== this.#reportedReturned;
		const interval = isUrgent ? this.#intervalMilliseconds : regularMilliseconds;
		this.#reportAt = isUrgent || hasNews ? Math.max(now, this.#reportedAt + interval) : Infinity;
	}

	#begin(owner: string, series: number, debt: number, now: number): void {
		this.#owner = owner;
		this.#series = series;
		this.#granted = 0;
		this.#used = debt;
		this.#returned = 0;
		this.#lowMark = 0;
		this.#waitUntil = now;
		this.#repetitions = 0;
		this.#unansweredSince = Infinity;
		this.#reportedAt = -Infinity;
		this.#reportAt = this.#askedAt > now - idleMilliseconds || debt > 0 ? now : Infinity;
		this.#reportedUsed = 0;
		this.#reportedReturned = 0;
	}

	#scheduleBy(time: number, now: number): void {
		this.#reportAt = Math.min(this.#reportAt, Math.max(now, time));
	}
}
