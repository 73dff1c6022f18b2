/**
 * The command line of the node.
 *
 * @module
 */
import process from 'node:process';
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';
import {ExitCode, runCommandLine, version} from '@laburnumspool/manifest';
import {cac} from 'cac';
import {defaultDeployment, startDaemon, type Deployment} from './daemon.js';
import {LogPart, createLoggerFactory, type Logger} from './logs.js';
import {settingsPollMilliseconds, SettingsWatch} from './settings-watch.js';
import {readSettings} from './settings.js';

type Options = {readonly settings?: string; readonly check?: boolean};

/**
 * Runs the node's command line; a started node runs until a signal or a reason to stop ends the process.
 *
 * @example
 * await runNode(process.argv);
 */
export async function runNode(parameters: readonly string[], deployment = defaultDeployment): Promise<void> {
	// The node keeps running when the reader of its log closes the pipe.
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
		return ExitCode.Success;
	}

	const openLogger = createLoggerFactory(settings.logLevel, settings.logFormat, settings.name);
	const log = openLogger(LogPart.Node);
	const settingsWatch = new SettingsWatch(options.settings, settings, log);
	// Without a handler a signal ends the process, also while the daemon starts.
	process.on('SIGHUP', () => {
		settingsWatch.recheck();
	});
	const stopSignal = receiveStopSignal(log);
	const daemon = await startDaemon(settings, openLogger, deployment);
	setInterval(() => {
		settingsWatch.poll();
	}, settingsPollMilliseconds);
	const superseded = daemon.stopReason.then(reason => {
		log.error(`stops: ${reason}`);
		return undefined;
	});
	const whenReady = daemon.whenReady().then(() => {
		log.info(`ready for callers at ${settings.host}:${settings.ports.callers}`);
	});
	const signal = await Promise.race([stopSignal, superseded]);
	void whenReady;
	if (signal === undefined) {
		exitWith(ExitCode.Failure);
	}

	log.info(`drains and stops after ${signal}`);
	const isFinished = await daemon.stop();
	log.info(isFinished ? 'stopped with nothing in flight' : 'stopped with calls in flight: the time limit of the stop was reached');
	exitWith(isFinished ? ExitCode.Success : ExitCode.Failure);
}

/** Ends the process even if open sockets would keep it alive. */
function exitWith(code: ExitCode): never {
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
}

/** Resolves with the first stop signal. Later ones have no effect, so that they do not cut off the work that the stop awaits. */
async function receiveStopSignal(log: Logger): Promise<string> {
	return new Promise(resolve => {
		let isStopping = false;
		['SIGTERM', 'SIGINT'].map(signal => process.on(signal, () => {
			if (isStopping) {
				log.info(`ignores ${signal}: the node is already stopping`);
			}

			isStopping = true;
			resolve(signal);
		}));
	});
}
