// Starts the deployed program as separate processes on loopback addresses, and keeps the record of a case.
/* eslint-disable no-await-in-loop, unicorn/no-process-exit, require-unicode-regexp */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync, appendFileSync,
} from 'node:fs';
import {request as sendRequest, Agent} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

export const root = path.join(path.dirname(fileURLToPath(import.meta.url)), '..', '..');
export const delay = async milliseconds => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});
export const isTroubled = process.env.TROUBLE !== '0';

/** Bounds and limits that the pages give for a deployment, as in the example of the settings. */
export const bounds = {graceS: 6};

const isFree = (host, port) => new Promise(resolve => {
	const server = createServer();
	server.once('error', () => resolve(false));
	server.listen(port, host, () => server.close(() => resolve(true)));
});

export class Case {
	#folder = mkdtempSync(path.join(tmpdir(), 'case-'));
	#recordFile;
	#start = performance.now();
	#block;
	nodes = new Map();
	#isEnding = false;
	#nextPort = 20_000 + Math.floor(Math.random() * 8000);

	constructor(caseUrl) {
		this.#recordFile = path.join(path.dirname(fileURLToPath(caseUrl)), 'record.txt');
		writeFileSync(this.#recordFile, '');
		this.#block = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
		this.record(`trouble ${isTroubled ? 'on' : 'off'}`);
		const limit = setTimeout(() => this.end(2, 'the case took longer than 115 s'), 115_000);
		limit.unref();
		process.on('SIGTERM', () => this.end(2, 'stopped'));
		process.on('SIGINT', () => this.end(2, 'stopped'));
		process.on('uncaughtException', error => this.end(2, `the case failed: ${error.stack}`));
		process.on('unhandledRejection', error => this.end(2, `the case failed: ${error.stack}`));
	}

	/** Seconds since the start of the case. */
	get now() {
		return (performance.now() - this.#start) / 1000;
	}

	record = text => {
		appendFileSync(this.#recordFile, `${this.now.toFixed(3)} ${text}\n`);
	};

	ip(number) {
		return `${this.#block}.${number}`;
	}

	async port(host) {
		do {
			this.#nextPort += 1;
		} while (!await isFree(host, this.#nextPort));

		return this.#nextPort;
	}

	/** Writes the settings of a node from the template of the deploy file. */
	async addNode({name, number, region, zone, service, storeHost, storePort, appPort}) {
		const host = this.ip(number);
		const [outbound, ready, control, peers, gossip, app] = await Promise.all([1, 2, 3, 4, 5, 6].map(() => undefined)).then(async () => {
			const ports = [];
			for (let count = 0; count < 6; count += 1) {
				ports.push(await this.port(host));
			}

			return ports;
		});
		const values = {
			node: name, region, zone, ip: host, 'listen.outbound': `${host}:${outbound}`, 'portRange.0': peers, 'portRange.1': gossip, 'listen.ready': `${host}:${ready}`,
			'listen.control': `${host}:${control}`, service, appAddress: `${host}:${appPort ?? app}`, 'platform.address': `${storeHost}:${storePort}`, 'bounds.graceS': bounds.graceS,
		};
		const template = readFileSync(path.join(root, 'deploy/settings.yaml'), 'utf8');
		const text = template.replaceAll(/{{([^}]+)}}/g, (_all, key) => {
			if (values[key] === undefined) {
				throw new Error(`no value for ${key}`);
			}

			return String(values[key]);
		});
		const file = path.join(this.#folder, `${name}.yaml`);
		writeFileSync(file, text);
		const node = {
			name, host, outbound, ready, control, peers, gossip, app: appPort ?? app, file, process: undefined, starts: 0, ends: [], service, zone, log: '',
		};
		this.nodes.set(name, node);
		return node;
	}

	/** Starts a node with the line `run` of the deploy file. */
	startNode(node) {
		const line = /^run = "([^"]+)"/m.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'))[1];
		const [program, ...parameters] = line.split(' ').map(word => word === '/etc/laburnumspool/node.toml' ? node.file : word);
		const {PATH, HOME, LANG} = process.env;
		const child = spawn(path.join(root, program), parameters, {
			cwd: root, env: {
				PATH, HOME, LANG, LABURNUMSPOOL_BOOT: node.file,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		node.process = child;
		node.starts += 1;
		this.record(`start ${node.name} pid=${child.pid}`);
		const log = chunk => {
			if (process.env.LOGS === '1') {
				process.stderr.write(`[${this.now.toFixed(3)} ${node.name}] ${chunk}`);
			}

			node.log = (node.log + chunk).slice(-20_000);
		};

		child.stdout.on('data', log);
		child.stderr.on('data', log);
		child.on('exit', (code, signal) => {
			node.ends.push({code, signal, at: this.now});
			this.record(`exit ${node.name} code=${code} signal=${signal}`);
		});
		child.on('error', error => this.end(2, `cannot start ${node.name}: ${error.message}`));
		return child;
	}

	/** Waits until the node answers its health check with 200; the case cannot run otherwise. */
	async untilReady(node, seconds = 20) {
		const until = this.now + seconds;
		while (this.now < until) {
			const {status} = await this.call({
				host: node.host, port: node.ready, path: '/laburnumspool/v1/health', timeout: 1000,
			});
			if (status === 200) {
				this.record(`ready ${node.name}`);
				return;
			}

			await delay(50);
		}

		this.end(2, `${node.name} is not ready after ${seconds} s\n${node.log}`);
	}

	/** One HTTP request on a new connection; status 0 without an answer. */
	call({host, port, method = 'GET', path, headers = {}, body, timeout = 5000, agent = new Agent({keepAlive: false})}) {
		return new Promise(resolve => {
			const sentAt = this.now;
			const request = sendRequest({
				host, port, method, path, headers, agent,
			}, response => {
				const chunks = [];
				response.on('data', chunk => chunks.push(chunk));
				response.on('close', () => resolve({
					status: response.complete ? response.statusCode : 0, headers: response.headers, body: Buffer.concat(chunks), sentAt, at: this.now,
				}));
			});
			const timer = setTimeout(() => request.destroy(new Error('timeout')), timeout);
			request.on('close', () => clearTimeout(timer));
			request.on('error', error => resolve({
				status: 0, error: error.code ?? error.message, sentAt, at: this.now,
			}));
			request.end(body);
		});
	}

	/** One request of a client on the node's machine, written to the record. */
	async send(node, {id, method = 'GET', hostName, path, deadline = 2000, body, agent}) {
		const result = await this.call({
			host: node.host, port: node.outbound, method, path, body, agent, timeout: deadline + 1500,
			headers: {
				host: hostName, 'laburnumspool-request-id': id, 'laburnumspool-request-deadline': String(deadline), ...(body === undefined ? {} : {'content-length': Buffer.byteLength(body)}),
			},
		});
		this.record(`sent ${id} at ${result.sentAt.toFixed(3)} ${method} ${path} to ${node.name}: ${result.status} ${result.error ?? ''}`);
		return result;
	}

	/** Ends all processes, removes the temporary folder and exits. */
	end(code, text) {
		if (this.#isEnding) {
			return;
		}

		this.#isEnding = true;
		this.record(`result ${code}: ${text}`);
		process.stdout.write(`${code === 0 ? 'held' : (code === 1 ? 'BROKEN' : 'could not run')}: ${text}\n`);
		for (const {process: child} of this.nodes.values()) {
			if (child !== undefined && child.exitCode === null) {
				child.kill('SIGCONT');
				child.kill('SIGKILL');
			}
		}

		setTimeout(() => {
			rmSync(this.#folder, {recursive: true, force: true});
			process.exit(code);
		}, 200);
	}
}
