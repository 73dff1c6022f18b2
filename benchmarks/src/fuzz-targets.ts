/**
 * Decoders of input from other writers, with valid examples. Each property holds for any input.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	checkMemberText, checkValue, createRecord, ErrorKind, formatIssue, formatMember, GossipType, HybridClock, Importance, LaburnumspoolError,
	Liveness, memberSchema, Outcome, parseJson, recordSchema, rumorSchema,
	safeParseManifest, safeReadManifest, Semantics, UpstreamState, wallTimeOf, maximumClockLeadMilliseconds, type AnswerFrame, type CallFrame, type Member,
} from '@laburnumspool/core';
import {
	decodeAnswer, decodeAnswerChunk, decodeAnswerCredit, decodeAnswerHead, decodeCall, decodeGossip, encodeAnswer, encodeAnswerChunk, encodeAnswerCredit, encodeAnswerHead, encodeCall, encodeFrameHeader,
	encodeGossip, FrameReader, FrameType, parseViewReply, parseViewRequest, StringTableDecoder, StringTableEncoder,
} from '@laburnumspool/protocol';
import fc from 'fast-check';
import {oddBytes, oddDocument} from './odd-values.js';

const wallClock = 1_800_000_000_000;
const maximumFrameBytes = 4096;

/** One decoder with the property that its result has for any input. */
export type FuzzTarget = {
	readonly name: string;
	readonly property: fc.IProperty<[unknown]>;
};

/** Calls the decoder; its only error is `malformed`. */
function decodeOrRefuse<Value>(decode: () => Value): Value | undefined {
	try {
		return decode();
	} catch (error) {
		if (error instanceof LaburnumspoolError && error.kind === ErrorKind.Malformed) {
			return undefined;
		}

		throw error;
	}
}

/**
 * Description of a failed run; empty when the property held.
 *
 * @example
 * describeFailure(fc.check(property, {seed: 1})); // ''
 */
export function describeFailure(result: fc.RunDetails<[unknown]>): string {
	const {failed, seed, counterexamplePath, counterexample, errorInstance} = result;
	const message = errorInstance instanceof Error ? errorInstance.message : '';
	return failed ? `seed ${seed}, path ${counterexamplePath ?? ''}: ${JSON.stringify(counterexample)} ${message}` : '';
}

function target<Input>(name: string, input: fc.Arbitrary<Input>, holds: (input: Input) => boolean): FuzzTarget {
	return {name, property: fc.property(input, value => holds(value))};
}

/** The decoder returns a value that passes the check, or refuses the bytes as malformed. */
function bytesTarget<Value>(name: string, valid: Uint8Array, decode: (bytes: Buffer) => Value, check: (value: Value) => boolean): FuzzTarget {
	return target(name, oddBytes(valid), bytes => {
		const value = decodeOrRefuse(() => decode(bytes));
		return value === undefined || check(value);
	});
}

const exampleMember: Member = {
	name: 'node-1',
	incarnation: wallClock,
	version: 3,
	location: {region: 'lake-erie', failureDomain: 'erie-a'},
	host: '10.0.0.1',
	callersPort: 7001,
	peersPort: 7101,
	controlPort: 7201,
	service: 'catalogue',
	state: UpstreamState.Ready,
	slots: 140,
	liveness: Liveness.Alive,
};

const exampleCall: CallFrame = {
	callId: 'node-1.1800000000000.7',
	action: {actionId: 'a'.repeat(32), vendorTraceState: ['x=1']},
	requestId: 'r-1',
	service: 'catalogue',
	kind: 'browse',
	semantics: Semantics.Idempotent,
	answerBytesLimit: 1_000_000,
	importance: Importance.High,
	priority: 300,
	timeLeftMilliseconds: 12.5,
	retries: 2,
	key: undefined,
	epoch: 0,
	lastResort: false,
	revision: 3,
	request: {
		method: 'GET', target: '/designs/1', headers: ['accept', '*/*'], body: Buffer.from('body'), digest: 'd',
	},
};

const exampleAnswer: AnswerFrame = {
	callId: 'node-1.1800000000000.7',
	outcome: Outcome.Ran,
	coversAction: false,
	answer: {status: 200, headers: ['a', 'b'], body: Buffer.from('whole')},
	error: undefined,
	retriesSpent: 0,
	serving: {
		headroom: 3, level: 0, downstreamLevel: 130, draining: false, revision: 3, servedMilliseconds: 4,
	},
};

const exampleGossip = encodeGossip({
	type: GossipType.Ping, sequence: 5, sender: exampleMember, target: '', members: [exampleMember, {...exampleMember, name: 'node-2'}], rumors: [{topic: 'manifest', version: 9}],
}, wallClock * 4096);

const exampleRoutes = {
	version: 7,
	routes: {
		browse: {
			host: 'shop.example', prefix: '/', semantics: 'idempotent', waitMilliseconds: 800, rank: 2, attempts: 2, service: 'catalogue',
		},
		pay: {
			host: 'shop.example', prefix: '/pay/', semantics: 'at-most-once', split: [{service: 'orders', weight: 75}, {service: 'catalogue', weight: 25}],
		},
	},
	services: {catalogue: {healthPath: '/health'}, orders: {}},
	limits: {idleMilliseconds: 15_000},
};

const isMember = (member: Member): boolean => checkValue(memberSchema, member).success;
const isWaitValid = ({timeLeftMilliseconds}: CallFrame): boolean => timeLeftMilliseconds >= 0 && timeLeftMilliseconds <= 600_000;

/** Splits the bytes into frames, in chunks of the given size. */
function readFrames(bytes: Buffer, chunkBytes: number): number[] {
	const reader = new FrameReader(maximumFrameBytes);
	const chunks = Array.from({length: Math.ceil(bytes.length / chunkBytes)}, (_, index) => bytes.subarray(index * chunkBytes, (index + 1) * chunkBytes));
	return chunks.flatMap(chunk => reader.push(chunk).map(frame => frame.content.length));
}

const exampleFrames = Buffer.concat([encodeFrameHeader(FrameType.Call, 8), Buffer.from('contents'), encodeFrameHeader(FrameType.Ping, 0)]);

/** All targets. */
export const fuzzTargets: readonly FuzzTarget[] = [
	bytesTarget('calls', encodeCall({frame: exampleCall, clock: 7}, new StringTableEncoder()), bytes => decodeCall(bytes, new StringTableDecoder()), ({frame}) => isWaitValid(frame)),
	bytesTarget(
		'answers',
		encodeAnswer({frame: exampleAnswer, clock: 7}, new StringTableEncoder()),
		bytes => decodeAnswer(bytes, new StringTableDecoder()),
		({frame}) => Number.isSafeInteger(frame.serving.revision),
	),
	bytesTarget('answer heads', encodeAnswerHead({callId: 'n.1.1', head: {status: 200, headers: ['a', 'b'], bodyBytes: 7}}), decodeAnswerHead, ({head}) => (head.bodyBytes ?? 0) >= 0),
	bytesTarget('answer chunks', encodeAnswerChunk({callId: 'n.1.1', offset: 3, bytes: Buffer.from('part')}), decodeAnswerChunk, ({offset}) => offset >= 0),
	bytesTarget('answer credits', encodeAnswerCredit({callId: 'n.1.1', bytes: 3}), decodeAnswerCredit, ({bytes}) => bytes >= 0),
	bytesTarget('gossip', exampleGossip, bytes => decodeGossip(bytes), ({message: {sender, members, rumors}}) =>
		[sender, ...members].every(member => isMember(member)) && rumors.every(rumor => checkValue(rumorSchema, rumor).success)),
	target('frames', fc.tuple(oddBytes(exampleFrames), fc.integer({min: 1, max: 20})), ([bytes, chunkBytes]) => {
		const whole = decodeOrRefuse(() => readFrames(bytes, Math.max(1, bytes.length)));
		const parts = decodeOrRefuse(() => readFrames(bytes, chunkBytes));
		return JSON.stringify(whole) === JSON.stringify(parts);
	}),
	target('members', oddDocument(exampleMember), text => {
		const checked = checkMemberText(text);
		return checked.success ? isMember(checked.value) : checked.problem !== '';
	}),
	target('member entries', oddDocument(JSON.parse(formatMember(exampleMember))), text => {
		const checked = checkMemberText(text);
		return checked.success ? isMember(checked.value) : checked.problem !== '';
	}),
	target('view requests', oddDocument({sender: exampleMember, buckets: [1, 2], rumors: [{topic: 'manifest', version: 9}]}), text => {
		const view = decodeOrRefuse(() => parseViewRequest(text));
		return view === undefined || isMember(view.sender);
	}),
	target('view replies', oddDocument({members: [exampleMember, {...exampleMember, name: 'node-2'}], rumors: [{topic: 'ranges/catalogue', version: 9}]}), text => {
		const view = decodeOrRefuse(() => parseViewReply(text));
		return view === undefined || view.members.every(member => isMember(member));
	}),
	target('key-range records', oddDocument(createRecord('catalogue', [exampleMember, {...exampleMember, name: 'node-2'}])), text => {
		const checked = checkValue(recordSchema, JSON.parse(text));
		return !checked.success || checked.value.ranges.every(({epoch}) => Number.isSafeInteger(epoch) && epoch >= 0);
	}),
	target('manifests', oddDocument(exampleRoutes), text => {
		const document = parseJson(text, ErrorKind.Malformed, 'not JSON');
		const result = safeReadManifest(document);
		const isStrictlyValid = safeParseManifest(document).success;
		return result.success
			? result.issues.every(issue => formatIssue(issue) !== '') && (isStrictlyValid === (result.issues.length === 0))
			: !isStrictlyValid;
	}),
	target('hybrid times', fc.double(), time => {
		const clock = new HybridClock(() => wallClock);
		clock.observe(time);
		return wallTimeOf(clock.next()) <= wallClock + maximumClockLeadMilliseconds;
	}),
];
