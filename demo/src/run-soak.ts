/**
 * Command that runs soaks, one seed after the other.
 *
 * @module
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {ExitCode, runCommandLine, version} from '@laburnumspool/manifest';
import {cac} from 'cac';
import {runSoak, type SoakReport} from './soak.js';

type Options = {readonly seed: number; readonly seeds: number; readonly seconds: number; readonly instances: number; readonly organisations?: boolean; readonly incompleteBodies?: boolean; readonly keep?: string};

const cli = cac('run-soak');
cli.command('', 'Run soaks of real processes and print the violations')
	.option('--seed <number>', 'First seed', {default: 1})
	.option('--seeds <number>', 'Number of seeds', {default: 1})
	.option('--seconds <number>', 'Seconds of load', {default: 15})
	.option('--instances <number>', 'Instances of each service', {default: 3})
	.option('--organisations', 'Use a manifest with organisations, whose keys callers send, in place of one with idempotency keys')
	.option('--incomplete-bodies', 'Send bodies that stop short of their end or arrive in very small chunks beside the other requests')
	.option('--keep <folder>', 'Folder for the reports of seeds with violations')
	.action(async (options: Options) => {
		const seeds = Array.from({length: options.seeds}, (_, index) => Number(options.seed) + index);
		const failed = await runAll(seeds, options);
		return failed === 0 ? ExitCode.Success : ExitCode.Failure;
	});
cli.help();
cli.version(version);
await runCommandLine(cli, process.argv);

/** Resolves to the number of seeds with violations or an error. */
async function runAll(seeds: readonly number[], options: Options): Promise<number> {
	const [seed, ...others] = seeds;
	if (seed === undefined) {
		return 0;
	}

	const isClean = await runOne(seed, options);
	return await runAll(others, options) + (isClean ? 0 : 1);
}

async function runOne(seed: number, {seconds, instances, organisations, incompleteBodies, keep}: Options): Promise<boolean> {
	try {
		const report = await runSoak({
			seed, seconds, instancesPerService: instances, hasOrganisations: organisations === true, hasIncompleteBodies: incompleteBodies === true,
		});
		const isClean = report.violations.length === 0;
		if (keep !== undefined && !isClean) {
			mkdirSync(keep, {recursive: true});
			writeFileSync(join(keep, `seed-${seed}.json`), JSON.stringify(report, undefined, '\t'));
		}

		process.stdout.write(`seed ${seed}: ${describe(report)}`);
		return isClean;
	} catch (error) {
		process.stdout.write(`seed ${seed}: the soak failed: ${error instanceof Error ? error.message : String(error)}\n`);
		return false;
	}
}

function describe({disruptions, sent, answers, identifiedAnswers, megabytes, violations}: SoakReport): string {
	const counts = Object.entries({...answers, ...identifiedAnswers}).map(([name, count]) => `${name} ${count}`).join(', ');
	const failed = violations.map(({check, text}) => `\t${check}: ${text}\n`).join('');
	return `${disruptions.length} disruptions, ${sent} requests (${counts}), ${Math.round(megabytes)} MB, ${violations.length} violations\n${failed}`;
}
