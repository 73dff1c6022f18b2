import {test} from 'tap';
import {
	AtMostOnceEffectType, AtMostOnceMessageType, createRecord, ErrorKind, holderKey, leaseReturnsOf, Liveness, OpenResultType, WriteResultType,
	type AtMostOnceCall, type AtMostOnceEffect, type AtMostOnceMessage, type VersionedRecord,
} from '../index.js';
import {createMember, createAtMostOnceCoordinator} from './fixtures.js';

const call = (number: number): AtMostOnceCall => ({
	callId: `c${number}`, key: `key-${number}`, digest: 'd', deadline: 100_000,
});

const writesOf = (effects: readonly AtMostOnceEffect[]): VersionedRecord[] => effects
	.flatMap(effect => effect.type === AtMostOnceEffectType.WriteRecord ? [{version: effect.expectedVersion + 1, record: effect.record}] : []);

test('a holder whose lease lapsed resumes its roles only after a write of its own to the record', async t => {
	const coordinator = createAtMostOnceCoordinator('p', [createMember('p')]);
	coordinator.leaseRenewed(0);
	coordinator.recordReceived({version: 1, record: createRecord('s', [createMember('p')])}, 0);
	t.equal(coordinator.open(call(1), 10).type, OpenResultType.Proceed);
	coordinator.leaseLapsed();
	coordinator.leaseRenewed(1000);
	t.match(coordinator.open(call(2), 1010), {type: OpenResultType.Refused, error: {kind: ErrorKind.NotReady}});
	const [written] = writesOf(coordinator.advance(1020));
	t.equal(leaseReturnsOf(written!.record, {name: 'p', incarnation: 1}), 1);
	coordinator.writeCompleted({type: WriteResultType.Written, version: 2}, 1030);
	t.equal(coordinator.open(call(2), 1040).type, OpenResultType.Proceed);
});

test('a lease return of a holder restarts the wait before its range is adopted', async t => {
	const holder = {name: 'p', incarnation: 1};
	const first = createRecord('s', [createMember('p')]);
	const adopter = createAtMostOnceCoordinator('t', [createMember('p', {liveness: Liveness.Dead}), createMember('t')]);
	adopter.leaseRenewed(0);
	adopter.recordReceived({version: 1, record: first}, 0);
	adopter.holdersRead([holder], new Set(), 0);
	adopter.recordReceived({version: 2, record: {...first, returns: {[holderKey(holder)]: 1}}}, 1000);
	adopter.holdersRead([holder], new Set(), 2000);
	t.same(writesOf(adopter.advance(2000)), [], 'the lease return restarts the wait');
	adopter.holdersRead([holder], new Set(), 4000);
	const [adopted] = writesOf(adopter.advance(4000));
	t.same(adopted?.record.ranges[0]?.primary, {name: 't', incarnation: 1});
	t.same(adopted?.record.ranges[0]?.epoch, 2);
});

test('a read that finds a holder\'s lease present restarts the wait before its range is adopted', async t => {
	const holder = {name: 'p', incarnation: 1};
	const adopter = createAtMostOnceCoordinator('t', [createMember('p', {liveness: Liveness.Dead}), createMember('t')]);
	adopter.leaseRenewed(0);
	adopter.recordReceived({version: 1, record: createRecord('s', [createMember('p')])}, 0);
	adopter.holdersRead([holder], new Set(), 0);
	adopter.holdersRead([holder], new Set([holderKey(holder)]), 1000);
	adopter.holdersRead([holder], new Set(), 2000);
	t.same(writesOf(adopter.advance(2000)), []);
});

test('new keys are refused when the claim memory is full, and no claim is evicted', async t => {
	const coordinator = createAtMostOnceCoordinator('p', [createMember('p')]);
	coordinator.leaseRenewed(0);
	coordinator.recordReceived({version: 1, record: createRecord('s', [createMember('p')])}, 0);
	const results = [1, 2, 3].map(number => coordinator.open(call(number), 10));
	t.same(results.map(result => result.type), [OpenResultType.Proceed, OpenResultType.Proceed, OpenResultType.Refused]);
	t.match(results[2], {error: {kind: ErrorKind.ClaimsFull}});
	t.match(coordinator.open({...call(4), key: 'key-1'}, 20), {type: OpenResultType.Joined});
});

test('a call that a primary change refuses before dispatch can run at the next primary immediately', async t => {
	const [p, q] = [{name: 'p', incarnation: 1}, {name: 'q', incarnation: 1}];
	const members = [createMember('p'), createMember('q')];
	const first = {...createRecord('s', members), ranges: createRecord('s', members).ranges.map(range => ({...range, primary: p, backup: q}))};
	const handedOver = {
		...first, ranges: first.ranges.map(range => ({
			...range, primary: q, backup: p, epoch: range.epoch + 1,
		})),
	};
	const messagesOf = (effects: readonly AtMostOnceEffect[]): AtMostOnceMessage[] => effects.flatMap(effect => effect.type === AtMostOnceEffectType.Send ? [effect.message] : []);
	for (const isRecordFirst of [false, true]) {
		const [previousPrimary, nextPrimary] = [createAtMostOnceCoordinator('p', members), createAtMostOnceCoordinator('q', members)];
		[previousPrimary, nextPrimary].map(coordinator => {
			coordinator.leaseRenewed(0);
			return coordinator.recordReceived({version: 1, record: first}, 0);
		});
		previousPrimary.open(call(1), 10);
		const acknowledgements = messagesOf(previousPrimary.callAdmitted(call(1), 10)).flatMap(message => messagesOf(nextPrimary.receive(p, message, 11)));
		t.match(acknowledgements, [{type: AtMostOnceMessageType.ClaimAcknowledged}]);
		const handoverEffects = previousPrimary.recordReceived({version: 2, record: handedOver}, 12);
		t.match(handoverEffects.filter(effect => effect.type === AtMostOnceEffectType.Refused), [{isNotRun: true, error: {kind: ErrorKind.StaleRange}}]);
		const becomePrimary = (): AtMostOnceEffect[] => nextPrimary.recordReceived({version: 2, record: handedOver}, 13);
		const joinedCall = {...call(1), callId: 'c1-again'};
		if (isRecordFirst) {
			becomePrimary();
			t.equal(nextPrimary.open(joinedCall, 13).type, OpenResultType.Joined, 'the claim may still be dispatched');
		}

		const releaseEffects = messagesOf(handoverEffects).flatMap(message => nextPrimary.receive(p, message, 14));
		t.match(releaseEffects.filter(effect => effect.type === AtMostOnceEffectType.Refused), isRecordFirst ? [{callId: 'c1-again', isNotRun: true}] : []);
		if (!isRecordFirst) {
			becomePrimary();
		}

		t.equal(nextPrimary.open({...call(1), callId: 'c1-third'}, 15).type, OpenResultType.Proceed);
		t.same(previousPrimary.receive(q, acknowledgements[0]!, 16), [], 'the previous primary never dispatches the call');
	}
});

test('a record with a lower version is ignored', async t => {
	const coordinator = createAtMostOnceCoordinator('p', [createMember('p')]);
	const record = createRecord('s', [createMember('p')]);
	coordinator.recordReceived({version: 5, record}, 0);
	coordinator.recordReceived({version: 4, record: createRecord('s', [createMember('other')])}, 0);
	t.equal(coordinator.record?.version, 5);
	t.ok(coordinator.isPrimaryOfAny);
});

test('a joined call is refused as stale-range when the first call with its key is cancelled or runs out of time', async t => {
	for (const kind of [ErrorKind.Cancelled, ErrorKind.TimedOut, ErrorKind.InsufficientTime]) {
		const coordinator = createAtMostOnceCoordinator('p', [createMember('p')]);
		coordinator.leaseRenewed(0);
		coordinator.recordReceived({version: 1, record: createRecord('s', [createMember('p')])}, 0);
		coordinator.open(call(1), 10);
		t.equal(coordinator.open({...call(1), callId: 'c1-again'}, 20).type, OpenResultType.Joined);
		const effects = coordinator.callNotRun(call(1), {kind, detail: 'of the first'}, 30);
		t.match(effects, [{callId: 'c1', error: {kind}}, {callId: 'c1-again', error: {kind: ErrorKind.StaleRange}, isNotRun: true}], kind);
	}
});
