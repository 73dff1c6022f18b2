/**
 * Runs soaks with one seed after another.
 *
 * @module
 */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {ExitCode, runCommandLine, version} from '@laburnumspool/manifest';
import {cac} from 'cac';
import {runSoak} from './soak.js';

type Options = {readonly seed: number; readonly seeds: number; readonly seconds: number; readonly instances: number; readonly keep?: string};

const cli = cac('run-soak');
cli.command('', 'Run soaks of real processes and print what was broken')
	.option('--seed <number>', 'First seed', {default: 1})
	.option('--seeds <number>', 'Number of seeds', {default: 1})
	.option('--seconds <number>', 'Seconds of load', {default: 15})
	.option('--instances <number>', 'Instances of each service', {default: 3})
	.option('--keep <folder>', 'Folder for what callers saw and nodes logged where something was broken')
	.action(async (options: Options) => {
		const seeds = Array.from({length: options.seeds}, (_, index) => Number(options.seed) + index);
		const broken = await runAll(seeds, options);
		return broken === 0 ? ExitCode.Done : ExitCode.Failed;
	});
cli.help();
cli.version(version);
await runCommandLine(cli, process.argv);

/** Resolves with the number of seeds that broke something. */
async function runAll(seeds: readonly number[], options: Options): Promise<number> {
	const [seed, ...others] = seeds;
	if (seed === undefined) {
		return 0;
	}

	const report = await runSoak({seed, seconds: options.seconds, instancesPerService: options.instances});
	const {disruptions, sent, answers, megabytes, violations} = report;
	if (options.keep !== undefined && violations.length > 0) {
		writeFileSync(join(options.keep, `seed-${seed}.json`), JSON.stringify(report, undefined, '\t'));
	}

	const counts = Object.entries(answers).map(([name, count]) => `${name} ${count}`).join(', ');
	process.stdout.write(`seed ${seed}: ${disruptions.length} disruptions, ${sent} requests (${counts}), ${Math.round(megabytes)} MB, ${violations.length} violations\n${violations.map(({check, text}) => `\t${check}: ${text}\n`).join('')}`);
	return await runAll(others, options) + (violations.length > 0 ? 1 : 0);
}
