/**
 * Budget for calls that an upstream refused without running them and that are offered to another upstream.
 *
 * It answers a load under which a service deep in the call chain refuses a large share of all calls, so that most customer
 * actions, which need several of them, would fail although half of the calls succeed. The offers that the budget allows go
 * to the actions with the highest priority. A priority is the same at all nodes and their levels are similar, so an action
 * whose first calls are offered again is likely to get the offers that its later calls need.
 *
 * @module
 */
import {highestPriority} from '../importance.js';

/** Offers that can accumulate. */
const maximumTokens = 2;

/** Rise of the level for an offer that lacks a token, and its fall for a success while no token is lacking. */
const levelRise = 4;
const levelFall = 1;

/**
 * Offers of the calls to one service.
 *
 * @example
 * const budget = new OfferBudget(0.1);
 * budget.recordSuccess(); // every success earns a tenth of an offer
 * budget.trySpend(priority); // whether a refused call of this priority is offered again
 */
export class OfferBudget {
	readonly #earnedPerSuccess: number;
	#tokens = 0;
	/** Lowest priority whose refused calls are offered again. */
	#level = 0;

	/** @param earnedPerSuccess - offers that each success earns */
	constructor(earnedPerSuccess: number) {
		this.#earnedPerSuccess = earnedPerSuccess;
	}

	recordSuccess(): void {
		this.#tokens = Math.min(maximumTokens, this.#tokens + this.#earnedPerSuccess);
		this.#level = this.#tokens === maximumTokens ? Math.max(0, this.#level - levelFall) : this.#level;
	}

	/** Takes a token for one offer; false for a priority below the level and when less than one token is left. */
	trySpend(priority: number): boolean {
		if (priority < this.#level) {
			return false;
		}

		if (this.#tokens < 1) {
			this.#level = Math.min(highestPriority, this.#level + levelRise);
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
