import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {setTimeout as wait} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {test, type Test} from 'tap';
import {Step, type IdleUpstreamData} from './idle-upstream.js';
import {startClient, whole} from './raw-upstream.js';

const repetitions = 30;
const longestStandstillMilliseconds = 1000;

/** Time in which written bytes get to the other end of the loopback. */
const arrivalMilliseconds = 5;

/** Parts of the event loop's round in which a call may be handed on. */
const phases: Readonly<Record<string, (callback: () => void) => void>> = {
	'a callback of input'(callback) {
		randomBytes(1, callback);
	},
	'a timer'(callback) {
		setTimeout(callback, 2);
	},
	'an immediate': setImmediate,
};

const waiting: Readonly<Record<string, string>> = {
	'a refusal without a name': 'HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n',
	'an answer without a name': 'HTTP/1.1 200 OK\r\nsignature: s\r\ncontent-length: 4\r\n\r\nlate',
	'an answer to another request': whole('r0', 'late'),
	'the beginning of a head': 'HTTP/1.1 503 Serv',
	'no HTTP': '\u0000zq',
};

/** How often the call after an idle time gets which result, with bytes that came while this thread stood still. */
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
				Atomics.store(steps, 0, Step.Write);
				Atomics.wait(steps, 0, Step.Write, longestStandstillMilliseconds);
				Atomics.wait(steps, 0, Step.None, longestStandstillMilliseconds);
				Atomics.wait(steps, 0, Step.Written, arrivalMilliseconds);
				resolve(call(number + 1));
			});
		});
		const name = result === `200 r${number + 1}` ? 'own' : result;
		results[name] = (results[name] ?? 0) + 1;
	}

	return results;
}

for (const [name, bytes] of Object.entries(waiting)) {
	for (const [phaseName, phase] of Object.entries(phases)) {
		test(`bytes that wait on an idle connection are never taken for the answer to the next call: ${name}, seen from ${phaseName}`, async t => {
			const results = await resultsOf(t, bytes, phase);
			t.same(results, {own: repetitions});
		});
	}
}
