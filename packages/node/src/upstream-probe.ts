/**
 * Asks the upstream at the node's start what it is, since its next announcement may be a while off, and since an
 * earlier life of the node may have been told that it leaves.
 *
 * @module
 */
import {AnnouncedState} from '@laburnumspool/core';
import {Agent} from 'undici';
import {CoreMessageType, type CoreTask} from './core-task.js';
import {startExchange, type ExchangeResult} from './http-client.js';
import {findHeader} from './http-messages.js';
import type {PartLog} from './logs.js';
import type {HeaderNames} from './settings.js';

const probeMilliseconds = 1000;
const maximumBytes = 64 * 1024;

export type UpstreamProbeDefinition = {
	readonly core: CoreTask;
	readonly log: PartLog;
	readonly headers: HeaderNames;
	readonly upstream: {readonly service: string; readonly address: string};
};

/**
 * Asks once.
 *
 * @example
 * await probeUpstream({core, log, headers, upstream: {service: 'catalogue', address: '10.0.0.5:8080'}}, '/health');
 */
export async function probeUpstream({core, log, headers, upstream}: UpstreamProbeDefinition, path: string): Promise<void> {
	const agent = new Agent({connections: 1, pipelining: 1, connectTimeout: probeMilliseconds});
	const result = await new Promise<ExchangeResult>(resolve => {
		startExchange(agent, {
			origin: `http://${upstream.address}`, method: 'GET', path, headers: [], body: undefined, maximumBytes, timeoutMilliseconds: probeMilliseconds, totalMilliseconds: probeMilliseconds * 2,
		}, resolve);
	});
	await agent.destroy();
	const instance = result.success ? findHeader(result.headers, headers.instance) : undefined;
	if (!result.success || instance === undefined) {
		log.info('the upstream does not answer yet', {event: 'probed', failure: result.success ? 'no instance' : result.failure});
		return;
	}

	const slots = slotsOf(findHeader(result.headers, headers.load));
	log.info('the upstream was asked what it is', {
		event: 'probed', instance, status: result.status, slots,
	});
	if (result.status !== 200) {
		core.post({type: CoreMessageType.UpstreamDoubted, instance});
	} else if (slots !== undefined && core.core.upstreamInstance === undefined) {
		core.post({
			type: CoreMessageType.Announced, announcement: {
				...upstream, instance, slots, state: AnnouncedState.Ready, load: undefined, sequence: undefined, coldMilliseconds: 0,
			},
		});
	}
}

/** Load is told as running, waiting and slots, with commas between. */
function slotsOf(load: string | undefined): number | undefined {
	const slots = Number(load?.split(',')[2]);
	return Number.isInteger(slots) && slots > 0 ? slots : undefined;
}
