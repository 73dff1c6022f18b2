/**
 * Starts a small system of separate processes: a store stand-in, nodes, and upstream stand-ins.
 *
 * @module
 */
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {request} from 'undici';
import {stringify} from 'yaml';
import {
	runToEnd, startProcess, stopProcess, type StartedProcess,
} from './processes.js';

const root = fileURLToPath(new URL('../../', import.meta.url));
const portsPerInstance = 5;
const maximumJoinPolls = 150;
const joinPollMilliseconds = 100;

export type SystemService = {
	readonly service: string;
	readonly slots: number;
	readonly connections: number;
	readonly behaviours: ReadonlyArray<{
		readonly prefix: string;
		readonly milliseconds: number;
		readonly bodyBytes?: number;
		readonly calls?: ReadonlyArray<{readonly method: string; readonly service: string; readonly path: string}>;
	}>;
	/** Headers of requests that the upstreams record, as a regular expression for `NAME: VALUE`. */
	readonly recordedHeaders?: string;
};

export type SystemDefinition = {
	readonly services: readonly SystemService[];
	/** Locations of the instances; those of a service are assigned in turn. */
	readonly locations: ReadonlyArray<{readonly region: string; readonly failureDomain: string}>;
	readonly instancesPerService: number;
	/** Path of the manifest file. */
	readonly manifest: string;
	/** Settings of the nodes besides name, location, host, ports, log level and store. */
	readonly settings?: Readonly<Record<string, unknown>>;
	/** Settings under `store` besides its URL. */
	readonly storeSettings?: Readonly<Record<string, unknown>>;
	/** Options of Node.js for the nodes, such as a limit on the heap. */
	readonly nodeOptions?: readonly string[];
};

/** One node with its upstream; addresses are `HOST:PORT`. */
export type Instance = {
	readonly name: string;
	readonly service: string;
	readonly callersAddress: string;
	readonly control: string;
	/** Address of the port of the node's metrics, which also explains requests. */
	readonly metrics: string;
	readonly upstreamAddress: string;
	readonly metricsAddress: string;
	readonly settingsFile: string;
	node: StartedProcess;
	readonly upstream: StartedProcess;
};

export type System = {
	readonly storeUrl: string;
	readonly instances: readonly Instance[];
	/** Changes the behaviour of all upstreams of a service. */
	readonly setBehaviour: (service: string, behaviour: Readonly<Record<string, unknown>>) => Promise<void>;
	readonly setBehaviourOf: (instance: Instance, behaviour: Readonly<Record<string, unknown>>) => Promise<void>;
	readonly readCounters: (instance: Instance) => Promise<UpstreamCounters>;
	readonly stop: () => Promise<void>;
};

export type UpstreamCounters = {
	readonly started: number;
	readonly finished: number;
	readonly cancelled: number;
	readonly shed: number;
	readonly keys: number;
	readonly repeats: number;
	readonly byPath: Readonly<Record<string, number>>;
};

/**
 * Starts a system and ships its manifest; resolves when every node knows every other as ready. Throws when the shipment fails
 * or the nodes do not find each other in time.
 *
 * @example
 * const system = await startSystem(definition);
 * await system.stop();
 */
export async function startSystem(definition: SystemDefinition): Promise<System> {
	const folder = mkdtempSync(join(tmpdir(), 'laburnumspool-'));
	const [storePort] = await findFreePorts(1);
	const storeUrl = `http://127.0.0.1:${storePort}`;
	const store = startProcess('store', [join(root, 'standins/store/dist/main.js'), '--port', String(storePort)]);
	await store.whenPrinted('ready');
	const shipped = await runToEnd('ship', [join(root, 'packages/manifest/dist/main.js'), 'ship', definition.manifest, '--store', storeUrl]);
	if (shipped.code !== 0) {
		throw new Error(`Shipping the manifest ended with exit code ${shipped.code}, expected 0: ${shipped.lines.join(' ')}`);
	}

	const placements = definition.services.flatMap(service => Array.from({length: definition.instancesPerService}, (_, index) => ({service, index})));
	const ports = await findFreePorts(placements.length * portsPerInstance);
	const instances = await Promise.all(placements.map(async ({service, index}, position) => startInstance(definition, {
		service, index, folder, storeUrl, ports: ports.slice(position * portsPerInstance, (position + 1) * portsPerInstance),
	})));
	await waitUntilJoined(instances);
	return {
		storeUrl,
		instances,
		async setBehaviour(service, behaviour) {
			await Promise.all(instances.filter(instance => instance.service === service).map(async instance => callUpstreamControl(instance, 'behaviour', behaviour)));
		},
		async setBehaviourOf(instance, behaviour) {
			await callUpstreamControl(instance, 'behaviour', behaviour);
		},
		readCounters: async instance => await callUpstreamControl(instance, 'counters', {}) as UpstreamCounters,
		async stop() {
			await Promise.all(instances.flatMap(instance => [stopProcess(instance.node), stopProcess(instance.upstream)]));
			await stopProcess(store);
		},
	};
}

type InstancePlan = {
	readonly service: SystemService;
	readonly index: number;
	readonly folder: string;
	readonly storeUrl: string;
	readonly ports: readonly number[];
};

async function startInstance(definition: SystemDefinition, plan: InstancePlan): Promise<Instance> {
	const {service, index, folder, ports} = plan;
	const [callers, peers, controlPort, upstreamPort, metrics] = ports;
	const name = `${service.service}-${index}`;
	const location = definition.locations[index % definition.locations.length]!;
	const settingsFile = join(folder, `${name}.yaml`);
	const upstreamFile = join(folder, `${name}-upstream.yaml`);
	writeFileSync(settingsFile, stringify({
		name, ...location, host: '127.0.0.1', ports: {
			callers, peers, control: controlPort, metrics,
		}, logLevel: 'info', ...definition.settings, store: {url: plan.storeUrl, ...definition.storeSettings},
	}));
	writeFileSync(upstreamFile, stringify({...service, node: `127.0.0.1:${callers}`}));
	const node = startNode(name, settingsFile, definition.nodeOptions);
	await node.whenPrinted('node: ready');
	const upstream = startProcess(`${name}-upstream`, [join(root, 'standins/upstream/dist/main.js'), '--definition', upstreamFile, '--port', String(upstreamPort)]);
	await upstream.whenPrinted('ready');
	return {
		name,
		service: service.service,
		callersAddress: `127.0.0.1:${callers}`,
		control: `127.0.0.1:${controlPort}`,
		metrics: `127.0.0.1:${metrics}`,
		upstreamAddress: `127.0.0.1:${upstreamPort}`,
		metricsAddress: `127.0.0.1:${metrics}`,
		settingsFile,
		node,
		upstream,
	};
}

/** Starts a node's process; does not wait until the node is ready. */
export function startNode(name: string, settingsFile: string, nodeOptions: readonly string[] = []): StartedProcess {
	return startProcess(name, [...nodeOptions, join(root, 'packages/node/dist/main.js'), '--settings', settingsFile]);
}

/** Waits until every node reports as many members with a ready upstream as there are instances; throws after 150 polls, 100 ms apart. */
export async function waitUntilJoined(instances: readonly Instance[], pollsLeft = maximumJoinPolls): Promise<void> {
	const counts = await Promise.all(instances.map(async instance => countReady(instance.callersAddress)));
	if (counts.every(count => count >= instances.length)) {
		return;
	}

	if (pollsLeft === 0) {
		throw new Error(`The nodes report ${counts.join(', ')} ready members, expected ${instances.length} each`);
	}

	await delay(joinPollMilliseconds);
	await waitUntilJoined(instances, pollsLeft - 1);
}

async function countReady(callersAddress: string): Promise<number> {
	const members = await readMembers(callersAddress);
	return members.filter(member => member.state === 'ready').length;
}

/** Reads the member list of one node. */
export async function readMembers(callersAddress: string): Promise<Array<{name: string; state: string}>> {
	const answer = await request(`http://${callersAddress}/laburnumspool/v1/members`);
	const {members} = await answer.body.json() as {members: Array<{name: string; state: string}>};
	return members;
}

async function callUpstreamControl(instance: Instance, path: string, body: unknown): Promise<unknown> {
	const answer = await request(`http://${instance.upstreamAddress}/control/${path}`, {method: 'POST', body: JSON.stringify(body)});
	return answer.body.json();
}
