/**
 * The checks at the entry node, as parts of an explanation.
 *
 * @module
 */
import {Outcome, statusOf} from '../errors.js';
import type {CallError} from '../messages.js';
import type {ActiveManifest} from '../node/active-manifest.js';
import {ArrivalType, type Arrival} from '../node/request-arrival.js';
import {CheckResult, EntryCheck, type CheckExplanation} from './explanation.js';

/**
 * A check that lets the request pass.
 *
 * @example
 * passedCheck(EntryCheck.Manifest, 'revision 3 is active');
 */
export function passedCheck(check: EntryCheck, detail: string): CheckExplanation {
	return {check, result: CheckResult.Passed, detail};
}

/** A check that refuses the request with the error. */
export function refusedCheck(check: EntryCheck, {kind, detail, retryAfterMilliseconds}: CallError, outcome = Outcome.NotRun): CheckExplanation {
	return {
		check, result: CheckResult.Refused, detail, error: {kind, status: statusOf(kind, outcome), ...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds})},
	};
}

/**
 * The checks of a request's arrival.
 *
 * @param arrival - the decision
 * @param resolved - the same, or for a held request the decision by the active manifest
 */
export function explainArrival(arrival: Arrival, resolved: Arrival, manifest: ActiveManifest, now: number): CheckExplanation[] {
	if (resolved.type === ArrivalType.NoManifest) {
		return [refusedCheck(EntryCheck.Manifest, resolved.error)];
	}

	const manifestChecks = [
		passedCheck(EntryCheck.Manifest, `revision ${manifest.adoption.number} is active`),
		...(arrival.type === ArrivalType.Held
			? [{check: EntryCheck.Revision, result: CheckResult.Delayed, detail: `held for revision ${manifest.adoption.highestObserved} for at most ${Math.ceil(manifest.holdsFor(now))} ms; what follows is decided by revision ${manifest.adoption.number}`}]
			: []),
	];
	if (resolved.type === ArrivalType.Rejected) {
		return [...manifestChecks, refusedCheck(EntryCheck.Request, resolved.result.error)];
	}

	const requestCheck = passedCheck(EntryCheck.Request, 'the route, the key and the headers are accepted');
	return resolved.type === ArrivalType.Stopping
		? [...manifestChecks, requestCheck, refusedCheck(EntryCheck.Stop, resolved.error)]
		: [...manifestChecks, requestCheck];
}
