/**
 * A small system of real processes, and requests to it.
 *
 * @module
 */
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import type {Test} from 'tap';
import {request} from 'undici';
import {startSystem, type Instance, type System} from '../system.js';

export const root = fileURLToPath(new URL('../../../', import.meta.url));
export const manifest = join(root, 'examples/burrowline.yaml');
const pollMilliseconds = 25;
const maximumPolls = 800;
const testTimeoutMilliseconds = 120_000;

const services = [
	{
		service: 'deposits', slots: 4, connections: 20, behaviours: [{prefix: '/deposits', milliseconds: 30}],
	},
	{
		service: 'deliveries', slots: 4, connections: 20, behaviours: [{prefix: '/', milliseconds: 5}],
	},
];

export async function startSmallSystem(t: Test): Promise<System> {
	t.setTimeout(testTimeoutMilliseconds);
	const system = await startSystem({
		services,
		manifest,
		instancesPerService: 2,
		locations: [{region: 'lake-erie', failureDomain: 'erie-a'}, {region: 'lake-erie', failureDomain: 'erie-b'}],
		settings: {membership: {probeMilliseconds: 200, suspicionMilliseconds: 600}},
	});
	t.teardown(async () => system.stop());
	return system;
}

export type Answer = {readonly status: number; readonly outcome: unknown; readonly body: string};

export async function send(address: string, method: string, path: string, headers: Record<string, string> = {}): Promise<Answer> {
	const answer = await request(`http://${address}${path}`, {method, headers});
	return {status: answer.statusCode, outcome: answer.headers['laburnumspool-outcome'], body: await answer.body.text()};
}

/** Repeats the check every 25 ms; resolves to whether it succeeded within 800 repetitions. */
export async function waitUntil(check: () => Promise<boolean>, pollsLeft = maximumPolls): Promise<boolean> {
	if (await check()) {
		return true;
	}

	if (pollsLeft === 0) {
		return false;
	}

	await new Promise(resolve => {
		setTimeout(resolve, pollMilliseconds);
	});
	return waitUntil(check, pollsLeft - 1);
}

export function findInstance(system: System, name: string): Instance {
	return system.instances.find(instance => instance.name === name)!;
}

export async function countRepeats(system: System): Promise<number> {
	const counters = await Promise.all(system.instances.map(async instance => system.readCounters(instance)));
	return counters.reduce((sum, {repeats}) => sum + repeats, 0);
}

/** Sends a payment with one key again while its outcome is `not-run`; resolves to the last answer. */
export async function payUntilAnswered(address: string, key: string): Promise<Answer> {
	const answers: Answer[] = [];
	await waitUntil(async () => {
		answers.push(await send(address, 'POST', '/deposits/deposits', {'idempotency-key': key}));
		return answers.at(-1)?.outcome !== 'not-run';
	});
	return answers.at(-1)!;
}

/** Sends rounds of 16 payments with new keys; resolves to whether all payments of one round were served. */
export async function payUntilServed(address: string, prefix: string): Promise<boolean> {
	let count = 0;
	return waitUntil(async () => {
		count += 1;
		const answers = await Promise.all(Array.from({length: 16}, async (_, index) => send(address, 'POST', '/deposits/deposits', {'idempotency-key': `${prefix}-${count}-${index}`})));
		return answers.every(answer => answer.status === 200);
	});
}
