/**
 * Explores many schedules of the at-most-once state machines. Prints up to three schedules that violate an invariant,
 * and the total counts as one line of JSON. The exit code is 1 if a schedule without an injected mistake violates one.
 *
 * @module
 */
import process from 'node:process';
import {cac} from 'cac';
import {exploreSchedule} from './at-most-once-explorer.js';
import {InjectedMistake} from './injected-mistakes.js';

const cli = cac('explore-once');
cli.option('--seed <seed>', 'First seed', {default: 1});
cli.option('--schedules <count>', 'Number of schedules', {default: 1000});
cli.option('--mistake <mistake>', 'Mistake to inject', {default: InjectedMistake.None});
const {options} = cli.parse();
const first = Number(options.seed);
const count = Number(options.schedules);
const mistake = Object.values(InjectedMistake).find(value => value === options.mistake) ?? InjectedMistake.None;
const totals = {
	dispatches: 0, takeovers: 0, adoptions: 0, handovers: 0, confirmedRefusals: 0, broken: 0,
};
for (let seed = first; seed < first + count; seed += 1) {
	const result = exploreSchedule(seed, mistake);
	totals.dispatches += result.dispatches;
	totals.takeovers += result.takeovers;
	totals.adoptions += result.adoptions;
	totals.handovers += result.handovers;
	totals.confirmedRefusals += result.confirmedRefusals;
	if (result.violations.length > 0) {
		totals.broken += 1;
		if (totals.broken <= 3) {
			process.stdout.write(`seed ${seed}: ${result.violations.slice(0, 3).join('; ')}\n`);
		}
	}
}

process.stdout.write(`${JSON.stringify({
	first, schedules: count, mistake, ...totals,
})}\n`);
process.exitCode = totals.broken === 0 || mistake !== InjectedMistake.None ? 0 : 1;
