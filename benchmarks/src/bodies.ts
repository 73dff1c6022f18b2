/**
 * Measures the memory of an entry node and a serving node, and what callers get, while many request bodies are sent at once.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {Agent, request as sendRequest} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	startSystem, stopProcess, type Instance, type System,
} from '@laburnumspool/demo';
import {formatTable} from '@laburnumspool/load';
import {cac} from 'cac';
import {request} from 'undici';
import {stringify} from 'yaml';
import {readPeakMegabytes} from './process-usage.js';

const kilobyte = 1024;
const megabyte = kilobyte * kilobyte;
const bodySizes = [4 * kilobyte, 256 * kilobyte, 8 * megabyte];
const requestCounts = [10, 100, 1000];
/** The limit on bodies of the deployed manifest. */
const bodyLimitBytes = 64 * megabyte;
const waitMilliseconds = 20_000;
const pollMilliseconds = 200;
/** Rounds begin for this time, since the nodes set their gauges only once a second. */
const roundsMilliseconds = 4000;
const copyCounter = new URL('count-copies.js', import.meta.url).href;

/** Statuses that guarantee that the request has not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const manifestDocument = {
	name: 'bodies',
	retriesPerAction: 3,
	services: {
		lookups: {
			requests: [{
				kind: 'lookup', methods: ['GET'], path: '/lookup*', importance: 'normal', semantics: 'idempotent', waitMilliseconds,
			}],
		},
		uploads: {
			requests: [{
				kind: 'put', methods: ['POST'], path: '/files*', importance: 'normal', semantics: 'idempotent', waitMilliseconds,
			}],
		},
	},
};

enum Result {
	Answered = 'answered',
	Refused = 'refused',
	/** No answer, or one that is neither the upstream's nor a true refusal. */
	Failed = 'failed',
	/** Ended by the benchmark at the bound on its time. */
	Unfinished = 'unfinished',
}

/** Columns about callers, which stand in the row of the entry node. */
const callerColumns = ['sent', ...Object.values(Result), 'seconds'];

type Exchange = {readonly id: string; readonly status: number | undefined; readonly outcome: string | undefined; readonly body: string; readonly failure: string | undefined};

type Case = {readonly bodyBytes: number; readonly count: number; readonly seconds: number; readonly countsCopies: boolean};

async function startBodiesSystem(countsCopies: boolean): Promise<System> {
	const manifest = join(mkdtempSync(join(tmpdir(), 'laburnumspool-bodies-')), 'manifest.yaml');
	writeFileSync(manifest, stringify(manifestDocument));
	return startSystem({
		services: [
			{
				service: 'lookups', slots: 16, connections: 40, behaviours: [{prefix: '/', milliseconds: 5}],
			},
			{
				service: 'uploads', slots: 16, connections: 40, behaviours: [{prefix: '/', milliseconds: 5}],
			},
		],
		manifest,
		instancesPerService: 1,
		locations: [{region: 'r', failureDomain: 'a'}],
		settings: {
			headers: {requestId: 'x-request-id', signature: 'x-signature'},
			limits: {requestBytes: bodyLimitBytes},
			controlCalls: false,
			admission: {adaptiveLimit: false, slotShare: 0.95},
			logFormat: 'json',
		},
		nodeOptions: ['--max-old-space-size=160', ...(countsCopies ? ['--import', copyCounter] : [])],
	});
}

/** Sends one request with a complete body; never rejects. */
async function send(address: string, body: Buffer, agent: Agent, signal: AbortSignal): Promise<Exchange> {
	const id = randomUUID();
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const fail = (error: NodeJS.ErrnoException): void => {
			resolve({
				id, status: undefined, outcome: undefined, body: '', failure: error.code ?? error.message,
			});
		};

		const exchange = sendRequest({
			host, port, method: 'POST', path: '/uploads/files', agent, signal, headers: {'x-request-id': id, 'content-length': body.length},
		});
		exchange.on('error', fail);
		exchange.once('response', response => {
			void text(response).then(answerBody => {
				resolve({
					id, status: response.statusCode, outcome: String(response.headers['laburnumspool-outcome']), body: answerBody, failure: undefined,
				});
			}, fail);
		});
		exchange.end(body);
	});
}

function toResult({id, status, outcome, body, failure}: Exchange, hasRun: boolean): Result {
	if (failure === 'ABORT_ERR') {
		return Result.Unfinished;
	}

	const isOwnAnswer = status === 200 && body.startsWith(JSON.stringify({id, service: 'uploads'}).slice(0, -1));
	const isTrueRefusal = status !== undefined && notRunStatuses.has(status) && outcome === 'not-run' && !hasRun;
	return isOwnAnswer ? Result.Answered : (isTrueRefusal ? Result.Refused : Result.Failed);
}

/** Reads the gauge of the bytes that a node holds; 0 when the node does not answer. */
async function readHeldBytes({metricsAddress}: Instance): Promise<number> {
	try {
		const answer = await request(`http://${metricsAddress}/metrics`, {headersTimeout: 5000});
		return Number(/name="held_bytes"[^}]*\} (?<bytes>\d+)/u.exec(await answer.body.text())?.groups?.bytes ?? 0);
	} catch {
		return 0;
	}
}

/** Polls the gauge until the signal is aborted; resolves to its largest value. */
async function watchHeldBytes(instance: Instance, signal: AbortSignal): Promise<number> {
	let peak = 0;
	while (!signal.aborted) {
		peak = Math.max(peak, await readHeldBytes(instance)); // eslint-disable-line no-await-in-loop
		await delay(pollMilliseconds); // eslint-disable-line no-await-in-loop
	}

	return peak;
}

async function readRequestIds({upstreamAddress}: Instance): Promise<ReadonlySet<string>> {
	const answer = await request(`http://${upstreamAddress}/control/requests`, {method: 'POST'});
	return new Set(Object.keys(await answer.body.json() as Record<string, number>));
}

/** Stops a node, since the counter prints when the process exits. */
async function readCopies({node}: Instance): Promise<number> {
	await stopProcess(node);
	return Number(node.lines.find(line => line.startsWith('copied bytes: '))?.split(': ')[1]);
}

/** Measures one case in a new system; returns its rows and the reasons of failed and refused requests. */
async function measure({bodyBytes, count, seconds, countsCopies}: Case): Promise<{rows: string[][]; reasons: string}> {
	const system = await startBodiesSystem(countsCopies);
	const agent = new Agent({maxSockets: Infinity});
	try {
		const [entry, serving] = ['lookups-0', 'uploads-0'].map(name => system.instances.find(instance => instance.name === name)!) as [Instance, Instance];
		const watch = new AbortController();
		const heldPeaks = Promise.all([entry, serving].map(async instance => watchHeldBytes(instance, watch.signal)));
		const body = Buffer.alloc(bodyBytes, 'b');
		const signal = AbortSignal.timeout(seconds * 1000);
		setMaxListeners(0, signal);
		const startedAt = performance.now();
		const exchanges: Exchange[] = [];
		while (performance.now() - startedAt < roundsMilliseconds) {
			exchanges.push(...await Promise.all(Array.from({length: count}, async () => send(entry.callersAddress, body, agent, signal)))); // eslint-disable-line no-await-in-loop
		}

		const elapsedSeconds = (performance.now() - startedAt) / 1000;
		watch.abort();
		const held = await heldPeaks;
		const ids = await readRequestIds(serving);
		const results = exchanges.map(exchange => ({...exchange, result: toResult(exchange, ids.has(exchange.id))}));
		const countOf = (result: Result): number => results.filter(other => other.result === result).length;
		const peaks = [entry, serving].map(({node: {child}}) => child.exitCode === null && child.signalCode === null ? readPeakMegabytes(child.pid!).toFixed(0) : 'died');
		const copies = countsCopies ? await Promise.all([entry, serving].map(async instance => readCopies(instance))) : [];
		const rows = [entry, serving].map((_instance, index) => [
			`${bodyBytes / kilobyte} KB`,
			String(count),
			index === 0 ? 'entry' : 'serving',
			peaks[index]!,
			(held[index]! / megabyte).toFixed(1),
			countsCopies ? (copies[index]! / (bodyBytes * ids.size)).toFixed(2) : '-',
			...(index === 0 ? [String(exchanges.length), ...Object.values(Result).map(result => String(countOf(result))), elapsedSeconds.toFixed(1)] : callerColumns.map(() => '')),
		]);
		return {rows, reasons: describeReasons(results.filter(({result}) => result !== Result.Answered))};
	} finally {
		agent.destroy();
		await system.stop();
	}
}

/** Counts results by status, error kind and detail, with all figures of a detail replaced. */
function describeReasons(results: ReadonlyArray<Exchange & {readonly result: Result}>): string {
	const counts = new Map<string, number>();
	results.map(({result, status, outcome, body, failure}) => {
		const reason = `${result}: ${failure ?? `${status} ${outcome} ${body.slice(0, 300).replaceAll(/\d+/gu, 'N')}`}`;
		return counts.set(reason, (counts.get(reason) ?? 0) + 1);
	});
	return [...counts].map(([reason, count]) => `${count} x ${reason}\n`).join('');
}

const cli = cac('bodies');
cli.option('--seconds <seconds>', 'Bound on the time of one case', {default: 20});
cli.option('--size <kilobytes>', 'Only bodies of this size');
cli.option('--requests <count>', 'Only this number of requests at once');
cli.option('--copies', 'Count copied bytes; the counter slows the nodes down');
const {options} = cli.parse();
const cases = bodySizes.flatMap(bodyBytes => requestCounts.map(count => ({
	bodyBytes, count, seconds: Number(options.seconds), countsCopies: options.copies === true,
}))).filter(({bodyBytes, count}) => (options.size === undefined || bodyBytes === Number(options.size) * kilobyte) && (options.requests === undefined || count === Number(options.requests)));
const table: string[][] = [['body', 'at once', 'node', 'peak MB', 'held MB', 'copies', ...callerColumns]];
for (const one of cases) {
	const {rows, reasons} = await measure(one); // eslint-disable-line no-await-in-loop
	table.push(...rows);
	process.stdout.write(`${one.bodyBytes / kilobyte} KB, ${one.count} at once\n${reasons}`);
}

process.stdout.write(`Node.js ${process.version}\n${formatTable(table)}\n`);
