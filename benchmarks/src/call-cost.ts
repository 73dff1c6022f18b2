/**
 * Measures the cost of a call in freshly started nodes: processor time, wake-ups, allocated bytes and memory, compared
 * with bare hops in the same run. The arms alternate, so that other load on the machine affects all of them.
 *
 * @module
 */
import {spawn, spawnSync} from 'node:child_process';
import {once} from 'node:events';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {formatTable} from '@laburnumspool/load';
import {cac} from 'cac';
import {Agent} from 'undici';
import {startCostSystem, type Arm, type CostSystem} from './call-cost-system.js';
import {readCollections, readUsage, type Usage} from './process-usage.js';
import {countSystemCalls} from './system-calls.js';

const defaultNodeProgram = join(fileURLToPath(new URL('../../', import.meta.url)), 'packages/node/dist/main.js');
const settleMilliseconds = 2000;

/** Load before system calls are counted, so that links are open; then a pause in which idle connections are closed. */
const warmUpSeconds = 2;
const connectionCloseMilliseconds = 6000;
const countedSystemCalls = ['epoll_pwait', 'epoll_wait', 'epoll_ctl', 'read', 'write', 'writev', 'futex', 'madvise', 'total'];
const hardwareCounters = 'instructions,cycles,cache-misses';

/** Measurements of one arm in one round, by column name. */
type Metrics = Readonly<Record<string, number>>;

type Options = {readonly nodes: number; readonly rate: number; readonly seconds: number; readonly idleSeconds: number; readonly profile?: string};

/** Sends `rate` calls per second to the nodes in turn. Each node also serves as many calls of its neighbours. */
async function generateLoad({targets}: CostSystem, rate: number, seconds: number): Promise<{answered: number; failed: number}> {
	const agent = new Agent({connections: 32, pipelining: 1});
	const counts = {answered: 0, failed: 0};
	const open = new Set<Promise<void>>();
	const send = async (number: number): Promise<void> => {
		const {origin, path} = targets[number % targets.length]!;
		const answer = await agent.request({
			origin, path, method: 'GET', headers: {'x-request-id': `r-${number}`, accept: 'application/json', 'user-agent': 'call-cost'},
		});
		await answer.body.dump();
		counts[answer.statusCode === 200 ? 'answered' : 'failed'] += 1;
	};

	const startedAt = performance.now();
	for (let number = 0; number < rate * seconds; number += 1) {
		const due = startedAt + (number * 1000 / rate);
		if (due > performance.now()) {
			await delay(due - performance.now()); // eslint-disable-line no-await-in-loop
		}

		const call = send(number).catch(() => {
			counts.failed += 1;
		});
		open.add(call);
		void call.then(() => open.delete(call));
	}

	await Promise.all(open);
	await agent.destroy();
	return counts;
}

function sumUsage(system: CostSystem): Usage {
	return system.nodes.map(node => readUsage(node.child.pid!)).reduce((sum, usage) => ({
		processorSeconds: sum.processorSeconds + usage.processorSeconds,
		wakeUps: sum.wakeUps + usage.wakeUps,
		residentMegabytes: sum.residentMegabytes + usage.residentMegabytes,
	}));
}

async function measure(arm: Arm, {
	nodes, rate, seconds, idleSeconds, profile,
}: Options): Promise<Metrics> {
	const runtimeOptions = ['--trace-gc', ...(profile === undefined ? [] : ['--cpu-prof', '--cpu-prof-dir', join(profile, arm.name)])];
	const system = await startCostSystem(arm, nodes, runtimeOptions, profile === undefined ? 'SIGKILL' : 'SIGTERM');
	try {
		const started = sumUsage(system);
		await delay(settleMilliseconds);
		const settled = sumUsage(system);
		await delay(idleSeconds * 1000);
		const before = sumUsage(system);
		const linesBefore = system.nodes.map(node => node.lines.length);
		const {answered, failed} = await generateLoad(system, rate * nodes / 2, seconds);
		const after = sumUsage(system);
		const collections = system.nodes.map((node, index) => readCollections(node.lines.slice(linesBefore[index])));
		const sumOf = (pick: (collection: ReturnType<typeof readCollections>) => number): number => collections.reduce((sum, collection) => sum + pick(collection), 0);
		const nodeIdleSeconds = nodes * idleSeconds;
		return {
			'start s': started.processorSeconds / nodes,
			'rest ms/s': (before.processorSeconds - settled.processorSeconds) * 1000 / nodeIdleSeconds,
			'rest wakes/s': (before.wakeUps - settled.wakeUps) / nodeIdleSeconds,
			'cpu ms': (after.processorSeconds - before.processorSeconds) * 1000 / answered,
			wakes: (after.wakeUps - before.wakeUps) / answered,
			'kB made': sumOf(({allocatedBytes}) => allocatedBytes) / 1024 / answered,
			'gc ms': sumOf(({milliseconds}) => milliseconds) / answered,
			MB: after.residentMegabytes / nodes,
			answered,
			failed,
		};
	} finally {
		await system.stop();
	}
}

/** System calls per call, less those of an equally long time without load: of the most frequent names and in total. */
async function measureSystemCalls(arm: Arm, {nodes, rate, seconds}: Options): Promise<Metrics> {
	const system = await startCostSystem(arm, nodes, [], 'SIGKILL');
	try {
		await generateLoad(system, rate * nodes / 2, warmUpSeconds);
		await delay(connectionCloseMilliseconds);
		const pids = system.nodes.map(node => node.child.pid!);
		const idleCount = await countSystemCalls(pids);
		await delay(seconds * 1000);
		const idleCounts = await idleCount.end();
		const loadCount = await countSystemCalls(pids);
		const {answered, failed} = await generateLoad(system, rate * nodes / 2, seconds);
		const counts = await loadCount.end();
		const perCall = (name: string): number => ((counts.get(name) ?? 0) - (idleCounts.get(name) ?? 0)) / answered;
		return {
			...Object.fromEntries(countedSystemCalls.map(name => [name, perCall(name)])), 'total at rest/s': (idleCounts.get('total') ?? 0) / seconds / nodes, answered, failed,
		};
	} finally {
		await system.stop();
	}
}

/** Reports whether the machine gives access to hardware counters; without them, only processor time is measured. */
async function describeHardwareCounters(): Promise<string> {
	const child = spawn('perf', ['stat', '-x', ',', '-e', hardwareCounters, 'true'], {stdio: ['ignore', 'ignore', 'pipe']});
	let text = '';
	child.stderr.on('data', (chunk: unknown) => {
		text += String(chunk);
	});
	const hasEnded = await Promise.race([once(child, 'close').then(() => true), once(child, 'error').then(() => false)]);
	return hasEnded && !text.includes('not supported') && !text.includes('not counted')
		? `hardware counters: perf stat -e ${hardwareCounters} works here`
		: `hardware counters (${hardwareCounters}): absent on this machine; processor time only`;
}

/** Binds this process, and with it the processes that it starts, to the given cores. */
function bindToCores(core: string): string {
	const {status} = spawnSync('taskset', ['-cp', core, String(process.pid)]);
	return status === 0 ? `all processes on core ${core}` : 'no taskset: processes on all cores';
}

function median(values: readonly number[]): number {
	const sorted = values.toSorted((one, other) => one - other);
	return (sorted[Math.floor((sorted.length - 1) / 2)]! + sorted[Math.ceil((sorted.length - 1) / 2)]!) / 2;
}

function formatStatistics(values: readonly number[]): string {
	const digits = median(values) < 10 ? 3 : 0;
	const text = [median(values), Math.min(...values), Math.max(...values)].map(value => value.toFixed(digits));
	return values.length === 1 ? text[0]! : `${text[0]} (${text[1]}-${text[2]})`;
}

/** Parses `NAME=COMMAND`; the command is split at spaces. */
function parseArm(text: string): Arm {
	const position = text.indexOf('=');
	return {name: text.slice(0, position), command: text.slice(position + 1).split(' ')};
}

const cli = cac('call-cost');
cli.option('--arm <name=command>', 'Node to measure: runtime options, then its program; may be repeated');
cli.option('--nodes <count>', 'Nodes', {default: 4});
cli.option('--rate <calls>', 'Calls per second of each node, as entry or as serving node', {default: 200});
cli.option('--seconds <seconds>', 'Duration of the load', {default: 20});
cli.option('--rest <seconds>', 'Time without load before the load', {default: 4});
cli.option('--rounds <count>', 'Rounds; the order of the arms reverses each round', {default: 1});
cli.option('--core <list>', 'Core or cores for all processes', {default: 1});
cli.option('--no-bare', 'Omit the bare hops');
cli.option('--profile <folder>', 'Write processor profiles of the nodes to this folder');
cli.option('--system-calls', 'Count only system calls per call');
const {options} = cli.parse();
const armTexts = [options.arm ?? []].flat() as string[];
const arms: Arm[] = [
	...(armTexts.length === 0 ? [{name: 'nodes', command: [defaultNodeProgram]}] : armTexts.map(text => parseArm(text))),
	...(options.bare === false ? [] : [{name: 'bare', command: undefined}]),
];
const runOptions: Options = {
	nodes: Number(options.nodes),
	rate: Number(options.rate),
	seconds: Number(options.seconds),
	idleSeconds: Number(options.rest),
	...(options.profile === undefined ? {} : {profile: String(options.profile)}),
};
process.stdout.write(`${await describeHardwareCounters()}\n${bindToCores(String(options.core))}\n`);
const measureArm = options.systemCalls === true ? measureSystemCalls : measure;
const results = new Map<string, Metrics[]>(arms.map(arm => [arm.name, []]));
for (let round = 0; round < Number(options.rounds); round += 1) {
	const roundArms = round % 2 === 0 ? arms : arms.toReversed();
	for (const arm of roundArms) {
		results.get(arm.name)!.push(await measureArm(arm, runOptions)); // eslint-disable-line no-await-in-loop
	}
}

const columns = Object.keys([...results.values()][0]![0]!);
const rows = [...results].map(([name, armMetrics]) => [name, ...columns.map(column => formatStatistics(armMetrics.map(metrics => metrics[column]!)))]);
const title = `${runOptions.nodes} nodes, each sees ${runOptions.rate} calls/s for ${runOptions.seconds} s; ${options.rounds} rounds; median (least-most); cpu, wakes, kB and gc for each call`;
process.stdout.write(`${title}\n${formatTable([['arm', ...columns], ...rows])}\n`);
