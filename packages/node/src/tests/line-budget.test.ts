import {test} from 'tap';
import {LineBudget} from '../line-budget.js';

test('each kind of line has its own bound, and what was left out is told', async t => {
	const budget = new LineBudget(2);
	t.same([0, 10, 20, 30].map(now => budget.take('refused', now).isGranted), [true, true, false, false]);
	t.same(budget.take('other', 40), {isGranted: true, dropped: 0});
	t.same(budget.take('refused', 1000), {isGranted: true, dropped: 2});
	t.same(budget.take('refused', 1001), {isGranted: true, dropped: 0});
});

test('a clock that is set back begins a new second', async t => {
	const budget = new LineBudget(1);
	budget.take('refused', 5000);
	t.ok(budget.take('refused', 100).isGranted);
});
