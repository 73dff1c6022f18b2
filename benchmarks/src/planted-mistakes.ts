/**
 * Mistakes that the exploration of at-most-once work has to find.
 *
 * @module
 */

/** Mistakes planted to prove that the checks find them. */
export enum PlantedMistake {
	None = 'none',
	/** A backup acknowledges also after it has begun to take over. */
	AcknowledgesAfterFence = 'acknowledges-after-fence',
	/** A primary dispatches before the acknowledgement. */
	DispatchesBeforeAcknowledgement = 'dispatches-before-acknowledgement',
	/** A restarted node keeps its role, though its memory is gone. */
	RestartKeepsRole = 'restart-keeps-role',
	/** A range without claims forgets that they were lost. */
	ForgetsLoss = 'forgets-loss',
	/** A primary takes back a claim that it dispatches. */
	ReleasesDispatched = 'releases-dispatched',
}
