import {test} from 'tap';
import {LineBudget} from '../line-budget.js';

test('each kind of line has its own limit, and the number of dropped lines is reported with the next allowed line', async t => {
	const budget = new LineBudget(2);
	t.same([0, 10, 20, 30].map(now => budget.request('refused', now).isAllowed), [true, true, false, false]);
	t.same(budget.request('other', 40), {isAllowed: true, dropped: 0});
	t.same(budget.request('refused', 1000), {isAllowed: true, dropped: 2});
	t.same(budget.request('refused', 1001), {isAllowed: true, dropped: 0});
});

test('a clock that is set back starts a new window', async t => {
	const budget = new LineBudget(1);
	budget.request('refused', 5000);
	t.ok(budget.request('refused', 100).isAllowed);
});
