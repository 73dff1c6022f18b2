/**
 * Ports on loopback for the processes of tests and of the demonstration.
 *
 * @module
 */
import {once} from 'node:events';
import {createServer} from 'node:net';
import process from 'node:process';

/** Ports below those that the system gives to outgoing connections, in a block for each process that asks for some. */
const firstPort = 10_000;
const portsPerBlock = 100;
const blockCount = 200;
let lastOffset = -1;

/**
 * Ports that nobody listens on now, and that neither an outgoing connection nor another process that asks at the same
 * time takes before they are used. No port is given twice until the block has been gone through.
 *
 * @example
 * const [callers, peers] = await findFreePorts(2);
 */
export async function findFreePorts(count: number): Promise<number[]> {
	const ports: number[] = [];
	for (let tries = 0; ports.length < count; tries += 1) {
		if (tries === portsPerBlock) {
			throw new Error(`Fewer than ${count} of the ${portsPerBlock} ports of this process are free`);
		}

		lastOffset = (lastOffset + 1) % portsPerBlock;
		const port = firstPort + ((process.pid % blockCount) * portsPerBlock) + lastOffset;
		if (await isFree(port)) { // eslint-disable-line no-await-in-loop
			ports.push(port);
		}
	}

	return ports;
}

async function isFree(port: number): Promise<boolean> {
	const server = createServer();
	server.listen(port, '127.0.0.1');
	try {
		await once(server, 'listening');
	} catch {
		return false;
	}

	server.close();
	await once(server, 'close');
	return true;
}
