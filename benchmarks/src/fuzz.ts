/**
 * Runs the fuzz targets with fresh seeds for the given time each. Prints one line per target, and the seed and the smallest
 * failing input of each failure. The exit code is 1 if a target fails.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {cac} from 'cac';
import fc from 'fast-check';
import {describeFailure, fuzzTargets} from './fuzz-targets.js';
import {hostileNodeTarget} from './hostile-inputs.js';

const runsPerSeed = 1000;
const firstSeed = Date.now() % 2_000_000_000;

const cli = cac('fuzz');
cli.option('--seconds <seconds>', 'Time for each target', {default: 10});
cli.option('--seed <seed>', 'First seed; by default a fresh one');
cli.option('--target <name>', 'Only the targets whose names begin so', {default: ''});
const {options} = cli.parse();

for (const {name, property} of [...fuzzTargets, hostileNodeTarget].filter(target => target.name.startsWith(String(options.target)))) {
	const until = performance.now() + (Number(options.seconds) * 1000);
	let seed = Number(options.seed ?? firstSeed);
	let runs = 0;
	let failure = '';
	while (performance.now() < until && failure === '') {
		const result = fc.check(property, {seed, numRuns: name === hostileNodeTarget.name ? 1 : runsPerSeed});
		runs += result.numRuns;
		failure = describeFailure(result);
		seed += 1;
	}

	process.stdout.write(`${name}: ${runs} inputs, ${failure === '' ? 'no failure' : failure}\n`);
	process.exitCode = failure === '' ? process.exitCode : 1;
}
