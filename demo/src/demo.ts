/**
 * Demonstration with real processes: a surge of demand while a service deep in the call graph is slow. Prints the outcome of
 * each request kind; exits with 1 when at-most-once work ran twice.
 *
 * @module
 */
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Importance} from '@laburnumspool/core';
import {
	formatSummary, formatTable, ResultType, runProfile, type Profile, type RequestResult,
} from '@laburnumspool/load';
import {startSystem, type System, type SystemService} from './system.js';

const manifest = join(fileURLToPath(new URL('../../', import.meta.url)), 'examples/burrowline.yaml');
const slowFactor = 3;
const calmSeconds = 6;
const surgeSeconds = 10;
const afterSeconds = 8;

const windows = {method: 'GET', service: 'deliveries', path: '/windows'};

const services: readonly SystemService[] = [
	{
		service: 'catalogue', slots: 12, connections: 80, behaviours: [{prefix: '/designs', milliseconds: 20, bodyBytes: 2000}, {prefix: '/lookup', milliseconds: 5}],
	},
	{
		service: 'orders', slots: 12, connections: 80, behaviours: [{prefix: '/orders', milliseconds: 20, calls: [{method: 'GET', service: 'catalogue', path: '/lookup'}, windows]}],
	},
	{
		service: 'deposits', slots: 12, connections: 80, behaviours: [{prefix: '/deposits', milliseconds: 20, calls: [windows]}],
	},
	{
		service: 'deliveries', slots: 4, connections: 40, behaviours: [{prefix: '/bookings', milliseconds: 40}, {prefix: '/windows', milliseconds: 20}],
	},
];

const requests: Profile['requests'] = [
	{
		kind: 'catalogue/browse', importance: Importance.Low, method: 'GET', path: '/catalogue/designs/{n}', perSecond: 150, timeoutMilliseconds: 800, keyed: false, callerRetries: 2, counted: true,
	},
	{
		kind: 'deliveries/windows', importance: Importance.Normal, method: 'GET', path: '/deliveries/windows/{n}', perSecond: 60, timeoutMilliseconds: 1000, keyed: false, callerRetries: 2, counted: true,
	},
	{
		kind: 'orders/place', importance: Importance.High, method: 'POST', path: '/orders/orders', perSecond: 40, timeoutMilliseconds: 3000, keyed: true, callerRetries: 2, counted: true,
	},
	{
		kind: 'deposits/pay', importance: Importance.Critical, method: 'POST', path: '/deposits/deposits', perSecond: 20, timeoutMilliseconds: 3000, keyed: true, callerRetries: 2, counted: true,
	},
];

function print(text: string): void {
	process.stdout.write(`${text}\n`);
}

function toProfile(system: System): Profile {
	return {
		name: 'surge over a slow deep service',
		seed: 20_261_204,
		nodes: system.instances.map(instance => instance.callers),
		phases: [
			{name: 'calm', seconds: calmSeconds, factor: 1},
			{name: 'surge', seconds: surgeSeconds, factor: 2},
			{name: 'after', seconds: afterSeconds, factor: 1},
		],
		requests,
	};
}

/** Formats the refusals of the surge by importance, least important first. */
function refusalTable(results: readonly RequestResult[]): string {
	const rows = requests.map(({kind, importance}) => {
		const surgeResults = results.filter(result => result.kind === kind && result.phase === 'surge');
		const refused = surgeResults.filter(result => result.type === ResultType.NotRun).length;
		const unknown = surgeResults.filter(result => result.type === ResultType.Unknown).length;
		return [importance, kind, String(surgeResults.length), String(refused), String(unknown)];
	});
	return formatTable([['importance', 'kind', 'sent in the surge', 'refused, not run', 'unknown'], ...rows]);
}

async function upstreamTable(system: System): Promise<{text: string; repeats: number}> {
	const counts = await Promise.all(system.instances.map(async instance => ({instance, counters: await system.readCounters(instance)})));
	const rows = counts.map(({instance, counters}) => [
		instance.name, String(counters.started), String(counters.finished), String(counters.cancelled), String(counters.shed), String(counters.keys), String(counters.repeats),
	]);
	return {
		text: formatTable([['upstream', 'started', 'finished', 'cancelled', 'shed', 'keys', 'repeated keys'], ...rows]),
		repeats: counts.reduce((sum, {counters}) => sum + counters.repeats, 0),
	};
}

async function run(): Promise<number> {
	print('starting store stand-in, 8 nodes and 8 upstream stand-ins');
	const system = await startSystem({
		services, manifest, instancesPerService: 2,
		locations: [{region: 'lake-erie', failureDomain: 'erie-a'}, {region: 'lake-erie', failureDomain: 'erie-b'}],
	});
	try {
		print(`load: ${calmSeconds} s calm, ${surgeSeconds} s of doubled demand with deliveries slowed ${slowFactor} times, ${afterSeconds} s after`);
		const {summary, results} = await runProfile(toProfile(system), phase => {
			void system.setBehaviour('deliveries', {slowFactor: phase === 'surge' ? slowFactor : 1});
		});
		const upstreams = await upstreamTable(system);
		print(`\n${formatSummary(summary)}\n\n${refusalTable(results)}\n\n${upstreams.text}\n\nduplicate dispatches of at-most-once work: ${upstreams.repeats}`);
		return upstreams.repeats === 0 ? 0 : 1;
	} finally {
		await system.stop();
	}
}

process.exitCode = await run();
