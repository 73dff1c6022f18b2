/**
 * The least priority that a guard admits. It rises with overload by cutting the least important cohorts of actions
 * and falls by itself afterwards. Calls below the level are refused before they cost anything, already at their entry.
 *
 * The idea of a compound priority with a moving threshold is published in "Overload Control for Scaling WeChat
 * Microservices" (DAGOR, SoCC 2018).
 *
 * @module
 */
import {
	cohortCount, highestPriority, Importance, priorityOf,
} from '../importance.js';

const windowMilliseconds = 50;
const overloadedShare = 0.1;
const arrivedShareKept = 0.95;
const smallestStep = 2;

/** Callers far above learn of a level a good part of a second later, so it must not fall faster than they can follow. */
const largestStep = 4;
const cohortsPerBucket = 4;
const bucketCount = highestPriority / cohortsPerBucket;
const criticalPriority = priorityOf(Importance.Critical, 0);

/**
 * A moving threshold over priorities. It never rises above the least priority of critical work. A queue that has made it
 * rise does not make it rise again while the calls of that queue are served.
 *
 * @example
 * const level = new OverloadLevel();
 * level.recordArrival(priority);
 * level.recordOutcome(false, arrivedAt); // refused for lack of capacity
 * level.advance(now);
 * level.value; // calls with a lower priority are refused
 */
export class OverloadLevel {
	#value = 0;
	#step = smallestStep;
	#windowStart = 0;
	#admitted = 0;
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
	 * @param inTime - whether the call got its slot early enough, rather than late or never
	 */
	recordOutcome(inTime: boolean, arrivedAt: number): void {
		if (!inTime && arrivedAt < this.#raisedAt) {
			return;
		}

		this.#admitted += inTime ? 1 : 0;
		this.#late += inTime ? 0 : 1;
	}

	/** Closes the window when its time is over. */
	advance(now: number): void {
		if (now - this.#windowStart < windowMilliseconds) {
			return;
		}

		const total = this.#admitted + this.#late;
		const isOverloaded = this.#late > 1 && this.#late >= total * overloadedShare;
		if (isOverloaded) {
			this.#rise();
			this.#raisedAt = now;
		} else {
			this.#fall();
		}

		this.#windowStart = now;
		this.#admitted = 0;
		this.#late = 0;
		this.#arrivals.fill(0);
	}

	#rise(): void {
		this.#step = smallestStep;
		const wanted = Math.max(1, (this.#admitted + this.#late) * arrivedShareKept);
		let kept = 0;
		const lowestKept = this.#arrivals.findLastIndex(count => {
			kept += count;
			return kept >= wanted;
		});
		const target = (lowestKept + 1) * cohortsPerBucket;
		const highestRise = this.#value + (cohortCount / 2);
		this.#value = Math.min(criticalPriority, highestRise, Math.max(this.#value + cohortsPerBucket, target));
	}

	#fall(): void {
		this.#value = Math.max(0, this.#value - this.#step);
		this.#step = Math.min(largestStep, this.#step * 2);
	}
}
