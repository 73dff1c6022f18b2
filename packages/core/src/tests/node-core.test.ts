import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {
	allAdmissionMechanisms, AnnouncedState, CancelResult, ErrorKind, EventType, Importance, NodeCore, NodeEffectType, Outcome, priorityOf, safeParseManifest, Semantics, UpstreamFailure, UpstreamState,
	type CallerRequest, type Manifest, type NodeDefinition, type NodeEffect,
} from '../index.js';
import {createMember} from './fixtures.js';

const definition: NodeDefinition = {
	own: createMember('p'),
	wallClock: () => 0,
	random: () => 0.5,
	newActionId: () => '0'.repeat(32),
	membershipTimes: {probeIntervalMilliseconds: 1000, suspicionMilliseconds: 3000, exchangeIntervalMilliseconds: 10_000},
	claimLimits: {maximumClaims: 10, maximumAnswerBytes: 1000},
	storeOutageLimitMilliseconds: 1000,
	clockErrorMilliseconds: 0,
};

test('a node without a manifest answers a request with a key with an unknown outcome, since an earlier request may have run elsewhere', async t => {
	const node = new NodeCore(definition);
	const sendRequest = (key: string | undefined): NodeEffect[] => node.callerRequested({
		entryId: 1, service: 's', request: {
			method: 'POST', target: '/', headers: [], body: Buffer.alloc(0), digest: '',
		}, key, timeoutMilliseconds: undefined, traceparent: undefined, tracestate: undefined,
	}, 0);
	t.match(sendRequest(undefined), [{type: NodeEffectType.AnswerCaller, answer: {outcome: Outcome.NotRun, error: {kind: ErrorKind.NotReady}}}]);
	t.match(sendRequest('key'), [{type: NodeEffectType.AnswerCaller, answer: {outcome: Outcome.Unknown, error: {kind: ErrorKind.NotReady}}}]);
});

test('a change of the adaptive limit is not reported while the adaptive limit is switched off', async t => {
	const node = new NodeCore({...definition, admissionMechanisms: {...allAdmissionMechanisms, adaptiveLimit: false}});
	node.upstreamAnnounced({
		service: 's', slots: 100, state: AnnouncedState.Ready, load: undefined,
	}, 0);
	const changes = node.advance(100).filter(effect => effect.type === NodeEffectType.Event && effect.event.type === EventType.LimitChanged);
	t.match(changes, [{event: {detail: '0 to 100'}}]);
	node.upstreamAnnounced({
		service: 's', slots: 100, state: AnnouncedState.Ready, load: {inFlight: 60, healthy: true},
	}, 150);
	t.same(node.advance(200).filter(effect => effect.type === NodeEffectType.Event), []);
});

test('an announcement of the upstream does not return a node that has left to draining', async t => {
	const node = new NodeCore(definition);
	const announce = (now: number): NodeEffect[] => node.upstreamAnnounced({
		service: 's', slots: 1, state: AnnouncedState.Ready, load: undefined,
	}, now);
	announce(0);
	node.startDraining(100);
	node.announceLeft(200);
	announce(300);
	t.equal(node.own.state, UpstreamState.Left);
	node.advance(60_000);
	t.equal(node.own.state, UpstreamState.Left);
});

const {manifest} = safeParseManifest({
	name: 'shop',
	retriesPerAction: 0,
	services: {
		s: {
			requests: [{
				kind: 'look', methods: ['GET'], path: '/items*', importance: 'normal', semantics: 'idempotent', waitMilliseconds: 10_000,
			}],
		},
	},
}) as {manifest: Manifest};

/** Guards against work whose nested calls fail: a node that has just started refuses them until it has a manifest. */
test('an upstream that is ready gets no calls of other nodes before its node has a manifest', async t => {
	const node = new NodeCore(definition);
	const announcement = {
		service: 's', slots: 4, state: AnnouncedState.Ready, load: undefined,
	};
	node.upstreamAnnounced(announcement, 0);
	t.equal(node.own.state, UpstreamState.Starting);
	node.manifestArrived({number: 1, document: '', manifest}, 10);
	t.equal(node.own.state, UpstreamState.Ready);
	node.startDraining(20);
	node.manifestArrived({number: 2, document: '', manifest}, 30);
	t.equal(node.own.state, UpstreamState.Draining);
});

/** A node whose upstream runs a call of another node. */
function startServingNode(): NodeCore {
	const node = new NodeCore(definition);
	node.manifestArrived({number: 1, document: '', manifest}, 0);
	node.upstreamAnnounced({
		service: 's', slots: 4, state: AnnouncedState.Ready, load: undefined,
	}, 0);
	node.viewArrived([createMember('q')], [], 0);
	node.callArrived({
		callId: 'n.1.1',
		action: {actionId: 'a'.repeat(32), vendorTraceState: []},
		requestId: 'parent',
		service: 's',
		kind: 'look',
		semantics: Semantics.Idempotent,
		answerBytesLimit: 1000,
		importance: Importance.Normal,
		priority: priorityOf(Importance.Normal, 64),
		timeLeftMilliseconds: 10_000,
		retries: 0,
		key: undefined,
		epoch: 0,
		lastResort: false,
		revision: 1,
		request: {
			method: 'GET', target: '/items', headers: [], body: Buffer.alloc(0), digest: '',
		},
	}, 0, 10);
	return node;
}

const createRequest = (entryId: number, requestId: string, key?: string): CallerRequest => ({
	entryId, service: 's', requestId, request: {
		method: 'GET', target: '/items', headers: [], body: Buffer.alloc(0), digest: '',
	}, key, timeoutMilliseconds: undefined, traceparent: undefined, tracestate: undefined,
});

const callTypes: ReadonlySet<NodeEffectType> = new Set([NodeEffectType.AnswerCaller, NodeEffectType.SendCall]);
const callEffects = (effects: readonly NodeEffect[]): NodeEffect[] => effects.filter(({type}) => callTypes.has(type));

const leavingAnswer = (entryId: number, outcome = Outcome.NotRun): object => ({type: NodeEffectType.AnswerCaller, entryId, answer: {outcome, error: {kind: ErrorKind.Draining}}});

test('a stopping node opens the nested calls of its running work, but none after it has ended the open calls', async t => {
	const node = startServingNode();
	node.startDraining(20);
	node.refuseNewRequests();
	t.match(callEffects(node.callerRequested(createRequest(1, 'parent.1'), 30)), [{type: NodeEffectType.SendCall}]);
	node.endOpenCalls(40);
	t.match(callEffects(node.callerRequested(createRequest(2, 'parent.2'), 50)), [leavingAnswer(2)]);
});

test('a stopping node answers the requests that it holds for a newer revision before it closes their connections', async t => {
	const node = startServingNode();
	const clock = 0;
	node.startDraining(20);
	node.refuseNewRequests();
	node.callAnswered({
		callId: 'other', outcome: Outcome.NotRun, coversAction: false, answer: undefined, error: undefined, retriesSpent: 0, serving: {
			headroom: 1, level: 0, downstreamLevel: 0, draining: false, revision: 2, servedMilliseconds: 0,
		},
	}, clock, 30);
	t.same(callEffects(node.callerRequested(createRequest(1, 'held'), 40)), []);
	t.match(callEffects(node.endOpenCalls(50)), [leavingAnswer(1)]);
	t.match(callEffects(node.callerRequested(createRequest(2, 'late'), 60)), [leavingAnswer(2)]);
});

test('a stopping node refuses an idempotent request as not run, also when it has a key, which such a request does not use', async t => {
	const node = startServingNode();
	node.startDraining(20);
	node.refuseNewRequests();
	t.match(callEffects(node.callerRequested(createRequest(1, 'late', 'key'), 30)), [leavingAnswer(1)]);
});

test('a nested call of a cancelled call is answered, since its caller may keep its connection open', async t => {
	const node = startServingNode();
	node.startDraining(20);
	t.match(callEffects(node.callerRequested(createRequest(1, 'parent.1'), 30)), [{type: NodeEffectType.SendCall, frame: {callId: 'p.1.1'}}]);
	const {effects} = node.cancelArrived('n.1.1', 40);
	const later = node.cancelReplied('p.1.1', CancelResult.Dispatched, 50);
	t.match(callEffects([...effects, ...later]), [{type: NodeEffectType.AnswerCaller, entryId: 1, answer: {outcome: Outcome.Unknown}}]);
	node.upstreamFailed('n.1.1', UpstreamFailure.Cancelled, 60);
	t.equal(node.openCalls, 0);
});

// Guards against reports that arrive with answers and do not reach the choice.
test('with cost-aware placement, calls go to the node whose answers report less work', async t => {
	const play = (costAwarePlacement: boolean): string[] => {
		const node = new NodeCore({...definition, own: createMember('p', {service: ''}), costAwarePlacement});
		node.manifestArrived({number: 1, document: '', manifest}, 0);
		node.viewArrived(['q', 'z'].map(name => createMember(name)), [], 0);
		return Array.from({length: 6}, (_, index) => {
			const send = node.callerRequested(createRequest(index, `r${index}`), index * 10).find(({type}) => type === NodeEffectType.SendCall)!;
			const {to, frame: {callId}} = send as Extract<NodeEffect, {type: NodeEffectType.SendCall}>;
			const work = {
				workLeftMilliseconds: 0, ownMilliseconds: to.name === 'q' ? 10 : 100, slowdown: 1, ageMilliseconds: 0,
			};
			const serving = {
				headroom: index === 0 ? 0.5 : 0.2, level: 0, downstreamLevel: 0, draining: false, revision: 1, servedMilliseconds: 5, work,
			};
			node.callAnswered({
				callId, outcome: Outcome.Ran, coversAction: false, answer: {status: 200, headers: [], body: Buffer.alloc(0)}, error: undefined, retriesSpent: 0, serving,
			}, 0, (index * 10) + 5);
			return to.name;
		});
	};

	t.same(play(false).slice(0, 3), ['z', 'q', 'z'], 'by headroom');
	t.same(play(true), ['z', 'q', 'q', 'q', 'q', 'q'], 'by expected end, once both have reported');
});
