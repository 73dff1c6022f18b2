/**
 * Starts the nodes of a small deployment as the platform does: the line `run` of deploy/system.toml, with the template of the
 * settings filled in, one loopback address for each machine.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {request as sendRequest} from 'node:http';

const root = path.resolve(import.meta.dirname, '../..');
/** As the site file grown/bgts-mesh-grown.toml has them. */
export const terms = {graceS: 6, drainS: 3, stabilityS: 4};

export async function freePort(host) {
	return new Promise((resolve, reject) => {
		const server = createServer();
		server.once('error', reject);
		server.listen(0, host, () => {
			const {port} = server.address();
			server.close(() => resolve(port));
		});
	});
}

/** Fills in the placeholders of the template; it has no sections. */
function render(template, values) {
	return template.replaceAll(/\{\{([\w.]+)\}\}/gv, (_whole, name) => {
		let value = values;
		for (const key of name.split('.')) {
			value = value?.[key];
		}

		return value === undefined ? '' : String(value);
	});
}

export class Deployment {
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#children = new Set();
	#platformAddress;

	constructor(platformAddress) {
		this.#platformAddress = platformAddress;
	}

	/** Addresses of a machine, before its instance and its node start. */
	async machine({name, host, zone, region = 'one', service}) {
		const ports = await Promise.all(Array.from({length: 6}, async () => freePort(host)));
		const at = position => `${host}:${ports[position]}`;
		return {
			name, host, zone, region, service, outbound: at(0), ready: at(1), control: at(2), range: [ports[3], ports[4]], metrics: ports[5],
		};
	}

	/** Starts the node of a machine; resolves at once. `settings.changes` replaces parts of the settings text. */
	startNode(machine, appAddress, {limits = {}} = {}) {
		const {name, host, zone, region, service, outbound, ready, control, range} = machine;
		const values = {
			node: name, region, zone, ip: host, service, appAddress,
			listen: {outbound, ready, control}, portRange: range,
			platform: {address: this.#platformAddress}, bounds: {graceS: terms.graceS}, limits,
		};
		const file = path.join(this.#folder, `${name}.yaml`);
		const template = readFileSync(path.join(root, 'deploy/settings.yaml'), 'utf8');
		// A machine of its own has the fixed port of the metrics; here the machines share one kernel and differ in their addresses.
		writeFileSync(file, render(template, values).replace('metrics: 9464', `metrics: ${machine.metrics}`));
		const line = /^run = "(?<run>[^"]+)"/mv.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8')).groups.run;
		const [program, ...parameters] = line.replace('/etc/laburnumspool/node.toml', file).split(' ');
		const log = createWriteStream(path.join(this.#folder, `${name}.log`), {flags: 'a'});
		const child = spawn(path.join(root, program), parameters, {cwd: root, env: {PATH: process.env.PATH, HOME: this.#folder, LABURNUMSPOOL_BOOT: file}, stdio: ['ignore', 'pipe', 'pipe']});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		this.#children.add(child);
		child.once('exit', (code, signal) => {
			this.#children.delete(child);
			child.ended = {code, signal, at: Date.now()};
		});
		return child;
	}

	log(name) {
		return readFileSync(path.join(this.#folder, `${name}.log`), 'utf8');
	}

	/** Ends all nodes and removes the temporary folder. */
	async close() {
		const ends = [...this.#children].map(child => new Promise(resolve => {
			child.once('exit', resolve);
			child.kill('SIGKILL');
		}));
		await Promise.all(ends);
		rmSync(this.#folder, {recursive: true, force: true});
	}
}

/** Status of the readiness question; 0 without an answer. */
export async function askReady({ready}, timeout = 1000) {
	const [host, port] = ready.split(':');
	return new Promise(resolve => {
		const request = sendRequest({
			host, port, path: '/laburnumspool/v1/health', agent: false, timeout,
		}, response => {
			response.resume();
			resolve(response.statusCode);
		});
		request.on('timeout', () => request.destroy(new Error('timeout')));
		request.on('error', () => resolve(0));
		request.end();
	});
}

export async function isReady(machine) {
	const status = await askReady(machine);
	return status === 200;
}

export async function areReady(machines) {
	const states = await Promise.all(machines.map(machine => isReady(machine)));
	return states.every(Boolean);
}

export async function until(test, milliseconds, what) {
	const end = Date.now() + milliseconds;
	while (!await test()) { // eslint-disable-line no-await-in-loop
		if (Date.now() > end) {
			throw new Error(`not reached in ${milliseconds} ms: ${what}`);
		}

		await pause(50); // eslint-disable-line no-await-in-loop
	}
}

export const pause = async milliseconds => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

/** Sends one request of a client; resolves to {status, headers, body, milliseconds} or {status: 0, error}. */
export async function ask({outbound}, {id, host, path: target, method = 'GET', deadline = 5000, body, agent = false, signal, headers = {}, localAddress}) {
	const [address, port] = outbound.split(':');
	const startedAt = Date.now();
	return new Promise(resolve => {
		const end = result => resolve({...result, milliseconds: Date.now() - startedAt});
		const request = sendRequest({
			host: address, port, method, path: target, agent, signal, localAddress,
			headers: {
				host, 'laburnumspool-request-id': id, 'laburnumspool-request-deadline': deadline, ...headers, ...(body === undefined ? {} : {'content-length': Buffer.byteLength(body)}),
			},
		}, response => {
			const parts = [];
			response.on('data', part => parts.push(part));
			response.on('end', () => end({status: response.statusCode, headers: response.headers, body: Buffer.concat(parts).toString()}));
			response.on('error', error => end({status: 0, error: error.message}));
		});
		const timer = setTimeout(() => request.destroy(new Error('deadline of the client')), deadline);
		request.on('close', () => clearTimeout(timer));
		request.on('error', error => end({status: 0, error: error.message}));
		request.end(body);
	});
}

/** A configuration as the operator writes it (`fleetbench wire`). Routes: name to {service, semantics, ...}. */
export function toConfig(version, routes, services) {
	return JSON.stringify({
		version,
		routes: Object.fromEntries(Object.entries(routes).map(([name, {service, semantics = 'idempotent', wait = 4000, rank = 1, attempts = 2}]) => [name, {
			host: 'shop.example', prefix: `/${name}/`, semantics, waitMilliseconds: wait, objectiveMilliseconds: 1500, rank, service, attempts,
		}])),
		services: Object.fromEntries(services.map(service => [service, {
			healthPath: '/health', connections: 1054, protocol: 'h1', tls: false,
		}])),
		limits: {
			headerBytes: 16_384, bodyBytes: 67_108_864, headerMilliseconds: 3000, idleMilliseconds: 15_000,
		},
	});
}
