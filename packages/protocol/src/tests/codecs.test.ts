import {Buffer} from 'node:buffer';
import {
	ErrorKind, GossipType, Importance, Liveness, AtMostOnceMessageType,
	Outcome, QuotaMessageType, Semantics, UpstreamState, type AnswerFrame, type CallFrame, type Member, type QuotaMessage,
} from '@laburnumspool/core';
import fc from 'fast-check';
import {test} from 'tap';
import {
	decodeAnswer, decodeCall, decodeGossip, decodeQuota,
	encodeAnswer, encodeCall, encodeGossip, encodeQuota, fromWireAtMostOnceMessage, StringTableDecoder, StringTableEncoder, toWireAtMostOnceMessage,
} from '../index.js';

const member: Member = {
	name: 'n',
	incarnation: 1_800_000_000_000,
	version: 2,
	location: {region: 'r', failureDomain: 'f'},
	host: '127.0.0.1',
	callersPort: 1,
	peersPort: 2,
	controlPort: 3,
	service: 's',
	state: UpstreamState.Ready,
	slots: 4,
	liveness: Liveness.Alive,
};

const frame: CallFrame = {
	callId: 'n.1.1',
	action: {actionId: 'a'.repeat(32), vendorTraceState: ['x=1']},
	requestId: 'r-1',
	service: 's',
	kind: 'k',
	semantics: Semantics.Idempotent,
	answerBytesLimit: 100,
	importance: Importance.High,
	priority: 300,
	timeLeftMilliseconds: 12.5,
	retries: 2,
	key: undefined,
	epoch: 0,
	lastResort: false,
	revision: 3,
	request: {
		method: 'GET', target: '/ä?x=1', headers: ['a', 'b'], body: Buffer.from('body'), digest: 'd',
	},
};

const answer: AnswerFrame = {
	callId: 'n.1.1',
	outcome: Outcome.Ran,
	coversAction: false,
	answer: {status: 200, headers: [], body: Buffer.from('whole')},
	error: undefined,
	retriesSpent: 0,
	serving: {
		headroom: 3, level: 0, downstreamLevel: 130, draining: false, revision: 3, servedMilliseconds: 4,
	},
};

test('a call, with or without a key, is equal after encoding and decoding', async t => {
	t.same(decodeCall(encodeCall({frame, clock: 7}, new StringTableEncoder()), new StringTableDecoder()), {frame, clock: 7});
	t.same(decodeCall(encodeCall({frame: {...frame, key: 'k-1'}, clock: 7}, new StringTableEncoder()), new StringTableDecoder()).frame.key, 'k-1');
});

test('an answer with a work report is equal after encoding and decoding, and one without is as long as before', async t => {
	const serving = {
		...answer.serving, work: {
			workLeftMilliseconds: 12.3, ownMilliseconds: 20.1, slowdown: 2.5, ageMilliseconds: 40,
		},
	};
	const content = encodeAnswer({frame: {...answer, serving}, clock: 7}, new StringTableEncoder());
	t.same(decodeAnswer(content, new StringTableDecoder()).frame.serving, serving);
	const without = encodeAnswer({frame: answer, clock: 7}, new StringTableEncoder());
	t.notOk('work' in decodeAnswer(without, new StringTableDecoder()).frame.serving);
	t.equal(content.length - without.length, ',[12.3,20.1,2.5,40]'.length);
	const text = content.toString('latin1').replace('[12.3,', '[-2.3,');
	t.throws(() => decodeAnswer(Buffer.from(text, 'latin1'), new StringTableDecoder()), 'a negative value');
});

test('strings that repeat on a connection are sent as indexes, and a decoder without the table refuses them as malformed', async t => {
	const encoder = new StringTableEncoder();
	const decoder = new StringTableDecoder();
	const calls = Array.from({length: 5}, (_, index) => ({...frame, callId: `n.1.${index}`, request: {...frame.request, headers: ['host', 'shop.example', 'accept', '*/*']}}));
	const contents = calls.map(call => encodeCall({frame: call, clock: 7}, encoder));
	t.same(contents.map(content => decodeCall(content, decoder).frame), calls);
	t.ok(contents[4]!.length < contents[0]!.length - 20);
	t.throws(() => decodeCall(contents[4]!, new StringTableDecoder()), {kind: ErrorKind.Malformed, name: 'LaburnumspoolError'});
});

test('an answer is equal after encoding and decoding, and is refused as malformed when its body is too short or too long', async t => {
	const content = encodeAnswer({frame: answer, clock: 8}, new StringTableEncoder());
	t.same(decodeAnswer(content, new StringTableDecoder()), {frame: answer, clock: 8});
	t.throws(() => decodeAnswer(content.subarray(0, -2), new StringTableDecoder()), {kind: ErrorKind.Malformed, name: 'LaburnumspoolError'});
	t.throws(() => decodeAnswer(Buffer.concat([content, Buffer.from('x')]), new StringTableDecoder()), {kind: ErrorKind.Malformed, name: 'LaburnumspoolError'});
});

test('a gossip datagram is equal after encoding and decoding', async t => {
	const message = {
		type: GossipType.Ping, sequence: 5, sender: member, target: '', members: [member], rumors: [{topic: 'manifest', version: 9}],
	};
	t.same(decodeGossip(encodeGossip(message, 7_372_800_000_000_000)), {message, clock: 7_372_800_000_000_000});
});

test('a confirmation of a manifest travels with a gossip datagram, and an invalid one is left out and reported', async t => {
	const message = {
		type: GossipType.Acknowledgement, sequence: 0, sender: member, target: '', members: [], rumors: [],
	};
	const decode = (number: number, ageMilliseconds: number): readonly unknown[] => {
		const problems: string[] = [];
		const decoded = decodeGossip(encodeGossip({...message, manifest: {number, ageMilliseconds}}, 1), problem => problems.push(problem));
		return [decoded.message.manifest, problems.length];
	};

	t.same(decode(9, 750), [{number: 9, ageMilliseconds: 750}, 0]);
	t.same(decode(0, 750), [undefined, 1]);
	t.same(decode(1.5, 750), [undefined, 1]);
	t.same(decode(2 ** 60, 750), [undefined, 1]);
});

test('at-most-once messages are equal after encoding and decoding', async t => {
	const address = {service: 's', range: 3, epoch: 4};
	const id = {epoch: 4, sequence: 9};
	const refused = {
		...address, type: AtMostOnceMessageType.Refused as const, key: 'k', id, knownEpoch: 5, isFull: true,
	};
	t.same(fromWireAtMostOnceMessage(toWireAtMostOnceMessage(refused)), refused);
	t.match(fromWireAtMostOnceMessage(toWireAtMostOnceMessage({...address, type: AtMostOnceMessageType.SyncAcknowledged})), {type: AtMostOnceMessageType.SyncAcknowledged, epoch: 4});
});

const quotaHeader = {
	sender: 'node-1', incarnation: 1_800_000_000_000, toIncarnation: 1_800_000_000_001, stamp: 5,
};
const report = {
	...quotaHeader, type: QuotaMessageType.Report as const, uses: [{
		organisation: 'a', part: 1, series: 1, granted: 0, used: 5_000_000_000, returned: 0, asked: 4,
	}],
};
const reply = {
	...quotaHeader, type: QuotaMessageType.Reply as const, grants: [{
		organisation: 'a', part: 0, series: 0, granted: 0, rate: 0.5, waitMilliseconds: 12, isLow: true,
	}],
};

test('quota datagrams are equal after encoding and decoding, and the decoders of gossip and of quotas refuse each other\'s datagrams', async t => {
	const gossip = encodeGossip({
		type: GossipType.Ping, sequence: 5, sender: member, target: '', members: [], rumors: [],
	}, 1);
	[report, reply].map(message => t.same(decodeQuota(encodeQuota(message)), message));
	[report, reply].map(message => t.throws(() => decodeGossip(encodeQuota(message)), {kind: ErrorKind.Malformed, name: 'LaburnumspoolError'}));
	t.throws(() => decodeQuota(gossip), {kind: ErrorKind.Malformed, name: 'LaburnumspoolError'});
});

test('a quota datagram with a part, name, count or rate out of range is refused as malformed', async t => {
	const [use] = report.uses;
	const [grant] = reply.grants;
	const invalid: QuotaMessage[] = [
		...[{part: 2}, {series: 0}, {organisation: ''}, {used: 2 ** 60}].map(change => ({...report, uses: [{...use!, ...change}]})),
		...[{rate: Infinity}, {rate: Number.NaN}, {rate: -1}].map(change => ({...reply, grants: [{...grant!, ...change}]})),
		{...report, sender: ''},
	];
	invalid.map(message => t.throws(() => decodeQuota(encodeQuota(message)), {kind: ErrorKind.Malformed, name: 'LaburnumspoolError'}));
});

test('random bytes are either decoded or refused as malformed', async t => {
	fc.assert(fc.property(fc.uint8Array({maxLength: 200}), bytes => [
		decodeCall, decodeAnswer, (content: Buffer) => decodeGossip(content), (content: Buffer) => decodeQuota(Buffer.concat([Buffer.of(7), content])),
	].every(decode => {
		try {
			decode(Buffer.from(bytes), new StringTableDecoder());
			return true;
		} catch (error) {
			return (error as {kind?: ErrorKind}).kind === ErrorKind.Malformed;
		}
	})), {seed: 20_261_204, numRuns: 500});
	t.pass('holds for 500 inputs');
});
