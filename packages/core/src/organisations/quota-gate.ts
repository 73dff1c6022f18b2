/**
 * The interface through which callers' requests of an organisation are counted against its quota.
 *
 * @module
 */

/** Whether a request is within the quota of its organisation. */
export type QuotaDecision
	= | {readonly admitted: true}
		/** Time until the quota has room for a request. */
		| {readonly admitted: false; readonly retryAfterMilliseconds: number};

/**
 * Decides on the requests of organisations by their quotas.
 *
 * @example
 * const decision = gate.admit('pulo780', now);
 * if (decision.admitted) gate.giveBack('pulo780', now); // the request has not run
 */
export type QuotaGate = {
	/**
	 * Counts one request. It is called once for each request of a caller that is otherwise accepted, and not for the calls
	 * that upstreams make.
	 *
	 * @param organisation - name of the organisation
	 * @param now - milliseconds on the clock of this node
	 */
	admit(organisation: string, now: number): QuotaDecision;
	/** Returns the count of an admitted request that has not run anywhere and never will. */
	giveBack(organisation: string, now: number): void;
	/**
	 * A gate that decides as this one would, with the given random numbers, and whose decisions have no effect on this one.
	 * Without it the quota of a request cannot be explained.
	 */
	preview?(organisation: string, random: () => number): QuotaGate;
};
