/**
 * Waiting until a revision is active on all live nodes.
 *
 * @module
 */
import type {RolloutStatus} from './rollout-status.js';

/** What waiting depends on. Times are in milliseconds. */
export type RolloutDefinition = {
	/** Reads the present status; rejects when the node that lists the others gives no valid answer. */
	readonly readStatus: () => Promise<RolloutStatus>;
	readonly timeoutMilliseconds: number;
	readonly now: () => number;
	/** Pause between two readings. */
	readonly pause: () => Promise<void>;
};

/** Result of waiting. */
export type RolloutResult = {
	readonly isInForce: boolean;
	readonly elapsedMilliseconds: number;
	/** The last status; undefined when no reading succeeded. */
	readonly status: RolloutStatus | undefined;
};

/**
 * Reads the status until the revision is active on all live nodes or the time has passed. A reading that fails, or that
 * lists no live node, does not end the waiting and proves nothing.
 *
 * @example
 * const {isInForce} = await waitForRollout({readStatus, timeoutMilliseconds: 30_000, now: () => Date.now(), pause});
 */
export async function waitForRollout({readStatus, timeoutMilliseconds, now, pause}: RolloutDefinition): Promise<RolloutResult> {
	const startedAt = now();
	const poll = async (previous: RolloutStatus | undefined): Promise<RolloutResult> => {
		const current = await readStatus().catch(() => undefined);
		const status = current ?? previous;
		const elapsedMilliseconds = now() - startedAt;
		const isInForce = current !== undefined && current.liveCount > 0 && current.outdatedNodes.length === 0;
		if (isInForce || elapsedMilliseconds >= timeoutMilliseconds) {
			return {isInForce, elapsedMilliseconds, status};
		}

		await pause();
		return poll(status);
	};

	return poll(undefined);
}
