import {test} from 'tap';
import {
	CancelResult, DispatchOutcome, ErrorKind, AdmissionController, AdmissionEffectType, Importance, priorityOf, type AdmissionEffect, type Work,
} from '../index.js';

let count = 0;

function work(importance: Importance, changes: Partial<Work> = {}): Work {
	count += 1;
	return {
		callId: `n.1.${count}`, kind: importance, importance, priority: priorityOf(importance, 64), idempotent: true, deadline: 1000, arrivedAt: 0, guaranteedShare: 0, lastResort: false, ...changes,
	};
}

/** A guard whose limit has grown to its slots. */
function warmGuard(slots: number): AdmissionController {
	const guard = new AdmissionController(slots);
	for (let round = 0; round < 40; round += 1) {
		const warm = work(Importance.Normal, {kind: 'warm'});
		guard.submit(warm, 0);
		guard.finish(warm.callId, DispatchOutcome.Answered, 0, 10);
	}

	return guard;
}

const summary = (effects: readonly AdmissionEffect[]): string[] => effects.map(effect => `${effect.type} ${effect.work.importance}`);

test('the most important work that waits goes first', async t => {
	const guard = warmGuard(1);
	const running = work(Importance.Critical);
	guard.submit(running, 0);
	guard.submit(work(Importance.Low), 0);
	guard.submit(work(Importance.High), 0);
	guard.submit(work(Importance.Critical), 0);
	t.same(summary(guard.finish(running.callId, DispatchOutcome.Answered, 0, 10)), ['dispatch critical']);
});

test('a cold limit is a share of the slots and grows over counted successes', async t => {
	const guard = new AdmissionController(20);
	t.equal(guard.limit.value, 2);
	const first = [work(Importance.Normal), work(Importance.Normal)];
	first.map(item => guard.submit(item, 0));
	first.map(item => guard.finish(item.callId, DispatchOutcome.Answered, 0, 5));
	t.equal(guard.limit.value, 4);
});

test('a report of the upstream lowers the limit and never raises it', async t => {
	const guard = warmGuard(8);
	guard.limit.applyUpstreamReport(false, 0);
	t.equal(guard.limit.value, 2);
	guard.limit.applyUpstreamReport(true, 0);
	t.equal(guard.limit.value, 8);
	guard.limit.applyUpstreamReport(true, -100);
	t.equal(guard.limit.value, 8);
	guard.limit.applyUpstreamReport(true, 5);
	t.equal(guard.limit.value, 3);
});

test('work that cannot finish in its time is refused before dispatch', async t => {
	const guard = warmGuard(2);
	const running = work(Importance.Normal, {kind: 'warm'});
	guard.submit(running, 0);
	const doomed = work(Importance.Normal, {kind: 'warm', deadline: 3});
	t.match(guard.submit(doomed, 0), [{type: AdmissionEffectType.Refuse, reason: ErrorKind.InsufficientTime}]);
});

test('work that has as much time left as its kind takes on average is not refused', async t => {
	const guard = new AdmissionController(2);
	Array.from({length: 60}, (_, round) => {
		const uneven = work(Importance.Normal, {kind: 'uneven'});
		guard.submit(uneven, 0);
		return guard.finish(uneven.callId, DispatchOutcome.Answered, 0, round % 2 === 0 ? 4 : 16);
	});
	guard.submit(work(Importance.Normal, {kind: 'uneven'}), 0);
	t.match(guard.submit(work(Importance.Normal, {kind: 'uneven', deadline: 11}), 0), [{type: AdmissionEffectType.Dispatch}]);
	t.match(guard.submit(work(Importance.Normal, {kind: 'uneven', deadline: 8}), 0), [{type: AdmissionEffectType.Refuse, reason: ErrorKind.InsufficientTime}]);
});

test('critical work that would wait too long takes the place of running idempotent work', async t => {
	const guard = warmGuard(1);
	const low = work(Importance.Low);
	guard.submit(low, 0);
	const critical = work(Importance.Critical, {deadline: 20});
	t.match(guard.submit(critical, 0), [{type: AdmissionEffectType.CancelDispatch, work: low, reason: ErrorKind.Preempted}]);
	t.match(guard.finish(low.callId, DispatchOutcome.Cancelled, 0, 1), [{type: AdmissionEffectType.Dispatch, work: critical}]);
});

test('running at-most-once work is never preempted', async t => {
	const guard = warmGuard(1);
	guard.submit(work(Importance.Low, {idempotent: false}), 0);
	const effects = guard.submit(work(Importance.Critical, {deadline: 20}), 0);
	t.notOk(effects.some(effect => effect.type === AdmissionEffectType.CancelDispatch));
});

test('a kind below its guaranteed share goes before more important work, but not before critical work', async t => {
	const guard = warmGuard(1);
	const running = work(Importance.Critical);
	guard.submit(running, 0);
	guard.submit(work(Importance.High), 0);
	guard.submit(work(Importance.Normal, {kind: 'lookup', guaranteedShare: 0.2}), 0);
	const critical = work(Importance.Critical);
	guard.submit(critical, 0);
	t.same(summary(guard.finish(running.callId, DispatchOutcome.Answered, 0, 10)), ['dispatch critical']);
	t.match(guard.finish(critical.callId, DispatchOutcome.Answered, 0, 20), [{type: AdmissionEffectType.Dispatch, work: {kind: 'lookup'}}]);
});

test('a cancelled call that waits will never run, also when a copy of it arrives later', async t => {
	const guard = warmGuard(1);
	const running = work(Importance.Normal);
	guard.submit(running, 0);
	const waiting = work(Importance.Normal);
	guard.submit(waiting, 0);
	t.equal(guard.cancel(waiting.callId, 1).result, CancelResult.NotRun);
	t.equal(guard.cancel(running.callId, 1).result, CancelResult.Dispatched);
	t.match(guard.submit(waiting, 2), [{type: AdmissionEffectType.Refuse, reason: ErrorKind.Cancelled}]);
});

test('a call cancelled before its arrival is refused when it arrives, however late', async t => {
	const guard = warmGuard(1);
	const late = work(Importance.Critical, {deadline: 200_000});
	guard.cancel(late.callId, 0);
	guard.advance(100_000);
	t.match(guard.submit(late, 100_000), [{type: AdmissionEffectType.Refuse}]);
});

/** Keeps a guard saturated: each call takes as long as the number in flight makes it. */
function saturate(guard: AdmissionController, millisecondsFor: (inFlight: number) => number, calls: number): void {
	const ends: Array<{readonly callId: string; readonly at: number}> = [];
	let now = 0;
	const start = (effects: readonly AdmissionEffect[]): void => {
		effects.filter(effect => effect.type === AdmissionEffectType.Dispatch).map(effect => ends.push({callId: effect.work.callId, at: now + millisecondsFor(guard.inFlight)}));
	};

	const arrive = (): void => {
		start(guard.submit(work(Importance.Normal, {arrivedAt: now, deadline: now + 100_000}), now));
	};

	Array.from({length: 60}, arrive);
	for (let done = 0; done < calls; done += 1) {
		ends.sort((left, right) => left.at - right.at);
		const next = ends.shift()!;
		now = Math.max(now, next.at);
		start(guard.finish(next.callId, DispatchOutcome.Answered, 0, now));
		arrive();
	}
}

test('while an upstream is slow at any concurrency, the limit stays high', async t => {
	const guard = warmGuard(10);
	saturate(guard, () => 30, 2000);
	t.ok(guard.limit.value >= 8, `the limit is ${guard.limit.value}`);
});

test('while more calls in flight make each slower, the limit shrinks', async t => {
	const guard = warmGuard(40);
	saturate(guard, inFlight => 10 * (Math.max(1, inFlight / 10) ** 2), 4000);
	t.ok(guard.limit.value < 30, `the limit is ${guard.limit.value}`);
});

test('waits longer than the kind takes raise the level, however much time the calls have left', async t => {
	const guard = warmGuard(1);
	guard.advance(100);
	const calls = Array.from({length: 12}, () => work(Importance.Normal, {kind: 'warm', arrivedAt: 100, deadline: 10_000}));
	calls.map(call => guard.submit(call, 100));
	calls.slice(0, 8).map((call, index) => guard.finish(call.callId, DispatchOutcome.Answered, 0, 110 + (index * 10)));
	guard.advance(200);
	t.ok(guard.load.level > 0, `the level is ${guard.load.level}`);
});
