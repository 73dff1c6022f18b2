/**
 * Compares the latency of exchanges of the size of a call over HTTP/1.1 and over unary gRPC, in one process.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {promisify} from 'node:util';
import {
	credentials, makeGenericClientConstructor, Server, ServerCredentials, type Client, type ServiceDefinition,
} from '@grpc/grpc-js';
import {formatTable, toHistogram} from '@laburnumspool/load';
import {Pool} from 'undici';

const payload = Buffer.alloc(1200, 'x');
const rounds = 5;
const exchangesPerRound = 1500;
const microsecondsPerMillisecond = 1000;
const passThrough = (content: Buffer): Buffer => content;

type Exchange = () => Promise<unknown>;
type OpenTransport = {readonly exchange: Exchange; readonly close: () => Promise<void>};

async function openHttp(): Promise<OpenTransport> {
	const server = createServer((request, response) => {
		request.resume();
		request.once('end', () => {
			response.end(payload);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as {port: number};
	const pool = new Pool(`http://127.0.0.1:${port}`, {connections: 16, pipelining: 1});
	return {
		async exchange() {
			const answer = await pool.request({method: 'POST', path: '/', body: payload});
			return answer.body.arrayBuffer();
		},
		async close() {
			await pool.destroy();
			server.close();
		},
	};
}

async function openGrpc(): Promise<OpenTransport> {
	const service: ServiceDefinition = {
		call: {
			path: '/bench/Call',
			requestStream: false,
			responseStream: false,
			requestSerialize: passThrough,
			requestDeserialize: passThrough,
			responseSerialize: passThrough,
			responseDeserialize: passThrough,
		},
	};
	const server = new Server();
	server.addService(service, {
		call(_call: unknown, callback: (error: null, reply: Buffer) => void) {
			callback(null, payload);
		},
	});
	const port = await promisify(server.bindAsync.bind(server))('127.0.0.1:0', ServerCredentials.createInsecure());
	const ClientClass = makeGenericClientConstructor(service, 'Bench');
	const client = new ClientClass(`127.0.0.1:${port}`, credentials.createInsecure()) as unknown as Client & {call: (request: Buffer, callback: (error: Error | null, reply?: Buffer) => void) => void};
	const call = promisify(client.call.bind(client));
	return {
		exchange: async () => call(payload),
		async close() {
			client.close();
			server.forceShutdown();
		},
	};
}

async function measureLatencies(exchange: Exchange, concurrency: number): Promise<number[]> {
	const latencies: number[] = [];
	await Promise.all(Array.from({length: concurrency}, async () => {
		for (let count = 0; count < exchangesPerRound / concurrency; count += 1) {
			const startedAt = performance.now();
			await exchange(); // eslint-disable-line no-await-in-loop
			latencies.push(performance.now() - startedAt);
		}
	}));
	return latencies;
}

const transports = new Map([['HTTP/1.1', await openHttp()], ['gRPC', await openGrpc()]]);
const rows: string[][] = [];
for (const concurrency of [1, 16]) {
	const samples = new Map<string, number[]>();
	for (let round = 0; round <= rounds; round += 1) {
		for (const [name, {exchange}] of transports) {
			const latencies = await measureLatencies(exchange, concurrency); // eslint-disable-line no-await-in-loop
			samples.set(name, round === 0 ? [] : [...samples.get(name)!, ...latencies]);
		}
	}

	[...samples].map(([name, latencies]) => {
		const histogram = toHistogram(latencies);
		return rows.push([name, String(concurrency), String(latencies.length), (histogram.getValueAtPercentile(50) / microsecondsPerMillisecond).toFixed(3), (histogram.getValueAtPercentile(99) / microsecondsPerMillisecond).toFixed(3)]);
	});
}

process.stdout.write(`${formatTable([['transport', 'at once', 'exchanges', 'p50 ms', 'p99 ms'], ...rows])}\n`);
await Promise.all([...transports.values()].map(async transport => transport.close()));
