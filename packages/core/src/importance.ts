/**
 * Importance of requests, and the priority of customer actions that is derived from it.
 *
 * @module
 */

/** Importance of a request kind, set by the operators in the manifest. */
export enum Importance {
	Critical = 'critical',
	High = 'high',
	Normal = 'normal',
	Low = 'low',
}

const ranks: Readonly<Record<Importance, number>> = {
	[Importance.Low]: 0,
	[Importance.Normal]: 1,
	[Importance.High]: 2,
	[Importance.Critical]: 3,
};

/** Number of cohorts into which the customer actions of one importance are divided. */
export const cohortCount = 128;

/** Bands of the cohorts of one importance, one for each importance of a route. */
const bandCount = 4;
const cohortsPerBand = cohortCount / bandCount;

/** Exclusive upper bound of all priorities. */
export const highestPriority = 4 * cohortCount;

/**
 * Rank of an importance; a higher rank is more important.
 *
 * @example
 * rankOf(Importance.Critical); // 3
 */
export function rankOf(importance: Importance): number {
	return ranks[importance];
}

/**
 * Priority of a customer action: importance first, then cohort. All calls of an action have the same priority, so
 * that overloaded services refuse the same actions and complete the others.
 *
 * @example
 * priorityOf(Importance.Normal, 5); // 133
 */
export function priorityOf(importance: Importance, cohort: number): number {
	return (ranks[importance] * cohortCount) + cohort;
}

/**
 * Cohort of a customer action, uniformly distributed over action ids.
 *
 * @param actionId - 32 hexadecimal digits, the trace id of the action
 * @returns a whole number in [0, cohortCount); 0 when the id does not end in hexadecimal digits
 * @example
 * cohortOf('4bf92f3577b34da6a3ce929d0e0e4736'); // 0x36 % 128 = 54
 */
export function cohortOf(actionId: string): number {
	const lastByte = Number.parseInt(actionId.slice(-2), 16);
	return Number.isNaN(lastByte) ? 0 : lastByte % cohortCount;
}

/**
 * Cohort of a customer action whose importance is that of its organisation: the importance of the route selects the band,
 * and the action id the cohort within the band.
 *
 * @returns a whole number in [0, cohortCount)
 * @example
 * cohortInBand(Importance.High, '4bf92f3577b34da6a3ce929d0e0e4736'); // (2 * 32) + (0x36 % 32) = 86
 */
export function cohortInBand(routeImportance: Importance, actionId: string): number {
	return (ranks[routeImportance] * cohortsPerBand) + (cohortOf(actionId) % cohortsPerBand);
}
