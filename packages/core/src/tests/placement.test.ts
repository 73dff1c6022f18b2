import {test} from 'tap';
import {guardedScenarios, improvedScenarios} from './placement-scenarios.js';
import {simulate, type Scenario, type SimulationResult} from './placement-simulation.js';

const seeds = Array.from({length: 20}, (_, index) => index + 1);
const timeoutMilliseconds = 120_000;

type Figure = 'tailMilliseconds' | 'inTimeShare';

/** Mean and range over the seeds. */
function summarize(results: readonly SimulationResult[], figure: Figure): {readonly mean: number; readonly range: number} {
	const values = results.map(result => result[figure]);
	return {mean: values.reduce((sum, value) => sum + value, 0) / values.length, range: Math.max(...values) - Math.min(...values)};
}

function compare(scenario: Scenario) {
	const [today, costAware] = [false, true].map(isCostAware => seeds.map(seed => simulate(scenario, isCostAware, seed))) as [SimulationResult[], SimulationResult[]];
	return {
		tail: {today: summarize(today, 'tailMilliseconds'), costAware: summarize(costAware, 'tailMilliseconds')},
		inTime: {today: summarize(today, 'inTimeShare'), costAware: summarize(costAware, 'inTimeShare')},
	};
}

const describe = ({tail, inTime}: ReturnType<typeof compare>): string =>
	`99th percentile ${tail.today.mean.toFixed(1)} to ${tail.costAware.mean.toFixed(1)}`
	+ ` ms, in time ${inTime.today.mean.toFixed(4)} to ${inTime.costAware.mean.toFixed(4)}`;

// Guards against a choice that sends calls to slow or busy upstreams while others would answer sooner.
Object.entries(improvedScenarios).map(async ([name, scenario]) => test(`cost-aware placement is better: ${name}`, {timeout: timeoutMilliseconds}, async t => {
	const result = compare(scenario);
	t.ok(result.tail.costAware.mean < result.tail.today.mean, describe(result));
	t.ok(result.inTime.costAware.mean > result.inTime.today.mean, describe(result));
}));

// Guards against harm from reports that mislead, and where there is nothing to gain.
Object.entries(guardedScenarios).map(async ([name, scenario]) => test(`cost-aware placement is not worse: ${name}`, {timeout: timeoutMilliseconds}, async t => {
	const result = compare(scenario);
	t.ok(result.tail.costAware.mean <= result.tail.today.mean + result.tail.today.range, describe(result));
	t.ok(result.inTime.costAware.mean >= result.inTime.today.mean - result.inTime.today.range, describe(result));
}));
