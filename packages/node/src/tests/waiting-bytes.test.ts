import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {setTimeout as wait} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {test, type Test} from 'tap';
import {WriteStep, type IdleUpstreamData} from './idle-upstream.js';
import {completeAnswer, startClient} from './raw-upstream.js';

const repetitions = 30;
const maximumPauseMilliseconds = 1000;

/** Time within which written bytes arrive over the loopback interface. */
const arrivalMilliseconds = 5;

/** Phases of the event loop in which a call may be dispatched. */
const phases: Readonly<Record<string, (callback: () => void) => void>> = {
	'an I/O callback'(callback) {
		randomBytes(1, callback);
	},
	'a timer'(callback) {
		setTimeout(callback, 2);
	},
	'an immediate': setImmediate,
};

const unsolicitedBytes: Readonly<Record<string, string>> = {
	'a refusal without an id': 'HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n',
	'an answer without an id': 'HTTP/1.1 200 OK\r\nsignature: s\r\ncontent-length: 4\r\n\r\nlate',
	'an answer to another request': completeAnswer('r0', 'late'),
	'the beginning of a head': 'HTTP/1.1 503 Serv',
	'not HTTP': '\u0000zq',
};

/**
 * Number of calls per result, for calls on an idle connection that received unsolicited bytes while this thread was blocked.
 * The client must read such bytes before it reuses the connection.
 */
async function resultsOf(t: Test, bytes: string, phase: (callback: () => void) => void): Promise<Record<string, number>> {
	const step = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
	const steps = new Int32Array(step);
	const workerData: IdleUpstreamData = {step, bytes};
	const upstream = new Worker(new URL('idle-upstream.js', import.meta.url), {workerData});
	t.teardown(async () => upstream.terminate());
	const [port] = await once(upstream, 'message') as [number];
	const {call} = startClient(t, port);
	const results: Record<string, number> = {};
	for (let number = 1; number <= repetitions * 2; number += 2) {
		t.equal(await call(number), `200 r${number}`);
		await wait(1);
		const result = await new Promise<string>(resolve => {
			phase(() => {
				Atomics.store(steps, 0, WriteStep.Requested);
				Atomics.wait(steps, 0, WriteStep.Requested, maximumPauseMilliseconds);
				Atomics.wait(steps, 0, WriteStep.None, maximumPauseMilliseconds);
				Atomics.wait(steps, 0, WriteStep.Done, arrivalMilliseconds);
				resolve(call(number + 1));
			});
		});
		const name = result === `200 r${number + 1}` ? 'own' : result;
		results[name] = (results[name] ?? 0) + 1;
	}

	return results;
}

for (const [name, bytes] of Object.entries(unsolicitedBytes)) {
	for (const [phaseName, phase] of Object.entries(phases)) {
		test(`unsolicited bytes on an idle connection are never used as the answer to the next call: ${name}, dispatched from ${phaseName}`, async t => {
			const results = await resultsOf(t, bytes, phase);
			t.same(results, {own: repetitions});
		});
	}
}
