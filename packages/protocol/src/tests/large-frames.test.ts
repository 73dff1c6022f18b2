import {Buffer} from 'node:buffer';
import {
	ErrorKind, Importance, Semantics, type CallFrame,
} from '@laburnumspool/core';
import fc from 'fast-check';
import {test} from 'tap';
import {
	decodeCallHead, encodeCall, encodeCallParts, encodeFrameHeader, FrameReader, FrameType, largeFrameBytes, setCallBody, StringTableDecoder, StringTableEncoder,
	type StartedFrame, type TimedCall,
} from '../index.js';

const maximumBytes = 1024 * 1024;
const malformed = {kind: ErrorKind.Malformed, name: 'LaburnumspoolError'};

const createCall = (number: number, bodyBytes: number): CallFrame => ({
	callId: `n.1.${number}`,
	action: {actionId: 'a'.repeat(32), vendorTraceState: []},
	requestId: '',
	service: 'shop',
	kind: 'look',
	semantics: Semantics.Idempotent,
	answerBytesLimit: 100,
	importance: Importance.Normal,
	priority: 1,
	timeLeftMilliseconds: 100,
	retries: 0,
	key: undefined,
	epoch: 0,
	lastResort: false,
	revision: 1,
	request: {
		method: 'POST', target: '/items', headers: ['content-type', 'text/plain'], body: Buffer.alloc(bodyBytes, `${number}`), digest: '',
	},
});

const frameOf = (type: FrameType, content: Buffer): Buffer => Buffer.concat([encodeFrameHeader(type, content.length), content]);

/** Pieces of the given sizes, over and over. Each is a copy, as chunks of a socket are. */
function split(bytes: Buffer, sizes: readonly number[]): Buffer[] {
	const pieces: Buffer[] = [];
	for (let position = 0; position < bytes.length; position += pieces.at(-1)!.length) {
		pieces.push(Buffer.from(bytes.subarray(position, position + sizes[pieces.length % sizes.length]!)));
	}

	return pieces;
}

const pieceSizes = fc.array(fc.oneof(fc.integer({min: 1, max: 200}), fc.integer({min: 1000, max: 150_000})), {minLength: 1, maxLength: 20});

// Guards against a large frame that loses bytes, or that is passed to the receiver of an earlier piece.
test('large and small frames are complete and in order for every way of splitting the byte stream', async t => {
	const contents = [3, largeFrameBytes, largeFrameBytes + 1, 0, 200_000].map((size, index) => Buffer.alloc(size, `${index}`));
	const bytes = Buffer.concat(contents.map(content => frameOf(FrameType.Answer, content)));
	fc.assert(fc.property(pieceSizes, sizes => {
		const reader = new FrameReader(maximumBytes);
		const found = split(bytes, [...sizes, largeFrameBytes]).flatMap(piece => reader.push(piece)).map(({content}) => content);
		return found.length === contents.length && found.every((content, index) => content.equals(contents[index]!));
	}), {seed: 20_261_206, numRuns: 100});
	t.pass('holds for 100 ways of splitting');
});

// Guards against string tables that differ after a discarded call: all later calls of the link would be malformed or wrong.
test('calls are decoded with the same strings whether others are kept, discarded or small', async t => {
	const encoder = new StringTableEncoder();
	const calls = [10, 100_000, 0, 70_000, 90_000, 20, 150_000, 5].map((size, index) => createCall(index, size));
	const bytes = Buffer.concat(calls.map(frame => frameOf(FrameType.Call, encodeCall({frame, clock: 7}, encoder))));
	const isLarge = ({request}: CallFrame): boolean => request.body.length > 1000;
	fc.assert(fc.property(pieceSizes, fc.array(fc.boolean(), {minLength: 4, maxLength: 4}), (sizes, keeps) => {
		const decoder = new StringTableDecoder();
		const heads: TimedCall[] = [];
		const kept: CallFrame[] = [];
		const reader = new FrameReader(maximumBytes, ({beginning}) => {
			const call = decodeCallHead(beginning, decoder);
			heads.push(call);
			return keeps[heads.length - 1] === true
				? {
					complete(content) {
						kept.push(setCallBody(call, content).frame);
					},
					abandon: () => undefined,
				}
				: undefined;
		});
		split(bytes, [...sizes, largeFrameBytes]).map(piece => reader.read(piece, ({content}) => {
			kept.push(setCallBody(decodeCallHead(content, decoder), content).frame);
		}));
		const large = calls.filter(frame => isLarge(frame));
		const expected = calls.filter(frame => !isLarge(frame) || keeps[large.indexOf(frame)] === true);
		return heads.every(({frame}, index) => frame.callId === large[index]!.callId) && kept.length === expected.length
			&& kept.every((frame, index) => frame.callId === expected[index]!.callId && Buffer.compare(frame.request.body, expected[index]!.request.body) === 0);
	}), {seed: 20_261_206, numRuns: 100});
	t.pass('holds for 100 ways of splitting and discarding');
});

test('the decision about a large call is made with its whole head, before its body has arrived', async t => {
	const [head, body] = encodeCallParts({frame: createCall(1, 100_000), clock: 7}, new StringTableEncoder());
	const started: Array<StartedFrame<FrameType>> = [];
	const reader = new FrameReader(maximumBytes, frame => {
		started.push(frame);
		return undefined;
	});
	t.same(reader.push(encodeFrameHeader(FrameType.Call, head.length + body.length)), []);
	reader.push(head.subarray(0, -1));
	t.equal(started.length, 0);
	reader.push(head.subarray(-1));
	t.same(started, [{type: FrameType.Call, contentBytes: head.length + body.length, beginning: head}]);
});

test('a kept frame that is not complete is abandoned exactly once, and nothing is read afterwards', async t => {
	const [head, body] = encodeCallParts({frame: createCall(1, 100_000), clock: 7}, new StringTableEncoder());
	const ends: string[] = [];
	const reader = new FrameReader(maximumBytes, () => ({
		complete() {
			ends.push('complete');
		},
		abandon() {
			ends.push('abandoned');
		},
	}));
	reader.push(Buffer.concat([encodeFrameHeader(FrameType.Call, head.length + body.length), head, body.subarray(1)]));
	reader.abandon();
	reader.abandon();
	t.same(reader.push(Buffer.from([0, 0, 0, 1, FrameType.Ping, 0, 0])), []);
	t.same(ends, ['abandoned']);
});

test('a large call whose head is longer than the call is refused as malformed', async t => {
	const header = encodeFrameHeader(FrameType.Call, 100_000);
	t.throws(() => new FrameReader(maximumBytes).push(Buffer.concat([header, Buffer.from([0, 1, 0x86, 0x9D])])), malformed);
	t.throws(() => new FrameReader(maximumBytes).push(Buffer.concat([header, Buffer.from([0xFF, 0xFF, 0xFF, 0xFF])])), malformed);
});

test('the parts of a call are its encoding, and the body is the same memory', async t => {
	const frame = createCall(1, 100_000);
	const parts = encodeCallParts({frame, clock: 7}, new StringTableEncoder());
	t.equal(parts[1], frame.request.body);
	t.ok(Buffer.concat(parts).equals(encodeCall({frame, clock: 7}, new StringTableEncoder())));
});
