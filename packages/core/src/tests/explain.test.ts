import {Buffer} from 'node:buffer';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {test} from 'tap';
import {
	AnnouncedState, CheckResult, ChoiceRule, EntryCheck, ErrorKind, NodeCore, NodeEffectType, Outcome, PassedOver, rangeCount, safeParseManifest, safeReadManifest, UpstreamState,
	type CallerRequest, type Explanation, type Manifest, type NodeDefinition, type NodeEffect, type Revision, type VersionedRecord,
} from '../index.js';
import {createMember} from './fixtures.js';

const definition: NodeDefinition = {
	own: createMember('p', {service: ''}),
	wallClock: () => 0,
	random: () => 0.5,
	newActionId: () => '0'.repeat(30) + 'ff',
	membershipTimes: {probeIntervalMilliseconds: 1000, suspicionMilliseconds: 3000, exchangeIntervalMilliseconds: 10_000},
	claimLimits: {maximumClaims: 10, maximumAnswerBytes: 1000},
	storeOutageLimitMilliseconds: 1000,
	clockErrorMilliseconds: 0,
	costAwarePlacement: true,
	organisationHeader: 'x-organisation',
};

const route = {host: 'h', semantics: 'idempotent', service: 's'};
const document = {
	version: 1,
	services: {s: {}, other: {}, empty: {}},
	routes: {
		orders: {...route, prefix: '/orders/', rank: 2}, nobody: {...route, prefix: '/nobody/', service: 'empty'},
		split: {...route, prefix: '/split/', split: [{service: 's', weight: 2}, {service: 'other', weight: 1}]},
	},
	organisations: {acme: {keys: ['a1']}, small: {keys: ['s1'], requestsPerSecond: 1, burst: 1}},
};

function createRevision(number: number): Revision {
	const result = safeReadManifest(document);
	if (!result.success) {
		throw new Error(JSON.stringify(result.issues));
	}

	return {number, document: '', manifest: result.manifest};
}

const peerNames = ['q', 'r', 'u', 'x'];

function startNode(changes: Partial<NodeDefinition> = {}): NodeCore {
	const node = new NodeCore({...definition, ...changes});
	node.manifestArrived(createRevision(1), 0);
	node.upstreamAnnounced({
		service: 's', slots: 2, state: AnnouncedState.Ready, load: undefined,
	}, 0);
	node.viewArrived([
		...peerNames.map((name, index) => createMember(name, {location: {region: 'r', failureDomain: index < 2 ? 'p' : 'far'}})),
		createMember('o', {service: 'other'}),
	], [], 0);
	return node;
}

function createRequest(entryId: number, changes: Partial<CallerRequest> & {target?: string} = {}): CallerRequest {
	const {target = '/orders/', ...others} = changes;
	return {
		entryId, host: 'h', service: '', organisationKey: 'a1', request: {
			method: 'GET', target, headers: [], body: Buffer.alloc(0), digest: '',
		}, key: undefined, timeoutMilliseconds: undefined, traceparent: undefined, tracestate: undefined, ...others,
	};
}

function explain(node: NodeCore, changes: Parameters<typeof createRequest>[1] = {}, now = 10, random = (): number => 0.5): Explanation {
	return node.explain({caller: createRequest(0, changes), bodyBytes: 0}, random, now);
}

function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}

/** One step of a busy node: a request, often the answer to an earlier call, and sometimes a tick. */
function createTraffic(node: NodeCore, random: () => number): (step: number) => readonly NodeEffect[] {
	const open: Array<Extract<NodeEffect, {type: NodeEffectType.SendCall}>> = [];
	return step => {
		const now = 20 + (step * 7);
		const target = ['/orders/', '/split/', '/nobody/'][Math.floor(random() * 3)]!;
		const effects = [...node.callerRequested(createRequest(step, {target, organisationKey: ['a1', 's1', 'none'][Math.floor(random() * 3)]!}), now)];
		open.push(...effects.filter(effect => effect.type === NodeEffectType.SendCall));
		const sent = random() < 0.8 ? open.shift() : undefined;
		if (sent !== undefined) {
			const work = {
				workLeftMilliseconds: random() * 50, ownMilliseconds: 1 + (random() * 40), slowdown: 1 + random(), ageMilliseconds: 0,
			};
			const isShed = random() < 0.1;
			effects.push(...node.callAnswered({
				callId: sent.frame.callId,
				outcome: isShed ? Outcome.NotRun : Outcome.Ran,
				coversAction: false,
				answer: isShed ? undefined : {status: 200, headers: [], body: Buffer.alloc(0)},
				error: isShed ? {kind: ErrorKind.UpstreamRefused, detail: ''} : undefined,
				retriesSpent: 0,
				serving: {
					headroom: Math.floor(random() * 5) - 1, level: Math.floor(random() * 200), downstreamLevel: 0, draining: random() < 0.05, revision: 1, servedMilliseconds: 3, work,
				},
			}, 0, now + 1));
		}

		return random() < 0.3 ? [...effects, ...node.advance(now + 2)] : effects;
	};
}

// Guards against a question that takes a token, a turn of a split, a random number or a count, or that records a level.
test('1,000 questions change neither the state of a node nor its later decisions', async t => {
	for (const seed of [1, 2, 3]) {
		const [asked, other] = [0, 1].map(() => startNode({random: createRandom(seed)})) as [NodeCore, NodeCore];
		const askedTraffic = createTraffic(asked, createRandom(seed + 100));
		const otherTraffic = createTraffic(other, createRandom(seed + 100));
		const random = createRandom(seed + 200);
		let differences = 0;
		for (let step = 0; step < 200; step += 1) {
			for (let question = 0; question < 5; question += 1) {
				explain(asked, {target: ['/orders/', '/split/'][question % 2]!, organisationKey: ['a1', 's1', 'none'][question % 3]!}, 20 + (step * 7), random);
			}

			differences += JSON.stringify(askedTraffic(step)) === JSON.stringify(otherTraffic(step)) ? 0 : 1;
		}

		t.equal(differences, 0, `seed ${seed}: the same effects in each step`);
		t.same(asked.quotas.counts, other.quotas.counts);
		t.same([...asked.placementChoices], [...other.placementChoices]);
		t.same([asked.openCalls, asked.admission.load, asked.admission.inFlight], [other.openCalls, other.admission.load, other.admission.inFlight]);
		t.ok(asked.placementChoices.size > 1, 'the traffic uses several rules');
	}
});

// Guards against an explanation by rules of its own, which would differ from what the node does.
test('the explained choice is what the node does with the same random numbers', async t => {
	const drawn = {value: 0};
	const random = (): number => drawn.value;
	const node = startNode({random});
	const traffic = createTraffic(node, createRandom(7));
	const seen = new Set<string>();
	for (let step = 0; step < 300; step += 1) {
		drawn.value = (step * 0.37) % 1;
		traffic(step);
		const now = 25 + (step * 7);
		const changes = {target: ['/orders/', '/split/'][step % 2]!, organisationKey: ['a1', 's1'][step % 3 === 0 ? 1 : 0]!, traceparent: `00-${'0'.repeat(30)}7f-${'1'.repeat(16)}-01`};
		const {choice, checks} = explain(node, changes, now, random);
		const effects = node.callerRequested(createRequest(10_000 + step, changes), now);
		const sent = effects.find(effect => effect.type === NodeEffectType.SendCall);
		const answered = effects.find(effect => effect.type === NodeEffectType.AnswerCaller);
		const isRefusedByOwn = checks.some(({check, result}) => check === EntryCheck.OwnUpstream && result === CheckResult.Refused);
		if (choice.node !== 'p' || !isRefusedByOwn) {
			t.equal(choice.node === 'p' ? undefined : choice.node, sent?.to.name, `step ${step}`);
		}

		if (choice.rule === ChoiceRule.Refused) {
			t.equal(checks.find(({error}) => error !== undefined)?.error?.kind, answered?.answer.error?.kind, `step ${step}`);
		}

		seen.add(choice.rule);
	}

	t.ok(seen.size >= 4, [...seen].join(' '));
});

test('a refusal is explained by the check that refuses, with the error that the caller would get', async t => {
	const refusalOf = ({checks}: Explanation): unknown => checks.filter(({result}) => result === CheckResult.Refused).map(({check, error}) => [check, error?.kind, error?.status]);
	const node = startNode();
	t.same(refusalOf(explain(new NodeCore(definition))), [[EntryCheck.Manifest, ErrorKind.NotReady, 503]]);
	t.same(refusalOf(explain(node, {target: '/nowhere/'})), [[EntryCheck.Request, ErrorKind.UnknownRequestKind, 404]]);
	t.same(refusalOf(explain(node, {organisationKey: 'unknown-key'})), [[EntryCheck.Request, ErrorKind.Unauthenticated, 401]]);
	t.same(refusalOf(explain(node, {organisationKey: undefined})), [[EntryCheck.Request, ErrorKind.Unauthenticated, 401]]);
	t.notOk(JSON.stringify(explain(node, {organisationKey: 'unknown-key'})).includes('unknown-key'), 'the key is not repeated');
	t.match(explain(node, {target: '/nobody/'}), {candidates: [], choice: {rule: ChoiceRule.Refused}});
	t.same(refusalOf(explain(node, {target: '/nobody/'})), [[EntryCheck.Route, ErrorKind.NoUpstream, 503]]);
	const {room = 0} = explain(node, {organisationKey: 's1'}).organisation!.quota!;
	Array.from({length: room}, (_, index) => node.callerRequested(createRequest(index + 1, {organisationKey: 's1'}), 10));
	const full = explain(node, {organisationKey: 's1'});
	t.ok(room > 0, 'the quota had room');
	t.match(full, {organisation: {name: 'small', quota: {room: 0}}, choice: {rule: ChoiceRule.Refused, otherwise: /./u}});
	t.same(refusalOf(full), [[EntryCheck.Quota, ErrorKind.QuotaExceeded, 429]]);
	node.startDraining(10);
	node.refuseNewRequests();
	t.same(refusalOf(explain(node)), [[EntryCheck.Stop, ErrorKind.Draining, 503]]);
	t.match(explain(node).candidates[0], {node: 'p', state: UpstreamState.Draining, passedOver: {reason: PassedOver.NotServing}});
});

test('a request that is held for a newer revision is explained by the active one', async t => {
	const node = startNode();
	node.manifestConfirmed({number: 2, ageMilliseconds: 0}, 10);
	const {checks, manifest, choice} = explain(node, {}, 110);
	t.match(manifest, {revision: 1, newestRevision: 2});
	t.match(checks[1], {check: EntryCheck.Revision, result: CheckResult.Delayed, detail: /at most 150 ms/u});
	t.equal(choice.node, 'p');
});

test('a random choice is explained with both nodes and with the shares of further draws', async t => {
	const node = startNode();
	node.callerRequested(createRequest(1), 10);
	const {candidates, choice} = explain(node, {}, 10, createRandom(3));
	t.same(choice.between?.toSorted(), ['q', 'r']);
	t.ok((choice.shares ?? []).length === 2, 'equal nodes share the requests');
	t.match(candidates.find(({node: name}) => name === 'p')?.passedOver, {reason: PassedOver.NoHeadroom});
	t.match(candidates.filter(({failureDomain}) => failureDomain === 'far').map(({passedOver}) => passedOver?.reason), [PassedOver.Farther, PassedOver.Farther]);
	t.match(candidates.find(({node: name}) => name !== choice.node && choice.between?.includes(name))?.passedOver, {reason: PassedOver.LessHeadroom});
});

// Guards against a question that makes the node pull the record of a key range.
test('an at-most-once request with a key is explained by the primary of its key, without a pull of the record', async t => {
	const {manifest} = safeParseManifest({
		name: 'shop', retriesPerAction: 0, services: {
			s: {
				requests: [{
					kind: 'pay', methods: ['POST'], path: '/pay', importance: 'critical', semantics: 'at-most-once', waitMilliseconds: 1000,
				}],
			},
		},
	}) as {manifest: Manifest};
	const node = new NodeCore(definition);
	node.manifestArrived({number: 1, document: '', manifest}, 0);
	node.viewArrived(['q', 'r'].map(name => createMember(name)), [], 0);
	const changes = {service: 's', key: 'k', request: {...createRequest(0).request, method: 'POST', target: '/pay'}};
	const pulls = (effects: readonly NodeEffect[]): number => effects.filter(({type}) => type === NodeEffectType.PullRecord).length;
	t.match(explain(node, changes).choice, {rule: ChoiceRule.KeyRangeUnknown, node: undefined});
	t.equal(pulls(node.advance(200)), 0, 'asking pulls nothing');
	node.callerRequested(createRequest(1, changes), 300);
	t.equal(pulls(node.advance(400)), 1, 'the request does');
	const range = {epoch: 1, primary: {name: 'r', incarnation: 1}, backup: null};
	node.recordArrived({version: 1, record: {service: 's', ranges: Array.from({length: rangeCount}, () => range)}} as unknown as VersionedRecord, 500);
	const {choice, candidates} = explain(node, changes, 510);
	t.match(choice, {rule: ChoiceRule.KeyRange, node: 'r'});
	t.match(candidates.find(({node: name}) => name === 'q')?.passedOver, {reason: PassedOver.NotPrimary});
});
