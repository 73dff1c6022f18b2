/**
 * How often a call may be offered and sent again: by the bounds of its kind, the share of the edge and the account of its
 * action.
 *
 * @module
 */
import {RetryBudget} from '../action/retry-budget.js';
import {Importance} from '../importance.js';
import {Semantics} from '../manifest/model.js';
import type {EntryState} from './entry-call.js';
import type {EntryDefinition} from './entry-definition.js';

const keyedAskBound = 24;
const criticalAskBound = 4;
const ordinaryAskBound = 2;

/**
 * Bounds on the attempts of one entry's calls. Each question counts as an attempt.
 *
 * @example
 * const bounds = new AttemptBounds(definition);
 * bounds.mayAskAgain(state); // false once enough nodes have refused the call
 * bounds.mayRetry(state); // false for at-most-once work, and where the share or the account is spent
 */
export class AttemptBounds {
	readonly #definition: Pick<EntryDefinition, 'mechanisms' | 'retryBurst' | 'retryBudgetRatio'>;
	readonly #shares = new Map<string, RetryBudget>();

	constructor(definition: Pick<EntryDefinition, 'mechanisms' | 'retryBurst' | 'retryBudgetRatio'>) {
		this.#definition = definition;
	}

	/** A call proven not run may be offered to other nodes; less important work is offered to few. */
	mayAskAgain(state: EntryState): boolean {
		state.asks += 1;
		if (state.request.key !== undefined) {
			return state.asks <= keyedAskBound;
		}

		return state.asks <= (state.request.importance === Importance.Critical ? criticalAskBound : ordinaryAskBound);
	}

	mayRetry(state: EntryState): boolean {
		return state.request.policy.semantics === Semantics.Idempotent && this.maySpendRetry(state);
	}

	/** Whether another upstream may get the call, by the attempts of its kind, the share of the edge and the account of the action. */
	maySpendRetry(state: EntryState): boolean {
		state.attempts += 1;
		if (state.attempts >= (state.request.policy.attempts ?? Infinity)) {
			return false;
		}

		const {retryBudget = true, retryQuota = true} = this.#definition.mechanisms ?? {};
		return (!retryBudget || this.#shareOf(state.request.service).spend()) && (state.request.retryQuota.spend() || !retryQuota);
	}

	/** A call of the service got its answer. */
	earn(service: string): void {
		this.#shareOf(service).earn();
	}

	#shareOf(service: string): RetryBudget {
		const known = this.#shares.get(service);
		if (known !== undefined) {
			return known;
		}

		const share = new RetryBudget(this.#definition.retryBudgetRatio(), this.#definition.retryBurst);
		this.#shares.set(service, share);
		return share;
	}
}
