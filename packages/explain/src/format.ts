/**
 * Formats an explanation as text.
 *
 * @module
 */
import type {
	CandidateExplanation, CheckExplanation, ChoiceExplanation, Explanation, QuotaExplanation,
} from '@laburnumspool/core';
import {formatTable} from '@laburnumspool/load';

const unknown = '-';

/**
 * Formats an explanation, one part after the other in the order in which the node decides.
 *
 * @example
 * formatExplanation(explanation); // 'node       node-1 (r/f), serves catalogue, ready ...'
 */
export function formatExplanation(explanation: Explanation): string {
	const {checks, candidates, choice} = explanation;
	const facts = [
		['node', describeNode(explanation)],
		['manifest', describeManifest(explanation)],
		['request', describeRequest(explanation)],
		['organisation', describeOrganisation(explanation)],
	].map(([name, text]) => `${name!.padEnd(13)}${text}`);
	return [
		...facts, '', 'checks at the entry node', ...checks.map(check => `  ${describeCheck(check)}`), '', ...describeCandidates(candidates, choice), '', ...describeChoice(choice),
	].join('\n');
}

function describeNode({node: {name, region, failureDomain, service, state, costAware}}: Explanation): string {
	const upstream = service === '' ? 'no upstream' : `upstream ${service} ${state}`;
	return `${name} (${region}/${failureDomain}), ${upstream}, placement by ${costAware ? 'expected end' : 'headroom'}`;
}

function describeManifest({manifest}: Explanation): string {
	if (manifest === undefined) {
		return 'none';
	}

	const {revision, newestRevision, ageMilliseconds} = manifest;
	const newest = newestRevision > revision ? `; revision ${newestRevision} is known to exist` : '';
	return `revision ${revision}, ${ageMilliseconds === undefined ? 'never confirmed' : `confirmed ${round(ageMilliseconds)} ms ago`}${newest}`;
}

function describeRequest({request}: Explanation): string {
	if (request === undefined) {
		return 'not resolved';
	}

	const {service, kind, semantics, importance, priority, priorityRange, timeLeftMilliseconds, bodyBytes, isNested, split} = request;
	const range = priorityRange === undefined ? '' : ` (${priorityRange.join(' to ')} by action id)`;
	const weights = split === undefined ? '' : `, split by turns ${split.map(part => `${part.service} ${part.weight}`).join(', ')}`;
	return `${service}/${kind}, ${semantics}${isNested ? ', nested call' : ''}, importance ${importance}, priority ${priority}${range}, ${round(timeLeftMilliseconds)} ms left, body of ${bodyBytes} bytes${weights}`;
}

function describeOrganisation({organisation}: Explanation): string {
	if (organisation === undefined) {
		return 'none';
	}

	return `${organisation.name}, ${organisation.quota === undefined ? 'no quota' : describeQuota(organisation.quota)}`;
}

function describeQuota({requestsPerSecond, burst, room, retryAfterMilliseconds}: QuotaExplanation): string {
	const rate = `quota of ${requestsPerSecond} requests/s, burst ${burst}`;
	const wait = retryAfterMilliseconds === undefined ? '' : `, again after ${Math.ceil(retryAfterMilliseconds)} ms`;
	return `${rate}, room for ${room ?? 'an unknown number of'} requests at this node now${wait}`;
}

function describeCheck({check, result, detail, error}: CheckExplanation): string {
	const answer = error === undefined ? '' : ` (${error.status} ${error.kind})`;
	return `${result.padEnd(8)} ${check.padEnd(14)} ${detail}${answer}`;
}

/** The reason follows the table, since it is the only column of words. */
function describeCandidates(candidates: readonly CandidateExplanation[], choice: ChoiceExplanation): string[] {
	if (candidates.length === 0) {
		return ['no candidates'];
	}

	const header = ['candidate', 'distance', 'free', 'slots', 'level', 'wait ms', 'cost ms', 'end ms', 'link ms', 'age ms'];
	const rows = candidates.map(candidate => [
		candidate.node,
		candidate.distance,
		round(candidate.headroom),
		round(candidate.slots),
		round(candidate.level),
		round(candidate.expectedWaitMilliseconds),
		round(candidate.likelyCostMilliseconds),
		round(candidate.expectedEndMilliseconds),
		round(candidate.linkMilliseconds),
		round(candidate.reportAgeMilliseconds),
	]);
	const [head, ...lines] = formatTable([header, ...rows]).split('\n');
	return [head!, ...lines.map((line, index) => `${line}  ${describeResult(candidates[index]!, choice)}`)];
}

function describeResult({node, passedOver}: CandidateExplanation, {node: chosen}: ChoiceExplanation): string {
	if (passedOver !== undefined) {
		return `${passedOver.reason}: ${passedOver.detail}`;
	}

	return node === chosen ? 'chosen' : 'would be chosen';
}

function describeChoice({node, otherwise, rule, detail, shares = []}: ChoiceExplanation): string[] {
	const hypothetical = otherwise === undefined ? '' : `; otherwise it would go to ${otherwise}`;
	const random = shares.length < 2 ? [] : [`other draws at this moment: ${shares.map(share => `${share.node} ${Math.round(share.share * 100)} %`).join(', ')}`];
	return [`choice: ${node ?? 'none'} (${rule}): ${detail}${hypothetical}`, ...random];
}

function round(value: number | undefined): string {
	return value === undefined ? unknown : String(Math.round(value * 10) / 10);
}
