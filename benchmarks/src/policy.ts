/**
 * Measures admission control and retry limits under overload, in virtual time. The last service of a call chain slows
 * down threefold while demand doubles and clients retry at once; then both return to normal. Each mechanism is disabled
 * in turn.
 *
 * @module
 */
import process from 'node:process';
import {
	allAdmissionMechanisms, Importance, Outcome, safeParseManifest, type EntryMechanisms, type AdmissionMechanisms, type Manifest,
} from '@laburnumspool/core';
import {formatTable, seededRandom} from '@laburnumspool/load';
import {cac} from 'cac';
import type {VirtualService} from './virtual-node.js';
import {VirtualSystem} from './virtual-system.js';

const surgeStartMilliseconds = 4000;
const surgeEndMilliseconds = 12_000;
const arrivalsEndMilliseconds = 18_000;
const recoveryStepMilliseconds = 250;
const slowdownFactor = 3;
const surgeDemandFactor = 2;
const callerAttempts = 3;
const arrivalsStartMilliseconds = 1000;

const manifestDocument = {
	name: 'policy',
	retriesPerAction: 3,
	services: {
		front: {
			requests: [
				{
					kind: 'browse', methods: ['GET'], path: '/browse', importance: 'low', semantics: 'idempotent', waitMilliseconds: 800, calls: [{service: 'middle', kind: 'read'}],
				},
				{
					kind: 'order', methods: ['GET'], path: '/order', importance: 'high', semantics: 'idempotent', waitMilliseconds: 1500, calls: [{service: 'middle', kind: 'read'}],
				},
				{
					kind: 'deposit', methods: ['GET'], path: '/deposit', importance: 'critical', semantics: 'idempotent', waitMilliseconds: 2000, calls: [{service: 'middle', kind: 'read'}],
				},
			],
		},
		middle: {
			requests: [{
				kind: 'read', methods: ['GET'], path: '/read', importance: 'normal', semantics: 'idempotent', waitMilliseconds: 2000, customer: false, calls: [{service: 'deep', kind: 'fetch'}],
			}],
		},
		deep: {
			requests: [{
				kind: 'fetch', methods: ['GET'], path: '/fetch', importance: 'normal', semantics: 'idempotent', waitMilliseconds: 2000, customer: false,
			}],
		},
	},
};

const requestKinds: ReadonlyArray<{readonly kind: string; readonly importance: Importance; readonly perSecond: number; readonly timeoutMilliseconds: number}> = [
	{
		kind: 'browse', importance: Importance.Low, perSecond: 120, timeoutMilliseconds: 800,
	},
	{
		kind: 'order', importance: Importance.High, perSecond: 50, timeoutMilliseconds: 1500,
	},
	{
		kind: 'deposit', importance: Importance.Critical, perSecond: 20, timeoutMilliseconds: 2000,
	},
];

const unlimitedSlots = 10_000;
const noAdmissionMechanisms: AdmissionMechanisms = {
	adaptiveLimit: false, importanceOrder: false, overloadLevel: false, doomedCheck: false, waitBound: false, fairShares: false,
};
const noEntryMechanisms: EntryMechanisms = {retryQuota: false, retryBudget: false};

type Variant = {readonly name: string; readonly admissionMechanisms: AdmissionMechanisms; readonly entryMechanisms?: EntryMechanisms; readonly isUnlimited?: boolean};

const variants: readonly Variant[] = [
	{
		name: 'no control', admissionMechanisms: noAdmissionMechanisms, entryMechanisms: noEntryMechanisms, isUnlimited: true,
	},
	{name: 'fixed limit, FIFO', admissionMechanisms: noAdmissionMechanisms, entryMechanisms: noEntryMechanisms},
	...Object.keys(allAdmissionMechanisms).map(name => ({name: `all but ${name}`, admissionMechanisms: {...allAdmissionMechanisms, [name]: false}})),
	{name: 'all but retryAccount', admissionMechanisms: allAdmissionMechanisms, entryMechanisms: {retryQuota: false, retryBudget: true}},
	{name: 'all but retryShare', admissionMechanisms: allAdmissionMechanisms, entryMechanisms: {retryQuota: true, retryBudget: false}},
	{name: 'all mechanisms', admissionMechanisms: allAdmissionMechanisms},
];

function createServices(isUnlimited: boolean): VirtualService[] {
	const announced = isUnlimited ? {announcedSlots: unlimitedSlots} : {};
	return [
		{
			service: 'front', instances: 3, slots: 40, ...announced, behaviours: [{prefix: '/', milliseconds: 10, calls: [{service: 'middle', method: 'GET', target: '/read'}]}],
		},
		{
			service: 'middle', instances: 3, slots: 40, ...announced, behaviours: [{prefix: '/', milliseconds: 10, calls: [{service: 'deep', method: 'GET', target: '/fetch'}]}],
		},
		{
			service: 'deep', instances: 3, slots: 3, ...announced, behaviours: [{prefix: '/', milliseconds: 30}],
		},
	];
}

type RequestResult = {readonly kind: string; readonly sentAt: number; readonly isGood: boolean; readonly isRefused: boolean};

/** Results of one variant. */
export type PolicyMetrics = {
	readonly name: string;
	/** Share of the requests of the surge that get a good answer, by kind. */
	readonly goodShare: Readonly<Record<string, number>>;
	/** Good answers per second of the surge, over all kinds. */
	readonly goodPerSecond: number;
	/** Good answers of the surge as a share of the deep service's capacity. */
	readonly capacityShare: number;
	/** Time from the end of the surge until 90 % of the earlier goodput; undefined when it is not reached. */
	readonly recoveryMilliseconds: number | undefined;
	/** Largest number of calls that the deep service starts for one customer action. */
	readonly maximumAmplification: number;
	/** Calls that the deep service starts in the surge, per good answer. */
	readonly startsPerGoodAnswer: number;
};

/**
 * Runs one variant with a seed; the same seed gives the same results.
 *
 * @example
 * runVariant({name: 'all', admissionMechanisms: allAdmissionMechanisms}, 1).goodShare['deposit'];
 */
export function runVariant(variant: Variant, seed: number): PolicyMetrics {
	const system = new VirtualSystem({
		seed,
		manifest: parseManifest(),
		services: createServices(variant.isUnlimited ?? false),
		admissionMechanisms: variant.admissionMechanisms,
		...(variant.entryMechanisms === undefined ? {} : {entryMechanisms: variant.entryMechanisms}),
	});
	const random = seededRandom(seed + 1);
	const results: RequestResult[] = [];
	requestKinds.map(kind => {
		scheduleArrivals(system, kind, random, results);
		return kind;
	});
	scheduleSlowdown(system, surgeStartMilliseconds, slowdownFactor);
	scheduleSlowdown(system, surgeEndMilliseconds, 1);
	system.runUntil(arrivalsEndMilliseconds + 4000);
	return summarize(variant.name, results, system);
}

function parseManifest(): Manifest {
	const result = safeParseManifest(manifestDocument);
	if (!result.success) {
		throw new Error(JSON.stringify(result.issues));
	}

	return result.manifest;
}

function scheduleSlowdown(system: VirtualSystem, time: number, factor: number): void {
	system.schedule(time, () => {
		system.nodes.filter(node => node.service.service === 'deep').map(node => {
			node.slowdownFactor = factor;
			return node;
		});
	});
}

function scheduleArrivals(system: VirtualSystem, kind: (typeof requestKinds)[number], random: () => number, results: RequestResult[]): void {
	let nextAt = arrivalsStartMilliseconds;
	while (nextAt < arrivalsEndMilliseconds) {
		const isSurge = nextAt >= surgeStartMilliseconds && nextAt < surgeEndMilliseconds;
		nextAt -= Math.log(1 - random()) * 1000 / (kind.perSecond * (isSurge ? surgeDemandFactor : 1));
		const sentAt = nextAt;
		const entry = `front-${Math.floor(random() * 3)}`;
		system.schedule(sentAt, () => {
			send(system, kind, entry, sentAt, callerAttempts, results);
		});
	}
}

/** Sends a request as a client that retries after 20 ms without back-off, up to its number of attempts or its deadline. */
function send(system: VirtualSystem, kind: (typeof requestKinds)[number], entry: string, sentAt: number, attemptsLeft: number, results: RequestResult[]): void {
	const timeLeft = kind.timeoutMilliseconds - (system.now - sentAt);
	system.request(entry, {
		service: 'front', method: 'GET', target: `/${kind.kind}`, timeoutMilliseconds: timeLeft,
	}, answer => {
		const isBeforeDeadline = system.now - sentAt <= kind.timeoutMilliseconds;
		const isGood = answer.answer?.status === 200 && isBeforeDeadline;
		if (!isGood && attemptsLeft > 1 && isBeforeDeadline) {
			system.schedule(20, () => {
				send(system, kind, entry, sentAt, attemptsLeft - 1, results);
			});
			return;
		}

		results.push({
			kind: kind.kind, sentAt, isGood, isRefused: answer.outcome === Outcome.NotRun,
		});
	});
}

function summarize(name: string, results: readonly RequestResult[], system: VirtualSystem): PolicyMetrics {
	const inSurge = results.filter(result => result.sentAt >= surgeStartMilliseconds && result.sentAt < surgeEndMilliseconds);
	const good = inSurge.filter(result => result.isGood);
	const surgeSeconds = (surgeEndMilliseconds - surgeStartMilliseconds) / 1000;
	const capacity = 9 * 1000 / (30 * slowdownFactor);
	const deepStarts = system.upstreamCalls.filter(item => item.service === 'deep');
	const surgeStarts = deepStarts.filter(item => item.startedAt >= surgeStartMilliseconds && item.startedAt < surgeEndMilliseconds).length;
	const startsByAction = new Map<string, number>();
	deepStarts.map(item => startsByAction.set(item.actionId, (startsByAction.get(item.actionId) ?? 0) + 1));
	return {
		name,
		goodShare: Object.fromEntries(requestKinds.map(({kind}) => {
			const ofKind = inSurge.filter(result => result.kind === kind);
			return [kind, ofKind.filter(result => result.isGood).length / Math.max(1, ofKind.length)];
		})),
		goodPerSecond: good.length / surgeSeconds,
		capacityShare: good.length / surgeSeconds / capacity,
		recoveryMilliseconds: findRecovery(results),
		maximumAmplification: Math.max(0, ...startsByAction.values()),
		startsPerGoodAnswer: surgeStarts / Math.max(1, good.length),
	};
}

function findRecovery(results: readonly RequestResult[]): number | undefined {
	const goodPerSecondBetween = (from: number, to: number): number => results
		.filter(result => result.isGood && result.sentAt >= from && result.sentAt < to).length * 1000 / (to - from);
	const goodPerSecondBefore = goodPerSecondBetween(arrivalsStartMilliseconds + 1000, surgeStartMilliseconds);
	const windowCount = Math.floor((arrivalsEndMilliseconds - surgeEndMilliseconds) / recoveryStepMilliseconds);
	const windows = Array.from({length: windowCount}, (_, index) => surgeEndMilliseconds + (index * recoveryStepMilliseconds));
	const recovered = windows.find(from => goodPerSecondBetween(from, Math.min(arrivalsEndMilliseconds, from + (4 * recoveryStepMilliseconds))) >= goodPerSecondBefore * 0.9);
	return recovered === undefined ? undefined : recovered - surgeEndMilliseconds;
}

function toRow(metrics: PolicyMetrics): string[] {
	return [
		metrics.name,
		...requestKinds.map(({kind}) => ((metrics.goodShare[kind] ?? 0) * 100).toFixed(1)),
		metrics.goodPerSecond.toFixed(1),
		(metrics.capacityShare * 100).toFixed(1),
		metrics.recoveryMilliseconds === undefined ? 'not seen' : String(metrics.recoveryMilliseconds),
		String(metrics.maximumAmplification),
		metrics.startsPerGoodAnswer.toFixed(2),
	];
}

if (process.argv[1]?.endsWith('policy.js') === true) {
	const cli = cac('policy');
	cli.option('--seed <seed>', 'Seed', {default: 1});
	cli.option('--only <name>', 'Run only the variant of this name');
	const {options} = cli.parse();
	const seed = Number(options.seed);
	const header = ['variant', ...requestKinds.map(({kind}) => `${kind} good %`), 'good/s', '% of capacity', 'recovery ms', 'most starts/action', 'starts/good'];
	const rows = variants.filter(variant => options.only === undefined || variant.name === options.only).map(variant => toRow(runVariant(variant, seed)));
	process.stdout.write(`seed ${seed}\n${formatTable([header, ...rows])}\n`);
}
