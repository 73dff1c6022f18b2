/**
 * Conversion of control messages between nodes to and from Protocol Buffers.
 *
 * @module
 */
import {
	checkValue, ClaimState, ErrorKind, EventType, GossipType, keepValid, LaburnumspoolError, AtMostOnceMessageType, manifestConfirmationSchema, memberSchema, rumorSchema,
	type AnswerPayload, type Claim, type GossipMessage, type HybridTime, type Member, type NodeEvent, type AtMostOnceMessage,
} from '@laburnumspool/core';
import {laburnumspool} from '../generated/control.js';
import type {ReportProblem} from './view-codec.js';

const {control} = laburnumspool;

type WireMember = laburnumspool.control.IMember;
type WireOnceMessage = laburnumspool.control.IOnceMessage;
type WireAnswer = laburnumspool.control.IStoredAnswer;

/** The enum value that equals the text; throws `malformed` with the name of the field. */
function toEnum<Value extends string>(values: Readonly<Record<string, Value>>, text: string | null | undefined, field: string): Value {
	const found = Object.values(values).find(value => value === text);
	if (found === undefined) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `${field}: unknown value ${JSON.stringify(text)}, expected one of ${Object.values(values).join(', ')}`);
	}

	return found;
}

export function toWireMember(member: Member): WireMember {
	const {location, ...rest} = member;
	return {...rest, ...location};
}

/** A member as it was received. Its values are not checked. */
function fromWireMember(wire: WireMember): unknown {
	return {
		name: wire.name ?? '',
		incarnation: wire.incarnation ?? 0,
		version: wire.version ?? 0,
		location: {region: wire.region ?? '', failureDomain: wire.failureDomain ?? ''},
		host: wire.host ?? '',
		callersPort: wire.callersPort ?? 0,
		peersPort: wire.peersPort ?? 0,
		controlPort: wire.controlPort ?? 0,
		service: wire.service ?? '',
		state: wire.state ?? '',
		slots: wire.slots ?? 0,
		liveness: wire.liveness ?? '',
	};
}

/**
 * Encodes a gossip datagram.
 *
 * @example
 * socket.send(encodeGossip(message, clock), port, host);
 */
export function encodeGossip(message: GossipMessage, clock: HybridTime): Uint8Array {
	return control.Gossip.encode({
		...message,
		sender: toWireMember(message.sender),
		members: message.members.map(member => toWireMember(member)),
		rumors: [...message.rumors],
		manifest: message.manifest ?? null,
		clock,
	}).finish();
}

/** Decodes a gossip datagram; throws `malformed`. Invalid members other than the sender, and invalid rumors, are left out and reported. */
export function decodeGossip(content: Uint8Array, report: ReportProblem = () => undefined): {readonly message: GossipMessage; readonly clock: HybridTime} {
	const wire = decodeWire(() => control.Gossip.decode(content));
	if (wire.sender === null || wire.sender === undefined) {
		throw new LaburnumspoolError(ErrorKind.Malformed, 'sender: missing, expected a member');
	}

	const sender = checkValue(memberSchema, fromWireMember(wire.sender));
	if (!sender.success) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `sender.${sender.problem}`);
	}

	return {
		clock: wire.clock,
		message: {
			type: toEnum(GossipType, wire.type, 'type'),
			sequence: wire.sequence,
			sender: sender.value,
			target: wire.target,
			members: keepValid(memberSchema, wire.members.map(member => fromWireMember(member)), report),
			rumors: keepValid(rumorSchema, wire.rumors.map(rumor => ({topic: rumor.topic ?? '', version: rumor.version ?? 0})), report),
			...fromWireConfirmation(wire.manifest, report),
		},
	};
}

/** A confirmation with a number that is not a whole one is left out and reported. */
function fromWireConfirmation(wire: laburnumspool.control.IManifestConfirmation | null | undefined, report: ReportProblem): Pick<GossipMessage, 'manifest'> {
	const [manifest] = wire === null || wire === undefined ? [] : keepValid(manifestConfirmationSchema, [{number: wire.number ?? 0, ageMilliseconds: wire.ageMilliseconds ?? 0}], report);
	return manifest === undefined ? {} : {manifest};
}

function decodeWire<Message>(decode: () => Message): Message {
	try {
		return decode();
	} catch (error) {
		throw new LaburnumspoolError(ErrorKind.Malformed, 'The message is not valid Protocol Buffers', {cause: error});
	}
}

function toWireAnswer(answer: AnswerPayload | undefined): WireAnswer | null {
	return answer === undefined ? null : {status: answer.status, headers: [...answer.headers], body: answer.body};
}

function fromWireAnswer(wire: WireAnswer | null | undefined): AnswerPayload | undefined {
	return wire === null || wire === undefined ? undefined : {status: wire.status ?? 0, headers: wire.headers ?? [], body: wire.body ?? new Uint8Array()};
}

export function toWireAtMostOnceMessage(message: AtMostOnceMessage): WireOnceMessage {
	const {service, range, epoch, type} = message;
	const base = {
		type, service, range, epoch,
	};
	const answer = message.type === AtMostOnceMessageType.Finished ? toWireAnswer(message.answer) : null;
	const claims = message.type === AtMostOnceMessageType.Sync ? message.claims.map(claim => ({...claim, id: {...claim.id}, answer: toWireAnswer(claim.answer)})) : [];
	const keyed = 'key' in message ? {key: message.key, id: {...message.id}} : {};
	const digest = 'digest' in message ? {digest: message.digest} : {};
	const refused = message.type === AtMostOnceMessageType.Refused ? {knownEpoch: message.knownEpoch, isFull: message.isFull} : {};
	return {
		...base, ...keyed, ...digest, ...refused, answer, claims,
	};
}

/** Decodes a message; throws `malformed`. */
export function fromWireAtMostOnceMessage(wire: WireOnceMessage): AtMostOnceMessage {
	const base = {service: wire.service ?? '', range: wire.range ?? 0, epoch: wire.epoch ?? 0};
	const key = wire.key ?? '';
	const id = {epoch: wire.id?.epoch ?? 0, sequence: wire.id?.sequence ?? 0};
	const digest = wire.digest ?? '';
	const builders: Readonly<Record<AtMostOnceMessageType, (type: never) => AtMostOnceMessage>> = {
		[AtMostOnceMessageType.Claim]: () => ({
			...base, type: AtMostOnceMessageType.Claim, key, id, digest,
		}),
		[AtMostOnceMessageType.ClaimAcknowledged]: () => ({
			...base, type: AtMostOnceMessageType.ClaimAcknowledged, key, id,
		}),
		[AtMostOnceMessageType.Release]: () => ({
			...base, type: AtMostOnceMessageType.Release, key, id,
		}),
		[AtMostOnceMessageType.ReleaseAcknowledged]: () => ({
			...base, type: AtMostOnceMessageType.ReleaseAcknowledged, key, id,
		}),
		[AtMostOnceMessageType.Refused]: () => ({
			...base, type: AtMostOnceMessageType.Refused, key, id, knownEpoch: wire.knownEpoch ?? 0, isFull: wire.isFull ?? false,
		}),
		[AtMostOnceMessageType.Finished]: () => ({
			...base, type: AtMostOnceMessageType.Finished, key, id, digest, answer: fromWireAnswer(wire.answer),
		}),
		[AtMostOnceMessageType.Sync]: () => ({...base, type: AtMostOnceMessageType.Sync, claims: (wire.claims ?? []).map(claim => fromWireClaim(claim))}),
		[AtMostOnceMessageType.SyncAcknowledged]: () => ({...base, type: AtMostOnceMessageType.SyncAcknowledged}),
	};
	return builders[toEnum(AtMostOnceMessageType, wire.type, 'type')](undefined as never);
}

function fromWireClaim(wire: laburnumspool.control.IClaim): Claim {
	return {
		key: wire.key ?? '',
		id: {epoch: wire.id?.epoch ?? 0, sequence: wire.id?.sequence ?? 0},
		digest: wire.digest ?? '',
		state: toEnum(ClaimState, wire.state, 'claim.state'),
		answer: fromWireAnswer(wire.answer),
		changedAt: 0,
	};
}

export function fromWireEvent(wire: laburnumspool.control.IEvent): NodeEvent {
	return {
		time: wire.time ?? 0,
		node: wire.node ?? '',
		type: toEnum(EventType, wire.type, 'event.type'),
		...(wire.action ? {action: wire.action} : {}),
		...(wire.service ? {service: wire.service} : {}),
		...(wire.kind ? {kind: wire.kind} : {}),
		...(wire.detail ? {detail: wire.detail} : {}),
	};
}
