/**
 * What tests of a whole node start it with.
 *
 * @module
 */
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {PartLog} from '../index.js';

export const silent = (): void => undefined;

/** A log that nobody reads. */
export const silentLog: PartLog = {
	error: silent, warn: silent, info: silent, debug: silent,
};

/** A port on loopback that nobody listens on. */
export async function freePort(): Promise<number> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as {port: number};
	server.close();
	await once(server, 'close');
	return port;
}
