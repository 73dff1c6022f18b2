/**
 * Logs on standard output: lines of text with the part of the node as prefix, or JSON lines.
 *
 * @module
 */
import process from 'node:process';
import winston from 'winston';
import {LineBudget} from './line-budget.js';

/** Parts of the node that log. */
export enum LogPart {
	Node = 'node',
	Callers = 'callers',
	Peers = 'peers',
	Upstream = 'upstream',
	Control = 'control',
	Store = 'store',
	Calls = 'calls',
}

/** Format of log lines. */
export enum LogFormat {
	/** Time, level, part and message as text, without fields. */
	Sentence = 'sentence',
	Json = 'json',
}

/** Fields of one line beside its message; only JSON lines show them. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

type WriteLine = (message: string, fields?: LogFields) => void;

/** The log of one part of the node. */
export type Logger = {
	readonly error: WriteLine;
	readonly warn: WriteLine;
	readonly info: WriteLine;
	readonly debug: WriteLine;
};

/** Opens the log of one part of the node. */
export type LoggerFactory = (part: LogPart) => Logger;

/** Limit for lines of one kind, that is of the same part, level and event. Further lines are dropped and counted. */
const linesPerSecondAndKind = 20;

/**
 * Creates the logs on standard output. `level` is the lowest level that is written; `node` is a field of each JSON line.
 *
 * @example
 * const log = createLoggerFactory('info')(LogPart.Store);
 * log.warn('the store is unavailable'); // 2026-01-01T00:00:00.000Z warn store: the store is unavailable
 */
export function createLoggerFactory(level: string, format = LogFormat.Sentence, node = ''): LoggerFactory {
	const winstonLogger = winston.createLogger({
		level,
		format: formats[format](node),
		// The library's console transport blocks on a slow reader; the stream neither blocks nor drops lines.
		transports: [new winston.transports.Stream({stream: process.stdout})],
	});
	const budget = new LineBudget(linesPerSecondAndKind);
	return part => {
		const write = (severity: string): WriteLine => (message, fields = {}) => {
			const kind = `${part}/${severity}/${String(fields.event ?? '')}`;
			const decision = budget.request(kind, Date.now());
			if (decision.dropped > 0) {
				winstonLogger.log('warn', `${part}: log lines were dropped`, {part, kind, dropped: decision.dropped});
			}

			if (decision.isAllowed) {
				winstonLogger.log(severity, `${part}: ${message}`, {part, ...fields});
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
