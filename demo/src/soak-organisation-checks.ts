/**
 * Checks the results of callers that send other keys than the ordinary callers of a soak, and the organisations that the
 * upstreams were told of.
 *
 * @module
 */
import type {SoakRecord} from './soak-checks.js';
import {
	Credential, ordinaryOrganisation, organisationByCredential, organisationHeaders, quota, type IdentifiedResult,
} from './soak-organisations.js';

/** Time after the acknowledgement of a manifest from which a key that it lacks is not accepted. */
const withdrawalLimitMilliseconds = 3000;
const quotaWindowMilliseconds = 5000;
/** Bound on the requests of an organisation that run in a window, over all nodes. */
const quotaBound = (((quota.requestsPerSecond * quotaWindowMilliseconds / 1000) + quota.burst) * 1.1) + 20;
const unauthenticatedStatus = 401;
const quotaStatus = 429;

/** Statuses that only the callers with a credential may get. */
export const credentialStatuses: ReadonlySet<number | undefined> = new Set([unauthenticatedStatus, quotaStatus]);

/** Whether the key of a request, or its lack, has to be rejected wherever the request arrives. */
function mustBeDenied({credential, sentAt}: IdentifiedResult, {withdrawal}: SoakRecord): boolean {
	const isWithdrawn = credential === Credential.Withdrawn && withdrawal !== undefined && sentAt > withdrawal.acceptedAt + withdrawalLimitMilliseconds;
	return isWithdrawn || credential === Credential.Missing || credential === Credential.Unknown;
}

type AnswerCheck = (result: IdentifiedResult, record: SoakRecord) => boolean;

const answerChecks: Readonly<Partial<Record<number, AnswerCheck>>> = {
	[unauthenticatedStatus]: (result, record) => result.outcome === 'not-run' && result.body.includes('"kind":"unauthenticated"')
		&& (mustBeDenied(result, record) || (result.credential === Credential.Withdrawn && record.withdrawal !== undefined && result.endedAt >= record.withdrawal.startedAt)),
	[quotaStatus]: ({credential, outcome, body, retryAfter}) => credential === Credential.Limited && outcome === 'not-run' && body.includes('"kind":"quota-exceeded"') && Number(retryAfter) > 0,
};

/** A node that is stopping or has just started may refuse a request before it looks at the key. */
const mayBeUnready: AnswerCheck = ({entry, status, outcome, sentAt, endedAt}, {nodeDisruptions}) => status === 503 && outcome === 'not-run'
	&& nodeDisruptions.some(disruption => disruption.entry === entry && disruption.startedAt <= endedAt && disruption.readyAt >= sentAt);

/** A request without a valid key gets 401 and never runs; 429 goes only to the organisation with a quota and states when to come back. */
export function findWrongDenials(record: SoakRecord): string[] {
	return record.identified.flatMap(result => {
		const {id, kind, entry, credential, status, outcome, sentAt, body} = result;
		const runs = record.runs.get(`${kind.service}/${id}`) ?? 0;
		const isDenied = mustBeDenied(result, record);
		const check = status === undefined ? () => true : answerChecks[status] ?? (isDenied ? mayBeUnready : () => true);
		const sentAfter = record.withdrawal === undefined ? '' : `, sent ${Math.round(sentAt - record.withdrawal.acceptedAt)} ms after the withdrawal was accepted`;
		return check(result, record) && !(isDenied && runs > 0)
			? []
			: [`${id} with ${credential} got ${status} ${outcome} at ${entry} and ran ${runs} times${sentAfter}: ${body.slice(0, 200)}`];
	});
}

/** Counts only requests that were sent and had ended within the window. */
export function findQuotaOverruns({identified, runs}: SoakRecord): string[] {
	const ran = identified.filter(({credential, id, kind}) => credential === Credential.Limited && runs.has(`${kind.service}/${id}`));
	const counts = ran.map(({sentAt}) => ran.filter(other => other.sentAt >= sentAt && other.endedAt <= sentAt + quotaWindowMilliseconds).length);
	const highest = Math.max(0, ...counts);
	return highest > quotaBound ? [`${highest} requests above the quota ran within ${quotaWindowMilliseconds} ms, expected at most ${quotaBound}`] : [];
}

/**
 * An upstream is told the organisation of the key and nothing else; a nested call has the organisation of its parent. Without
 * organisations in the manifest it is told none.
 */
export function findWrongOrganisations({results, identified, recordedHeaders, hasOrganisations}: SoakRecord): string[] {
	const organisations = new Map([
		...results.map(({id}) => [id, ordinaryOrganisation] as const),
		...identified.map(({id, credential}) => [id, organisationByCredential[credential]] as const),
	]);
	return [...recordedHeaders].flatMap(([instance, byRequest]) => [...byRequest].flatMap(([id, lines]) => {
		// A request whose end was not recorded comes from an ordinary caller, which was cut off before it had sent the whole.
		const organisation = organisations.has(id) ? organisations.get(id) : ordinaryOrganisation;
		const expected = hasOrganisations ? `${organisationHeaders.organisation}: ${organisation}` : '';
		return lines.join(', ') === expected ? [] : [`the upstream of ${instance} received ${id} with "${lines.join(', ')}", expected "${expected}"`];
	}));
}
