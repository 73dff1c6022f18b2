/**
 * Callers of a soak whose bodies stop short of their end or arrive in very small chunks.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import {inChunks, startFlood, whole} from './flood.js';
import type {Instance} from './system.js';

const incompleteBody = whole(900_000, 899_990);
const incompleteConnections = 4;
const smallChunks = inChunks(1, 20_000);
const smallChunkConnections = 2;
const floodMilliseconds = 800;
const floodPauseMilliseconds = 400;

/**
 * Sends incomplete bodies to the nodes in turn, on six connections at a time, until the signal is aborted.
 *
 * @example
 * await sendIncompleteBodies(system.instances, AbortSignal.timeout(8000));
 */
export async function sendIncompleteBodies(instances: readonly Instance[], signal: AbortSignal): Promise<void> {
	for (let round = 0; !signal.aborted; round += 1) {
		const {callersAddress} = instances[round % instances.length]!;
		const floods = [
			startFlood(callersAddress, '/deliveries/windows/', incompleteConnections, incompleteBody),
			startFlood(callersAddress, '/deliveries/windows/', smallChunkConnections, smallChunks),
		];
		await delay(floodMilliseconds); // eslint-disable-line no-await-in-loop
		floods.map(flood => {
			flood.close();
			return flood;
		});
		await delay(floodPauseMilliseconds); // eslint-disable-line no-await-in-loop
	}
}
