/**
 * Collects the events of running nodes.
 *
 * @module
 */
import {promisify} from 'node:util';
import {credentials, type Client} from '@grpc/grpc-js';
import type {NodeEvent} from '@laburnumspool/core';
import {fromWireEvent} from '@laburnumspool/protocol';
import {ControlClient, type wire} from '@laburnumspool/protocol/control';

const answerMilliseconds = 5000;
const maximumMessageBytes = 64 * 1024 * 1024;

type ReadEvents = (request: wire.IEventsRequest, options: object, callback: (error: Error | null, reply?: wire.IEventsReply) => void) => void;
type EventsClient = Client & {readonly readEvents: ReadEvents};

/** What was collected. */
export type Collection = {
	readonly sources: ReadonlyArray<readonly NodeEvent[]>;
	/** Nodes that did not answer. */
	readonly silent: readonly string[];
	/** Events that no longer fitted into the nodes' memory. */
	readonly dropped: number;
};

/**
 * Reads the events of the nodes, and with `followMembers` of all nodes that they know.
 *
 * @param addresses - control addresses, HOST:PORT
 */
export async function collectEvents(addresses: readonly string[], followMembers: boolean): Promise<Collection> {
	const first = await readAll(addresses);
	const known = new Set(addresses);
	const others = followMembers ? [...new Set(first.flatMap(entry => entry.reply?.members ?? []))].filter(address => !known.has(address)) : [];
	const entries = [...first, ...await readAll(others)];
	return {
		sources: entries.flatMap(entry => entry.reply === undefined ? [] : [(entry.reply.events ?? []).map(event => fromWireEvent(event))]),
		silent: entries.filter(entry => entry.reply === undefined).map(entry => entry.address),
		dropped: entries.reduce((sum, entry) => sum + (entry.reply?.dropped ?? 0), 0),
	};
}

async function readAll(addresses: readonly string[]): Promise<Array<{address: string; reply: wire.IEventsReply | undefined}>> {
	return Promise.all(addresses.map(async address => ({address, reply: await readEvents(address)})));
}

async function readEvents(address: string): Promise<wire.IEventsReply | undefined> {
	const client = new ControlClient(address, credentials.createInsecure(), {'grpc.max_receive_message_length': maximumMessageBytes}) as unknown as EventsClient;
	try {
		const read: ReadEvents = client.readEvents.bind(client);
		return await promisify(read)({since: 0}, {deadline: Date.now() + answerMilliseconds});
	} catch {
		return undefined;
	} finally {
		client.close();
	}
}
