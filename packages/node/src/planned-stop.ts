/**
 * The planned stop of a node: new requests are served at first and refused later, and calls in flight finish.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {CallersServer} from './callers-server.js';
import {CoreMessageType, type CoreTask} from './core-task.js';
import type {Logger} from './logs.js';
import type {NodeInterface} from './node-interface.js';
import type {PeersServer} from './peers-server.js';
import {
	closeTimeoutMilliseconds, finalAnswersMilliseconds, leaveGossipMilliseconds, pendingConnectionsMilliseconds,
} from './stop-times.js';

const pollMilliseconds = 20;
const progressLogMilliseconds = 2000;

export type PlannedStopDefinition = {
	readonly core: CoreTask;
	readonly callersServer: CallersServer;
	readonly peersServer: PeersServer;
	readonly nodeInterface: NodeInterface;
	readonly log: Logger;
	/** Monotonic, in milliseconds. */
	readonly clock: () => number;
	/** Time in which new requests are still served, for callers that are not rerouted yet. */
	readonly lingerMilliseconds: number;
	/** Longest duration of the stop, with the announcement that the node has left and the close of its sockets. */
	readonly stopMilliseconds: number;
	/** Closes all sockets and revokes the lease. */
	readonly close: () => Promise<void>;
};

/**
 * Drains and stops a node; resolves to whether all open calls and requests ended in time.
 *
 * The node listens until its end, so that callers that connect late learn that their requests were not run, and so that the
 * upstream can make the calls that its running work needs.
 *
 * @example
 * const isFinished = await stopAsPlanned(definition);
 */
export async function stopAsPlanned(definition: PlannedStopDefinition): Promise<boolean> {
	const {core, callersServer, peersServer, nodeInterface, clock, lingerMilliseconds, stopMilliseconds, close} = definition;
	const startedAt = clock();
	const closeAt = startedAt + stopMilliseconds - closeTimeoutMilliseconds;
	const progressTimer = setInterval(() => {
		logProgress(definition);
	}, progressLogMilliseconds);
	core.post({type: CoreMessageType.StartDraining});
	nodeInterface.setStopping();
	callersServer.closeAfterAnswers();
	await delay(lingerMilliseconds);
	core.post({type: CoreMessageType.RefuseNewRequests});
	while (!isFinished(definition) && clock() < closeAt - leaveGossipMilliseconds) {
		await delay(pollMilliseconds); // eslint-disable-line no-await-in-loop
	}

	clearInterval(progressTimer);
	// What is refused from now on, or a node that could have taken key ranges over, does not make the stop incomplete.
	const hasFinished = isFinished(definition);
	core.post({type: CoreMessageType.AnnounceLeft});
	// After a blocked event loop less time is left, and the final answers matter more than gossip.
	await delay(Math.max(0, Math.min(leaveGossipMilliseconds, closeAt - clock())));
	const hasOpenCalls = !hasFinished && (!core.core.isDrained || callersServer.openRequests.length > 0);
	if (hasOpenCalls) {
		logEndedRequests(definition, startedAt);
	}

	// Also without open calls, since a request that arrives from now on must not be held for a newer manifest revision.
	core.post({type: CoreMessageType.EndOpenCalls});
	if (hasOpenCalls) {
		await delay(finalAnswersMilliseconds);
	}

	await callersServer.stopListening(Math.min(clock() + pendingConnectionsMilliseconds, closeAt));
	const hasSentAnswers = hasFinished || (callersServer.isIdle && !peersServer.hasUnsentBytes);
	await Promise.race([close(), delay(Math.min(closeTimeoutMilliseconds, startedAt + stopMilliseconds - clock()))]);
	return hasSentAnswers && !hasOpenCalls;
}

function isFinished({core, callersServer, peersServer}: PlannedStopDefinition): boolean {
	return core.core.isDrained && callersServer.isIdle && !peersServer.hasUnsentBytes;
}

function logProgress({core, callersServer, log}: PlannedStopDefinition): void {
	const {openCalls, atMostOnce, admission} = core.core;
	const ranges = atMostOnce.hasHandedOver ? 'are handed over' : 'are being handed over';
	log.info(`draining: ${openCalls} open calls, ${callersServer.openRequests.length} open requests, ${admission.inFlight} calls in the upstream; key ranges ${ranges}`);
}

/** Logs the requests that are still open when the time of the stop has run out. */
function logEndedRequests({callersServer, log, clock}: PlannedStopDefinition, stopStartedAt: number): void {
	const now = clock();
	callersServer.openRequests.map(({requestId, startedAt, isFirst}) => {
		const received = Math.round(startedAt - stopStartedAt);
		log.warn(`a request is ended by the stop: received ${received} ms after its start, ${Math.round(now - startedAt)} ms ago`, {
			event: 'request-cut', request: requestId, received, isFirst,
		});
		return requestId;
	});
}
