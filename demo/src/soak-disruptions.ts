/**
 * Carries out the disruptions of a soak, and notes what the checks have to know of them.
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
	drainMilliseconds, type AcceptedVersion, type Departure, type SoakRecord, type Trouble,
} from './soak-checks.js';
import {services, writeManifest} from './soak-kinds.js';
import {DisruptionType, type Disruption} from './soak-plan.js';
import {startNode, type Instance, type System} from './system.js';

const manifestCommand = fileURLToPath(new URL('../../packages/manifest/dist/main.js', import.meta.url));
const spoiledShare = 0.3;
const slowFactor = 15;
const storeDelayMilliseconds = 400;
const lostConfirmations = 2;
/** Time for which an upstream that leaves is watched. */
const watchedMilliseconds = 1500;
const kilobytesPerMegabyte = 1024;
const shipUnknownCode = 4;

type Change = Readonly<Record<string, unknown>>;

/**
 * Disruptions of one system.
 *
 * @example
 * const disruptions = new SoakDisruptions(system, folder, async milliseconds => sendBurst(milliseconds));
 * await disruptions.carryOut(disruption);
 */
export class SoakDisruptions {
	readonly troubles: Trouble[] = [];
	readonly versions: AcceptedVersion[] = [{version: 1, acceptedAt: 0}];
	readonly storeOutages: Array<{startedAt: number; endedAt: number}> = [];
	readonly departures: Departure[] = [];
	readonly memory: Array<{entry: string; megabytes: number}> = [];
	/** What was broken by the operators' command. */
	readonly brokenShipments: string[] = [];
	/** What the nodes' processes have logged that are gone. */
	readonly #lines: string[] = [];
	readonly #system: System;
	readonly #folder: string;
	readonly #sendBurst: (milliseconds: number) => Promise<void>;
	/** Instances whose node is being stopped, killed or frozen. */
	readonly #busy = new Set<Instance>();
	readonly #draining = new Set<Instance>();
	#shipping = Promise.resolve();
	#lastVersion = 1;

	constructor(system: System, folder: string, sendBurst: (milliseconds: number) => Promise<void>) {
		this.#system = system;
		this.#folder = folder;
		this.#sendBurst = sendBurst;
	}

	get record(): Pick<SoakRecord, 'troubles' | 'versions' | 'storeOutages' | 'departures' | 'memory'> {
		const {troubles, versions, storeOutages, departures, memory} = this;
		return {
			troubles, versions, storeOutages, departures, memory,
		};
	}

	/** What all processes of the nodes have logged. */
	get lines(): string[] {
		return [...this.#lines, ...this.#system.instances.flatMap(instance => linesOf(instance))];
	}

	async carryOut(disruption: Disruption): Promise<void> {
		const {milliseconds, target, fault, type} = disruption;
		const handlers: Readonly<Record<DisruptionType, () => Promise<void>>> = {
			[DisruptionType.Stop]: async () => this.#trouble(target, type, async ({node}) => stopProcess(node)),
			[DisruptionType.Kill]: async () => this.#trouble(target, type, async ({node}) => stopProcess(node, 'SIGKILL')),
			[DisruptionType.Freeze]: async () => this.#trouble(target, type, async ({node}) => {
				node.child.kill('SIGSTOP');
				await delay(milliseconds);
				node.child.kill('SIGCONT');
				return null;
			}),
			[DisruptionType.Spoil]: async () => this.#misbehave(target, milliseconds, {fault, faultShare: spoiledShare}, {fault: UpstreamFault.None}),
			[DisruptionType.Slow]: async () => this.#misbehave(target, milliseconds, {slowFactor}, {slowFactor: 1}),
			[DisruptionType.StoreDown]: async () => this.#disturbStore(milliseconds, {isDown: true}, {isDown: false}),
			[DisruptionType.StoreSlow]: async () => this.#disturbStore(milliseconds, {delayMilliseconds: storeDelayMilliseconds}, {delayMilliseconds: 0}),
			[DisruptionType.StoreForgetful]: async () => this.#disturbStore(milliseconds, {confirmationsToLose: lostConfirmations}, {confirmationsToLose: 0}),
			[DisruptionType.Ship]: async () => this.#ship(),
			[DisruptionType.Drain]: async () => this.#drain(target),
			[DisruptionType.Burst]: async () => this.#sendBurst(milliseconds),
		};
		await handlers[type]();
	}

	/** Stops a node as planned and starts it again. */
	async replace(instance: Instance): Promise<void> {
		await this.#troubleOf(instance, DisruptionType.Stop, async ({node}) => stopProcess(node));
	}

	/** Notes the greatest memory that the present processes had. */
	noteMemory(): void {
		this.#system.instances.map(instance => this.#noteMemoryOf(instance));
	}

	#noteMemoryOf({name, node}: Instance): number {
		const status = readFileSync(join('/proc', String(node.child.pid), 'status'), 'utf8');
		return this.memory.push({entry: name, megabytes: Number(/^VmHWM:\s+(\d+) kB$/mu.exec(status)?.[1]) / kilobytesPerMegabyte});
	}

	/** A node that is in trouble already is left to it. */
	async #trouble(target: number, type: DisruptionType, action: (instance: Instance) => Promise<number | null>): Promise<void> {
		const instance = this.#pick(target);
		if (!this.#busy.has(instance)) {
			await this.#troubleOf(instance, type, action);
		}
	}

	async #troubleOf(instance: Instance, type: DisruptionType, action: (instance: Instance) => Promise<number | null>): Promise<void> {
		this.#busy.add(instance);
		this.#noteMemoryOf(instance);
		const trouble = {
			entry: instance.name, type, startedAt: performance.now(), endedAt: Infinity, readyAt: Infinity, code: null as number | null,
		};
		this.troubles.push(trouble);
		trouble.code = await action(instance);
		trouble.endedAt = performance.now();
		if (type !== DisruptionType.Freeze) {
			this.#lines.push(...linesOf(instance));
			instance.node = startNode(instance.name, instance.settingsFile);
			await instance.node.whenPrinted('node: ready');
		}

		trouble.readyAt = performance.now();
		this.#busy.delete(instance);
	}

	/** Versions follow one another; what the command cannot tell the fate of is contained in the next one. */
	async #ship(): Promise<void> {
		this.#shipping = this.#shipping.then(async () => {
			this.#lastVersion += 1;
			const version = this.#lastVersion;
			const {code, lines} = await runToEnd('ship', [manifestCommand, 'ship', writeManifest(this.#folder, version), '--store', this.#system.storeUrl]);
			if (code === 0) {
				this.versions.push({version, acceptedAt: performance.now()});
			} else if (code !== shipUnknownCode) {
				this.brokenShipments.push(`the shipment of version ${version} ended with ${code}: ${lines.join(' ')}`);
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
		await delay(drainMilliseconds);
		const watchedFrom = performance.now();
		const {started: before} = await this.#system.readCounters(instance);
		await delay(watchedMilliseconds / 2);
		await this.#system.setBehaviourOf(instance, {state: 'withdrawn'});
		await delay(watchedMilliseconds / 2);
		const {started} = await this.#system.readCounters(instance);
		this.departures.push({
			entry: instance.name, watchedFrom, watchedTo: performance.now(), startsAfter: started - before,
		});
		await this.#system.setBehaviourOf(instance, {state: 'ready'});
		this.#draining.delete(instance);
	}

	#pick(target: number): Instance {
		const {instances} = this.#system;
		return instances[Math.floor(target * instances.length)]!;
	}

	async #misbehave(target: number, milliseconds: number, during: Change, after: Change): Promise<void> {
		const {service} = services[Math.floor(target * services.length)]!;
		await this.#system.setBehaviour(service, during);
		await delay(milliseconds);
		await this.#system.setBehaviour(service, after);
	}

	async #disturbStore(milliseconds: number, during: Change, after: Change): Promise<void> {
		const outage = {startedAt: performance.now(), endedAt: Infinity};
		this.storeOutages.push(outage);
		await this.#setStoreFaults(during);
		await delay(milliseconds);
		await this.#setStoreFaults(after);
		outage.endedAt = performance.now();
	}

	async #setStoreFaults(faults: Change): Promise<void> {
		const answer = await request(`${this.#system.storeUrl}/control/faults`, {method: 'PUT', body: JSON.stringify(faults)});
		await answer.body.dump();
	}
}

function linesOf({name, node}: Instance): string[] {
	return node.lines.map(line => `${name} ${line}`);
}
