/**
 * Starts and ends the processes of a demonstration.
 *
 * @module
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as delay} from 'node:timers/promises';

const stopMilliseconds = 10_000;
const printMilliseconds = 60_000;

/** Processes that end with this one, also when it fails. */
const running = new Set<ChildProcess>();

process.once('exit', () => {
	[...running].map(child => child.kill('SIGKILL'));
});

/** A started process. */
export type Started = {
	readonly name: string;
	readonly child: ChildProcess;
	/** Lines of standard output so far. */
	readonly lines: string[];
	/** Resolves with the first line that contains the text. */
	readonly whenPrinted: (text: string) => Promise<string>;
};

/**
 * Starts a Node.js program.
 *
 * @example
 * const store = startProcess('store', ['standins/store/dist/main.js', '--port', '2400']);
 * await store.whenPrinted('ready');
 */
export function startProcess(name: string, parameters: readonly string[]): Started {
	const child = spawn(process.execPath, parameters, {stdio: ['ignore', 'pipe', 'inherit'], env: environment()});
	const lines: string[] = [];
	running.add(child);
	child.once('exit', () => {
		running.delete(child);
	});
	const waiting = new Set<{text: string; resolve: (line: string) => void; reject: (error: Error) => void}>();
	createInterface({input: child.stdout}).on('line', line => {
		lines.push(line);
		[...waiting].filter(entry => line.includes(entry.text)).map(entry => {
			waiting.delete(entry);
			entry.resolve(line);
			return entry;
		});
	});
	child.once('exit', code => {
		[...waiting].map(entry => {
			entry.reject(new Error(`${name} ended with ${code} before it printed ${entry.text}: ${lines.slice(-3).join(' | ')}`));
			return entry;
		});
	});
	const whenPrinted = async (text: string): Promise<string> => {
		const printed = lines.find(line => line.includes(text));
		if (printed !== undefined) {
			return printed;
		}

		const late = delay(printMilliseconds, undefined, {ref: false}).then(() => {
			throw new Error(`${name} did not print ${text} in time: ${lines.slice(-3).join(' | ')}`);
		});
		return Promise.race([late, new Promise<string>((resolve, reject) => {
			waiting.add({text, resolve, reject});
		})]);
	};

	return {
		name, child, lines, whenPrinted,
	};
}

/** The environment without what a test runner puts into it to follow its own processes. */
function environment(): NodeJS.ProcessEnv {
	return Object.fromEntries(Object.entries(process.env).filter(([name]) => !name.startsWith('_TAPJS') && !name.startsWith('TAP') && name !== 'NODE_OPTIONS'));
}

/** Ends a process: first by SIGTERM, after a while by SIGKILL. Resolves with its exit code. */
export async function stopProcess(started: Started, signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
	const {child} = started;
	if (child.exitCode !== null || child.signalCode !== null) {
		return child.exitCode;
	}

	const exited = once(child, 'exit');
	child.kill(signal);
	const timer = setTimeout(() => {
		child.kill('SIGKILL');
	}, stopMilliseconds);
	const [code] = await exited as [number | null];
	clearTimeout(timer);
	return code;
}

/** Runs a program to its end. */
export async function runToEnd(name: string, parameters: readonly string[]): Promise<{code: number | null; lines: string[]}> {
	const started = startProcess(name, parameters);
	const [code] = await once(started.child, 'close') as [number | null];
	return {code, lines: started.lines};
}
