import {test} from 'tap';
import {
	createRecord, ErrorKind, holderKey, Liveness, AtMostOnceEffectType, AtMostOnceMessageType, OpenResultType, leaseReturnsOf, WriteResultType, type AtMostOnceCall, type AtMostOnceEffect, type AtMostOnceMessage, type VersionedRecord,
} from '../index.js';
import {createMember, createAtMostOnceCoordinator} from './fixtures.js';

const call = (number: number): AtMostOnceCall => ({
	callId: `c${number}`, key: `key-${number}`, digest: 'd', deadline: 100_000,
});

const writesOf = (effects: readonly AtMostOnceEffect[]): VersionedRecord[] => effects.flatMap(effect => effect.type === AtMostOnceEffectType.WriteRecord ? [{version: effect.expectedVersion + 1, record: effect.record}] : []);

test('a holder whose lease had lapsed works again only after a write of its own', async t => {
	const once = createAtMostOnceCoordinator('p', [createMember('p')]);
	once.leaseRenewed(0);
	once.recordReceived({version: 1, record: createRecord('s', [createMember('p')])}, 0);
	t.equal(once.open(call(1), 10).type, OpenResultType.Proceed);
	once.leaseLapsed();
	once.leaseRenewed(1000);
	t.match(once.open(call(2), 1010), {type: OpenResultType.Refused, error: {kind: ErrorKind.NotReady}});
	const [written] = writesOf(once.advance(1020));
	t.equal(leaseReturnsOf(written!.record, {name: 'p', incarnation: 1}), 1);
	once.writeCompleted({type: WriteResultType.Written, version: 2}, 1030);
	t.equal(once.open(call(2), 1040).type, OpenResultType.Proceed);
});

test('a range is not adopted beside a holder that has come back in between', async t => {
	const holder = {name: 'p', incarnation: 1};
	const first = createRecord('s', [createMember('p')]);
	const heir = createAtMostOnceCoordinator('t', [createMember('p', {liveness: Liveness.Dead}), createMember('t')]);
	heir.leaseRenewed(0);
	heir.recordReceived({version: 1, record: first}, 0);
	heir.holdersRead([holder], new Set(), 0);
	heir.recordReceived({version: 2, record: {...first, returns: {[holderKey(holder)]: 1}}}, 1000);
	heir.holdersRead([holder], new Set(), 2000);
	t.same(writesOf(heir.advance(2000)), [], 'the wait starts anew with the return');
	heir.holdersRead([holder], new Set(), 4000);
	const [adopted] = writesOf(heir.advance(4000));
	t.same(adopted?.record.ranges[0]?.primary, {name: 't', incarnation: 1});
	t.same(adopted?.record.ranges[0]?.epoch, 2);
});

test('a range whose holders\' leases are there is never adopted', async t => {
	const holder = {name: 'p', incarnation: 1};
	const heir = createAtMostOnceCoordinator('t', [createMember('p', {liveness: Liveness.Dead}), createMember('t')]);
	heir.leaseRenewed(0);
	heir.recordReceived({version: 1, record: createRecord('s', [createMember('p')])}, 0);
	heir.holdersRead([holder], new Set(), 0);
	heir.holdersRead([holder], new Set([holderKey(holder)]), 1000);
	heir.holdersRead([holder], new Set(), 2000);
	t.same(writesOf(heir.advance(2000)), []);
});

test('at the bound on memory new keys are refused, and no claim is dropped', async t => {
	const once = createAtMostOnceCoordinator('p', [createMember('p')]);
	once.leaseRenewed(0);
	once.recordReceived({version: 1, record: createRecord('s', [createMember('p')])}, 0);
	const results = [1, 2, 3].map(number => once.open(call(number), 10));
	t.same(results.map(result => result.type), [OpenResultType.Proceed, OpenResultType.Proceed, OpenResultType.Refused]);
	t.match(results[2], {error: {kind: ErrorKind.ClaimsFull}});
	t.match(once.open({...call(4), key: 'key-1'}, 20), {type: OpenResultType.Joined});
});

test('a call refused by a change of the primary before its dispatch can run at the next primary at once', async t => {
	const [p, q] = [{name: 'p', incarnation: 1}, {name: 'q', incarnation: 1}];
	const members = [createMember('p'), createMember('q')];
	const first = {...createRecord('s', members), ranges: createRecord('s', members).ranges.map(range => ({...range, primary: p, backup: q}))};
	const handedOver = {
		...first, ranges: first.ranges.map(range => ({
			...range, primary: q, backup: p, epoch: range.epoch + 1,
		})),
	};
	const sent = (effects: readonly AtMostOnceEffect[]): AtMostOnceMessage[] => effects.flatMap(effect => effect.type === AtMostOnceEffectType.Send ? [effect.message] : []);
	for (const isKnownFirst of [false, true]) {
		const [old, next] = [createAtMostOnceCoordinator('p', members), createAtMostOnceCoordinator('q', members)];
		[old, next].map(once => {
			once.leaseRenewed(0);
			return once.recordReceived({version: 1, record: first}, 0);
		});
		old.open(call(1), 10);
		const acknowledged = sent(old.callAdmitted(call(1), 10)).flatMap(message => sent(next.receive(p, message, 11)));
		t.match(acknowledged, [{type: AtMostOnceMessageType.ClaimAcknowledged}]);
		const settled = old.recordReceived({version: 2, record: handedOver}, 12);
		t.match(settled.filter(effect => effect.type === AtMostOnceEffectType.Refused), [{isNotRun: true, error: {kind: ErrorKind.StaleRange}}]);
		const becomePrimary = (): AtMostOnceEffect[] => next.recordReceived({version: 2, record: handedOver}, 13);
		const again = {...call(1), callId: 'c1-again'};
		if (isKnownFirst) {
			becomePrimary();
			t.equal(next.open(again, 13).type, OpenResultType.Joined, 'the claim may still be dispatched');
		}

		const released = sent(settled).flatMap(message => next.receive(p, message, 14));
		t.match(released.filter(effect => effect.type === AtMostOnceEffectType.Refused), isKnownFirst ? [{callId: 'c1-again', isNotRun: true}] : []);
		if (!isKnownFirst) {
			becomePrimary();
		}

		t.equal(next.open({...call(1), callId: 'c1-third'}, 15).type, OpenResultType.Proceed);
		t.same(old.receive(q, acknowledged[0]!, 16), [], 'the old primary never dispatches it');
	}
});

test('a record of a lower version changes nothing', async t => {
	const once = createAtMostOnceCoordinator('p', [createMember('p')]);
	const record = createRecord('s', [createMember('p')]);
	once.recordReceived({version: 5, record}, 0);
	once.recordReceived({version: 4, record: createRecord('s', [createMember('other')])}, 0);
	t.equal(once.record?.version, 5);
	t.ok(once.isPrimaryOfAny);
});

test('a second try that waits for a first one is not told that it was cancelled, or that its time is over, when the first one is', async t => {
	for (const kind of [ErrorKind.Cancelled, ErrorKind.TimedOut, ErrorKind.InsufficientTime]) {
		const once = createAtMostOnceCoordinator('p', [createMember('p')]);
		once.leaseRenewed(0);
		once.recordReceived({version: 1, record: createRecord('s', [createMember('p')])}, 0);
		once.open(call(1), 10);
		t.equal(once.open({...call(1), callId: 'c1-again'}, 20).type, OpenResultType.Joined);
		const told = once.callNotRun(call(1), {kind, detail: 'of the first'}, 30);
		t.match(told, [{callId: 'c1', error: {kind}}, {callId: 'c1-again', error: {kind: ErrorKind.StaleRange}, isNotRun: true}], kind);
	}
});
