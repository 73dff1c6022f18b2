import {test} from 'tap';
import {
	AdmissionController, AdmissionEffectType, CancelResult, DispatchOutcome, ErrorKind, Importance, priorityOf, type AdmissionEffect, type Work,
} from '../index.js';

let count = 0;

function work(importance: Importance, changes: Partial<Work> = {}): Work {
	count += 1;
	return {
		callId: `n.1.${count}`, kind: importance, importance, priority: priorityOf(importance, 64), idempotent: true, deadline: 1000, arrivedAt: 0, guaranteedShare: 0, lastResort: false, ...changes,
	};
}

/** An admission controller whose limit has grown to the number of slots. */
function createWarmController(slots: number): AdmissionController {
	const controller = new AdmissionController(slots);
	for (let round = 0; round < 40; round += 1) {
		const warm = work(Importance.Normal, {kind: 'warm'});
		controller.submit(warm, 0);
		controller.finish(warm.callId, DispatchOutcome.Answered, 0, 10);
	}

	return controller;
}

const summary = (effects: readonly AdmissionEffect[]): string[] => effects.map(effect => `${effect.type} ${effect.work.importance}`);

test('a free slot goes to the most important waiting call', async t => {
	const controller = createWarmController(1);
	const running = work(Importance.Critical);
	controller.submit(running, 0);
	controller.submit(work(Importance.Low), 0);
	controller.submit(work(Importance.High), 0);
	controller.submit(work(Importance.Critical), 0);
	t.same(summary(controller.finish(running.callId, DispatchOutcome.Answered, 0, 10)), ['dispatch critical']);
});

test('a cold limit starts at a share of the slots and doubles after as many successes as it allows', async t => {
	const controller = new AdmissionController(20);
	t.equal(controller.limit.value, 2);
	const first = [work(Importance.Normal), work(Importance.Normal)];
	first.map(item => controller.submit(item, 0));
	first.map(item => controller.finish(item.callId, DispatchOutcome.Answered, 0, 5));
	t.equal(controller.limit.value, 4);
});

test('a report of the upstream lowers the limit but never raises it above the slots', async t => {
	const controller = createWarmController(8);
	controller.limit.applyUpstreamReport(false, 0);
	t.equal(controller.limit.value, 2);
	controller.limit.applyUpstreamReport(true, 0);
	t.equal(controller.limit.value, 8);
	controller.limit.applyUpstreamReport(true, -100);
	t.equal(controller.limit.value, 8);
	controller.limit.applyUpstreamReport(true, 5);
	t.equal(controller.limit.value, 3);
});

test('a call that cannot finish before its deadline is refused before dispatch', async t => {
	const controller = createWarmController(2);
	const running = work(Importance.Normal, {kind: 'warm'});
	controller.submit(running, 0);
	const late = work(Importance.Normal, {kind: 'warm', deadline: 3});
	t.match(controller.submit(late, 0), [{type: AdmissionEffectType.Refuse, reason: ErrorKind.InsufficientTime}]);
});

test('a call with as much time left as the mean service time of its kind is dispatched', async t => {
	const controller = new AdmissionController(2);
	Array.from({length: 60}, (_, round) => {
		const uneven = work(Importance.Normal, {kind: 'uneven'});
		controller.submit(uneven, 0);
		return controller.finish(uneven.callId, DispatchOutcome.Answered, 0, round % 2 === 0 ? 4 : 16);
	});
	controller.submit(work(Importance.Normal, {kind: 'uneven'}), 0);
	t.match(controller.submit(work(Importance.Normal, {kind: 'uneven', deadline: 11}), 0), [{type: AdmissionEffectType.Dispatch}]);
	t.match(controller.submit(work(Importance.Normal, {kind: 'uneven', deadline: 8}), 0), [{type: AdmissionEffectType.Refuse, reason: ErrorKind.InsufficientTime}]);
});

test('a critical call with a long expected wait gets the next free slot, and no running call is cancelled for it', async t => {
	const controller = createWarmController(1);
	const low = work(Importance.Low);
	controller.submit(low, 0);
	controller.submit(work(Importance.High), 0);
	const critical = work(Importance.Critical, {deadline: 20});
	t.same(controller.submit(critical, 0), []);
	t.same(controller.advance(8), []);
	t.match(controller.finish(low.callId, DispatchOutcome.Answered, 0, 9), [{type: AdmissionEffectType.Dispatch, work: critical}]);
});

test('no running call is cancelled for a more important one, whether it may run again or not', async t => {
	const controller = createWarmController(2);
	controller.submit(work(Importance.Low, {idempotent: false}), 0);
	controller.submit(work(Importance.Low), 0);
	const effects = [...controller.submit(work(Importance.Critical, {deadline: 20}), 0), ...controller.advance(15)];
	t.notOk(effects.some(effect => effect.type === AdmissionEffectType.CancelDispatch));
});

test('a kind below its guaranteed share is dispatched before more important calls, but after critical calls', async t => {
	const controller = createWarmController(1);
	const running = work(Importance.Critical);
	controller.submit(running, 0);
	controller.submit(work(Importance.High), 0);
	controller.submit(work(Importance.Normal, {kind: 'lookup', guaranteedShare: 0.2}), 0);
	const critical = work(Importance.Critical);
	controller.submit(critical, 0);
	t.same(summary(controller.finish(running.callId, DispatchOutcome.Answered, 0, 10)), ['dispatch critical']);
	t.match(controller.finish(critical.callId, DispatchOutcome.Answered, 0, 20), [{type: AdmissionEffectType.Dispatch, work: {kind: 'lookup'}}]);
});

test('a waiting call that is cancelled never runs, even if a copy arrives later', async t => {
	const controller = createWarmController(1);
	const running = work(Importance.Normal);
	controller.submit(running, 0);
	const waiting = work(Importance.Normal);
	controller.submit(waiting, 0);
	t.equal(controller.cancel(waiting.callId, 1).result, CancelResult.NotRun);
	t.equal(controller.cancel(running.callId, 1).result, CancelResult.Dispatched);
	t.match(controller.submit(waiting, 2), [{type: AdmissionEffectType.Refuse, reason: ErrorKind.Cancelled}]);
});

test('a call that is cancelled before its arrival is refused, however late it arrives', async t => {
	const controller = createWarmController(1);
	const late = work(Importance.Critical, {deadline: 200_000});
	controller.cancel(late.callId, 0);
	controller.advance(100_000);
	t.match(controller.submit(late, 100_000), [{type: AdmissionEffectType.Refuse}]);
});

/** Keeps the admission controller saturated. The duration of a call depends on the number of calls in flight. */
function saturate(controller: AdmissionController, millisecondsFor: (inFlight: number) => number, calls: number): void {
	const ends: Array<{readonly callId: string; readonly at: number}> = [];
	let now = 0;
	const start = (effects: readonly AdmissionEffect[]): void => {
		effects.filter(effect => effect.type === AdmissionEffectType.Dispatch).map(effect => ends.push({callId: effect.work.callId, at: now + millisecondsFor(controller.inFlight)}));
	};

	const arrive = (): void => {
		start(controller.submit(work(Importance.Normal, {arrivedAt: now, deadline: now + 100_000}), now));
	};

	Array.from({length: 60}, arrive);
	for (let done = 0; done < calls; done += 1) {
		ends.sort((left, right) => left.at - right.at);
		const next = ends.shift()!;
		now = Math.max(now, next.at);
		start(controller.finish(next.callId, DispatchOutcome.Answered, 0, now));
		arrive();
	}
}

test('the limit stays high if the upstream is slow at any concurrency', async t => {
	const controller = createWarmController(10);
	saturate(controller, () => 30, 2000);
	t.ok(controller.limit.value >= 8, `the limit is ${controller.limit.value}`);
});

test('the limit decreases if more calls in flight make each call slower', async t => {
	const controller = createWarmController(40);
	saturate(controller, inFlight => 10 * (Math.max(1, inFlight / 10) ** 2), 4000);
	t.ok(controller.limit.value < 30, `the limit is ${controller.limit.value}`);
});

test('waits longer than the service time of the kind raise the overload level, however much time the calls have left', async t => {
	const controller = createWarmController(1);
	controller.advance(100);
	const calls = Array.from({length: 12}, () => work(Importance.Normal, {kind: 'warm', arrivedAt: 100, deadline: 10_000}));
	calls.map(call => controller.submit(call, 100));
	calls.slice(0, 8).map((call, index) => controller.finish(call.callId, DispatchOutcome.Answered, 0, 110 + (index * 10)));
	controller.advance(200);
	t.ok(controller.load.level > 0, `the level is ${controller.load.level}`);
});
