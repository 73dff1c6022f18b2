import {test} from 'tap';
import {Importance, OverloadLevel, priorityOf} from '../index.js';

const windowMilliseconds = 50;

/** Closes a window in which calls of all cohorts arrived and were dispatched late. */
function closeLateWindow(level: OverloadLevel, arrivedAt: number, now: number): void {
	Array.from({length: 128}, (_, cohort) => {
		level.recordArrival(priorityOf(Importance.Normal, cohort));
		level.recordOutcome(false, arrivedAt);
		return cohort;
	});
	level.advance(now);
}

test('late calls of one queue raise the level once, not in every window until the queue is empty', async t => {
	const level = new OverloadLevel();
	closeLateWindow(level, 0, windowMilliseconds);
	const raised = level.value;
	t.ok(raised > 0);
	[2, 3, 4].map(window => {
		closeLateWindow(level, 10, window * windowMilliseconds);
		return window;
	});
	t.ok(level.value <= raised, `${raised}, then ${level.value}`);
	closeLateWindow(level, 4 * windowMilliseconds, 5 * windowMilliseconds);
	t.ok(level.value > 0, 'calls that arrived after the rise count');
});

test('the level falls by at most 4 cohorts per window, so that distant callers can follow', async t => {
	const level = new OverloadLevel();
	[1, 2, 3, 4, 5].map(window => {
		closeLateWindow(level, window * windowMilliseconds, window * windowMilliseconds);
		return window;
	});
	const raised = level.value;
	[6, 7, 8, 9, 10, 11].map(window => {
		level.advance(window * windowMilliseconds);
		return window;
	});
	t.ok(raised - level.value <= 6 * 4, `${raised}, then ${level.value}`);
	t.ok(level.value < raised);
});
