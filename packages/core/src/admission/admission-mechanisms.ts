/**
 * Parts of admission control, and what it reports.
 *
 * @module
 */

/** Switches for the parts of admission control, to measure the effect of each one. */
export type AdmissionMechanisms = {
	readonly adaptiveLimit: boolean;
	readonly importanceOrder: boolean;
	readonly overloadLevel: boolean;
	readonly doomedCheck: boolean;
	readonly waitBound: boolean;
	/** Shares of organisations within one importance; on unless it is false. Without effect on calls without an organisation. */
	readonly fairShares?: boolean;
};

export const allAdmissionMechanisms: AdmissionMechanisms = {
	adaptiveLimit: true,
	importanceOrder: true,
	overloadLevel: true,
	doomedCheck: true,
	waitBound: true,
	fairShares: true,
};

/** Load of the upstream, reported with each answer. */
export type AdmissionLoad = {
	/** Free slots for new calls. Negative if calls wait, or if more calls run than the limit now allows. */
	readonly headroom: number;
	/** Lowest priority that is admitted, whatever the organisation. */
	readonly level: number;
};
