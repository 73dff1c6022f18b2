/**
 * Puts the tasks of a node together, and stops them in order.
 *
 * @module
 */
import {once} from 'node:events';
import type {Server} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {
	allAdmissionMechanisms, EventType, Liveness, NodeEffectType, UpstreamState, type Member, type NodeDefinition, type Revision,
} from '@laburnumspool/core';
import {
	openHttpStore, parseShipped, toRevision, type Store, type StoreEntry,
} from '@laburnumspool/manifest';
import {createActionIds} from './action-ids.js';
import {CallersServer} from './callers-server.js';
import {CoreMessageType, CoreTask} from './core-task.js';
import {logEvent} from './event-log.js';
import {GossipSocket} from './gossip-socket.js';
import {LogPart, type LogMaker, type PartLog} from './logs.js';
import {openMetrics} from './metrics.js';
import {OwnInterface} from './own-interface.js';
import {PeersClient} from './peers-client.js';
import {PeersServer} from './peers-server.js';
import type {Settings} from './settings.js';
import {StoreTask} from './store-task.js';
import {UpstreamClient} from './upstream-client.js';
import {probeUpstream} from './upstream-probe.js';

/** Time between two looks at the clock while calls are open, which bounds how late a deadline is noticed, and else. */
const busyTickMilliseconds = 30;
const idleTickMilliseconds = 100;
const gaugeMilliseconds = 1000;
const linkWatchMilliseconds = 200;
const stopPollMilliseconds = 20;
/** Share of the time left for a stop in which connections that still come are taken; the rest is for their answers. */
const takingShare = 0.5;
const farewellMilliseconds = 600;
/** Longest wait for the store to take the lease back, which ends by itself otherwise; the platform ends a slow stop. */
const closeMilliseconds = 400;
const startPollMilliseconds = 20;
const progressMilliseconds = 2000;

/** What a deployment brings of its own: its store, and how manifests lie in it. */
export type Deployment = {
	readonly openStore: (url: string) => Store;
	/** Reads a manifest as the store holds it; throws `invalid-manifest`. */
	readonly readManifest: (entry: StoreEntry) => Revision;
	/** Reads a manifest that a peer hands over; throws `invalid-manifest`. */
	readonly toRevision: (number: number, document: string) => Revision;
};

/** The project's own store. */
export const ownDeployment: Deployment = {
	openStore: openHttpStore,
	readManifest: entry => toRevision(entry.version, parseShipped(entry).document),
	toRevision,
};

/** A running node. */
export type Daemon = {
	readonly core: CoreTask;
	readonly gossip: GossipSocket;
	/** Resolves when the node has a manifest and serves callers. */
	readonly whenReady: () => Promise<void>;
	/** Graceful shutdown; resolves to whether everything in flight was finished within the bound. */
	readonly stop: () => Promise<boolean>;
	/** Resolves with the reason when the node has to stop by itself. */
	readonly mustStop: Promise<string>;
};

/**
 * Starts a node.
 *
 * @example
 * const daemon = await startDaemon(readSettings('node.yaml'), openLog('info'));
 * await daemon.whenReady();
 */
export async function startDaemon(settings: Settings, openPartLog: LogMaker, deployment = ownDeployment): Promise<Daemon> {
	const clock = (): number => performance.now();
	// Only control calls read the events back.
	const core = new CoreTask(toDefinition(settings), clock, settings.controlCalls ? settings.limits.events : 0, openPartLog(LogPart.Node));
	const upstream = new UpstreamClient(core, settings.headers, openPartLog(LogPart.Upstream));
	const peersClient = new PeersClient({core, log: openPartLog(LogPart.Peers), clock});
	const gossip = new GossipSocket(core, openPartLog(LogPart.Control));
	const store = new StoreTask({
		core,
		store: deployment.openStore(settings.store.url),
		log: openPartLog(LogPart.Store),
		clock,
		random: Math.random,
		leaseMilliseconds: settings.store.leaseSeconds * 1000,
		manifestKey: settings.store.manifestKey,
		readManifest: deployment.readManifest,
		pullManifest: async from => pullManifest(from, core, peersClient, deployment, openPartLog(LogPart.Peers)),
	});
	const bounds = {requestBytes: settings.limits.requestBytes, slowSenderMilliseconds: settings.limits.slowSenderSeconds * 1000};
	const metrics = await openMetrics(settings.statsd, settings.name);
	const own = new OwnInterface({
		core, host: settings.host, upstream: settings.upstream, metrics: metrics.text,
	});
	const peersServer = new PeersServer({core, ...bounds});
	const callersServer = new CallersServer({
		core,
		openRequests: settings.limits.openRequests,
		headers: settings.headers,
		service: settings.upstream?.service,
		own,
		observeAnswer: metrics.observeAnswer,
		...bounds,
	});
	const callLog = openPartLog(LogPart.Calls);
	let isProbed = false;
	const probeOnce = (): void => {
		const {upstream: known} = settings;
		const path = known === undefined ? undefined : core.core.manifest?.manifest.healthPaths?.[known.service];
		if (known !== undefined && path !== undefined && !isProbed) {
			isProbed = true;
			void probeUpstream({
				core, log: openPartLog(LogPart.Upstream), headers: settings.headers, upstream: known,
			}, path);
		}
	};

	const mustStop = new Promise<string>(resolve => {
		core.handle({
			[NodeEffectType.Event]({event}) {
				metrics.count(event);
				logEvent(callLog, event);
				if (event.type === EventType.ManifestAdopted) {
					callersServer.setLimits(core.core.manifest?.manifest.limits ?? {});
					probeOnce();
				}
			},
			[NodeEffectType.Stop]({reason}) {
				resolve(reason);
			},
		});
	});

	core.post({type: CoreMessageType.SeedsRead, seeds: settings.seeds.map(seed => parseAddress(seed))});
	const ownServers = [settings.ports.health, settings.ports.announcements, settings.ports.metrics].flatMap(port => port === undefined ? [] : [{port, server: own.createServer()}]);
	await Promise.all([
		gossip.listen(settings.ports.control, settings.host),
		peersServer.listen(settings.ports.peers, settings.host),
		callersServer.listen(settings.ports.callers, settings.host),
		...ownServers.map(async ({port, server}) => listen(server, port, settings.host)),
	]);
	const controlCalls = settings.controlCalls ? await startControlCalls(settings, core, clock) : undefined;
	store.start();
	let [watchedAt, gaugedAt] = [clock(), clock()];
	let isClosed = false;
	// One timer for all: each wake-up of an idle process has a price of its own.
	const tick = (): void => {
		if (isClosed) {
			return;
		}

		const now = clock();
		core.post({type: CoreMessageType.Tick});
		if (now - watchedAt >= linkWatchMilliseconds) {
			watchedAt = now;
			peersClient.watch();
		}

		if (now - gaugedAt >= gaugeMilliseconds) {
			gaugedAt = now;
			metrics.gauge(core.core);
			peersClient.keepOnly(core.core.members);
			controlCalls?.closeIdle();
		}

		ticks = setTimeout(readFirst, core.core.openCalls > 0 ? busyTickMilliseconds : idleTickMilliseconds);
	};

	// Timers come before what waits at the connections: after a standstill, answers are read before deadlines are looked at.
	const readFirst = (): void => {
		setImmediate(tick);
	};

	let ticks = setTimeout(readFirst, idleTickMilliseconds);
	const close = async (): Promise<void> => {
		isClosed = true;
		clearTimeout(ticks);
		callersServer.close();
		peersServer.close();
		ownServers.map(({server}) => server.close());
		controlCalls?.close();
		gossip.close();
		metrics.close();
		await Promise.all([upstream.close(), peersClient.close(), store.stop()]);
	};

	const stop = async (): Promise<boolean> => {
		const until = clock() + (settings.stopSeconds * 1000);
		const progress = setInterval(() => {
			const {openCalls, atMostOnce, admission} = core.core;
			openPartLog(LogPart.Node).info(`still has ${openCalls} calls, ${callersServer.openCount} requests, ${admission.inFlight} in the upstream; key ranges ${atMostOnce.hasHandedOver ? 'are handed over' : 'are being handed over'}`);
		}, progressMilliseconds);
		core.post({type: CoreMessageType.Leave});
		own.stopping();
		callersServer.closeAfterAnswers();
		await delay(settings.lingerMilliseconds);
		await callersServer.stopListening(clock() + ((until - clock()) * takingShare));
		while (!(core.core.isDrained && callersServer.openCount === 0) && clock() < until) {
			await delay(stopPollMilliseconds); // eslint-disable-line no-await-in-loop
		}

		clearInterval(progress);
		const isFinished = core.core.isDrained && callersServer.openCount === 0;
		core.post({type: CoreMessageType.Left});
		await delay(farewellMilliseconds);
		await Promise.race([close(), delay(closeMilliseconds)]);
		return isFinished;
	};

	return {
		core, gossip, stop, mustStop, async whenReady() {
			while (core.core.notReadyReason !== undefined) {
				await delay(startPollMilliseconds); // eslint-disable-line no-await-in-loop
			}
		},
	};
}

async function listen(server: Server, port: number, host: string): Promise<void> {
	server.listen(port, host);
	await once(server, 'listening');
}

/** Calls that few deployments need are loaded only where they are wanted. */
async function startControlCalls(settings: Settings, core: CoreTask, clock: () => number): Promise<{closeIdle: () => void; close: () => void}> {
	const [{ControlTask}, {ControlServer}] = await Promise.all([import('./control-client.js'), import('./control-server.js')]);
	const task = new ControlTask({core, clock});
	const server = new ControlServer(core);
	await server.listen(settings.ports.control, settings.host);
	return {
		closeIdle() {
			task.closeIdle();
		},
		close() {
			server.close();
			task.close();
		},
	};
}

async function pullManifest(from: readonly Member[], core: CoreTask, peers: PeersClient, deployment: Deployment, log: PartLog): Promise<boolean> {
	const [first, ...others] = from;
	if (first === undefined) {
		return false;
	}

	const pulled = await peers.readManifest(first);
	if (pulled === undefined || pulled.number <= (core.core.manifest?.number ?? 0)) {
		return pullManifest(others, core, peers, deployment, log);
	}

	try {
		core.post({type: CoreMessageType.ManifestArrived, revision: deployment.toRevision(pulled.number, pulled.document)});
		return true;
	} catch (error) {
		log.error(`revision ${pulled.number} of ${first.name} cannot be read and is not adopted: ${error instanceof Error ? error.message : String(error)}`);
		return pullManifest(others, core, peers, deployment, log);
	}
}

function toDefinition(settings: Settings): NodeDefinition {
	return {
		own: toMember(settings),
		wallClock: () => Date.now(),
		random: Math.random,
		newActionId: createActionIds(),
		membershipTimes: {
			probeIntervalMilliseconds: settings.membership.probeMilliseconds,
			suspicionMilliseconds: settings.membership.suspicionMilliseconds,
			exchangeIntervalMilliseconds: settings.membership.exchangeMilliseconds,
		},
		claimLimits: {maximumClaims: settings.limits.claims, maximumAnswerBytes: settings.limits.claimAnswerBytes},
		storeOutageLimitMilliseconds: settings.store.workWithoutSeconds * 1000,
		clockErrorMilliseconds: settings.clockErrorMilliseconds,
		admissionMechanisms: {...allAdmissionMechanisms, adaptiveLimit: settings.admission.adaptiveLimit},
		slotShare: settings.admission.slotShare,
		retries: settings.retries,
	};
}

function toMember(settings: Settings): Member {
	return {
		name: settings.name,
		incarnation: Date.now(),
		version: 1,
		location: {region: settings.region, failureDomain: settings.failureDomain},
		host: settings.host,
		callersPort: settings.ports.callers,
		peersPort: settings.ports.peers,
		controlPort: settings.ports.control,
		service: '',
		state: UpstreamState.Starting,
		slots: 0,
		liveness: Liveness.Alive,
	};
}

function parseAddress(text: string): {host: string; port: number} {
	const position = text.lastIndexOf(':');
	return {host: text.slice(0, position), port: Number(text.slice(position + 1))};
}
