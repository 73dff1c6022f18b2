/**
 * The question that a command line asks.
 *
 * @module
 */
import {readFile} from 'node:fs/promises';
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';
import type {Question} from './ask.js';

const maximumKeyCharacters = 1024;

/** Options of the command as its parser reads them. */
export type Options = {
	readonly keyFile?: unknown;
	readonly keyStdin?: boolean;
	readonly timeLeft?: unknown;
	readonly bodyBytes?: unknown;
};

/**
 * Reads the question; rejects with `malformed` for an invalid option.
 *
 * @param parameters - command line, for texts that the parser would take for numbers
 * @param readInput - reads standard input
 * @example
 * await readQuestion('/orders/7', {timeLeft: 500}, ['--host', 'shop.example'], readInput);
 */
export async function readQuestion(path: string, options: Options, parameters: readonly string[], readInput: () => Promise<string>): Promise<Question> {
	if (!path.startsWith('/')) {
		throw new LaburnumspoolError(ErrorKind.Malformed, 'expected a path that begins with a slash');
	}

	return {
		method: textOption(parameters, '--method')?.toUpperCase(),
		host: textOption(parameters, '--host'),
		path,
		organisationKey: await readKey(options, textOption(parameters, '--key-file'), readInput),
		requestId: textOption(parameters, '--request-id'),
		idempotencyKey: textOption(parameters, '--idempotency-key'),
		traceparent: textOption(parameters, '--traceparent'),
		tracestate: textOption(parameters, '--tracestate'),
		timeLeftMilliseconds: numberOption('--time-left', options.timeLeft),
		bodyBytes: numberOption('--body-bytes', options.bodyBytes),
	};
}

/** Value of an option as it was written: the parser turns an id such as 0042 or 1e3 into a number. */
export function textOption(parameters: readonly string[], name: string): string | undefined {
	const position = parameters.findLastIndex(parameter => parameter === name || parameter.startsWith(`${name}=`));
	if (position === -1) {
		return undefined;
	}

	const value = parameters[position] === name ? parameters[position + 1] : parameters[position]!.slice(name.length + 1);
	if (value === undefined || value === '' || value.startsWith('--')) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `${name}: expected a value`);
	}

	return value;
}

function numberOption(name: string, value: unknown): number | undefined {
	if (value === undefined) {
		return undefined;
	}

	if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < 0) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `${name}: expected a whole number of at least 0, received ${JSON.stringify(value)}`);
	}

	return value;
}

/** Reads the key. No error contains it. */
async function readKey({keyStdin = false}: Options, file: string | undefined, readInput: () => Promise<string>): Promise<string | undefined> {
	if (!keyStdin && file === undefined) {
		return undefined;
	}

	if (keyStdin && file !== undefined) {
		throw new LaburnumspoolError(ErrorKind.Malformed, 'expected either --key-file or --key-stdin');
	}

	const text = file === undefined ? await readInput() : await readKeyFile(file);
	const key = text.replace(/\r?\n$/u, '');
	if (key === '' || key.length > maximumKeyCharacters) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `${file ?? 'standard input'}: expected a key of 1 to ${maximumKeyCharacters} characters`);
	}

	return key;
}

async function readKeyFile(file: string): Promise<string> {
	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `${file}: cannot be read`, {cause: error});
	}
}
