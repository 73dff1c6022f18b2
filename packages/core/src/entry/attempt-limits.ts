/**
 * Limits how often a call is sent again: the attempt limit of its request kind, the retry budget of the service and the
 * retry quota of the customer action.
 *
 * @module
 */
import {OfferBudget} from '../action/offer-budget.js';
import {RetryBudget} from '../action/retry-budget.js';
import {Importance} from '../importance.js';
import {isIdempotent} from '../manifest/model.js';
import type {EntryState} from './entry-call.js';
import type {EntryDefinition} from './entry-definition.js';

/** Refusals after which a call is still offered again. With a key it returns to the same primary, or to the next one of a changing range. */
const maximumRefusalsWithKey = 24;
const maximumRefusalsCritical = 4;
const maximumRefusals = 2;

type LimitsDefinition = Pick<EntryDefinition, 'mechanisms' | 'retryBurst' | 'retryBudgetRatio' | 'offerRatio'>;

/**
 * Limits on the attempts of the calls of one entry node. Each query is counted, also when its result is false:
 * `tryOfferAgain` counts a refusal, and `trySpendRetry` an attempt.
 *
 * @example
 * const limits = new AttemptLimits(definition);
 * limits.tryOfferAgain(state); // false once enough nodes have refused the call
 * limits.tryRetry(state); // false for at-most-once calls, and when the budget or the quota is spent
 */
export class AttemptLimits {
	readonly #definition: LimitsDefinition;
	readonly #retryBudgets = new Map<string, RetryBudget>();
	readonly #offerBudgets = new Map<string, OfferBudget>();

	constructor(definition: LimitsDefinition) {
		this.#definition = definition;
	}

	/** Whether a call that is proven not run may be offered again. Less important calls are offered to fewer nodes. */
	tryOfferAgain(state: EntryState): boolean {
		state.refusals += 1;
		if (state.request.key !== undefined) {
			return state.refusals <= maximumRefusalsWithKey;
		}

		return state.refusals <= (state.request.importance === Importance.Critical ? maximumRefusalsCritical : maximumRefusals);
	}

	/** Whether a call that may have run may be sent again: only idempotent ones are. */
	tryRetry(state: EntryState): boolean {
		return isIdempotent(state.request.policy.semantics) && this.trySpendRetry(state);
	}

	/**
	 * Whether the call may be sent to another upstream. A retry is taken from the budget of the service and from the quota
	 * of the action.
	 */
	trySpendRetry(state: EntryState): boolean {
		state.attempts += 1;
		if (state.attempts >= (state.request.policy.attempts ?? Infinity)) {
			return false;
		}

		const {retryBudget = true, retryQuota = true} = this.#definition.mechanisms ?? {};
		return (!retryBudget || this.#retryBudgetOf(state.request.service).trySpend()) && (state.request.retryQuota.trySpend() || !retryQuota);
	}

	/**
	 * Whether a call that an upstream refused without running it may be sent to another upstream. The offer is taken from the
	 * retry budget of the service, or from its budget for offers when that is spent, and from the quota of the action.
	 */
	trySpendOffer(state: EntryState): boolean {
		state.attempts += 1;
		const {policy, retryQuota, service, priority} = state.request;
		if (state.attempts >= (policy.attempts ?? Infinity)) {
			return false;
		}

		const {retryBudget = true, retryQuota: isQuotaUsed = true} = this.#definition.mechanisms ?? {};
		if (isQuotaUsed && retryQuota.remaining < 1) {
			return false;
		}

		const isAllowed = !retryBudget || this.#retryBudgetOf(service).trySpend() || this.#offerBudgetOf(service).trySpend(priority);
		return isAllowed && (retryQuota.trySpend() || !isQuotaUsed);
	}

	/** Adds to both budgets of the service after a call of it succeeded. */
	recordSuccess(service: string): void {
		this.#retryBudgetOf(service).recordSuccess();
		this.#offerBudgetOf(service).recordSuccess();
	}

	#offerBudgetOf(service: string): OfferBudget {
		const known = this.#offerBudgets.get(service);
		if (known !== undefined) {
			return known;
		}

		const budget = new OfferBudget(this.#definition.offerRatio());
		this.#offerBudgets.set(service, budget);
		return budget;
	}

	#retryBudgetOf(service: string): RetryBudget {
		const known = this.#retryBudgets.get(service);
		if (known !== undefined) {
			return known;
		}

		const budget = new RetryBudget(this.#definition.retryBudgetRatio(), this.#definition.retryBurst);
		this.#retryBudgets.set(service, budget);
		return budget;
	}
}
