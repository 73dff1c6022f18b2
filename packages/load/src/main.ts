#!/usr/bin/env node
/**
 * Command line of the load tool.
 *
 * @module
 */
import process from 'node:process';
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';
import {ExitCode, runCommandLine, version} from '@laburnumspool/manifest';
import {cac} from 'cac';
import {readProfile} from './profile.js';
import {runProfile} from './runner.js';
import {formatSummary} from './table.js';

const cli = cac('laburnumspool-load');
cli.command('', 'Send open-loop load and print a summary of the results')
	.option('--profile <file>', 'Load profile in YAML')
	.option('--json', 'Print the summary as JSON instead of a table')
	.action(async (options: {readonly profile?: string; readonly json?: boolean}) => {
		if (typeof options.profile !== 'string') {
			throw new LaburnumspoolError(ErrorKind.Malformed, '--profile: expected the name of a file');
		}

		const {summary} = await runProfile(readProfile(options.profile));
		process.stdout.write(`${options.json === true ? JSON.stringify(summary, undefined, '\t') : formatSummary(summary)}\n`);
		return ExitCode.Success;
	});
cli.help();
cli.version(version);
await runCommandLine(cli, process.argv);
