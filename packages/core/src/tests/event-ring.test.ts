import {test} from 'tap';
import {EventRing, EventType, type NodeEvent} from '../index.js';

function event(time: number): NodeEvent {
	return {type: EventType.Admitted, time, node: 'n'};
}

test('a full ring keeps the latest events in order and counts the overwritten ones', async t => {
	const ring = new EventRing(3);
	[1, 2, 3, 4, 5].map(time => {
		ring.add(event(time));
		return time;
	});
	t.strictSame(ring.since(0).map(({time}) => time), [3, 4, 5]);
	t.equal(ring.dropped, 2);
});

test('a ring of capacity 0 keeps no event and counts all as dropped', async t => {
	const ring = new EventRing(0);
	[1, 2].map(time => {
		ring.add(event(time));
		return time;
	});
	t.strictSame(ring.since(0), []);
	t.equal(ring.dropped, 2);
});
