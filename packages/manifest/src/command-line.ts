/**
 * Shared parts of the command lines of all binaries: exit codes and error output.
 *
 * @module
 */
import process from 'node:process';
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';
import type {CAC} from 'cac';

/** Exit codes of all binaries; only the manifest command uses `Conflict` and `Unknown`. */
export enum ExitCode {
	Success = 0,
	Failure = 1,
	/** Invalid arguments or an invalid file. */
	BadUsage = 2,
	/** Another revision of the manifest was accepted first. */
	Conflict = 3,
	/** It is not known whether the manifest was accepted. */
	Unknown = 4,
}

const invalidInputKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.InvalidManifest, ErrorKind.InvalidSettings, ErrorKind.Malformed]);

/** Version of all binaries. */
export const version = '0.1.0';

/**
 * Parses the arguments, runs the command and sets the exit code of the process. An error is written to standard error.
 *
 * @example
 * await runCommandLine(cli, process.argv);
 */
export async function runCommandLine(cli: CAC, argv: string[]): Promise<void> {
	try {
		cli.parse(argv, {run: false});
		const isHelpOrVersion = cli.options.help === true || cli.options.version === true;
		if (isHelpOrVersion) {
			return;
		}

		if (cli.matchedCommand === undefined) {
			throw new LaburnumspoolError(ErrorKind.Malformed, cli.args.length === 0 ? 'No command was given; see --help' : `Unknown command ${cli.args[0]}; see --help`);
		}

		const code: unknown = await cli.runMatchedCommand();
		process.exitCode = typeof code === 'number' ? code : ExitCode.Success;
	} catch (error) {
		process.stderr.write(`${cli.name}: ${error instanceof Error ? error.message : String(error)}\n`);
		process.exitCode = exitCodeOf(error);
	}
}

function exitCodeOf(error: unknown): ExitCode {
	const isUsageError = error instanceof Error && error.name === 'CACError';
	const isInvalidInput = error instanceof LaburnumspoolError && invalidInputKinds.has(error.kind);
	return isUsageError || isInvalidInput ? ExitCode.BadUsage : ExitCode.Failure;
}
