/**
 * Counts of system calls of running processes, by `strace`.
 *
 * @module
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';

/** A line of the table: share of time, seconds, microseconds for each, count, errors if any, name. */
const tableLine = /^\s*[\d.]+\s+[\d.]+\s+\d+\s+(?<count>\d+)\s+(?:\d+\s+)?(?<name>\w+)$/gmu;

/** Counting that has begun. */
export type SystemCallCount = {
	/** Ends it; resolves with counts by name, `total` last. */
	readonly end: () => Promise<ReadonlyMap<string, number>>;
};

/**
 * Begins to count the calls of all threads of processes; resolves when it is attached.
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
			return new Map([...lines.join('').matchAll(tableLine)].map(({groups}) => [groups!.name!, Number(groups!.count)]));
		},
	};
}
