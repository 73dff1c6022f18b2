// Measures how many bytes a process copies for each body byte of calls over a link between two nodes, and its resident
// memory. One process has the client of the entry node, one the server of the serving node; both have a stub of the core.
// Usage: node scripts/link-copies.js
import {Buffer} from 'node:buffer';
import {fork} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {countCopies} from '../benchmarks/dist/copy-counter.js';

const dist = '../packages/node/dist';
const kilobyte = 1024;
const megabyte = kilobyte * kilobyte;
const settleMilliseconds = 200;
const cases = [
	{bodyBytes: 4 * kilobyte, calls: 4000, together: 50},
	{bodyBytes: 256 * kilobyte, calls: 800, together: 8},
	{bodyBytes: 8 * megabyte, calls: 32, together: 1},
];
const port = 20_471;

const residentMegabytes = name => Number(new RegExp(String.raw`${name}:\s+(\d+)`, 'v').exec(readFileSync('/proc/self/status', 'utf8'))[1]) / kilobyte;

class CoreStub {
	handlers = {};
	posted = () => undefined;

	handle(handlers) {
		Object.assign(this.handlers, handlers);
	}

	post(message) {
		this.posted(message);
		return true;
	}
}

async function createOptions() {
	const [{AnswerStreams}, budget] = await Promise.all([
		import(`${dist}/answer-streams.js`),
		import(`${dist}/memory-budget.js`).then(({MemoryBudget}) => new MemoryBudget(96 * megabyte)),
	]);
	const core = new CoreStub();
	const silent = () => undefined;
	const log = {
		error: silent, warn: silent, info: silent, debug: silent,
	};
	return {
		core, streams: new AnswerStreams(), log, clock: () => performance.now(), budget, requestBytes: 64 * megabyte, slowSenderMilliseconds: 10_000,
	};
}

const serving = {
	headroom: 1, level: 0, downstreamLevel: 0, draining: false, revision: 1, servedMilliseconds: 1,
};

/** Answers each call with one byte. */
async function serve() {
	const {PeersServer} = await import(`${dist}/peers-server.js`);
	const options = await createOptions();
	const server = new PeersServer(options);
	options.core.posted = ({type, frame}) => {
		if (type === 'call-arrived') {
			options.core.handlers['send-answer']({
				type: 'send-answer', clock: 0, frame: {
					callId: frame.callId, outcome: 'ran', coversAction: false, answer: {status: 200, headers: [], body: Buffer.from('x')}, error: undefined, retriesSpent: 0, serving,
				},
			});
		}
	};

	await server.listen(port, '127.0.0.1');
}

const createCall = (callId, body) => ({
	callId, action: {actionId: 'a'.repeat(32), vendorTraceState: []}, requestId: '', service: 's', kind: 'k', semantics: 'idempotent', answerBytesLimit: 1000, importance: 'normal',
	priority: 1, timeLeftMilliseconds: 60_000, retries: 0, key: undefined, epoch: 0, lastResort: false, revision: 1,
	request: {
		method: 'POST', target: '/', headers: [], body, digest: '',
	},
});

async function send({bodyBytes, calls, together}) {
	const {PeersClient} = await import(`${dist}/peers-client.js`);
	const options = await createOptions();
	const client = new PeersClient(options);
	const to = {name: 'p', host: '127.0.0.1', peersPort: port};
	let [sent, answered] = [0, 0];
	await new Promise((resolve, reject) => {
		const sendNext = () => {
			sent += 1;
			options.core.handlers['send-call']({
				type: 'send-call', to, clock: 0, frame: createCall(`n.1.${sent}`, Buffer.alloc(bodyBytes, 'b')),
			});
		};

		options.core.posted = ({type, frame, failure}) => {
			if (type !== 'call-answered' || frame.outcome !== 'ran') {
				reject(new Error(`${type} ${failure ?? frame.error?.kind}`));
			}

			answered += 1;
			if (answered === calls) {
				resolve();
			} else if (sent < calls) {
				sendNext();
			}
		};

		Array.from({length: together}, () => sendNext());
	});
	return client;
}

async function runChild([role, index]) {
	const readCopiedBytes = countCopies();
	const actions = {serve, send: async () => send(cases[Number(index)])};
	process.once('message', () => {
		process.send({copiedBytes: readCopiedBytes(), peak: residentMegabytes('VmHWM')});
		process.disconnect();
	});
	const startedMegabytes = residentMegabytes('VmRSS');
	await actions[role]();
	process.send({startedMegabytes});
}

async function startChild(...parameters) {
	const child = fork(new URL(import.meta.url), parameters);
	await once(child, 'message');
	return child;
}

async function readResult(child) {
	child.send('end');
	const [result] = await once(child, 'message');
	child.kill();
	return result;
}

async function measure(index) {
	const {bodyBytes, calls, together} = cases[index];
	const server = await startChild('serve');
	const client = await startChild('send', String(index));
	await wait(settleMilliseconds);
	const results = [await readResult(client), await readResult(server)];
	const columns = results.flatMap(result => [(result.copiedBytes / (bodyBytes * calls)).toFixed(2), result.peak.toFixed(0)]);
	console.log([`${bodyBytes / kilobyte} KB`, `${calls} calls`, `${together} together`, ...columns].map(text => text.padStart(12)).join(''));
}

if (process.send === undefined) {
	console.log(['body', 'calls', 'open', 'entry copies', 'entry MB', 'serving copies', 'serving MB'].map(text => text.padStart(12)).join(' '));
	for (const index of cases.keys()) {
		await measure(index); // eslint-disable-line no-await-in-loop
	}
} else {
	await runChild(process.argv.slice(2));
}
