import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {
	AdmissionController, createRecord, Importance, Outcome, priorityOf, Semantics, ServingCoordinator, ServingEffectType, type AtMostOnceCoordinator, type CallFrame, type ServingEffect,
} from '../index.js';
import {createAtMostOnceCoordinator, createMember} from './fixtures.js';

function createServing(): {serving: ServingCoordinator; admission: AdmissionController; atMostOnce: AtMostOnceCoordinator} {
	const atMostOnce = createAtMostOnceCoordinator('p', [createMember('p'), createMember('q')], {limits: {maximumClaims: 10, maximumAnswerBytes: 1000}, storeOutageLimitMilliseconds: 100_000});
	atMostOnce.leaseRenewed(0);
	atMostOnce.recordReceived({version: 1, record: createRecord('s', [createMember('p')])}, 0);
	const admission = new AdmissionController(1);
	const serving = new ServingCoordinator({
		admission, atMostOnce, service: () => 's', policyOf: () => undefined, revision: () => 1, isNotReady: () => false, downstreamLevel: () => 0,
	});
	return {serving, admission, atMostOnce};
}

const frame = (number: number): CallFrame => ({
	callId: `n.1.${number}`,
	action: {actionId: 'a'.repeat(32), vendorTraceState: []},
	requestId: '',
	service: 's',
	kind: 'pay',
	semantics: Semantics.AtMostOnce,
	answerBytesLimit: 1000,
	importance: Importance.Critical,
	priority: priorityOf(Importance.Critical, 64),
	timeLeftMilliseconds: 5000,
	retries: 0,
	key: `key-${number}`,
	epoch: 1,
	lastResort: false,
	revision: 1,
	request: {
		method: 'POST', target: '/', headers: [], body: Buffer.alloc(0), digest: 'd',
	},
});

const answersOf = (effects: readonly ServingEffect[]): string[] => effects.flatMap(effect => effect.type === ServingEffectType.Answer ? [`${effect.frame.callId} ${effect.frame.outcome}`] : []);
const dispatched = (effects: readonly ServingEffect[]): string[] => effects.flatMap(effect => effect.type === ServingEffectType.Dispatch ? [effect.frame.callId] : []);

test('a call that waits for a slot is answered not-run and leaves the queue when its key range moves to another node', async t => {
	const {serving, admission, atMostOnce} = createServing();
	t.same(dispatched(serving.receive(frame(1), 0)), ['n.1.1']);
	t.same(dispatched(serving.receive(frame(2), 1)), [], 'waits for the slot');
	const handedOver = createRecord('s', [createMember('q')]);
	const record = {...handedOver, ranges: handedOver.ranges.map(range => ({...range, epoch: 2}))};
	t.same(answersOf(serving.fromAtMostOnce(atMostOnce.recordReceived({version: 2, record}, 2), 2)), [`n.1.2 ${Outcome.NotRun}`]);
	t.equal(admission.waiting, 0);
	serving.upstreamAnswered('n.1.1', {status: 200, headers: [], body: Buffer.alloc(0)}, 30);
	t.ok(admission.isIdle, 'the slot is free');
});

test('the detail of a refusal contains how long the call waited for a slot, which its caller cannot measure', async t => {
	const {serving} = createServing();
	const unkeyed = (number: number): CallFrame => ({
		...frame(number), key: undefined, semantics: Semantics.Idempotent, importance: Importance.Normal,
	});
	serving.receive(unkeyed(1), 0);
	t.same(dispatched(serving.receive(unkeyed(2), 1)), [], 'waits for the slot');
	const details = serving.stopAccepting(9).flatMap(effect => effect.type === ServingEffectType.Answer ? [effect.frame.error?.detail] : []);
	t.same(details, ['s refused pay before dispatch, after 8 ms']);
});
