/**
 * The lowest priority that an admission controller admits. It rises under overload to exclude the least important
 * cohorts of customer actions, and falls once the overload is over. Entry nodes refuse calls below the level early, before
 * the calls use any capacity.
 *
 * The compound priority with an adaptive threshold follows "Overload Control for Scaling WeChat
 * Microservices" (DAGOR, SoCC 2018).
 *
 * @module
 */
import {
	cohortCount, highestPriority, Importance, priorityOf,
} from '../importance.js';

const windowMilliseconds = 50;
const overloadedLateShare = 0.1;
const keptCallShare = 0.95;
const minimumStep = 2;

/**
 * Cohorts per window. Nodes several calls up the chain receive a level a large part of a second later, so the level must
 * not fall faster than they can follow.
 */
const maximumStep = 4;
const cohortsPerBucket = 4;
const bucketCount = highestPriority / cohortsPerBucket;
const criticalPriority = priorityOf(Importance.Critical, 0);

/**
 * Adaptive priority threshold. It never rises above the lowest priority of critical calls. Late calls that arrived before
 * the last rise do not count, so one queue raises the level only once.
 *
 * @example
 * const level = new OverloadLevel();
 * level.recordArrival(priority);
 * level.recordOutcome(false, arrivedAt); // late, or refused for lack of capacity
 * level.advance(now);
 * level.value; // calls with a lower priority are refused
 */
export class OverloadLevel {
	#value = 0;
	#step = minimumStep;
	#windowStart = 0;
	#onTime = 0;
	#late = 0;
	#raisedAt = -Infinity;
	#arrivals = Array.from({length: bucketCount}, () => 0);

	get value(): number {
		return this.#value;
	}

	recordArrival(priority: number): void {
		const bucket = Math.floor(priority / cohortsPerBucket);
		this.#arrivals[bucket] = (this.#arrivals[bucket] ?? 0) + 1;
	}

	/**
	 * Records whether a call was dispatched in time.
	 *
	 * @param isOnTime - false if the call was dispatched late, expired while it waited, or was refused for a long expected wait
	 * @param arrivedAt - arrival of the call, in milliseconds
	 */
	recordOutcome(isOnTime: boolean, arrivedAt: number): void {
		if (!isOnTime && arrivedAt < this.#raisedAt) {
			return;
		}

		this.#onTime += isOnTime ? 1 : 0;
		this.#late += isOnTime ? 0 : 1;
	}

	/** Closes the window after its 50 ms and raises or lowers the level. */
	advance(now: number): void {
		if (now - this.#windowStart < windowMilliseconds) {
			return;
		}

		const total = this.#onTime + this.#late;
		const isOverloaded = this.#late > 1 && this.#late >= total * overloadedLateShare;
		if (isOverloaded) {
			this.#raise();
			this.#raisedAt = now;
		} else {
			this.#lower();
		}

		this.#windowStart = now;
		this.#onTime = 0;
		this.#late = 0;
		this.#arrivals.fill(0);
	}

	#raise(): void {
		this.#step = minimumStep;
		const targetCount = Math.max(1, (this.#onTime + this.#late) * keptCallShare);
		let keptCount = 0;
		const lowestKeptBucket = this.#arrivals.findLastIndex(count => {
			keptCount += count;
			return keptCount >= targetCount;
		});
		const target = (lowestKeptBucket + 1) * cohortsPerBucket;
		const maximumValue = this.#value + (cohortCount / 2);
		this.#value = Math.min(criticalPriority, maximumValue, Math.max(this.#value + cohortsPerBucket, target));
	}

	#lower(): void {
		this.#value = Math.max(0, this.#value - this.#step);
		this.#step = Math.min(maximumStep, this.#step * 2);
	}
}
