/**
 * Starts and stops child processes.
 *
 * @module
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as delay} from 'node:timers/promises';

const stopTimeoutMilliseconds = 10_000;
const printTimeoutMilliseconds = 60_000;

/** Processes that are killed when this one exits. */
const runningProcesses = new Set<ChildProcess>();

process.once('exit', () => {
	[...runningProcesses].map(child => child.kill('SIGKILL'));
});

export type Started = {
	readonly name: string;
	readonly child: ChildProcess;
	/** Lines that the process has printed to standard output so far. */
	readonly lines: string[];
	/** Resolves to the first line that contains the text; rejects when the process exits first or after a minute. */
	readonly whenPrinted: (text: string) => Promise<string>;
};

/**
 * Starts a Node.js program. Its standard error is passed through.
 *
 * @example
 * const store = startProcess('store', ['standins/store/dist/main.js', '--port', '2400']);
 * await store.whenPrinted('ready');
 */
export function startProcess(name: string, parameters: readonly string[]): Started {
	const child = spawn(process.execPath, parameters, {stdio: ['ignore', 'pipe', 'inherit'], env: childEnvironment()});
	const lines: string[] = [];
	runningProcesses.add(child);
	child.once('exit', () => {
		runningProcesses.delete(child);
	});
	const waiting = new Set<{text: string; resolve: (line: string) => void; reject: (error: Error) => void}>();
	createInterface({input: child.stdout}).on('line', line => {
		lines.push(line);
		[...waiting].filter(waiter => line.includes(waiter.text)).map(waiter => {
			waiting.delete(waiter);
			waiter.resolve(line);
			return waiter;
		});
	});
	child.once('exit', code => {
		[...waiting].map(waiter => {
			waiter.reject(new Error(`${name} exited with code ${code} before it printed "${waiter.text}": ${lines.slice(-3).join(' | ')}`));
			return waiter;
		});
	});
	const whenPrinted = async (text: string): Promise<string> => {
		const printed = lines.find(line => line.includes(text));
		if (printed !== undefined) {
			return printed;
		}

		const timedOut = delay(printTimeoutMilliseconds, undefined, {ref: false}).then(() => {
			throw new Error(`${name} did not print "${text}" within ${printTimeoutMilliseconds} ms: ${lines.slice(-3).join(' | ')}`);
		});
		return Promise.race([timedOut, new Promise<string>((resolve, reject) => {
			waiting.add({text, resolve, reject});
		})]);
	};

	return {
		name, child, lines, whenPrinted,
	};
}

/** Returns the environment without the variables that the test runner sets to trace its child processes. */
function childEnvironment(): NodeJS.ProcessEnv {
	return Object.fromEntries(Object.entries(process.env).filter(([name]) => !name.startsWith('_TAPJS') && !name.startsWith('TAP') && name !== 'NODE_OPTIONS'));
}

/** Sends the signal, and SIGKILL after 10 seconds. Resolves to the exit code; null when a signal ended the process. */
export async function stopProcess(started: Started, signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
	const {child} = started;
	if (child.exitCode !== null || child.signalCode !== null) {
		return child.exitCode;
	}

	const exited = once(child, 'exit');
	child.kill(signal);
	const timer = setTimeout(() => {
		child.kill('SIGKILL');
	}, stopTimeoutMilliseconds);
	const [code] = await exited as [number | null];
	clearTimeout(timer);
	return code;
}

/** Runs a program; resolves to its exit code and output when it has ended. */
export async function runToEnd(name: string, parameters: readonly string[]): Promise<{code: number | null; lines: string[]}> {
	const started = startProcess(name, parameters);
	const [code] = await once(started.child, 'close') as [number | null];
	return {code, lines: started.lines};
}
