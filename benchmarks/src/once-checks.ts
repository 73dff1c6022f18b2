/**
 * What must hold of at-most-once work, checked while a schedule runs.
 *
 * @module
 */

/**
 * Dispatches and refusals of one schedule, and what they break.
 *
 * @example
 * const checks = new OnceChecks();
 * checks.opened('c1', 'key');
 * checks.dispatched('c1', 'key');
 * checks.violations; // []
 */
export class OnceChecks {
	readonly violations: string[] = [];
	confirmedRefusals = 0;
	readonly #dispatched = new Map<string, string[]>();
	readonly #refusedCalls = new Set<string>();
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

		if (this.#refusedCalls.has(callId)) {
			this.violations.push(`call ${callId} was dispatched after it was reported not run`);
		}

		this.#dispatched.set(key, [...calls, callId]);
	}

	/** @param isConfirmed - whether the refusal also speaks of earlier tries with the key */
	refused(callId: string, isConfirmed: boolean): void {
		this.#refusedCalls.add(callId);
		const key = this.#callKeys.get(callId);
		if (!isConfirmed || key === undefined) {
			return;
		}

		// A try that comes later may run while the refusal is on its way; an earlier one may not have run.
		this.confirmedRefusals += 1;
		const hasEarlier = (this.#dispatched.get(key) ?? []).some(other => numberOf(other) < numberOf(callId));
		if (hasEarlier) {
			this.violations.push(`call ${callId} was confirmed as not run though key ${key} had run`);
		}
	}
}

function numberOf(callId: string): number {
	return Number(callId.slice(1));
}
