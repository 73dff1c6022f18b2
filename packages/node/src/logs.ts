/**
 * Logs: short sentences with a fixed prefix for each part, or JSON lines for programs.
 *
 * @module
 */
import process from 'node:process';
import winston from 'winston';
import {LineBudget} from './line-budget.js';

/** Parts of the node that log. */
export enum LogPart {
	Node = 'node',
	Peers = 'peers',
	Upstream = 'upstream',
	Control = 'control',
	Store = 'store',
	Calls = 'calls',
}

/** How lines are written. */
export enum LogFormat {
	Sentence = 'sentence',
	Json = 'json',
}

/** Values of one line beside its sentence. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

type Write = (sentence: string, fields?: LogFields) => void;

/** The log of one part. */
export type PartLog = {
	readonly error: Write;
	readonly warn: Write;
	readonly info: Write;
	readonly debug: Write;
};

/** Makes the logs of the parts. */
export type LogMaker = (part: LogPart) => PartLog;

/** Lines of one part and kind that are written in a second; what exceeds them is counted. */
const linesPerSecond = 20;

/**
 * Opens the log on standard output.
 *
 * @example
 * const log = openLog('info')(LogPart.Store);
 * log.warn('the store does not answer'); // 2026-01-01T00:00:00.000Z warn store: the store does not answer
 */
export function openLog(level: string, format = LogFormat.Sentence, node = ''): LogMaker {
	const logger = winston.createLogger({
		level,
		format: formats[format](node),
		// The console of the library would wait for a slow reader; the stream drops nothing and waits for nobody.
		transports: [new winston.transports.Stream({stream: process.stdout})],
	});
	const budget = new LineBudget(linesPerSecond);
	return part => {
		const write = (severity: string): Write => (sentence, fields = {}) => {
			const kind = `${part}/${severity}/${String(fields.event ?? '')}`;
			const grant = budget.take(kind, Date.now());
			if (grant.dropped > 0) {
				logger.log('warn', `${part}: lines were left out`, {part, kind, dropped: grant.dropped});
			}

			if (grant.isGranted) {
				logger.log(severity, `${part}: ${sentence}`, {part, ...fields});
			}
		};

		return {
			error: write('error'), warn: write('warn'), info: write('info'), debug: write('debug'),
		};
	};
}

const formats: Readonly<Record<LogFormat, (node: string) => winston.Logform.Format>> = {
	[LogFormat.Sentence]: () => winston.format.combine(
		winston.format.timestamp(),
		winston.format.printf(entry => `${String(entry.timestamp)} ${entry.level} ${String(entry.message)}`),
	),
	[LogFormat.Json]: node => winston.format.combine(
		winston.format(entry => ({...entry, node}))(),
		winston.format.timestamp(),
		winston.format.json(),
	),
};
