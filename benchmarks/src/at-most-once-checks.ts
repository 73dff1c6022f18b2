/**
 * Invariants of at-most-once work, checked while a schedule runs.
 *
 * @module
 */

/**
 * Records the dispatches and refusals of one schedule, and the invariants that they violate.
 *
 * @example
 * const checks = new AtMostOnceChecks();
 * checks.opened('c1', 'key');
 * checks.dispatched('c1', 'key');
 * checks.violations; // []
 */
export class AtMostOnceChecks {
	readonly violations: string[] = [];
	confirmedRefusals = 0;
	readonly #dispatched = new Map<string, string[]>();
	readonly #callsNotRun = new Set<string>();
	readonly #callKeys = new Map<string, string>();

	get dispatchCount(): number {
		return [...this.#dispatched.values()].reduce((sum, calls) => sum + calls.length, 0);
	}

	opened(callId: string, key: string): void {
		this.#callKeys.set(callId, key);
	}

	/** Key of an opened call. */
	keyOf(callId: string): string | undefined {
		return this.#callKeys.get(callId);
	}

	dispatched(callId: string, key: string): void {
		const calls = this.#dispatched.get(key) ?? [];
		if (calls.length > 0) {
			this.violations.push(`key ${key} was dispatched for ${calls.join(', ')} and for ${callId}`);
		}

		if (this.#callsNotRun.has(callId)) {
			this.violations.push(`call ${callId} was dispatched after it was reported as not run`);
		}

		this.#dispatched.set(key, [...calls, callId]);
	}

	/** @param coversAction - whether the refusal also states that no earlier call with the key ran */
	refused(callId: string, coversAction: boolean): void {
		this.#callsNotRun.add(callId);
		const key = this.#callKeys.get(callId);
		if (!coversAction || key === undefined) {
			return;
		}

		// A later call may run while the refusal is in transit, but no earlier call may have run.
		this.confirmedRefusals += 1;
		const hasEarlierDispatch = (this.#dispatched.get(key) ?? []).some(other => callNumberOf(other) < callNumberOf(callId));
		if (hasEarlierDispatch) {
			this.violations.push(`call ${callId} was confirmed as not run although key ${key} had run`);
		}
	}
}

function callNumberOf(callId: string): number {
	return Number(callId.slice(1));
}
