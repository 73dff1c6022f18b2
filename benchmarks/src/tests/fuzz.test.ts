import {Liveness, UpstreamState, type Member} from '@laburnumspool/core';
import fc from 'fast-check';
import {test} from 'tap';
import {describeFailure, fuzzTargets} from '../fuzz-targets.js';
import {createFalseView, hostileNodeTarget, runHostileInputs} from '../hostile-inputs.js';

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

const falseMember = (name: string, host: string, changes: Partial<Member>): Member => ({
	name,
	incarnation: 2,
	version: 0,
	location: {region: 'r', failureDomain: 'f0'},
	host,
	callersPort: 1,
	peersPort: 2,
	controlPort: 3,
	service: 'shop',
	state: UpstreamState.Starting,
	slots: 0,
	liveness: Liveness.Alive,
	...changes,
});

/** Sequences with which a run of the fuzzer left living nodes out of the views of others. */
const keptCases = {
	'a false entry with the address of another node, and one with a far higher incarnation': [
		createFalseView(2, [falseMember('shop-1', 'shop-0', {incarnation: 1, version: 4})]),
		createFalseView(2, [falseMember('shop-0', 'shop-2', {incarnation: 1_800_000_000_000}), falseMember('ghost-1', '10.9.9.9', {incarnation: 0})]),
	],
	'a node that holds all others for dead or left': [
		createFalseView(0, [falseMember('shop-1', 'shop-0', {})]),
		createFalseView(1, [falseMember('shop-0', 'shop-0', {incarnation: 1_800_000_000_000, state: UpstreamState.Left}), falseMember('shop-2', 'shop-1', {})]),
	],
	'an entry with the present incarnation and version of a node, and another state': [
		createFalseView(0, [falseMember('shop-2', 'shop-0', {})]),
		createFalseView(2, [falseMember('shop-1', 'shop-0', {
			incarnation: 1, version: 3, state: UpstreamState.Left, liveness: Liveness.Dead,
		})]),
		createFalseView(2, [falseMember('shop-0', 'shop-0', {incarnation: 3, version: 1, state: UpstreamState.Left})]),
	],
};

for (const [name, inputs] of Object.entries(keptCases)) {
	test(`the living nodes see each other again after ${name}`, async t => {
		t.same(runHostileInputs(0, inputs), []);
	});
}
