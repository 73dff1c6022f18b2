/**
 * Nodes as processes, with their upstreams and callers in one process beside them, so that only the nodes are counted.
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
const announceMilliseconds = 500;
const workMilliseconds = 10;
const joinTries = 100;
const joinPauseMilliseconds = 100;
const portsPerNode = 4;
const answerBody = Buffer.from(JSON.stringify({design: 'cedar', padding: '.'.repeat(600)}));

/** Services in turn, each with the path that callers ask its neighbour for. */
const services = [
	{service: 'catalogue', path: '/designs/1'},
	{service: 'deliveries', path: '/windows/1'},
] as const;

/** One kind of node to be measured. */
export type Arm = {
	readonly name: string;
	/** Program of the node with the runtime's options before it; undefined for bare hops. */
	readonly command: readonly string[] | undefined;
};

export type CostSystem = {
	readonly nodes: readonly Started[];
	/** Addresses that callers ask, in turn. */
	readonly targets: ReadonlyArray<{readonly origin: string; readonly path: string}>;
	readonly stop: () => Promise<void>;
};

/** Starts the nodes of an arm, and waits until each knows all. */
export async function startCostSystem(arm: Arm, count: number, extra: readonly string[], signal: NodeJS.Signals): Promise<CostSystem> {
	const ports = await findFreePorts(count * portsPerNode);
	const places = Array.from({length: count}, (_, index) => ({
		index,
		service: services[index % services.length]!,
		ports: ports.slice(index * portsPerNode, (index + 1) * portsPerNode),
	}));
	const upstreams = await Promise.all(places.map(async ({ports}) => startUpstream(ports.at(-1)!)));
	const closeUpstreams = (): void => {
		upstreams.map(server => {
			server.closeAllConnections();
			return server.close();
		});
	};

	if (arm.command === undefined) {
		const program = join(root, 'benchmarks/dist/bare-node.js');
		const nodes = await Promise.all(places.map(async ({index, ports: [callers, peers, _control, upstream]}) => startReady(`bare-${index}`, [
			...extra, program, '--callers', String(callers), '--peers', String(peers), '--upstream', `127.0.0.1:${upstream}`, '--peer', String(places[(index + 1) % count]!.ports[1]),
		])));
		return {
			nodes,
			targets: places.map(({ports: [callers]}) => ({origin: `http://127.0.0.1:${callers}`, path: '/designs/1'})),
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
	const nodes = await Promise.all(places.map(async ({index, service, ports: [callers, peers, control]}) => {
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
		return startReady(name, [...extra, ...arm.command!, '--settings', file]);
	}));
	const announcing = places.map(({service, ports}) => announce(`127.0.0.1:${ports[0]}`, service.service, ports.at(-1)!));
	await waitUntilJoined(places.map(({ports: [callers]}) => `127.0.0.1:${callers}`));
	return {
		nodes,
		targets: places.map(({index, ports: [callers]}) => {
			const {service, path} = services[(index + 1) % services.length]!;
			return {origin: `http://127.0.0.1:${callers}`, path: `/${service}${path}`};
		}),
		async stop() {
			announcing.map(timer => {
				clearInterval(timer);
				return timer;
			});
			await Promise.all(nodes.map(async node => stopProcess(node, signal)));
			await stopProcess(store);
			closeUpstreams();
		},
	};
}

async function startReady(name: string, parameters: readonly string[]): Promise<Started> {
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
		}, workMilliseconds);
	});
	server.keepAliveTimeout = 60_000;
	await new Promise<void>(resolve => {
		server.listen(port, '127.0.0.1', resolve);
	});
	return server;
}

function announce(node: string, service: string, port: number): NodeJS.Timeout {
	const body = JSON.stringify({
		service, address: `127.0.0.1:${port}`, slots: 40, connections: 40, state: 'ready', load: {inFlight: 0, healthy: true},
	});
	const send = (): void => {
		void request(`http://${node}/laburnumspool/v1/upstream`, {method: 'PUT', body}).then(async answer => answer.body.dump(), () => undefined);
	};

	send();
	return setInterval(send, announceMilliseconds);
}

async function waitUntilJoined(nodes: readonly string[], triesLeft = joinTries): Promise<void> {
	const counts = await Promise.all(nodes.map(async node => {
		const members = await readMembers(node);
		return members.filter(member => member.state === 'ready').length;
	}));
	if (counts.some(count => count < nodes.length)) {
		if (triesLeft === 0) {
			throw new Error(`The nodes did not find each other: ${counts.join(', ')} of ${nodes.length}`);
		}

		await delay(joinPauseMilliseconds);
		await waitUntilJoined(nodes, triesLeft - 1);
	}
}
