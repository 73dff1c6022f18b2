/**
 * Counts the system calls of running processes with `strace`.
 *
 * @module
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';

/** A line of the table: share of time, seconds, microseconds per call, count, errors if any, name. */
const straceTableLine = /^\s*[\d.]+\s+[\d.]+\s+\d+\s+(?<count>\d+)\s+(?:\d+\s+)?(?<name>\w+)$/gmu;

/** A running count. */
export type SystemCallCount = {
	/** Ends the count; resolves with counts by name, `total` last. */
	readonly end: () => Promise<ReadonlyMap<string, number>>;
};

/**
 * Starts to count the system calls of all threads of the processes; resolves when `strace` is attached.
 *
 * @example
 * const count = await countSystemCalls([pid]);
 * (await count.end()).get('epoll_wait');
 */
export async function countSystemCalls(pids: readonly number[]): Promise<SystemCallCount> {
	const child = spawn('strace', ['-c', '-f', ...pids.flatMap(pid => ['-p', String(pid)])], {stdio: ['ignore', 'ignore', 'pipe']});
	const lines: string[] = [];
	child.stderr.on('data', (chunk: unknown) => {
		lines.push(String(chunk));
	});
	await once(child.stderr, 'data');
	return {
		async end() {
			const closed = once(child, 'close');
			child.kill('SIGINT');
			await closed;
			return new Map([...lines.join('').matchAll(straceTableLine)].map(({groups}) => [groups!.name!, Number(groups!.count)]));
		},
	};
}
