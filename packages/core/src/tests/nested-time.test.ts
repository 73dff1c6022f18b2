import {test} from 'tap';
import {NestedTime} from '../serving/nested-time.js';

test('time during which several nested calls are open counts once', async t => {
	const nested = new NestedTime();
	nested.start(10);
	nested.start(15);
	nested.end(20);
	t.equal(nested.total(22), 12, 'one call is still open');
	nested.end(25);
	t.equal(nested.total(40), 15);
	nested.start(50);
	nested.end(51);
	t.equal(nested.total(60), 16);
});

test('an end without a matching start has no effect', async t => {
	const nested = new NestedTime();
	nested.end(5);
	nested.start(10);
	nested.end(12);
	t.equal(nested.total(20), 2);
});
