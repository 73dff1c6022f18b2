/**
 * What the system says that a process has used: processor time, wake-ups, memory; and what its collector reports.
 *
 * @module
 */
import {readdirSync, readFileSync} from 'node:fs';

const ticksPerSecond = 100;
const bytesPerMegabyte = 1024 * 1024;

/** One line of `--trace-gc`: megabytes before and after, and the milliseconds that it took. */
const collectionLine = /: (?:Scavenge|Mark-Compact|Minor Mark-Sweep)[^:]*? (?<before>[\d.]+) \([\d.]+\) -> (?<after>[\d.]+) \([\d.]+\) MB, (?:pooled: [\d.]+ MB, )?(?<milliseconds>[\d.]+)/u;

/** Use of a process since its start. */
export type Usage = {
	readonly processorSeconds: number;
	/** Times that its threads waited and were woken. */
	readonly wakeUps: number;
	readonly residentMegabytes: number;
};

/** Use of all threads of a process. */
export function readUsage(pid: number): Usage {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	const threads = readdirSync(`/proc/${pid}/task`);
	return {
		processorSeconds: (Number(fields[11]) + Number(fields[12])) / ticksPerSecond,
		wakeUps: threads.reduce((sum, thread) => sum + readField(`/proc/${pid}/task/${thread}/status`, 'voluntary_ctxt_switches'), 0),
		residentMegabytes: readField(`/proc/${pid}/status`, 'VmRSS') / 1024,
	};
}

/** Bytes allocated and time spent between the first and the last collection that the lines tell of. */
export function readCollections(lines: readonly string[]): {readonly allocatedBytes: number; readonly milliseconds: number; readonly count: number} {
	const collections = lines.flatMap(line => {
		const groups = collectionLine.exec(line)?.groups;
		return groups === undefined ? [] : [{before: Number(groups.before), after: Number(groups.after), milliseconds: Number(groups.milliseconds)}];
	});
	const allocatedMegabytes = collections.slice(1).reduce((sum, {before}, index) => sum + before - collections[index]!.after, 0);
	return {
		allocatedBytes: allocatedMegabytes * bytesPerMegabyte,
		milliseconds: collections.reduce((sum, {milliseconds}) => sum + milliseconds, 0),
		count: collections.length,
	};
}

/** A thread may end between the two looks. */
function readField(file: string, name: string): number {
	try {
		return Number(new RegExp(String.raw`^${name}:\s+(\d+)`, 'mu').exec(readFileSync(file, 'utf8'))?.[1] ?? 0);
	} catch {
		return 0;
	}
}
