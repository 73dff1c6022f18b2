import {test} from 'tap';
import {Check, findViolations, type SoakRecord} from '../soak-checks.js';
import {noAnswer, SoakPhase} from '../soak-clients.js';
import {windows} from '../soak-kinds.js';
import {Credential, ordinaryOrganisation, type IdentifiedResult} from '../soak-organisations.js';
import {DisruptionType} from '../soak-plan.js';

const withdrawal = {startedAt: 2000, acceptedAt: 3000};
const stop = {
	entry: 'deposits-0', type: DisruptionType.Stop, startedAt: 900, endedAt: 1100, readyAt: 1500, code: 0,
};

function result(id: string, credential: Credential, sentAt: number, changes: Partial<IdentifiedResult> = {}): IdentifiedResult {
	return {
		...noAnswer, id, credential, sentAt, kind: windows, phase: SoakPhase.Faults, entry: 'deposits-0', writtenAt: sentAt, endedAt: sentAt + 10, isReused: true, ...changes,
	};
}

const served = (id: string, credential: Credential, sentAt: number): IdentifiedResult => result(id, credential, sentAt, {
	status: 200, outcome: 'ran', signature: windows.service, answeredId: id, body: JSON.stringify({id, service: windows.service, padding: '.'.repeat(windows.bodyBytes)}),
});
const denied = (credential: Credential, sentAt: number, changes: Partial<IdentifiedResult> = {}): IdentifiedResult => result('a', credential, sentAt, {
	status: 401, outcome: 'not-run', body: '{"kind":"unauthenticated"}', ...changes,
});
const limited = (changes: Partial<IdentifiedResult> = {}): IdentifiedResult => denied(Credential.Limited, 1000, {
	status: 429, body: '{"kind":"quota-exceeded"}', retryAfter: '0.4', ...changes,
});
const ran = (...ids: readonly string[]): ReadonlyMap<string, number> => new Map(ids.map(id => [`${windows.service}/${id}`, 1]));

function checksOf(changes: Partial<SoakRecord>): Check[] {
	return findViolations({
		results: [], nodeDisruptions: [], runs: new Map(), instanceRuns: new Map(), versions: [{version: 1, acceptedAt: 0}], storeOutages: [], drains: [], memory: [], retriesPerAction: 3,
		hasOrganisations: true, identified: [], withdrawal, recordedHeaders: new Map(), ended: [], ...changes,
	}).map(({check}) => check);
}

/** Guards against a request without a valid key that is served, or refused as anything else without a reason. */
test('a request without a valid key that runs or does not get 401 is reported', async t => {
	[Credential.Missing, Credential.Unknown].map(credential => {
		t.same(checksOf({identified: [denied(credential, 1000)]}), []);
		t.same(checksOf({identified: [served('a', credential, 1000)], runs: ran('a')}), [Check.Denial]);
		t.same(checksOf({identified: [result('a', credential, 1000)], runs: ran('a')}).includes(Check.Denial), true, 'it ran without an answer');
		const unready = denied(credential, 1000, {status: 503, body: '{"kind":"not-ready"}'});
		t.same(checksOf({identified: [unready]}), [Check.Denial]);
		return t.same(checksOf({identified: [unready], nodeDisruptions: [stop]}), [], 'the node was stopping or starting');
	});
	t.same(checksOf({identified: [denied(Credential.Missing, 1000)], runs: ran('a')}), [Check.NotRun, Check.Denial]);
	t.same(checksOf({identified: [denied(Credential.Missing, 1000, {outcome: 'unknown'})]}), [Check.Denial]);
	t.same(checksOf({identified: [denied(Credential.Limited, 1000)]}), [Check.Denial], 'the key is valid');
});

/** Guards against a key that works for longer than a manifest takes to be in force everywhere. */
test('a withdrawn key that works 3 s after the acknowledgement, or is denied before the withdrawal, is reported', async t => {
	t.same(checksOf({identified: [served('a', Credential.Withdrawn, 6000)], runs: ran('a')}), []);
	t.same(checksOf({identified: [served('a', Credential.Withdrawn, 6001)], runs: ran('a')}), [Check.Denial]);
	t.same(checksOf({identified: [denied(Credential.Withdrawn, 6001)]}), []);
	t.same(checksOf({identified: [denied(Credential.Withdrawn, 2500)]}), []);
	t.same(checksOf({identified: [denied(Credential.Withdrawn, 1500)]}), [Check.Denial]);
	t.same(checksOf({identified: [denied(Credential.Withdrawn, 6001)], withdrawal: undefined}), [Check.Denial]);
});

/** Guards against a quota that is exceeded, and against refusals because of it that callers cannot rely on. */
test('a quota that is exceeded, and a 429 that ran, lacks retry-after or has no quota, are reported', async t => {
	t.same(checksOf({identified: [limited()]}), []);
	t.same(checksOf({identified: [limited()], runs: ran('a')}), [Check.NotRun]);
	t.same(checksOf({identified: [limited({retryAfter: undefined})]}), [Check.Denial]);
	t.same(checksOf({identified: [limited({credential: Credential.Withdrawn})]}), [Check.Denial]);
	const ids = Array.from({length: 54}, (_, index) => `id-${index}`);
	const requests = (interval: number): IdentifiedResult[] => ids.map((id, index) => served(id, Credential.Limited, index * interval));
	t.same(checksOf({identified: requests(90), runs: ran(...ids)}), [Check.Quota]);
	t.same(checksOf({identified: requests(100), runs: ran(...ids)}), []);
});

/** Guards against an organisation that the caller chose, and against keys that leave the entry node. */
test('an organisation other than that of the key, and a key that reaches an upstream, are reported', async t => {
	const checksOfHeaders = (lines: readonly string[], changes: Partial<SoakRecord> = {}): Check[] => checksOf({recordedHeaders: new Map([['deliveries-0', new Map([['a', lines]])]]), ...changes});
	const ordinary = `x-organisation: ${ordinaryOrganisation}`;
	t.same(checksOfHeaders([ordinary]), []);
	t.same(checksOfHeaders([]), [Check.Organisation]);
	t.same(checksOfHeaders(['x-organisation: forged']), [Check.Organisation]);
	t.same(checksOfHeaders([ordinary, 'x-organisation: forged']), [Check.Organisation]);
	t.same(checksOfHeaders([ordinary, 'x-key: soak-key-lakeside-market']), [Check.Organisation]);
	t.same(checksOfHeaders([ordinary], {identified: [served('a', Credential.Limited, 1000)], runs: ran('a')}), [Check.Organisation]);
	t.same(checksOfHeaders(['x-organisation: corner-shop'], {identified: [served('a', Credential.Limited, 1000)], runs: ran('a')}), []);
	t.same(checksOfHeaders(['x-organisation: forged'], {hasOrganisations: false}), [Check.Organisation], 'a manifest without organisations');
});

test('a node that ended by itself is reported', async t => {
	t.same(checksOf({ended: ['deposits-0']}), [Check.Liveness]);
});
