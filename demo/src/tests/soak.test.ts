import {test} from 'tap';
import {Check} from '../soak-checks.js';
import {runSoak} from '../soak.js';

const testMilliseconds = 150_000;

test('under a series of overlapping faults of real processes the promises hold', async t => {
	t.setTimeout(testMilliseconds);
	const {violations, answers} = await runSoak({seed: 1, seconds: 10, instancesPerService: 2});
	Object.values(Check).map(check => t.same(violations.filter(violation => violation.check === check).map(({text}) => text), [], check));
	t.ok(answers['200 ran']! > 0, 'requests are served');
});
