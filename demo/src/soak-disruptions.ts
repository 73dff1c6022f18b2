/**
 * Carries out the disruptions of a soak and records them for the checks.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {UpstreamFault} from '@laburnumspool/standin-upstream';
import {request} from 'undici';
import {runToEnd, stopProcess} from './processes.js';
import {
	drainGraceMilliseconds, type AcceptedVersion, type UpstreamDrain, type SoakRecord, type NodeDisruption,
} from './soak-checks.js';
import {SoakPhase, type SoakResult} from './soak-clients.js';
import {services, writeManifest} from './soak-kinds.js';
import type {Withdrawal} from './soak-organisations.js';
import {attendStop} from './soak-pipelines.js';
import {DisruptionType, type Disruption} from './soak-plan.js';
import {startNode, type Instance, type System} from './system.js';

const manifestCommand = fileURLToPath(new URL('../../packages/manifest/dist/main.js', import.meta.url));
const faultyShare = 0.3;
const slowFactor = 15;
const storeDelayMilliseconds = 400;
const lostConfirmations = 2;
/** Time between the two readings of a draining upstream's counters. */
const watchMilliseconds = 1500;
const kilobytesPerMegabyte = 1024;
const outcomeUnknownExitCode = 4;
const nodesInSeries = 3;
const maximumWithdrawalShipments = 10;

/** How a node is stopped; the signal is sent as a second one after the duration. */
type PlannedStop = {readonly isLong?: boolean; readonly signal?: NodeJS.Signals; readonly milliseconds?: number};

/** Where the versions of the manifest are written, and their form. */
export type ManifestSource = {readonly folder: string; readonly hasOrganisations: boolean};

type ControlBody = Readonly<Record<string, unknown>>;

/**
 * Disruptions of one system.
 *
 * @example
 * const disruptions = new SoakDisruptions(system, {folder, hasOrganisations: false}, async milliseconds => sendBurst(milliseconds));
 * await disruptions.carryOut(disruption);
 */
export class SoakDisruptions {
	readonly nodeDisruptions: NodeDisruption[] = [];
	/** Results of the callers whose connections were open when a node was stopped. */
	readonly results: SoakResult[] = [];
	readonly versions: AcceptedVersion[] = [{version: 1, acceptedAt: 0}];
	readonly storeOutages: Array<{startedAt: number; endedAt: number}> = [];
	readonly drains: UpstreamDrain[] = [];
	readonly memory: Array<{entry: string; megabytes: number}> = [];
	withdrawal: Withdrawal | undefined;
	/** Nodes whose process had ended when it was to be disrupted, or at the end of the soak. */
	readonly ended: string[] = [];
	/** Shipments that ended with an unexpected exit code. */
	readonly failedShipments: string[] = [];
	/** Log lines of processes that have exited. */
	readonly #earlierLines: string[] = [];
	readonly #system: System;
	readonly #folder: string;
	readonly #hasOrganisations: boolean;
	readonly #sendBurst: (milliseconds: number) => Promise<void>;
	/** Instances whose node is stopped, killed or frozen, and not ready again yet. */
	readonly #disrupted = new Set<Instance>();
	readonly #draining = new Set<Instance>();
	#shipping = Promise.resolve();
	#withdrawalStartedAt: number | undefined;
	#lastVersion = 1;

	/** @param folder - for the versions of the manifest */
	constructor(system: System, {folder, hasOrganisations}: ManifestSource, sendBurst: (milliseconds: number) => Promise<void>) {
		this.#system = system;
		this.#folder = folder;
		this.#hasOrganisations = hasOrganisations;
		this.#sendBurst = sendBurst;
	}

	get record(): Pick<SoakRecord, 'nodeDisruptions' | 'versions' | 'storeOutages' | 'drains' | 'memory' | 'withdrawal' | 'ended'> {
		const {nodeDisruptions, versions, storeOutages, drains, memory, withdrawal, ended} = this;
		return {
			nodeDisruptions, versions, storeOutages, drains, memory, withdrawal, ended,
		};
	}

	/** Log lines of all processes of the nodes, each after the name of its instance. */
	get lines(): string[] {
		return [...this.#earlierLines, ...this.#system.instances.flatMap(instance => logLinesOf(instance))];
	}

	async carryOut(disruption: Disruption): Promise<void> {
		const {milliseconds, target, fault, type, signal} = disruption;
		const handlers: Readonly<Record<DisruptionType, () => Promise<void>>> = {
			[DisruptionType.Stop]: async () => this.#stopNodeAt(target),
			[DisruptionType.StopTwice]: async () => this.#stopNodeAt(target, {signal, milliseconds}),
			[DisruptionType.LongStop]: async () => this.#stopNodeAt(target, {isLong: true}),
			[DisruptionType.StopSeries]: async () => this.#stopSeries(target, milliseconds / nodesInSeries),
			[DisruptionType.Kill]: async () => this.#disruptNodeAt(target, type, async ({node}) => stopProcess(node, 'SIGKILL')),
			[DisruptionType.Freeze]: async () => this.#disruptNodeAt(target, type, async ({node}) => {
				node.child.kill('SIGSTOP');
				await delay(milliseconds);
				node.child.kill('SIGCONT');
				return null;
			}),
			[DisruptionType.FaultyAnswers]: async () => this.#disturbUpstreams(target, milliseconds, {fault, faultShare: faultyShare}, {fault: UpstreamFault.None}),
			[DisruptionType.SlowUpstreams]: async () => this.#disturbUpstreams(target, milliseconds, {slowFactor}, {slowFactor: 1}),
			[DisruptionType.StoreDown]: async () => this.#disturbStore(milliseconds, {isDown: true}, {isDown: false}),
			[DisruptionType.StoreSlow]: async () => this.#disturbStore(milliseconds, {delayMilliseconds: storeDelayMilliseconds}, {delayMilliseconds: 0}),
			[DisruptionType.StoreLosesConfirmations]: async () => this.#disturbStore(milliseconds, {confirmationsToLose: lostConfirmations}, {confirmationsToLose: 0}),
			[DisruptionType.Ship]: async () => this.#ship(),
			[DisruptionType.Drain]: async () => this.#drain(target),
			[DisruptionType.Burst]: async () => this.#sendBurst(milliseconds),
		};
		await handlers[type]();
	}

	/** Stops a node as planned and starts it again; resolves when it is ready. */
	async restartNode(instance: Instance): Promise<void> {
		await this.#stopNode(instance, SoakPhase.RollingRestart, {});
	}

	/** Ships versions without the withdrawn key until one of them is accepted, but no more than ten. */
	async withdrawKey(): Promise<void> {
		this.#withdrawalStartedAt = performance.now();
		for (let shipments = 0; this.withdrawal === undefined && shipments < maximumWithdrawalShipments; shipments += 1) {
			await this.#ship(); // eslint-disable-line no-await-in-loop
		}
	}

	/** Records the peak resident memory of the running processes, and which ones have ended. */
	recordMemory(): void {
		this.#system.instances.map(instance => this.#recordMemoryOf(instance));
	}

	#recordMemoryOf({name, node}: Instance): number {
		if (node.child.exitCode !== null || node.child.signalCode !== null) {
			return this.ended.push(name);
		}

		const status = readFileSync(join('/proc', String(node.child.pid), 'status'), 'utf8');
		return this.memory.push({entry: name, megabytes: Number(/^VmHWM:\s+(\d+) kB$/mu.exec(status)?.[1]) / kilobytesPerMegabyte});
	}

	/** Does nothing when the node is already disrupted. */
	async #stopNodeAt(target: number, stop: PlannedStop = {}): Promise<void> {
		const instance = this.#pick(target);
		if (!this.#disrupted.has(instance)) {
			await this.#stopNode(instance, SoakPhase.Faults, stop);
		}
	}

	async #stopSeries(target: number, gapMilliseconds: number): Promise<void> {
		await Promise.all(Array.from({length: nodesInSeries}, async (_, index) => {
			await delay(index * gapMilliseconds);
			await this.#stopNodeAt((target + (index / this.#system.instances.length)) % 1);
		}));
	}

	async #stopNode(instance: Instance, phase: SoakPhase, {isLong = false, signal, milliseconds = 0}: PlannedStop): Promise<void> {
		this.#disrupted.add(instance);
		const {ended} = await attendStop(instance, phase, isLong);
		await this.#disruptNode(instance, DisruptionType.Stop, async ({node}) => {
			const stopped = stopProcess(node);
			if (signal !== undefined) {
				await delay(milliseconds);
				node.child.kill(signal);
			}

			return stopped;
		});
		this.results.push(...await ended);
	}

	/** Does nothing when the node is already disrupted. */
	async #disruptNodeAt(target: number, type: DisruptionType, action: (instance: Instance) => Promise<number | null>): Promise<void> {
		const instance = this.#pick(target);
		if (!this.#disrupted.has(instance)) {
			await this.#disruptNode(instance, type, action);
		}
	}

	async #disruptNode(instance: Instance, type: DisruptionType, action: (instance: Instance) => Promise<number | null>): Promise<void> {
		this.#disrupted.add(instance);
		this.#recordMemoryOf(instance);
		const disruption = {
			entry: instance.name, type, startedAt: performance.now(), endedAt: Infinity, readyAt: Infinity, code: null as number | null,
		};
		this.nodeDisruptions.push(disruption);
		disruption.code = await action(instance);
		disruption.endedAt = performance.now();
		if (type !== DisruptionType.Freeze) {
			this.#earlierLines.push(...logLinesOf(instance));
			instance.node = startNode(instance.name, instance.settingsFile);
			await instance.node.whenPrinted('node: ready');
		}

		disruption.readyAt = performance.now();
		this.#disrupted.delete(instance);
	}

	/**
	 * Ships the next version after the earlier shipments have ended. A version whose outcome is unknown needs no retry, because
	 * the next version contains its request kinds.
	 */
	async #ship(): Promise<void> {
		this.#shipping = this.#shipping.then(async () => {
			this.#lastVersion += 1;
			const version = this.#lastVersion;
			const withdrawalStartedAt = this.#withdrawalStartedAt;
			const manifest = writeManifest(this.#folder, version, {hasOrganisations: this.#hasOrganisations, isKeyWithdrawn: withdrawalStartedAt !== undefined});
			const {code, lines} = await runToEnd('ship', [manifestCommand, 'ship', manifest, '--store', this.#system.storeUrl]);
			if (code === 0) {
				const acceptedAt = performance.now();
				this.versions.push({version, acceptedAt});
				this.withdrawal ??= withdrawalStartedAt === undefined ? undefined : {startedAt: withdrawalStartedAt, acceptedAt};
			} else if (code !== outcomeUnknownExitCode) {
				this.failedShipments.push(`the shipment of version ${version} ended with exit code ${code}: ${lines.join(' ')}`);
			}
		});
		await this.#shipping;
	}

	async #drain(target: number): Promise<void> {
		const instance = this.#pick(target);
		if (this.#draining.has(instance)) {
			return;
		}

		this.#draining.add(instance);
		await this.#system.setBehaviourOf(instance, {state: 'draining'});
		await delay(drainGraceMilliseconds);
		const watchedFrom = performance.now();
		const {started: before} = await this.#system.readCounters(instance);
		await delay(watchMilliseconds / 2);
		await this.#system.setBehaviourOf(instance, {state: 'withdrawn'});
		await delay(watchMilliseconds / 2);
		const {started} = await this.#system.readCounters(instance);
		this.drains.push({
			entry: instance.name, watchedFrom, watchedTo: performance.now(), startedWhileWatched: started - before,
		});
		await this.#system.setBehaviourOf(instance, {state: 'ready'});
		this.#draining.delete(instance);
	}

	#pick(target: number): Instance {
		const {instances} = this.#system;
		return instances[Math.floor(target * instances.length)]!;
	}

	async #disturbUpstreams(target: number, milliseconds: number, during: ControlBody, after: ControlBody): Promise<void> {
		const {service} = services[Math.floor(target * services.length)]!;
		await this.#system.setBehaviour(service, during);
		await delay(milliseconds);
		await this.#system.setBehaviour(service, after);
	}

	async #disturbStore(milliseconds: number, during: ControlBody, after: ControlBody): Promise<void> {
		const outage = {startedAt: performance.now(), endedAt: Infinity};
		this.storeOutages.push(outage);
		await this.#setStoreFaults(during);
		await delay(milliseconds);
		await this.#setStoreFaults(after);
		outage.endedAt = performance.now();
	}

	async #setStoreFaults(faults: ControlBody): Promise<void> {
		const answer = await request(`${this.#system.storeUrl}/control/faults`, {method: 'PUT', body: JSON.stringify(faults)});
		await answer.body.dump();
	}
}

function logLinesOf({name, node}: Instance): string[] {
	return node.lines.map(line => `${name} ${line}`);
}
