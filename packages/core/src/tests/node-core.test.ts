import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {
	allAdmissionMechanisms, AnnouncedState, ErrorKind, EventType, NodeCore, NodeEffectType, Outcome, UpstreamState, type NodeDefinition, type NodeEffect,
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
