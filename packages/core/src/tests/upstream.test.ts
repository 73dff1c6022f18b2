import {test} from 'tap';
import {
	AnnouncedState, ErrorKind, Outcome, statusOf, UpstreamTracker, type Announcement,
} from '../index.js';

const announcement = (changes: Partial<Announcement> = {}): Announcement => ({
	service: 'catalogue', slots: 10, state: AnnouncedState.Ready, load: undefined, instance: 'i-1', birth: 1000, sequence: 4, ...changes,
});

test('late and repeated announcements of the current incarnation are rejected', async t => {
	const tracker = new UpstreamTracker();
	t.ok(tracker.accept(announcement()));
	t.notOk(tracker.accept(announcement()));
	t.notOk(tracker.accept(announcement({sequence: 3})));
	t.ok(tracker.accept(announcement({sequence: 5, state: AnnouncedState.Draining})));
});

test('an announcement of an earlier incarnation is rejected, even with the same instance name', async t => {
	const tracker = new UpstreamTracker();
	tracker.accept(announcement({instance: 'i-1', birth: 2000, sequence: 1}));
	t.notOk(tracker.accept(announcement({instance: 'i-1', birth: 1000, sequence: 90})));
	t.notOk(tracker.accept(announcement({instance: 'i-0', birth: 1500, sequence: 90})));
	t.equal(tracker.instance, 'i-1');
	t.ok(tracker.accept(announcement({instance: 'i-2', birth: 3000, sequence: 1})));
	t.equal(tracker.instance, 'i-2');
});

test('a late announcement of a withdrawn incarnation is rejected, and a new incarnation is accepted', async t => {
	const tracker = new UpstreamTracker();
	tracker.accept(announcement());
	t.notOk(tracker.withdraw({instance: 'i-0', birth: undefined}));
	t.notOk(tracker.withdraw({instance: 'i-1', birth: 900}));
	t.ok(tracker.withdraw({instance: 'i-1', birth: 1000}));
	t.notOk(tracker.accept(announcement({sequence: 9})));
	t.ok(tracker.accept(announcement({instance: 'i-1', birth: 4000, sequence: 1})));
});

test('an announcement that lacks a field which orders it does not return a withdrawn upstream to service', async t => {
	const tracker = new UpstreamTracker();
	tracker.accept(announcement());
	tracker.withdraw({instance: 'i-1', birth: 1000});
	t.notOk(tracker.accept(announcement({sequence: undefined})));
	t.notOk(tracker.accept(announcement({birth: undefined, sequence: 9})));
	t.notOk(tracker.accept(announcement({instance: 'i-2', birth: undefined, sequence: undefined})));
	t.equal(tracker.instance, 'i-1');
	t.ok(tracker.accept(announcement({instance: 'i-2', birth: 4000, sequence: 1})));
});

test('an upstream that does not number its announcements may announce itself again after a withdrawal', async t => {
	const tracker = new UpstreamTracker();
	const plain = announcement({instance: undefined, birth: undefined, sequence: undefined});
	t.ok(tracker.accept(plain));
	t.ok(tracker.withdraw({instance: undefined, birth: undefined}));
	t.ok(tracker.accept(plain));
});

test('a status that implies not-run is used only with the outcome not-run', async t => {
	t.equal(statusOf(ErrorKind.TimedOut, Outcome.NotRun), 503);
	t.equal(statusOf(ErrorKind.TimedOut, Outcome.Unknown), 504);
	t.equal(statusOf(ErrorKind.Overloaded, Outcome.NotRun), 503);
	t.equal(statusOf(ErrorKind.Preempted, Outcome.Unknown), 502);
	t.equal(statusOf(ErrorKind.PeerConnectionLost, Outcome.NotRun), 503);
	t.equal(statusOf(ErrorKind.UnknownRequestKind, Outcome.NotRun), 404);
	const notRunStatuses = new Set([408, 421, 429, 503]);
	const kinds = Object.values(ErrorKind);
	t.notOk(kinds.some(kind => notRunStatuses.has(statusOf(kind, Outcome.Unknown))));
});
