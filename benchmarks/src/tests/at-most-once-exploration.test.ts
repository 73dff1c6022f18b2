import {test} from 'tap';
import {exploreSchedule} from '../at-most-once-explorer.js';
import {InjectedMistake} from '../injected-mistakes.js';

const schedules = 60;

test('no schedule dispatches a key twice, or a call that was reported as not run', async t => {
	const results = Array.from({length: schedules}, (_, index) => exploreSchedule(index + 1));
	t.same(results.flatMap(result => result.violations.map(violation => `seed ${result.seed}: ${violation}`)), []);
	t.ok(results.some(result => result.takeovers > 0), 'the schedules include takeovers');
	t.ok(results.some(result => result.adoptions > 0), 'the schedules include the loss of both holders of a range');
	t.ok(results.reduce((sum, result) => sum + result.dispatches, 0) > schedules, 'there are more dispatches than schedules');
});

/** First seed and number of schedules for each mistake; at least one of the schedules detects it. */
const detectingSeeds: ReadonlyArray<readonly [InjectedMistake, number, number]> = [
	[InjectedMistake.AcknowledgesAfterFence, 62, 10],
	[InjectedMistake.DispatchesBeforeAcknowledgement, 1, 10],
	[InjectedMistake.RestartKeepsRole, 1, 10],
	[InjectedMistake.ForgetsLoss, 92, 10],
	[InjectedMistake.ReleasesDispatched, 1, 10],
];

detectingSeeds.map(async ([mistake, first, count]) => test(`the exploration detects the injected mistake ${mistake}`, async t => {
	const seeds = Array.from({length: count}, (_, index) => first + index);
	const detectingSeed = seeds.find(seed => exploreSchedule(seed, mistake).violations.length > 0);
	t.not(detectingSeed, undefined);
}));
