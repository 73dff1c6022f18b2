/**
 * Mistakes that can be injected into an exploration of at-most-once work, to prove that its checks detect them.
 *
 * @module
 */

/** Injected mistakes. The values are those of the option `--mistake`. */
export enum InjectedMistake {
	None = 'none',
	/** A backup acknowledges claims after it was fenced. */
	AcknowledgesAfterFence = 'acknowledges-after-fence',
	/** A primary dispatches a call before the backup acknowledges its claim. */
	DispatchesBeforeAcknowledgement = 'dispatches-before-acknowledgement',
	/** A restarted node keeps its incarnation, and with it its roles, although it has lost its claims. */
	RestartKeepsRole = 'restart-keeps-role',
	/** The record does not keep the time at which the claims of a range were lost. */
	ForgetsLoss = 'forgets-loss',
	/** A primary releases a claim whose call it dispatches. */
	ReleasesDispatched = 'releases-dispatched',
}
