import fc from 'fast-check';
import {test} from 'tap';
import {describeFailure, fuzzTargets} from '../fuzz-targets.js';
import {hostileNodeTarget} from '../hostile-inputs.js';

const seed = 20_261_205;
const decoderRuns = 2000;
const nodeRuns = 12;

for (const {name, property} of fuzzTargets) {
	test(`any input is decoded to a valid value or refused as malformed: ${name}`, async t => {
		const result = fc.check(property, {seed, numRuns: decoderRuns});
		t.equal(describeFailure(result), '', `holds for ${result.numRuns} inputs`);
	});
}

test('callers get true answers, and the living nodes see each other again, after hostile inputs to nodes', async t => {
	const result = fc.check(hostileNodeTarget.property, {seed, numRuns: nodeRuns});
	t.equal(describeFailure(result), '', `holds for ${result.numRuns} sequences`);
});
