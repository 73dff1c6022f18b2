/**
 * Finds free loopback ports for the processes of tests and of the demonstration.
 *
 * @module
 */
import {once} from 'node:events';
import {createServer} from 'node:net';
import process from 'node:process';

// The blocks end below the ephemeral ports, which start at 32768 on Linux. Otherwise an outgoing connection could take a
// returned port before its user listens on it.
const firstPort = 10_000;
const portsPerBlock = 100;
const blockCount = 200;

/** Lock port of the first block. They follow the last block. */
const firstLockPort = firstPort + (blockCount * portsPerBlock);
let lastOffset = -1;
let reservedBlock: Promise<number> | undefined;

/**
 * Returns ports on 127.0.0.1 that no socket listens on.
 *
 * Each process reserves one block of ports and searches only that, so that concurrent processes do not get the same port. The
 * search resumes after the last port tried: a port is not returned again until the whole block has been tried.
 *
 * @throws When the block has fewer free ports than requested.
 *
 * @example
 * const [callers, peers] = await findFreePorts(2);
 */
export async function findFreePorts(count: number): Promise<number[]> {
	reservedBlock ??= reserveBlock(process.pid % blockCount, blockCount);
	const block = await reservedBlock;
	const ports: number[] = [];
	for (let attempts = 0; ports.length < count; attempts += 1) {
		if (attempts === portsPerBlock) {
			throw new Error(`Fewer than ${count} of the ${portsPerBlock} ports in the block of this process are free`);
		}

		lastOffset = (lastOffset + 1) % portsPerBlock;
		const port = firstPort + (block * portsPerBlock) + lastOffset;
		if (await isFree(port)) { // eslint-disable-line no-await-in-loop
			ports.push(port);
		}
	}

	return ports;
}

/** Listens on the lock port of the first block from `block` on that no other process holds, for as long as this process runs. */
async function reserveBlock(block: number, blocksLeft: number): Promise<number> {
	if (blocksLeft === 0) {
		throw new Error(`All ${blockCount} blocks of ports are reserved by other processes`);
	}

	const server = createServer();
	server.listen(firstLockPort + block, '127.0.0.1');
	try {
		await once(server, 'listening');
	} catch {
		return reserveBlock((block + 1) % blockCount, blocksLeft - 1);
	}

	server.unref();
	return block;
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
