import {test} from 'tap';
import {highestPriority, OfferBudget} from '../index.js';

const earnedPerSuccess = 0.1;
const calls = 40_000;

/** Uniform numbers in [0, 1) from a fixed seed. */
function createRandom(): () => number {
	let state = 7;
	return () => {
		state = (state * 16_807) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

/** Priorities of the offers that were allowed while the share of all calls, of any priority, is refused. */
function allowedOffers(budget: OfferBudget, refusedShare: number): {priorities: number[]; successes: number} {
	const random = createRandom();
	const priorities: number[] = [];
	let successes = 0;
	Array.from({length: calls}, () => {
		const priority = Math.floor(random() * highestPriority);
		if (random() < refusedShare) {
			priorities.push(...(budget.trySpend(priority) ? [priority] : []));
		} else {
			successes += 1;
			budget.recordSuccess();
		}

		return priority;
	});
	return {priorities, successes};
}

test('offers never exceed the earned share of the successes', async t => {
	for (const refusedShare of [0.1, 0.5, 0.9]) {
		const {priorities, successes} = allowedOffers(new OfferBudget(earnedPerSuccess), refusedShare);
		t.ok(priorities.length <= successes * earnedPerSuccess, `${priorities.length} offers after ${successes} successes`);
	}
});

test('while half of the calls are refused, the offers go to the highest priorities', async t => {
	const {priorities, successes} = allowedOffers(new OfferBudget(earnedPerSuccess), 0.5);
	const ofHighest = priorities.filter(priority => priority >= highestPriority * 0.8).length;
	t.ok(priorities.length > successes * earnedPerSuccess * 0.7, `${priorities.length} offers after ${successes} successes`);
	t.ok(ofHighest > priorities.length * 0.7, `${ofHighest} of ${priorities.length} offers went to the highest fifth`);
});

test('every refused call is offered again once the budget suffices', async t => {
	const budget = new OfferBudget(earnedPerSuccess);
	allowedOffers(budget, 0.5);
	Array.from({length: 1000}, () => {
		budget.recordSuccess();
		return undefined;
	});
	t.ok(budget.trySpend(0));
});
