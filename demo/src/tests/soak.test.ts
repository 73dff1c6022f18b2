import {test} from 'tap';
import {Check} from '../soak-checks.js';
import {runSoak} from '../soak.js';

const testTimeoutMilliseconds = 150_000;

test('no guarantee is violated under a series of overlapping faults of real processes', async t => {
	t.setTimeout(testTimeoutMilliseconds);
	const {violations, answers} = await runSoak({seed: 1, seconds: 10, instancesPerService: 2});
	Object.values(Check).map(check => t.same(violations.filter(violation => violation.check === check).map(({text}) => text), [], check));
	t.ok(answers['200 ran']! > 0, 'some requests are served');
});
