/**
 * Probes the upstream when the node starts. The next announcement of the upstream may be some time away, and the upstream
 * may have announced to the previous process of the node that it is draining.
 *
 * @module
 */
import {AnnouncedState} from '@laburnumspool/core';
import {Agent} from 'undici';
import {CoreMessageType, type CoreTask} from './core-task.js';
import {startExchange, type ExchangeResult} from './http-client.js';
import {findHeader} from './http-messages.js';
import type {Logger} from './logs.js';
import type {HeaderNames} from './settings.js';
import {WatchedConnections} from './watched-connections.js';

const probeTimeoutMilliseconds = 1000;
const maximumAnswerBytes = 64 * 1024;

export type UpstreamProbeDefinition = {
	readonly core: CoreTask;
	readonly log: Logger;
	readonly headers: HeaderNames;
	readonly upstream: {readonly service: string; readonly address: string};
};

/**
 * Probes the upstream once. An upstream that answers with status 200 and its slots counts as announced, unless an instance
 * is already known. One that answers with another status counts as suspected.
 *
 * @example
 * await probeUpstream({core, log, headers, upstream: {service: 'catalogue', address: '10.0.0.5:8080'}}, '/health');
 */
export async function probeUpstream({core, log, headers, upstream}: UpstreamProbeDefinition, path: string): Promise<void> {
	const connections = new WatchedConnections(probeTimeoutMilliseconds);
	connections.raiseByteLimit(maximumAnswerBytes);
	const agent = new Agent({connections: 1, pipelining: 1, connect: connections.connect});
	const result = await new Promise<ExchangeResult>(resolve => {
		startExchange(agent, {
			origin: `http://${upstream.address}`,
			method: 'GET',
			path,
			headers: [],
			body: undefined,
			maximumBytes: maximumAnswerBytes,
			timeoutMilliseconds: probeTimeoutMilliseconds,
			totalMilliseconds: probeTimeoutMilliseconds * 2,
		}, resolve);
	});
	await agent.destroy();
	const instance = result.success ? findHeader(result.headers, headers.instance) : undefined;
	if (!result.success || instance === undefined) {
		const failure = result.success ? 'no instance' : result.failure;
		log.info('the upstream did not answer the probe with its instance', {event: 'probed', failure});
		return;
	}

	const slots = parseSlots(findHeader(result.headers, headers.load));
	log.info('the upstream answered the probe', {
		event: 'probed', instance, status: result.status, slots,
	});
	if (result.status !== 200) {
		core.post({type: CoreMessageType.UpstreamSuspected, instance});
	} else if (slots !== undefined && core.core.upstreamInstance === undefined) {
		core.post({
			type: CoreMessageType.UpstreamAnnounced, announcement: {
				...upstream, instance, slots, state: AnnouncedState.Ready, load: undefined, sequence: undefined, coldMilliseconds: 0,
			},
		});
	}
}

/** Parses a load header, which consists of running calls, waiting calls and slots, separated by commas. */
function parseSlots(load: string | undefined): number | undefined {
	const slots = Number(load?.split(',')[2]);
	return Number.isInteger(slots) && slots > 0 ? slots : undefined;
}
