import {test, type Test} from 'tap';
import {Check} from '../soak-checks.js';
import {Credential} from '../soak-organisations.js';
import {runSoak, type SoakReport} from '../soak.js';

const testTimeoutMilliseconds = 150_000;

async function checkSoak(t: Test, isHardLoad: boolean): Promise<SoakReport> {
	t.setTimeout(testTimeoutMilliseconds);
	const report = await runSoak({
		seed: 1, seconds: 10, instancesPerService: 2, hasOrganisations: isHardLoad, hasIncompleteBodies: isHardLoad,
	});
	Object.values(Check).map(check => t.same(report.violations.filter(violation => violation.check === check).map(({text}) => text), [], check));
	t.ok(report.answers['200 ran']! > 0, 'some requests are served');
	return report;
}

test('no guarantee is violated under a series of overlapping faults of real processes', async t => {
	await checkSoak(t, false);
});

test('no guarantee is violated with organisations above a quota or without a valid key, and with incomplete bodies', async t => {
	const {identifiedAnswers} = await checkSoak(t, true);
	t.ok(identifiedAnswers[`401 ${Credential.Unknown}`]! > 0, 'unknown keys are rejected');
	t.ok(identifiedAnswers[`200 ${Credential.Withdrawn}`]! > 0, 'a key is accepted before it is withdrawn');
	t.ok(identifiedAnswers[`429 ${Credential.Limited}`]! > 0, 'requests above the quota are refused');
});
