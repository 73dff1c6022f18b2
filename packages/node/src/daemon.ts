/**
 * Starts the tasks of a node, connects them to its core, and stops them in order.
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
	openHttpStore, parseShippedManifest, toRevision, type Store, type StoreEntry,
} from '@laburnumspool/manifest';
import {createActionIds} from './action-ids.js';
import {AnswerStreams} from './answer-streams.js';
import {CallersServer} from './callers-server.js';
import {CoreMessageType, CoreTask} from './core-task.js';
import {logEvent} from './event-log.js';
import {GossipSocket} from './gossip-socket.js';
import {LogPart, type LoggerFactory, type Logger} from './logs.js';
import {MemoryBudget} from './memory-budget.js';
import {openMetrics} from './metrics.js';
import {NodeInterface} from './node-interface.js';
import {PeersClient} from './peers-client.js';
import {PeersServer} from './peers-server.js';
import {stopAsPlanned} from './planned-stop.js';
import {createExplainer} from './questions.js';
import type {Settings} from './settings.js';
import {StoreTask} from './store-task.js';
import {UpstreamClient} from './upstream-client.js';
import {probeUpstream} from './upstream-probe.js';

/** Interval of the tick while calls are open; limits how late an expired deadline is detected. */
const busyTickMilliseconds = 30;
/** Interval of the tick while no calls are open. */
const idleTickMilliseconds = 100;
const gaugeIntervalMilliseconds = 1000;
const linkCheckIntervalMilliseconds = 200;
const readyPollMilliseconds = 20;

/** The parts that a deployment can replace: the store, and the format of the manifests in it. */
export type Deployment = {
	readonly openStore: (url: string) => Store;
	/** Parses a manifest from its store entry; throws `invalid-manifest`. */
	readonly readManifest: (entry: StoreEntry) => Revision;
	/** Parses a manifest that a peer sent; throws `invalid-manifest`. */
	readonly toRevision: (number: number, document: string) => Revision;
};

/** The deployment with the HTTP store of this project. */
export const defaultDeployment: Deployment = {
	openStore: openHttpStore,
	readManifest: entry => toRevision(entry.version, parseShippedManifest(entry).document),
	toRevision,
};

/** A running node. */
export type Daemon = {
	readonly core: CoreTask;
	readonly gossip: GossipSocket;
	/** Resolves when the node has a manifest and is ready for callers. */
	readonly whenReady: () => Promise<void>;
	/** Drains and stops the node; resolves to whether all open calls and requests ended within `stopSeconds`. */
	readonly stop: () => Promise<boolean>;
	/** Resolves with the reason when the core requires the node to stop, such as when another node took its name. */
	readonly stopReason: Promise<string>;
};

/**
 * Starts a node; resolves when its ports are open.
 *
 * @example
 * const daemon = await startDaemon(readSettings('node.yaml'), createLoggerFactory('info'));
 * await daemon.whenReady();
 */
export async function startDaemon(settings: Settings, openLogger: LoggerFactory, deployment = defaultDeployment): Promise<Daemon> {
	const clock = (): number => performance.now();
	// Only control calls read stored events, so none are stored without them.
	const core = new CoreTask(toDefinition(settings), clock, settings.controlCalls ? settings.limits.events : 0, openLogger(LogPart.Node));
	const streams = new AnswerStreams();
	const budget = new MemoryBudget(settings.limits.heldBytes);
	const upstream = new UpstreamClient({
		core, streams, budget, headers: settings.headers, log: openLogger(LogPart.Upstream),
	});
	const peersClient = new PeersClient({
		core, streams, budget, log: openLogger(LogPart.Peers), clock, readsWorkReports: settings.placement.costAware,
	});
	const gossip = new GossipSocket(core, openLogger(LogPart.Control));
	const store = new StoreTask({
		core,
		store: deployment.openStore(settings.store.url),
		log: openLogger(LogPart.Store),
		clock,
		random: Math.random,
		leaseMilliseconds: settings.store.leaseSeconds * 1000,
		manifestKey: settings.store.manifestKey,
		readManifest: deployment.readManifest,
		pullManifest: async from => pullManifest(from, core, peersClient, deployment, openLogger(LogPart.Peers)),
	});
	const requestLimits = {requestBytes: settings.limits.requestBytes, slowSenderMilliseconds: settings.limits.slowSenderSeconds * 1000};
	const metrics = await openMetrics(settings.statsd, settings.name);
	const nodeInterface = new NodeInterface({
		core, host: settings.host, upstream: settings.upstream, metrics: metrics.text,
	});
	const peersServer = new PeersServer({
		core, streams, budget, ...requestLimits,
	});
	const callersServer = new CallersServer({
		core,
		streams,
		budget,
		stalledBodyMilliseconds: settings.limits.stalledBodyMilliseconds,
		connections: settings.limits.callerConnections,
		log: openLogger(LogPart.Callers),
		observeLimit: metrics.countLimit,
		openRequests: settings.limits.openRequests,
		headers: settings.headers,
		service: settings.upstream?.service,
		nodeInterface,
		observeAnswer: metrics.observeAnswer,
		...requestLimits,
	});
	const callLog = openLogger(LogPart.Calls);
	let isProbed = false;
	const probeUpstreamOnce = (): void => {
		const {upstream: ownUpstream} = settings;
		const path = ownUpstream === undefined ? undefined : core.core.manifest?.manifest.healthPaths?.[ownUpstream.service];
		if (ownUpstream !== undefined && path !== undefined && !isProbed) {
			isProbed = true;
			void probeUpstream({
				core, log: openLogger(LogPart.Upstream), headers: settings.headers, upstream: ownUpstream,
			}, path);
		}
	};

	const stopReason = new Promise<string>(resolve => {
		core.handle({
			[NodeEffectType.Event]({event}) {
				metrics.count(event);
				logEvent(callLog, event);
				if (event.type === EventType.ManifestAdopted) {
					callersServer.setLimits(core.core.manifest?.manifest.limits ?? {});
					probeUpstreamOnce();
				}
			},
			[NodeEffectType.Stop]({reason}) {
				resolve(reason);
			},
		});
	});

	core.post({type: CoreMessageType.SeedsRead, seeds: settings.seeds.map(seed => parseAddress(seed))});
	const explain = createExplainer({
		core: core.core, clock, readsKeys: settings.headers.organisationKey !== undefined, checksOf: (bodyBytes, importance) => callersServer.explainChecks(bodyBytes, importance),
	});
	const ownServers = [
		...[settings.ports.health, settings.ports.announcements].map(port => ({port, createServer: () => nodeInterface.createServer()})),
		{port: settings.ports.metrics, createServer: () => nodeInterface.createOperatorsServer(explain)},
	].flatMap(({port, createServer}) => port === undefined ? [] : [{port, server: createServer()}]);
	await Promise.all([
		gossip.listen(settings.ports.control, settings.host),
		peersServer.listen(settings.ports.peers, settings.host),
		callersServer.listen(settings.ports.callers, settings.host),
		...ownServers.map(async ({port, server}) => listen(server, port, settings.host)),
	]);
	const controlCalls = settings.controlCalls ? await startControlCalls(settings, core, clock) : undefined;
	store.start();
	let [linksCheckedAt, gaugesSetAt] = [clock(), clock()];
	let isClosed = false;
	// One timer drives all periodic work, because each wake-up of an idle process has a cost.
	const tick = (): void => {
		if (isClosed) {
			return;
		}

		const now = clock();
		core.post({type: CoreMessageType.Tick});
		if (now - linksCheckedAt >= linkCheckIntervalMilliseconds) {
			linksCheckedAt = now;
			peersClient.checkLinks();
		}

		if (now - gaugesSetAt >= gaugeIntervalMilliseconds) {
			gaugesSetAt = now;
			metrics.gauge(core.core, budget.heldBytes);
			peersClient.closeUnusedConnections(core.core.members);
			controlCalls?.closeIdle();
		}

		tickTimer = setTimeout(scheduleTick, core.core.openCalls > 0 ? busyTickMilliseconds : idleTickMilliseconds);
	};

	// Node.js runs expired timers before pending input. The tick is deferred by one phase, so that after a blocked event loop
	// the answers that have arrived are read before deadlines are checked.
	const scheduleTick = (): void => {
		setImmediate(tick);
	};

	let tickTimer = setTimeout(scheduleTick, idleTickMilliseconds);
	const close = async (): Promise<void> => {
		isClosed = true;
		clearTimeout(tickTimer);
		callersServer.close();
		peersServer.close();
		ownServers.map(({server}) => server.close());
		controlCalls?.close();
		gossip.close();
		metrics.close();
		await Promise.all([upstream.close(), peersClient.close(), store.stop()]);
	};

	const stop = async (): Promise<boolean> => stopAsPlanned({
		core,
		callersServer,
		peersServer,
		nodeInterface,
		log: openLogger(LogPart.Node),
		clock,
		lingerMilliseconds: settings.lingerMilliseconds,
		stopMilliseconds: (settings.stopSeconds * 1000) - settings.stopMarginMilliseconds,
		close,
	});

	return {
		core, gossip, stop, stopReason, async whenReady() {
			while (core.core.notReadyReason !== undefined) {
				await delay(readyPollMilliseconds); // eslint-disable-line no-await-in-loop
			}
		},
	};
}

async function listen(server: Server, port: number, host: string): Promise<void> {
	server.listen(port, host);
	await once(server, 'listening');
}

/** Starts the control calls. Their modules are loaded on demand, because few deployments need them. */
async function startControlCalls(settings: Settings, core: CoreTask, clock: () => number): Promise<{closeIdle: () => void; close: () => void}> {
	const [{ControlClient}, {ControlServer}] = await Promise.all([import('./control-client.js'), import('./control-server.js')]);
	const client = new ControlClient({core, clock});
	const server = new ControlServer(core);
	await server.listen(settings.ports.control, settings.host);
	return {
		closeIdle() {
			client.closeIdle();
		},
		close() {
			server.close();
			client.close();
		},
	};
}

/** Requests the manifest from the peers one by one; resolves to whether a newer revision than the active one was posted. */
async function pullManifest(sources: readonly Member[], core: CoreTask, peers: PeersClient, deployment: Deployment, log: Logger): Promise<boolean> {
	const [first, ...others] = sources;
	if (first === undefined) {
		return false;
	}

	const pulled = await peers.pullManifest(first);
	if (pulled === undefined || pulled.number <= (core.core.manifest?.number ?? 0)) {
		return pullManifest(others, core, peers, deployment, log);
	}

	try {
		core.post({type: CoreMessageType.ManifestArrived, revision: deployment.toRevision(pulled.number, pulled.document)});
		return true;
	} catch (error) {
		log.error(`revision ${pulled.number} from ${first.name} is invalid and was not adopted: ${error instanceof Error ? error.message : String(error)}`);
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
		manifestAgeMilliseconds: settings.store.manifestAgeMilliseconds,
		admissionMechanisms: {...allAdmissionMechanisms, adaptiveLimit: settings.admission.adaptiveLimit},
		slotShare: settings.admission.slotShare,
		retries: settings.retries,
		organisationHeader: settings.headers.organisation,
		costAwarePlacement: settings.placement.costAware,
		earlyRefusal: settings.admission.earlyRefusal,
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
