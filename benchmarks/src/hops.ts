/**
 * Measures the latency that the entry node and the serving node add to a call over loopback, compared with direct calls
 * in the same run.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {startSystem, type System} from '@laburnumspool/demo';
import {formatTable, toHistogram} from '@laburnumspool/load';
import {cac} from 'cac';
import {Agent} from 'undici';

const manifest = join(fileURLToPath(new URL('../../', import.meta.url)), 'examples/burrowline.yaml');
const microsecondsPerMillisecond = 1000;
const ticksPerSecond = 100;
const throughputMilliseconds = 4000;
const throughputCallers = 4;

type Path = {readonly name: string; readonly url: string; readonly method: 'GET' | 'POST'};

async function measureLatencies(path: Path, count: number, pauseMilliseconds: number, agent: Agent): Promise<number[]> {
	const latencies: number[] = [];
	for (let number = 0; number < count; number += 1) {
		const startedAt = performance.now();
		const answer = await agent.request({origin: new URL(path.url).origin, path: new URL(path.url).pathname, method: path.method}); // eslint-disable-line no-await-in-loop
		await answer.body.dump(); // eslint-disable-line no-await-in-loop
		latencies.push(performance.now() - startedAt);
		await delay(pauseMilliseconds); // eslint-disable-line no-await-in-loop
	}

	return latencies;
}

function createPaths(system: System): Path[] {
	const catalogue = system.instances.find(instance => instance.name === 'catalogue-0')!;
	const deposits = system.instances.find(instance => instance.name === 'deposits-0')!;
	return [
		{name: 'direct to the upstream', url: `http://${catalogue.upstreamAddress}/designs/1`, method: 'GET'},
		{name: 'entry beside the upstream', url: `http://${catalogue.callers}/catalogue/designs/1`, method: 'GET'},
		{name: 'entry and serving node', url: `http://${deposits.callers}/catalogue/designs/1`, method: 'GET'},
		{name: 'direct, at-most-once', url: `http://${deposits.upstreamAddress}/deposits`, method: 'POST'},
		{name: 'at most once, with claim', url: `http://${catalogue.callers}/deposits/deposits`, method: 'POST'},
	];
}

/** Processor seconds of a process since its start, and its resident megabytes. */
function readUsage(pid: number): {seconds: number; megabytes: number} {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	const resident = /VmRSS:\s+(\d+)/u.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
	return {seconds: (Number(fields[11]) + Number(fields[12])) / ticksPerSecond, megabytes: Number(resident) / 1024};
}

/** Measures calls per second and per processor second of a node that is both entry and serving node, in a closed loop. */
async function measureThroughput(path: Path, system: System, agent: Agent): Promise<string> {
	const node = system.instances.find(instance => instance.name === 'catalogue-0')!.node.child.pid!;
	const before = readUsage(node);
	const until = performance.now() + throughputMilliseconds;
	const counts = await Promise.all(Array.from({length: throughputCallers}, async () => {
		let count = 0;
		while (performance.now() < until) {
			await measureLatencies(path, 1, 0, agent); // eslint-disable-line no-await-in-loop
			count += 1;
		}

		return count;
	}));
	const after = readUsage(node);
	const calls = counts.reduce((sum, count) => sum + count, 0);
	const perCore = calls / (after.seconds - before.seconds);
	return `closed loop of ${throughputCallers} callers: ${(calls * 1000 / throughputMilliseconds).toFixed(0)} calls/s, ${perCore.toFixed(0)} calls for each second of one core of the node; resident ${before.megabytes.toFixed(0)} MB before, ${after.megabytes.toFixed(0)} MB after`;
}

async function runBenchmark(count: number, pauseMilliseconds: number): Promise<void> {
	const system = await startSystem({
		services: [
			{
				service: 'catalogue', slots: 20, connections: 40, behaviours: [{prefix: '/', milliseconds: 0}],
			},
			{
				service: 'deposits', slots: 20, connections: 40, behaviours: [{prefix: '/', milliseconds: 0}],
			},
		],
		manifest,
		instancesPerService: 2,
		locations: [{region: 'r', failureDomain: 'a'}, {region: 'r', failureDomain: 'b'}],
	});
	const agent = new Agent({connections: 4, pipelining: 1});
	try {
		const paths = createPaths(system);
		const samples = new Map<string, number[]>(paths.map(path => [path.name, []]));
		await delay(3000);
		for (let round = 0; round < 6; round += 1) {
			for (const path of paths) {
				const latencies = await measureLatencies(path, count / 5, pauseMilliseconds, agent); // eslint-disable-line no-await-in-loop
				samples.get(path.name)!.push(...(round === 0 ? [] : latencies));
			}
		}

		const direct = toHistogram(samples.get(paths[0]!.name)!);
		const rows = paths.map(({name}) => {
			const histogram = toHistogram(samples.get(name)!);
			const at = (percentile: number): string => (histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond).toFixed(3);
			const ratio = (percentile: number): string => (histogram.getValueAtPercentile(percentile) / direct.getValueAtPercentile(percentile)).toFixed(2);
			return [name, String(histogram.totalCount), at(50), at(99), ratio(50), ratio(99)];
		});
		const throughput = await measureThroughput(paths[1]!, system, agent);
		process.stdout.write(`${formatTable([['path', 'calls', 'p50 ms', 'p99 ms', 'p50 ratio', 'p99 ratio'], ...rows])}\n${throughput}\n`);
	} finally {
		await agent.destroy();
		await system.stop();
	}
}

const cli = cac('hops');
cli.option('--calls <count>', 'Measured calls per path', {default: 2000});
cli.option('--pause <milliseconds>', 'Pause between calls', {default: 1});
const {options} = cli.parse();
await runBenchmark(Number(options.calls), Number(options.pause));
