/**
 * What a call costs in young nodes: processor time, wake-ups, bytes allocated, and memory, against bare hops in the same
 * run. Arms take turns, so that a busy machine meets all of them.
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

const ownNode = join(fileURLToPath(new URL('../../', import.meta.url)), 'packages/node/dist/main.js');
const settleMilliseconds = 2000;

/** Before system calls are counted: links are made, and connections that are no longer used are closed. */
const warmUpSeconds = 2;
const closeMilliseconds = 6000;
const countedNames = ['epoll_pwait', 'epoll_wait', 'epoll_ctl', 'read', 'write', 'writev', 'futex', 'madvise', 'total'];
const hardwareCounters = 'instructions,cycles,cache-misses';

/** Figures of one arm in one round, by the name of their column. */
type Figures = Readonly<Record<string, number>>;

type Options = {readonly nodes: number; readonly rate: number; readonly seconds: number; readonly restSeconds: number; readonly profile?: string};

/** Calls a second that the nodes get in all, each in turn; each node sees as many again of its neighbours. */
async function load({targets}: CostSystem, rate: number, seconds: number): Promise<{answered: number; failed: number}> {
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
	nodes, rate, seconds, restSeconds, profile,
}: Options): Promise<Figures> {
	const extra = ['--trace-gc', ...(profile === undefined ? [] : ['--cpu-prof', '--cpu-prof-dir', join(profile, arm.name)])];
	const system = await startCostSystem(arm, nodes, extra, profile === undefined ? 'SIGKILL' : 'SIGTERM');
	try {
		const started = sumUsage(system);
		await delay(settleMilliseconds);
		const settled = sumUsage(system);
		await delay(restSeconds * 1000);
		const before = sumUsage(system);
		const linesBefore = system.nodes.map(node => node.lines.length);
		const {answered, failed} = await load(system, rate * nodes / 2, seconds);
		const after = sumUsage(system);
		const collections = system.nodes.map((node, index) => readCollections(node.lines.slice(linesBefore[index])));
		const total = (pick: (collection: ReturnType<typeof readCollections>) => number): number => collections.reduce((sum, collection) => sum + pick(collection), 0);
		const idleSeconds = nodes * restSeconds;
		return {
			'start s': started.processorSeconds / nodes,
			'rest ms/s': (before.processorSeconds - settled.processorSeconds) * 1000 / idleSeconds,
			'rest wakes/s': (before.wakeUps - settled.wakeUps) / idleSeconds,
			'cpu ms': (after.processorSeconds - before.processorSeconds) * 1000 / answered,
			wakes: (after.wakeUps - before.wakeUps) / answered,
			'kB made': total(({allocatedBytes}) => allocatedBytes) / 1024 / answered,
			'gc ms': total(({milliseconds}) => milliseconds) / answered,
			MB: after.residentMegabytes / nodes,
			answered,
			failed,
		};
	} finally {
		await system.stop();
	}
}

/** System calls for each call, those of the time without load taken off; of the most frequent names, and of all. */
async function measureSystemCalls(arm: Arm, {nodes, rate, seconds}: Options): Promise<Figures> {
	const system = await startCostSystem(arm, nodes, [], 'SIGKILL');
	try {
		await load(system, rate * nodes / 2, warmUpSeconds);
		await delay(closeMilliseconds);
		const pids = system.nodes.map(node => node.child.pid!);
		const restCount = await countSystemCalls(pids);
		await delay(seconds * 1000);
		const rest = await restCount.end();
		const loadCount = await countSystemCalls(pids);
		const {answered, failed} = await load(system, rate * nodes / 2, seconds);
		const counts = await loadCount.end();
		const perCall = (name: string): number => ((counts.get(name) ?? 0) - (rest.get(name) ?? 0)) / answered;
		return {
			...Object.fromEntries(countedNames.map(name => [name, perCall(name)])), 'total at rest/s': (rest.get('total') ?? 0) / seconds / nodes, answered, failed,
		};
	} finally {
		await system.stop();
	}
}

/** Whether the machine lends hardware counters; where it does not, processor time is all there is. */
async function describeCounters(): Promise<string> {
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

/** Binds this process, and so all that it starts, to one core. */
function bindTo(core: string): string {
	const {status} = spawnSync('taskset', ['-cp', core, String(process.pid)]);
	return status === 0 ? `all processes on core ${core}` : 'no taskset: processes on all cores';
}

function median(values: readonly number[]): number {
	const sorted = values.toSorted((one, other) => one - other);
	return (sorted[Math.floor((sorted.length - 1) / 2)]! + sorted[Math.ceil((sorted.length - 1) / 2)]!) / 2;
}

function format(values: readonly number[]): string {
	const digits = median(values) < 10 ? 3 : 0;
	const text = [median(values), Math.min(...values), Math.max(...values)].map(value => value.toFixed(digits));
	return values.length === 1 ? text[0]! : `${text[0]} (${text[1]}-${text[2]})`;
}

/** NAME=COMMAND; the command is split at spaces. */
function toArm(text: string): Arm {
	const position = text.indexOf('=');
	return {name: text.slice(0, position), command: text.slice(position + 1).split(' ')};
}

const cli = cac('call-cost');
cli.option('--arm <name=command>', 'Node to be measured, with the runtime\'s options before its program; may be repeated');
cli.option('--nodes <count>', 'Nodes', {default: 4});
cli.option('--rate <calls>', 'Calls a second that each node sees, as entry or as serving node', {default: 200});
cli.option('--seconds <seconds>', 'Time of the load', {default: 20});
cli.option('--rest <seconds>', 'Time without load before it', {default: 4});
cli.option('--rounds <count>', 'Rounds; arms take turns in each', {default: 1});
cli.option('--core <list>', 'Core or cores for all processes', {default: 1});
cli.option('--no-bare', 'Leave the bare hops out');
cli.option('--profile <folder>', 'Write profiles of the nodes');
cli.option('--system-calls', 'Count system calls for each call, in place of all else');
const {options} = cli.parse();
const armTexts = [options.arm ?? []].flat() as string[];
const arms: Arm[] = [
	...(armTexts.length === 0 ? [{name: 'nodes', command: [ownNode]}] : armTexts.map(text => toArm(text))),
	...(options.bare === false ? [] : [{name: 'bare', command: undefined}]),
];
const shape: Options = {
	nodes: Number(options.nodes),
	rate: Number(options.rate),
	seconds: Number(options.seconds),
	restSeconds: Number(options.rest),
	...(options.profile === undefined ? {} : {profile: String(options.profile)}),
};
process.stdout.write(`${await describeCounters()}\n${bindTo(String(options.core))}\n`);
const measureArm = options.systemCalls === true ? measureSystemCalls : measure;
const results = new Map<string, Figures[]>(arms.map(arm => [arm.name, []]));
for (let round = 0; round < Number(options.rounds); round += 1) {
	const turn = round % 2 === 0 ? arms : arms.toReversed();
	for (const arm of turn) {
		results.get(arm.name)!.push(await measureArm(arm, shape)); // eslint-disable-line no-await-in-loop
	}
}

const columns = Object.keys([...results.values()][0]![0]!);
const rows = [...results].map(([name, figures]) => [name, ...columns.map(column => format(figures.map(figure => figure[column]!)))]);
const title = `${shape.nodes} nodes, each sees ${shape.rate} calls/s for ${shape.seconds} s; ${options.rounds} rounds; median (least-most); cpu, wakes, kB and gc for each call`;
process.stdout.write(`${title}\n${formatTable([['arm', ...columns], ...rows])}\n`);
