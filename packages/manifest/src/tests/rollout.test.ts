import {test} from 'tap';
import {waitForRollout} from '../rollout.js';
import type {RolloutStatus} from '../rollout-status.js';

const complete: RolloutStatus = {activeCount: 2, liveCount: 2, outdatedNodes: []};
const partial: RolloutStatus = {activeCount: 1, liveCount: 2, outdatedNodes: ['10.0.0.2:7001']};
const none: RolloutStatus = {activeCount: 0, liveCount: 0, outdatedNodes: []};

/** Waits with readings that come from the list; one of undefined fails, and each pause takes 100 ms. */
async function wait(readings: ReadonlyArray<RolloutStatus | undefined>): ReturnType<typeof waitForRollout> {
	let index = 0;
	let time = 0;
	return waitForRollout({
		async readStatus() {
			const reading = readings[Math.min(index, readings.length - 1)];
			index += 1;
			if (reading === undefined) {
				throw new Error('no answer');
			}

			return reading;
		},
		timeoutMilliseconds: 500,
		now: () => time,
		async pause() {
			time += 100;
		},
	});
}

test('waiting goes on after a reading that fails, and ends when all live nodes have the revision', async t => {
	t.same(await wait([undefined, partial, undefined, complete]), {isInForce: true, elapsedMilliseconds: 300, status: complete});
});

test('an empty list of live nodes is no success', async t => {
	t.same(await wait([none]), {isInForce: false, elapsedMilliseconds: 500, status: none});
	t.same(await wait([none, complete]), {isInForce: true, elapsedMilliseconds: 100, status: complete});
});

test('waiting ends after its time with the last status that was read', async t => {
	t.same(await wait([partial, undefined]), {isInForce: false, elapsedMilliseconds: 500, status: partial});
	t.same(await wait([undefined]), {isInForce: false, elapsedMilliseconds: 500, status: undefined});
});
