/**
 * Reads the recorded events of running nodes over the control protocol.
 *
 * @module
 */
import {promisify} from 'node:util';
import {credentials, type Client} from '@grpc/grpc-js';
import type {NodeEvent} from '@laburnumspool/core';
import {fromWireEvent} from '@laburnumspool/protocol';
import {ControlClient, type wire} from '@laburnumspool/protocol/control';

const answerTimeoutMilliseconds = 5000;
const maximumMessageBytes = 64 * 1024 * 1024;

type ReadEvents = (request: wire.IEventsRequest, options: object, callback: (error: Error | null, reply?: wire.IEventsReply) => void) => void;
type EventsClient = Client & {readonly readEvents: ReadEvents};

/** Events of several nodes. */
export type CollectedEvents = {
	/** Events by node, for the nodes that answered. */
	readonly sources: ReadonlyArray<readonly NodeEvent[]>;
	/** Control addresses of the nodes that did not answer in time or failed. */
	readonly unansweredAddresses: readonly string[];
	/** Number of older events that the nodes dropped from their bounded memory. */
	readonly droppedCount: number;
};

/**
 * Reads the events of the given nodes, and with `followMembers` also of the members that they report.
 *
 * @param addresses - control addresses, HOST:PORT
 */
export async function collectEvents(addresses: readonly string[], followMembers: boolean): Promise<CollectedEvents> {
	const givenReplies = await readEventsOfAll(addresses);
	const givenAddresses = new Set(addresses);
	const otherAddresses = followMembers ? [...new Set(givenReplies.flatMap(({reply}) => reply?.members ?? []))].filter(address => !givenAddresses.has(address)) : [];
	const replies = [...givenReplies, ...await readEventsOfAll(otherAddresses)];
	return {
		sources: replies.flatMap(({reply}) => reply === undefined ? [] : [(reply.events ?? []).map(event => fromWireEvent(event))]),
		unansweredAddresses: replies.filter(({reply}) => reply === undefined).map(({address}) => address),
		droppedCount: replies.reduce((sum, {reply}) => sum + (reply?.dropped ?? 0), 0),
	};
}

async function readEventsOfAll(addresses: readonly string[]): Promise<Array<{address: string; reply: wire.IEventsReply | undefined}>> {
	return Promise.all(addresses.map(async address => ({address, reply: await readEvents(address)})));
}

async function readEvents(address: string): Promise<wire.IEventsReply | undefined> {
	const client = new ControlClient(address, credentials.createInsecure(), {'grpc.max_receive_message_length': maximumMessageBytes}) as unknown as EventsClient;
	try {
		const read: ReadEvents = client.readEvents.bind(client);
		return await promisify(read)({since: 0}, {deadline: Date.now() + answerTimeoutMilliseconds});
	} catch {
		return undefined;
	} finally {
		client.close();
	}
}
