/**
 * The command line of the node.
 *
 * @module
 */
import process from 'node:process';
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';
import {ExitCode, runCommandLine, version} from '@laburnumspool/manifest';
import {cac} from 'cac';
import {ownDeployment, startDaemon, type Deployment} from './daemon.js';
import {LogPart, openLog} from './logs.js';
import {settingsLookMilliseconds, SettingsWatch} from './settings-watch.js';
import {readSettings} from './settings.js';

type Options = {readonly settings?: string; readonly check?: boolean};

/**
 * Runs the node's command line.
 *
 * @example
 * await runNode(process.argv);
 */
export async function runNode(parameters: readonly string[], deployment = ownDeployment): Promise<void> {
	// A reader of the log that goes away must not take the node with it.
	process.stdout.on('error', () => undefined);
	const cli = cac('laburnumspool-node');
	cli.command('', 'Run the node beside an upstream')
		.option('--settings <file>', 'Settings in YAML')
		.option('--check', 'Only check the settings')
		.action(async (options: Options) => run(options, deployment));
	cli.help();
	cli.version(version);
	await runCommandLine(cli, [...parameters]);
}

async function run(options: Options, deployment: Deployment): Promise<ExitCode> {
	if (typeof options.settings !== 'string') {
		throw new LaburnumspoolError(ErrorKind.Malformed, '--settings: expected the name of a file');
	}

	const settings = readSettings(options.settings);
	if (options.check === true) {
		process.stdout.write(`${options.settings}: the settings of ${settings.name} are valid\n`);
		return ExitCode.Done;
	}

	const openPartLog = openLog(settings.logLevel, settings.logFormat, settings.name);
	const log = openPartLog(LogPart.Node);
	const daemon = await startDaemon(settings, openPartLog, deployment);
	const watch = new SettingsWatch(options.settings, settings, log);
	setInterval(() => {
		watch.look();
	}, settingsLookMilliseconds);
	process.on('SIGHUP', () => {
		watch.readAgain();
	});
	const superseded = daemon.mustStop.then(reason => {
		log.error(`stops: ${reason}`);
		return undefined;
	});
	const whenReady = daemon.whenReady().then(() => {
		log.info(`ready for callers at ${settings.host}:${settings.ports.callers}`);
	});
	const signal = await Promise.race([whenStopped(), superseded]);
	void whenReady;
	if (signal === undefined) {
		endWith(ExitCode.Failed);
	}

	log.info(`leaves after ${signal}`);
	const isFinished = await daemon.stop();
	log.info(isFinished ? 'has left with nothing in flight' : 'has left with calls in flight: the bound on the stop was reached');
	endWith(isFinished ? ExitCode.Done : ExitCode.Failed);
}

/** Sockets that others keep open must not keep the process. */
function endWith(code: ExitCode): never {
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
}

async function whenStopped(): Promise<string> {
	return new Promise(resolve => {
		process.once('SIGTERM', () => {
			resolve('SIGTERM');
		});
		process.once('SIGINT', () => {
			resolve('SIGINT');
		});
	});
}
