import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {test, type Test} from 'tap';
import {request} from 'undici';
import {stringify} from 'yaml';
import {startSystem, type Instance, type System} from '../system.js';
import {
	inChunks, inPieces, readProcess, startFlood, whole, type FloodRequest,
} from '../flood.js';

// Guards against callers outside the limits that make a node end, hang or exceed its memory. The flood and the bounds were
// fixed on the code without a budget for bodies and are not to be changed.
const connections = 70;
const bodyLimitBytes = 8_000_000;
const missingBytes = 10;
const sentBytes = bodyLimitBytes - missingBytes;
const bodyOverLimitBytes = 40_000_000;
const smallChunkBodyBytes = 300_000;
const largeChunkBytes = 64 * 1024;

const memoryBoundBytes = 250_000_000;
const descriptorBound = 250;
const holdMilliseconds = 2000;
/** Time within which an ordinary request is answered; far above what a node needs. */
const ordinaryMilliseconds = 30_000;
const ordinaryTimeoutMilliseconds = 3000;
const testTimeoutMilliseconds = 150_000;

const requestKind = {importance: 'normal', semantics: 'idempotent'};
const manifestDocument = {
	name: 'floods',
	retriesPerAction: 1,
	services: {
		lookups: {
			requests: [{
				...requestKind, kind: 'lookup', methods: ['GET'], path: '/lookup*', waitMilliseconds: 2000,
			}],
		},
		uploads: {
			requests: [{
				...requestKind, kind: 'put', methods: ['POST'], path: '/files*', waitMilliseconds: 20_000,
			}, {
				...requestKind, kind: 'ask', methods: ['GET'], path: '/ask*', waitMilliseconds: 2000,
			}],
		},
	},
};

async function startFloodSystem(t: Test): Promise<System> {
	t.setTimeout(testTimeoutMilliseconds);
	const manifest = join(mkdtempSync(join(tmpdir(), 'laburnumspool-floods-')), 'manifest.yaml');
	writeFileSync(manifest, stringify(manifestDocument));
	const system = await startSystem({
		services: [
			{
				service: 'lookups', slots: 8, connections: 20, behaviours: [{prefix: '/', milliseconds: 5}],
			},
			{
				service: 'uploads', slots: 16, connections: 20, behaviours: [{prefix: '/files', milliseconds: 8000}, {prefix: '/', milliseconds: 5}],
			},
		],
		manifest,
		instancesPerService: 1,
		locations: [{region: 'lake-erie', failureDomain: 'erie-a'}],
		settings: {limits: {requestBytes: bodyLimitBytes}},
		nodeOptions: ['--max-old-space-size=160'],
	});
	t.teardown(async () => system.stop());
	return system;
}

async function isAnswered(address: string, path: string): Promise<boolean> {
	try {
		const answer = await request(`http://${address}${path}`, {headersTimeout: ordinaryTimeoutMilliseconds, bodyTimeout: ordinaryTimeoutMilliseconds});
		await answer.body.dump();
		return answer.statusCode === 200;
	} catch {
		return false;
	}
}

async function isAnsweredInTime(address: string, path: string, until = performance.now() + ordinaryMilliseconds): Promise<boolean> {
	if (await isAnswered(address, path)) {
		return true;
	}

	if (performance.now() >= until) {
		return false;
	}

	await delay(250);
	return isAnsweredInTime(address, path, until);
}

function checkProcess(t: Test, instance: Instance): void {
	const {isAlive, peakBytes = Infinity, residentBytes = Infinity, descriptors = Infinity} = readProcess(instance);
	t.comment(`${instance.name}: peak ${peakBytes}, resident ${residentBytes} bytes, ${descriptors} descriptors`);
	t.ok(isAlive, `${instance.name} is alive`);
	t.ok(Math.max(peakBytes, residentBytes) < memoryBoundBytes, `${instance.name} stays within its memory`);
	t.ok(descriptors < descriptorBound, `${instance.name} has few descriptors`);
}

async function checkFlood(t: Test, floodRequest: FloodRequest): Promise<void> {
	const system = await startFloodSystem(t);
	const entry = system.instances[0]!;
	t.ok(await isAnsweredInTime(entry.callersAddress, '/lookups/lookup'), 'an ordinary request is answered before');
	const flood = startFlood(entry.callersAddress, '/uploads/files', connections, floodRequest);
	t.teardown(() => {
		flood.close();
	});
	await flood.sent;
	await delay(holdMilliseconds);
	system.instances.map(instance => {
		checkProcess(t, instance);
		return instance;
	});
	t.ok(await isAnsweredInTime(entry.callersAddress, '/lookups/lookup'), 'an ordinary request to the own upstream is answered');
	t.ok(await isAnsweredInTime(entry.callersAddress, '/uploads/ask'), 'an ordinary request to another node is answered');
}

test('nodes survive a flood of whole bodies that stop short of their length', async t => {
	await checkFlood(t, whole(bodyLimitBytes, sentBytes));
});

test('nodes survive a flood of bodies piece by piece that stop short of their length', async t => {
	await checkFlood(t, inPieces(bodyLimitBytes, sentBytes));
});

test('nodes survive a flood of bodies over the limit, announced', async t => {
	await checkFlood(t, inPieces(bodyOverLimitBytes, bodyOverLimitBytes - missingBytes));
});

test('nodes survive a flood of bodies over the limit, sent without a length', async t => {
	await checkFlood(t, inChunks(largeChunkBytes, bodyOverLimitBytes));
});

test('nodes survive a flood of large chunks without an end', async t => {
	await checkFlood(t, inChunks(largeChunkBytes, sentBytes));
});

test('nodes survive a flood of one-byte chunks without an end', async t => {
	await checkFlood(t, inChunks(1, smallChunkBodyBytes));
});

test('nodes survive a flood of complete bodies to a slow upstream of another node', async t => {
	await checkFlood(t, whole(bodyLimitBytes, bodyLimitBytes));
});
