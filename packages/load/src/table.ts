/**
 * Formats tables and summaries as text.
 *
 * @module
 */
import {ResultType, type Summary} from './results.js';

/**
 * Formats rows as aligned columns: the first column to the left, all others to the right. All rows have the length of the first one.
 *
 * @example
 * formatTable([['kind', 'sent'], ['browse', '100']]);
 */
export function formatTable(rows: ReadonlyArray<readonly string[]>): string {
	const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]!.length)));
	return rows.map(row => row.map((cell, column) => column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)).join('  ')).join('\n');
}

/** Formats the summary of a run: a table by phase and kind, then goodput, recovery time and seed. */
export function formatSummary(summary: Summary): string {
	const header = ['phase', 'kind', 'sent', 'good/s', 'good %', 'late', 'not-run', 'unknown', 'failed', 'wrong', 'p50 ms', 'p99 ms', 'attempts'];
	const rows = summary.rows.map(row => [
		row.phase,
		row.kind,
		String(row.sent),
		row.goodPerSecond.toFixed(1),
		(row.goodShare * 100).toFixed(1),
		...[ResultType.Late, ResultType.NotRun, ResultType.Unknown, ResultType.Failed, ResultType.Wrong].map(type => String(row.counts[type])),
		row.medianMilliseconds.toFixed(1),
		row.p99Milliseconds.toFixed(1),
		String(row.maximumAttempts),
	]);
	const goodput = Object.entries(summary.goodput).map(([phase, value]) => `${phase} ${value.toFixed(1)}/s`).join(', ');
	const recovery = summary.recoveryMilliseconds === undefined ? 'not seen' : `${summary.recoveryMilliseconds} ms`;
	return `${formatTable([header, ...rows])}\n\ngoodput of counted requests: ${goodput}\nrecovery time after the trigger's end: ${recovery}\nseed: ${summary.seed}`;
}
