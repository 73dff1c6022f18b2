/**
 * Reads the processor time, wake-ups and memory of a process from `/proc`, and the output of `--trace-gc`.
 *
 * @module
 */
import {readdirSync, readFileSync} from 'node:fs';

const ticksPerSecond = 100;
const bytesPerMegabyte = 1024 * 1024;

/** One line of `--trace-gc`: megabytes before and after the collection, and its duration in milliseconds. */
const garbageCollectionLine = /: (?:Scavenge|Mark-Compact|Minor Mark-Sweep)[^:]*? (?<before>[\d.]+) \([\d.]+\) -> (?<after>[\d.]+) \([\d.]+\) MB, (?:pooled: [\d.]+ MB, )?(?<milliseconds>[\d.]+)/u;

/** Resources that a process used since its start, and its present memory. */
export type Usage = {
	readonly processorSeconds: number;
	/** Voluntary context switches of its threads. */
	readonly wakeUps: number;
	readonly residentMegabytes: number;
};

/** Reads the usage of a process over all its threads; throws when the process does not exist. */
export function readUsage(pid: number): Usage {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	const threads = readdirSync(`/proc/${pid}/task`);
	return {
		processorSeconds: (Number(fields[11]) + Number(fields[12])) / ticksPerSecond,
		wakeUps: threads.reduce((sum, thread) => sum + readField(`/proc/${pid}/task/${thread}/status`, 'voluntary_ctxt_switches'), 0),
		residentMegabytes: readField(`/proc/${pid}/status`, 'VmRSS') / 1024,
	};
}

/** Largest resident memory of a process since its start, in megabytes (VmHWM). */
export function readPeakMegabytes(pid: number): number {
	return readField(`/proc/${pid}/status`, 'VmHWM') / 1024;
}

/** Bytes allocated between the first and the last garbage collection in the lines, and the time that all of them took. */
export function readCollections(lines: readonly string[]): {readonly allocatedBytes: number; readonly milliseconds: number; readonly count: number} {
	const collections = lines.flatMap(line => {
		const groups = garbageCollectionLine.exec(line)?.groups;
		return groups === undefined ? [] : [{before: Number(groups.before), after: Number(groups.after), milliseconds: Number(groups.milliseconds)}];
	});
	const allocatedMegabytes = collections.slice(1).reduce((sum, {before}, index) => sum + before - collections[index]!.after, 0);
	return {
		allocatedBytes: allocatedMegabytes * bytesPerMegabyte,
		milliseconds: collections.reduce((sum, {milliseconds}) => sum + milliseconds, 0),
		count: collections.length,
	};
}

/** 0 when the file is gone: a thread may end after the threads were listed. */
function readField(file: string, name: string): number {
	try {
		return Number(new RegExp(String.raw`^${name}:\s+(\d+)`, 'mu').exec(readFileSync(file, 'utf8'))?.[1] ?? 0);
	} catch {
		return 0;
	}
}
