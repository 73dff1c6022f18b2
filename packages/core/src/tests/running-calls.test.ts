import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {
	AnnouncedState, ErrorKind, Importance, NodeCore, NodeEffectType, Outcome, priorityOf, safeParseManifest, Semantics, UpstreamState,
	type CallFrame, type Manifest, type NodeEffect,
} from '../index.js';
import {createMember} from './fixtures.js';

const slots = 4;

/** Call ids are numbered by their entry node. */
const callId = (number: number): string => `q.1.${number}`;
const firstOrder = 200;
const firstBrowse = 100;
const {manifest} = safeParseManifest({
	name: 'shop',
	retriesPerAction: 0,
	services: {
		s: {
			requests: [
				{
					kind: 'browse', methods: ['GET'], path: '/browse', importance: 'low', semantics: 'idempotent', waitMilliseconds: 5000,
				},
				{
					kind: 'order', methods: ['GET'], path: '/order', importance: 'critical', semantics: 'idempotent', waitMilliseconds: 1200,
				},
			],
		},
	},
}) as {manifest: Manifest};

const createFrame = (id: string, kind: string, importance: Importance, timeLeftMilliseconds: number): CallFrame => ({
	callId: id,
	action: {actionId: 'a'.repeat(32), vendorTraceState: []},
	requestId: id,
	service: 's',
	kind,
	semantics: Semantics.Idempotent,
	answerBytesLimit: 1000,
	importance,
	priority: priorityOf(importance, 64),
	timeLeftMilliseconds,
	retries: 0,
	key: undefined,
	epoch: 0,
	lastResort: false,
	revision: 1,
	request: {
		method: 'GET', target: '/', headers: [], body: Buffer.alloc(0), digest: '',
	},
});

const answer = {status: 200, headers: [], body: Buffer.alloc(0)};
const types = (effects: readonly NodeEffect[], type: NodeEffectType): NodeEffect[] => effects.filter(effect => effect.type === type);

/** A node whose upstream is full of calls of the node `q`, after it has learned that a browse takes 1.5 s. */
function startFullNode(): NodeCore {
	const node = new NodeCore({
		own: createMember('p'),
		wallClock: () => 0,
		random: () => 0.5,
		newActionId: () => '0'.repeat(32),
		membershipTimes: {probeIntervalMilliseconds: 1000, suspicionMilliseconds: 3000, exchangeIntervalMilliseconds: 10_000},
		claimLimits: {maximumClaims: 1, maximumAnswerBytes: 1},
		storeOutageLimitMilliseconds: 1000,
		clockErrorMilliseconds: 0,
		admissionMechanisms: {
			adaptiveLimit: false, importanceOrder: true, overloadLevel: true, doomedCheck: true, waitBound: true,
		},
	});
	node.manifestArrived({number: 1, document: '', manifest}, 0);
	const announce = (now: number): NodeEffect[] => node.upstreamAnnounced({
		service: 's', slots, state: AnnouncedState.Ready, load: undefined,
	}, now);
	announce(0);
	node.viewArrived([createMember('q')], [], 0);
	Array.from({length: 20}, (_, index) => {
		node.callArrived(createFrame(callId(index), 'browse', Importance.Low, 5000), 0, index * 1500);
		return node.upstreamAnswered(callId(index), answer, (index + 1) * 1500);
	});
	announce(29_900);
	Array.from({length: slots}, (_, index) => node.callArrived(createFrame(callId(firstBrowse + index), 'browse', Importance.Low, 5000), 0, 30_000 + (index * 300)));
	return node;
}

/** Sends more important calls to the full node; returns all effects until the running calls are done. */
function offerOrders(node: NodeCore): NodeEffect[] {
	const orders = Array.from({length: 8}, (_, index) => node.callArrived(createFrame(callId(firstOrder + index), 'order', Importance.Critical, 1200), 0, 31_000));
	const times = Array.from({length: 12}, (_, index) => 31_040 + (index * 40));
	return [...orders, ...times.map(now => node.advance(now))].flat();
}

const draining = createMember('q', {state: UpstreamState.Draining, version: 2});

// Guards against docs/incidents/review-preemption.md: running calls of a stopping node's callers were cancelled for more important ones and answered 502.
test('a running call is not cancelled for more important ones if its entry node began to stop before', async t => {
	const node = startFullNode();
	node.viewArrived([draining], [], 30_900);
	t.same(types(offerOrders(node), NodeEffectType.CancelDispatch), []);
});

test('a running call is not cancelled for more important ones if its entry node begins to stop, before the serving node learns of it', async t => {
	const node = startFullNode();
	const effects = offerOrders(node);
	node.viewArrived([draining], [], 31_500);
	t.same(types(effects, NodeEffectType.CancelDispatch), []);
});

test('a running call is not cancelled for more important ones by a serving node that stops itself', async t => {
	const node = startFullNode();
	const waiting = node.callArrived(createFrame(callId(firstOrder - 1), 'order', Importance.Critical, 1200), 0, 30_950);
	const effects = [...waiting, ...node.startDraining(30_960), ...offerOrders(node)];
	t.same(types(effects, NodeEffectType.CancelDispatch), []);
});

test('more important calls get the slots that running calls leave, in their time, and are not refused while less important ones run', async t => {
	const node = startFullNode();
	const effects = offerOrders(node);
	const dispatched = types(node.upstreamAnswered(callId(firstBrowse), answer, 31_500), NodeEffectType.Dispatch);
	t.match(dispatched, [{callId: callId(firstOrder)}]);
	const refused = types(effects, NodeEffectType.SendAnswer).filter(effect => effect.type === NodeEffectType.SendAnswer && effect.frame.callId === callId(firstOrder));
	t.same(refused, []);
});

test('a refusal of a call that has not run names its reason and promises that it never runs', async t => {
	const node = startFullNode();
	const refusals = types(offerOrders(node), NodeEffectType.SendAnswer);
	t.ok(refusals.every(effect => effect.type === NodeEffectType.SendAnswer && effect.frame.outcome === Outcome.NotRun && effect.frame.error?.kind === ErrorKind.Overloaded));
});
