/**
 * A soak: real processes under load and a seeded series of faults; the recorded results are checked at the end.
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
	Check, findViolations, type SoakRecord, type NodeDisruption, type Violation,
} from './soak-checks.js';
import {SoakCallers, SoakPhase, type SoakResult} from './soak-clients.js';
import {SoakDisruptions} from './soak-disruptions.js';
import {sendIncompleteBodies} from './soak-incomplete-bodies.js';
import {
	kindOfVersion, lingerMilliseconds, payment, receipt, retriesPerAction, services, stopSeconds, windows, writeManifest, type SoakKind,
} from './soak-kinds.js';
import {
	IdentifiedCallers, organisationHeaders, type IdentifiedResult,
} from './soak-organisations.js';
import {planDisruptions, type Disruption} from './soak-plan.js';
import {startSystem, type Instance, type System} from './system.js';

const requestsPerSecond = 120;
const steadyPerSecond = 60;
const burstPerInstancePerSecond = 200;
const maximumBurstPerSecond = 1200;
const burstMilliseconds = 2000;
const settleMilliseconds = 1000;
const recoveryMilliseconds = 5000;
/**
 * A key range that lost both holders is unavailable until their leases have expired, the time is over for which they may
 * work without the store, and the range has been checked twice.
 */
const keyedRecoveryMilliseconds = 12_000;
const recoveryPollMilliseconds = 200;
/** Payments that all have to be served; 64 of them hit most of the key ranges. */
const recoveryPayments = 64;
const paymentIntervalMilliseconds = 15;
const maximumPaymentRetries = 2;
const paymentRetryDelayMilliseconds = 100;

const storeSettings = {leaseSeconds: 2, workWithoutSeconds: 3};
const settings = {
	clockErrorMilliseconds: 100,
	lingerMilliseconds,
	logFormat: 'json',
	stopSeconds,
	membership: {probeMilliseconds: 200, suspicionMilliseconds: 600},
	headers: {requestId: 'x-request-id', signature: 'x-signature', ...organisationHeaders},
};

export type SoakDefinition = {
	readonly seed: number;
	readonly seconds: number;
	readonly instancesPerService: number;
	/**
	 * Whether the manifest has routes and organisations, with which callers send keys of organisations. Otherwise it declares
	 * services, and payments have idempotency keys, which manifests of routes do not know.
	 */
	readonly hasOrganisations?: boolean;
	/**
	 * Whether other callers send bodies that stop short of their end or arrive in very small chunks. These lengthen the turns of
	 * the nodes' event loops, each of which accepts one connection.
	 */
	readonly hasIncompleteBodies?: boolean;
};

/** Results of a soak. */
export type SoakReport = {
	readonly disruptions: readonly Disruption[];
	readonly sent: number;
	/** Requests by status and outcome. */
	readonly answers: Readonly<Record<string, number>>;
	/** Requests of the callers with other keys by status and credential. */
	readonly identifiedAnswers: Readonly<Record<string, number>>;
	readonly identified: readonly IdentifiedResult[];
	/** Peak resident memory of any node's process. */
	readonly megabytes: number;
	readonly violations: readonly Violation[];
	readonly results: readonly SoakResult[];
	/** Log lines of the nodes, each after the name of its instance. */
	readonly lines: readonly string[];
	readonly troubles: readonly NodeDisruption[];
};

type RequestLoad = {
	readonly phase: SoakPhase;
	readonly milliseconds: number;
	readonly perSecond: number;
	readonly kinds: ReadonlyArray<() => SoakKind>;
};

/**
 * Runs a soak: load under faults, recovery, a burst, and a rolling restart. Rejects when the system does not start or a
 * process does not get ready again; violations are part of the report.
 *
 * @example
 * const {violations} = await runSoak({seed: 1, seconds: 15, instancesPerService: 3});
 */
export async function runSoak(definition: SoakDefinition): Promise<SoakReport> {
	const folder = mkdtempSync(join(tmpdir(), 'laburnumspool-soak-'));
	const system = await startSystem({
		services,
		manifest: writeManifest(folder, 1, {hasOrganisations: definition.hasOrganisations === true, isKeyWithdrawn: false}),
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
	readonly #identifiedCallers: IdentifiedCallers;
	readonly #disruptions: SoakDisruptions;
	readonly #random: () => number;

	constructor(system: System, definition: SoakDefinition, folder: string) {
		this.#system = system;
		this.#definition = definition;
		this.#random = seededRandom(definition.seed + 1);
		this.#callers = new Map(system.instances.map(({name, callersAddress}) => [name, new SoakCallers(name, callersAddress)]));
		this.#identifiedCallers = new IdentifiedCallers(system.instances);
		this.#disruptions = new SoakDisruptions(system, {folder, hasOrganisations: definition.hasOrganisations === true}, async milliseconds => this.#sendBurst(SoakPhase.Faults, milliseconds));
	}

	async run(): Promise<SoakReport> {
		const {seed, seconds} = this.#definition;
		const planned = planDisruptions(seed, seconds * 1000);
		const ending = new AbortController();
		const besideEnded = this.#sendBeside(ending.signal);
		const withdrawn = this.#withdrawKey(seconds * 1000 / 3);
		await Promise.all([this.#sendMixed(SoakPhase.Faults, seconds * 1000, requestsPerSecond), withdrawn, ...planned.map(async disruption => {
			await delay(disruption.at);
			await this.#disruptions.carryOut(disruption);
		})]);
		const unserved = await this.#findUnserved();
		await this.#sendBurst(SoakPhase.Burst, burstMilliseconds);
		await this.#restartOneByOne();
		ending.abort();
		await besideEnded;
		await delay(settleMilliseconds);
		this.#disruptions.recordMemory();
		const {record, failedShipments} = this.#disruptions;
		const results = [...[...this.#callers.values()].flatMap(callers => callers.results), ...this.#disruptions.results];
		const violations = findViolations({
			...record, ...await this.#readRuns(), results, retriesPerAction, identified: this.#identifiedCallers.results, hasOrganisations: this.#hasOrganisations,
		});
		return {
			disruptions: planned,
			sent: results.length,
			identifiedAnswers: countAnswers(this.#identifiedCallers.results.map(result => ({...result, outcome: result.credential}))),
			identified: this.#identifiedCallers.results,
			answers: countAnswers(results),
			megabytes: Math.max(...record.memory.map(({megabytes}) => megabytes)),
			violations: [
				...violations,
				...unserved.map(text => ({check: Check.Recovery, text})),
				...failedShipments.map(text => ({check: Check.Shipment, text})),
			],
			results,
			lines: this.#disruptions.lines,
			troubles: record.nodeDisruptions,
		};
	}

	get #hasOrganisations(): boolean {
		return this.#definition.hasOrganisations === true;
	}

	close(): void {
		this.#identifiedCallers.close();
		[...this.#callers.values()].map(callers => {
			callers.close();
			return callers;
		});
	}

	/** Sends requests with other keys than the ordinary callers, and incomplete bodies, where the soak has them, until the signal is aborted. */
	async #sendBeside(signal: AbortSignal): Promise<void> {
		await Promise.all([
			this.#hasOrganisations ? this.#identifiedCallers.sendUntil(signal, windows, SoakPhase.Faults) : undefined,
			this.#definition.hasIncompleteBodies === true ? sendIncompleteBodies(this.#system.instances, signal) : undefined,
		]);
	}

	async #withdrawKey(milliseconds: number): Promise<void> {
		if (this.#hasOrganisations) {
			await delay(milliseconds);
			await this.#disruptions.withdrawKey();
		}
	}

	async #sendMixed(phase: SoakPhase, milliseconds: number, perSecond: number): Promise<void> {
		await this.#sendLoad({
			phase, milliseconds, perSecond, kinds: [() => payment, () => payment, () => windows, () => receipt, () => this.#latestKind()],
		});
	}

	/** Sends payments at a steady rate beside many more receipts, which are less important. */
	async #sendBurst(phase: SoakPhase, milliseconds: number): Promise<void> {
		const perSecond = Math.min(maximumBurstPerSecond, burstPerInstancePerSecond * this.#definition.instancesPerService);
		await Promise.all([
			this.#sendLoad({
				phase, milliseconds, perSecond, kinds: [() => receipt],
			}),
			this.#sendLoad({
				phase, milliseconds, perSecond: steadyPerSecond, kinds: [() => payment],
			}),
		]);
	}

	/** Stops and restarts one node of each service in turn, under load and without other faults. */
	async #restartOneByOne(): Promise<void> {
		const rolling = new AbortController();
		const load = async (): Promise<void> => {
			await this.#sendMixed(SoakPhase.RollingRestart, 1000, steadyPerSecond);
			return rolling.signal.aborted ? undefined : load();
		};

		const loadEnded = load();
		const restarted = services.map(({service}) => this.#system.instances.find(instance => instance.service === service)!);
		await restarted.reduce(async (before, instance) => {
			await before;
			await this.#disruptions.restartNode(instance);
		}, Promise.resolve());
		rolling.abort();
		await loadEnded;
	}

	async #sendLoad({phase, milliseconds, perSecond, kinds}: RequestLoad): Promise<void> {
		const {instances} = this.#system;
		const count = Math.floor(milliseconds / 1000 * perSecond);
		await Promise.all(Array.from({length: count}, async () => {
			const entry = instances[Math.floor(this.#random() * instances.length)]!;
			const kind = kinds[Math.floor(this.#random() * kinds.length)]!;
			await delay(this.#random() * milliseconds);
			await this.#send(entry, kind(), phase);
		}));
	}

	/** Sends a request; retries a payment with the same key while its outcome is unknown, where keys have an effect. */
	async #send(entry: Instance, kind: SoakKind, phase: SoakPhase, id = newKey(), retriesLeft = maximumPaymentRetries): Promise<SoakResult> {
		const result = await this.#callers.get(entry.name)!.send(id, kind, phase);
		const isOutcomeUnknown = result.status === undefined || result.outcome === 'unknown';
		if (!kind.isKeyed || this.#hasOrganisations || !isOutcomeUnknown || retriesLeft === 0) {
			return result;
		}

		await delay(paymentRetryDelayMilliseconds);
		const {instances} = this.#system;
		return this.#send(instances[Math.floor(this.#random() * instances.length)]!, kind, phase, id, retriesLeft - 1);
	}

	#latestKind(): SoakKind {
		return kindOfVersion(this.#disruptions.versions.at(-1)!.version);
	}

	/** Checks that each kind is served through each node soon after the last fault, and that payments are served for most key ranges. */
	async #findUnserved(): Promise<string[]> {
		const {instances} = this.#system;
		const unkeyed = instances.flatMap(entry => [receipt, windows, this.#latestKind()].map(async kind => this.#findUnservedWithin(recoveryMilliseconds, [{entry, kind}])));
		const payments = Array.from({length: recoveryPayments}, (_, index) => ({entry: instances[index % instances.length]!, kind: payment}));
		const unserved = await Promise.all([...unkeyed, this.#findUnservedWithin(keyedRecoveryMilliseconds, payments)]);
		return unserved.flat();
	}

	/** Sends all the requests repeatedly until all of one round are served; describes the failures of the last round. */
	async #findUnservedWithin(milliseconds: number, probes: ReadonlyArray<{readonly entry: Instance; readonly kind: SoakKind}>): Promise<string[]> {
		const deadline = performance.now() + milliseconds;
		const sendAll = async (): Promise<SoakResult[]> => {
			const results = await Promise.all(probes.map(async ({entry, kind}, index) => {
				await delay(index * paymentIntervalMilliseconds);
				return this.#send(entry, kind, SoakPhase.Recovery);
			}));
			return results.filter(({status}) => status !== 200);
		};

		let unserved = await sendAll();
		while (unserved.length > 0 && performance.now() < deadline) {
			await delay(recoveryPollMilliseconds); // eslint-disable-line no-await-in-loop
			unserved = await sendAll(); // eslint-disable-line no-await-in-loop
		}

		return unserved.map(({kind, entry, status, body}) => `${kind.service}${kind.path} was not served through ${entry} within ${milliseconds} ms after the last fault: ${status} ${body}`);
	}

	/** Reads from the upstreams which requests each has started, and how often. */
	async #readRuns(): Promise<Pick<SoakRecord, 'runs' | 'instanceRuns' | 'recordedHeaders'>> {
		const read = async (address: string, path: string): Promise<unknown> => {
			const answer = await request(`http://${address}/control/${path}`, {method: 'POST'});
			return answer.body.json();
		};

		const counts = await Promise.all(this.#system.instances.map(async ({name, service, upstreamAddress}) => {
			const [byRequest, headers] = await Promise.all([read(upstreamAddress, 'requests'), read(upstreamAddress, 'headers')]);
			return {
				name, service, byRequest: Object.entries(byRequest as Record<string, number>), headers: Object.entries(headers as Record<string, string[]>),
			};
		}));
		const all = counts.flatMap(({service, byRequest}) => byRequest.map(([id, count]) => ({key: `${service}/${id}`, count})));
		return {
			runs: all.reduce((runs, {key, count}) => runs.set(key, (runs.get(key) ?? 0) + count), new Map<string, number>()),
			recordedHeaders: new Map(counts.map(({name, headers}) => [name, new Map(headers)])),
			instanceRuns: new Map(counts.map(({name, byRequest}) => [name, new Set(byRequest.map(([id]) => id))])),
		};
	}
}

function countAnswers(results: ReadonlyArray<Pick<SoakResult, 'status' | 'outcome'>>): Record<string, number> {
	const names = results.map(({status, outcome}) => `${status ?? 'none'} ${outcome ?? ''}`.trim()).toSorted((left, right) => left.localeCompare(right));
	return names.reduce<Record<string, number>>((counts, name) => ({...counts, [name]: (counts[name] ?? 0) + 1}), {});
}
