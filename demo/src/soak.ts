/**
 * A soak: real processes under load and a seeded series of faults, with what must hold checked at the end.
 *
 * @module
 */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {seededRandom} from '@laburnumspool/load';
import {request} from 'undici';
import {v7 as newKey} from 'uuid';
import {
	Check, findViolations, type SoakRecord, type Trouble, type Violation,
} from './soak-checks.js';
import {SoakCallers, SoakPhase, type SoakResult} from './soak-clients.js';
import {SoakDisruptions} from './soak-disruptions.js';
import {
	kindOfVersion, payment, receipt, retriesPerAction, services, windows, writeManifest, type SoakKind,
} from './soak-kinds.js';
import {planDisruptions, type Disruption} from './soak-plan.js';
import {startSystem, type Instance, type System} from './system.js';

const requestsPerSecond = 120;
const calmPerSecond = 60;
const burstPerInstanceAndSecond = 200;
const mostBurstPerSecond = 1200;
const burstMilliseconds = 2000;
const settleMilliseconds = 1000;
const recoveryMilliseconds = 5000;
/** A range of keys whose two holders are gone stands still for their leases, for the time that they may work without the store, and until it was looked at twice. */
const keyedRecoveryMilliseconds = 12_000;
const recoveryPauseMilliseconds = 200;
/** Payments that have to be served in a row, so that most ranges of keys are hit, and their pace. */
const paymentsInRow = 64;
const betweenPaymentsMilliseconds = 15;
const secondTries = 2;
const secondTryMilliseconds = 100;

const storeSettings = {leaseSeconds: 2, workWithoutSeconds: 3};
const settings = {
	clockErrorMilliseconds: 100,
	lingerMilliseconds: 500,
	logFormat: 'json',
	// Below the time after which a process is killed that does not end.
	stopSeconds: 8,
	membership: {probeMilliseconds: 200, suspicionMilliseconds: 600},
	headers: {requestId: 'x-request-id', signature: 'x-signature'},
};

export type SoakDefinition = {
	readonly seed: number;
	readonly seconds: number;
	readonly instancesPerService: number;
};

/** What a soak has seen. */
export type SoakReport = {
	readonly disruptions: readonly Disruption[];
	readonly sent: number;
	/** Requests by status and outcome. */
	readonly answers: Readonly<Record<string, number>>;
	/** Greatest memory of a node's process. */
	readonly megabytes: number;
	readonly violations: readonly Violation[];
	readonly results: readonly SoakResult[];
	/** What the nodes have logged. */
	readonly lines: readonly string[];
	readonly troubles: readonly Trouble[];
};

type Load = {
	readonly phase: SoakPhase;
	readonly milliseconds: number;
	readonly perSecond: number;
	readonly kinds: ReadonlyArray<() => SoakKind>;
};

/**
 * Runs a soak.
 *
 * @example
 * const {violations} = await runSoak({seed: 1, seconds: 15, instancesPerService: 3});
 */
export async function runSoak(definition: SoakDefinition): Promise<SoakReport> {
	const folder = mkdtempSync(join(tmpdir(), 'laburnumspool-soak-'));
	const system = await startSystem({
		services,
		manifest: writeManifest(folder, 1),
		instancesPerService: definition.instancesPerService,
		locations: [{region: 'lake-erie', failureDomain: 'erie-a'}, {region: 'lake-erie', failureDomain: 'erie-b'}],
		settings,
		storeSettings,
	});
	const soak = new Soak(system, definition, folder);
	try {
		return await soak.run();
	} finally {
		soak.close();
		await system.stop();
	}
}

class Soak {
	readonly #system: System;
	readonly #definition: SoakDefinition;
	readonly #callers: Map<string, SoakCallers>;
	readonly #disruptions: SoakDisruptions;
	readonly #random: () => number;

	constructor(system: System, definition: SoakDefinition, folder: string) {
		this.#system = system;
		this.#definition = definition;
		this.#random = seededRandom(definition.seed + 1);
		this.#callers = new Map(system.instances.map(({name, callers}) => [name, new SoakCallers(name, callers)]));
		this.#disruptions = new SoakDisruptions(system, folder, async milliseconds => this.#sendBurst(SoakPhase.Trouble, milliseconds));
	}

	async run(): Promise<SoakReport> {
		const {seed, seconds} = this.#definition;
		const planned = planDisruptions(seed, seconds * 1000);
		await Promise.all([this.#sendMixed(SoakPhase.Trouble, seconds * 1000, requestsPerSecond), ...planned.map(async disruption => {
			await delay(disruption.at);
			await this.#disruptions.carryOut(disruption);
		})]);
		const unserved = await this.#findUnserved();
		await this.#sendBurst(SoakPhase.Burst, burstMilliseconds);
		await this.#roll();
		await delay(settleMilliseconds);
		this.#disruptions.noteMemory();
		const {record, brokenShipments} = this.#disruptions;
		const results = [...this.#callers.values()].flatMap(callers => callers.results);
		const violations = findViolations({
			...record, ...await this.#readRuns(), results, retriesPerAction,
		});
		return {
			disruptions: planned,
			sent: results.length,
			answers: countAnswers(results),
			megabytes: Math.max(...record.memory.map(({megabytes}) => megabytes)),
			violations: [
				...violations,
				...unserved.map(text => ({check: Check.Recovery, text})),
				...brokenShipments.map(text => ({check: Check.Shipment, text})),
			],
			results,
			lines: this.#disruptions.lines,
			troubles: record.troubles,
		};
	}

	close(): void {
		[...this.#callers.values()].map(callers => {
			callers.close();
			return callers;
		});
	}

	async #sendMixed(phase: SoakPhase, milliseconds: number, perSecond: number): Promise<void> {
		await this.#sendLoad({
			phase, milliseconds, perSecond, kinds: [() => payment, () => payment, () => windows, () => receipt, () => this.#latest()],
		});
	}

	/** Payments go on while much more is asked that matters less. */
	async #sendBurst(phase: SoakPhase, milliseconds: number): Promise<void> {
		const perSecond = Math.min(mostBurstPerSecond, burstPerInstanceAndSecond * this.#definition.instancesPerService);
		await Promise.all([
			this.#sendLoad({
				phase, milliseconds, perSecond, kinds: [() => receipt],
			}),
			this.#sendLoad({
				phase, milliseconds, perSecond: calmPerSecond, kinds: [() => payment],
			}),
		]);
	}

	/** One node of each service after another is stopped as planned, with no fault beside. */
	async #roll(): Promise<void> {
		const rolling = new AbortController();
		const load = async (): Promise<void> => {
			await this.#sendMixed(SoakPhase.Roll, 1000, calmPerSecond);
			return rolling.signal.aborted ? undefined : load();
		};

		const loaded = load();
		const chosen = services.map(({service}) => this.#system.instances.find(instance => instance.service === service)!);
		await chosen.reduce(async (before, instance) => {
			await before;
			await this.#disruptions.replace(instance);
		}, Promise.resolve());
		rolling.abort();
		await loaded;
	}

	async #sendLoad({phase, milliseconds, perSecond, kinds}: Load): Promise<void> {
		const {instances} = this.#system;
		const count = Math.floor(milliseconds / 1000 * perSecond);
		await Promise.all(Array.from({length: count}, async () => {
			const entry = instances[Math.floor(this.#random() * instances.length)]!;
			const kind = kinds[Math.floor(this.#random() * kinds.length)]!;
			await delay(this.#random() * milliseconds);
			await this.#send(entry, kind(), phase);
		}));
	}

	/** Sends a request; where a payment's fate is unknown, it is asked for again with the same key. */
	async #send(entry: Instance, kind: SoakKind, phase: SoakPhase, id = newKey(), triesLeft = secondTries): Promise<SoakResult> {
		const result = await this.#callers.get(entry.name)!.send(id, kind, phase);
		const isUnsure = result.status === undefined || result.outcome === 'unknown';
		if (!kind.isKeyed || !isUnsure || triesLeft === 0) {
			return result;
		}

		await delay(secondTryMilliseconds);
		const {instances} = this.#system;
		return this.#send(instances[Math.floor(this.#random() * instances.length)]!, kind, phase, id, triesLeft - 1);
	}

	#latest(): SoakKind {
		return kindOfVersion(this.#disruptions.versions.at(-1)!.version);
	}

	/** Each kind has to be served through each node soon after the last fault, and payments with all keys. */
	async #findUnserved(): Promise<string[]> {
		const {instances} = this.#system;
		const unkeyed = instances.flatMap(entry => [receipt, windows, this.#latest()].map(async kind => this.#findUnservedBy(recoveryMilliseconds, [{entry, kind}])));
		const payments = Array.from({length: paymentsInRow}, (_, index) => ({entry: instances[index % instances.length]!, kind: payment}));
		const unserved = await Promise.all([...unkeyed, this.#findUnservedBy(keyedRecoveryMilliseconds, payments)]);
		return unserved.flat();
	}

	/** Sends requests again and again until all are served at once. */
	async #findUnservedBy(milliseconds: number, wanted: ReadonlyArray<{readonly entry: Instance; readonly kind: SoakKind}>): Promise<string[]> {
		const until = performance.now() + milliseconds;
		const sendAll = async (): Promise<SoakResult[]> => {
			const results = await Promise.all(wanted.map(async ({entry, kind}, index) => {
				await delay(index * betweenPaymentsMilliseconds);
				return this.#send(entry, kind, SoakPhase.Recovery);
			}));
			return results.filter(({status}) => status !== 200);
		};

		let failed = await sendAll();
		while (failed.length > 0 && performance.now() < until) {
			await delay(recoveryPauseMilliseconds); // eslint-disable-line no-await-in-loop
			failed = await sendAll(); // eslint-disable-line no-await-in-loop
		}

		return failed.map(({kind, entry, status, body}) => `${kind.service}${kind.path} was not served through ${entry} within ${milliseconds} ms of the last fault: ${status} ${body}`);
	}

	/** Starts of work by service and request, and who has begun to work on what. */
	async #readRuns(): Promise<Pick<SoakRecord, 'runs' | 'instanceRuns'>> {
		const counts = await Promise.all(this.#system.instances.map(async ({name, service, upstreamAddress}) => {
			const answer = await request(`http://${upstreamAddress}/control/requests`, {method: 'POST'});
			return {name, service, byRequest: Object.entries(await answer.body.json() as Record<string, number>)};
		}));
		const all = counts.flatMap(({service, byRequest}) => byRequest.map(([id, count]) => ({key: `${service}/${id}`, count})));
		return {
			runs: all.reduce((runs, {key, count}) => runs.set(key, (runs.get(key) ?? 0) + count), new Map<string, number>()),
			instanceRuns: new Map(counts.map(({name, byRequest}) => [name, new Set(byRequest.map(([id]) => id))])),
		};
	}
}

function countAnswers(results: readonly SoakResult[]): Record<string, number> {
	const names = results.map(({status, outcome}) => `${status ?? 'none'} ${outcome ?? ''}`.trim()).toSorted((left, right) => left.localeCompare(right));
	return names.reduce<Record<string, number>>((counts, name) => ({...counts, [name]: (counts[name] ?? 0) + 1}), {});
}
