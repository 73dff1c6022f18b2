import {test} from 'tap';
import {
	Liveness, NodeCore, UpstreamState, type NodeDefinition,
} from '@laburnumspool/core';
import {openMetrics} from '../metrics.js';
import {checkSettings} from '../settings.js';

const definition: NodeDefinition = {
	own: {
		name: 'p', incarnation: 1, version: 1, location: {region: 'r', failureDomain: 'f'}, host: 'p', callersPort: 1, peersPort: 2, controlPort: 3, service: '',
		state: UpstreamState.Starting, slots: 0, liveness: Liveness.Alive,
	},
	wallClock: () => 0,
	random: () => 0.5,
	newActionId: () => '0'.repeat(32),
	membershipTimes: {probeIntervalMilliseconds: 1000, suspicionMilliseconds: 3000, exchangeIntervalMilliseconds: 10_000},
	claimLimits: {maximumClaims: 1, maximumAnswerBytes: 1},
	storeOutageLimitMilliseconds: 1000,
	clockErrorMilliseconds: 0,
};

// Guards against a counter that is missing, or that is shown by nodes that do not use early refusal.
test('early refusals are counted by service and kind once there are any', async t => {
	const metrics = await openMetrics(undefined, 'p');
	const core = new NodeCore(definition);
	metrics.gauge(core, 0);
	const before = await metrics.text();
	t.notMatch(before.text, /early_refusals/u);
	Object.defineProperty(core, 'earlyRefusals', {value: new Map([['s/show/all', 3]])});
	metrics.gauge(core, 0);
	const after = await metrics.text();
	t.match(after.text, /laburnumspool_early_refusals_total\{service="s",kind="show\/all",node="p"\} 3/u);
	metrics.close();
});

test('early refusal is off by default, and its setting is checked', async t => {
	const settings = {
		name: 'p', region: 'r', failureDomain: 'f', host: '127.0.0.1', ports: {callers: 1, peers: 2, control: 3}, store: {url: 'http://127.0.0.1:4'},
	};
	t.equal(checkSettings(settings).admission.earlyRefusal, false);
	t.equal(checkSettings({...settings, admission: {earlyRefusal: true}}).admission.earlyRefusal, true);
	t.throws(() => checkSettings({...settings, admission: {earlyRefusal: 'yes'}}), /earlyRefusal/u);
});
