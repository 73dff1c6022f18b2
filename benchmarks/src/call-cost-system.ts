/**
 * Starts nodes as processes. Their upstreams and callers run in the measuring process, so that only the nodes are counted.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {createServer, type Server} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	readMembers, runToEnd, startProcess, stopProcess, type Started,
} from '@laburnumspool/demo';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {request} from 'undici';
import {stringify} from 'yaml';

const root = fileURLToPath(new URL('../../', import.meta.url));
const announcementIntervalMilliseconds = 500;
const upstreamLatencyMilliseconds = 10;
const joinAttempts = 100;
const joinRetryMilliseconds = 100;
const portsPerNode = 4;
const answerBody = Buffer.from(JSON.stringify({design: 'cedar', padding: '.'.repeat(600)}));

/** Services of the nodes in turn, each with the path that callers request from it through a neighbouring node. */
const services = [
	{service: 'catalogue', path: '/designs/1'},
	{service: 'deliveries', path: '/windows/1'},
] as const;

/** One kind of node to measure. */
export type Arm = {
	readonly name: string;
	/** Runtime options and program of the node; undefined for bare hops. */
	readonly command: readonly string[] | undefined;
};

export type CostSystem = {
	readonly nodes: readonly Started[];
	/** Addresses that receive the calls, in turn. */
	readonly targets: ReadonlyArray<{readonly origin: string; readonly path: string}>;
	readonly stop: () => Promise<void>;
};

/** Starts the nodes of an arm, and waits until each lists all of them as ready; throws when it takes over about 10 s. */
export async function startCostSystem(arm: Arm, count: number, runtimeOptions: readonly string[], signal: NodeJS.Signals): Promise<CostSystem> {
	const ports = await findFreePorts(count * portsPerNode);
	const nodePlans = Array.from({length: count}, (_, index) => ({
		index,
		service: services[index % services.length]!,
		ports: ports.slice(index * portsPerNode, (index + 1) * portsPerNode),
	}));
	const upstreams = await Promise.all(nodePlans.map(async ({ports}) => startUpstream(ports.at(-1)!)));
	const closeUpstreams = (): void => {
		upstreams.map(server => {
			server.closeAllConnections();
			return server.close();
		});
	};

	if (arm.command === undefined) {
		const program = join(root, 'benchmarks/dist/bare-node.js');
		const nodes = await Promise.all(nodePlans.map(async ({index, ports: [callers, peers, _control, upstream]}) => startNode(`bare-${index}`, [
			...runtimeOptions, program, '--callers', String(callers), '--peers', String(peers), '--upstream', `127.0.0.1:${upstream}`, '--peer', String(nodePlans[(index + 1) % count]!.ports[1]),
		])));
		return {
			nodes,
			targets: nodePlans.map(({ports: [callers]}) => ({origin: `http://127.0.0.1:${callers}`, path: '/designs/1'})),
			async stop() {
				await Promise.all(nodes.map(async node => stopProcess(node, signal)));
				closeUpstreams();
			},
		};
	}

	const folder = mkdtempSync(join(tmpdir(), 'laburnumspool-cost-'));
	const [storePort] = await findFreePorts(1);
	const storeUrl = `http://127.0.0.1:${storePort}`;
	const store = startProcess('store', [join(root, 'standins/store/dist/main.js'), '--port', String(storePort)]);
	await store.whenPrinted('ready');
	await runToEnd('ship', [join(root, 'packages/manifest/dist/main.js'), 'ship', join(root, 'examples/burrowline.yaml'), '--store', storeUrl]);
	const nodes = await Promise.all(nodePlans.map(async ({index, service, ports: [callers, peers, control]}) => {
		const name = `${service.service}-${index}`;
		const file = join(folder, `${name}.yaml`);
		writeFileSync(file, stringify({
			name,
			region: 'r',
			failureDomain: index < count / 2 ? 'a' : 'b',
			host: '127.0.0.1',
			ports: {callers, peers, control},
			store: {url: storeUrl},
			controlCalls: false,
			headers: {requestId: 'x-request-id'},
			admission: {adaptiveLimit: false},
			logFormat: 'json',
			lingerMilliseconds: 0,
		}));
		return startNode(name, [...runtimeOptions, ...arm.command!, '--settings', file]);
	}));
	const announcementTimers = nodePlans.map(({service, ports}) => startAnnouncing(`127.0.0.1:${ports[0]}`, service.service, ports.at(-1)!));
	await waitUntilJoined(nodePlans.map(({ports: [callers]}) => `127.0.0.1:${callers}`));
	return {
		nodes,
		targets: nodePlans.map(({index, ports: [callers]}) => {
			const {service, path} = services[(index + 1) % services.length]!;
			return {origin: `http://127.0.0.1:${callers}`, path: `/${service}${path}`};
		}),
		async stop() {
			announcementTimers.map(timer => {
				clearInterval(timer);
				return timer;
			});
			await Promise.all(nodes.map(async node => stopProcess(node, signal)));
			await stopProcess(store);
			closeUpstreams();
		},
	};
}

async function startNode(name: string, parameters: readonly string[]): Promise<Started> {
	const node = startProcess(name, parameters);
	await node.whenPrinted('node: ready');
	return node;
}

async function startUpstream(port: number): Promise<Server> {
	const server = createServer((call, response) => {
		call.resume();
		setTimeout(() => {
			response.writeHead(200, {'content-type': 'application/json', 'content-length': answerBody.length, 'x-request-id': call.headers['x-request-id'] ?? ''});
			response.end(answerBody);
		}, upstreamLatencyMilliseconds);
	});
	server.keepAliveTimeout = 60_000;
	await new Promise<void>(resolve => {
		server.listen(port, '127.0.0.1', resolve);
	});
	return server;
}

function startAnnouncing(node: string, service: string, port: number): NodeJS.Timeout {
	const body = JSON.stringify({
		service, address: `127.0.0.1:${port}`, slots: 40, connections: 40, state: 'ready', load: {inFlight: 0, healthy: true},
	});
	const send = (): void => {
		void request(`http://${node}/laburnumspool/v1/upstream`, {method: 'PUT', body}).then(async answer => answer.body.dump(), () => undefined);
	};

	send();
	return setInterval(send, announcementIntervalMilliseconds);
}

async function waitUntilJoined(nodes: readonly string[], attemptsLeft = joinAttempts): Promise<void> {
	const counts = await Promise.all(nodes.map(async node => {
		const members = await readMembers(node);
		return members.filter(member => member.state === 'ready').length;
	}));
	if (counts.some(count => count < nodes.length)) {
		if (attemptsLeft === 0) {
			throw new Error(`The nodes do not all list each other as ready: ${counts.join(', ')} ready members, expected ${nodes.length}`);
		}

		await delay(joinRetryMilliseconds);
		await waitUntilJoined(nodes, attemptsLeft - 1);
	}
}
