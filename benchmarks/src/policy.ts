/**
 * The policy under overload, in virtual time: a deep service slows threefold while demand doubles and clients retry
 * hard; then the trigger ends. Each mechanism is left out in turn.
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

const calmUntil = 4000;
const surgeUntil = 12_000;
const end = 18_000;
const windowMilliseconds = 250;
const slowFactor = 3;
const surgeFactor = 2;
const callerTries = 3;
const startMilliseconds = 1000;

const document = {
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

const kinds: ReadonlyArray<{readonly kind: string; readonly importance: Importance; readonly perSecond: number; readonly timeoutMilliseconds: number}> = [
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
const noGuard: AdmissionMechanisms = {
	adaptiveLimit: false, importanceOrder: false, overloadLevel: false, preemption: false, doomedCheck: false, waitBound: false,
};
const noEntry: EntryMechanisms = {retryQuota: false, retryBudget: false};

type Variant = {readonly name: string; readonly guard: AdmissionMechanisms; readonly entry?: EntryMechanisms; readonly isUnlimited?: boolean};

const variants: readonly Variant[] = [
	{
		name: 'no control', guard: noGuard, entry: noEntry, isUnlimited: true,
	},
	{name: 'fixed limit, FIFO', guard: noGuard, entry: noEntry},
	...Object.keys(allAdmissionMechanisms).map(name => ({name: `all but ${name}`, guard: {...allAdmissionMechanisms, [name]: false}})),
	{name: 'all but retryAccount', guard: allAdmissionMechanisms, entry: {retryQuota: false, retryBudget: true}},
	{name: 'all but retryShare', guard: allAdmissionMechanisms, entry: {retryQuota: true, retryBudget: false}},
	{name: 'all mechanisms', guard: allAdmissionMechanisms},
];

function toServices(isUnlimited: boolean): VirtualService[] {
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

type Result = {readonly kind: string; readonly sentAt: number; readonly isGood: boolean; readonly isRefused: boolean};

/** Figures of one variant. */
export type PolicyFigures = {
	readonly name: string;
	/** Share of the good answers in the surge, by kind. */
	readonly goodShare: Readonly<Record<string, number>>;
	/** Good answers of a second in the surge, over all kinds. */
	readonly goodPerSecond: number;
	/** Good answers over what the deep service can do in the surge. */
	readonly ofCapacity: number;
	readonly recoveryMilliseconds: number | undefined;
	/** Highest number of starts at the deep service for one action. */
	readonly maximumAmplification: number;
	/** Starts at the deep service for each good answer in the surge. */
	readonly startsPerGood: number;
};

/**
 * Runs one variant.
 *
 * @example
 * runVariant({name: 'all', guard: allAdmissionMechanisms}, 1).goodShare['deposit'];
 */
export function runVariant(variant: Variant, seed: number): PolicyFigures {
	const system = new VirtualSystem({
		seed, manifest: parse(), services: toServices(variant.isUnlimited ?? false), guardMechanisms: variant.guard, ...(variant.entry === undefined ? {} : {entryMechanisms: variant.entry}),
	});
	const random = seededRandom(seed + 1);
	const results: Result[] = [];
	kinds.map(kind => {
		scheduleArrivals(system, kind, random, results);
		return kind;
	});
	setSlow(system, calmUntil, slowFactor);
	setSlow(system, surgeUntil, 1);
	system.runUntil(end + 4000);
	return summarize(variant.name, results, system);
}

function parse(): Manifest {
	const result = safeParseManifest(document);
	if (!result.success) {
		throw new Error(JSON.stringify(result.issues));
	}

	return result.manifest;
}

function setSlow(system: VirtualSystem, at: number, factor: number): void {
	system.schedule(at, () => {
		system.nodes.filter(node => node.service.service === 'deep').map(node => {
			node.slowFactor = factor;
			return node;
		});
	});
}

function scheduleArrivals(system: VirtualSystem, kind: (typeof kinds)[number], random: () => number, results: Result[]): void {
	let at = startMilliseconds;
	while (at < end) {
		const isSurge = at >= calmUntil && at < surgeUntil;
		at -= Math.log(1 - random()) * 1000 / (kind.perSecond * (isSurge ? surgeFactor : 1));
		const sentAt = at;
		const entry = `front-${Math.floor(random() * 3)}`;
		system.schedule(sentAt, () => {
			send(system, kind, entry, sentAt, callerTries, results);
		});
	}
}

/** A client that tries again at once, until its time is over. */
function send(system: VirtualSystem, kind: (typeof kinds)[number], entry: string, sentAt: number, triesLeft: number, results: Result[]): void {
	const timeLeft = kind.timeoutMilliseconds - (system.now - sentAt);
	system.request(entry, {
		service: 'front', method: 'GET', target: `/${kind.kind}`, timeoutMilliseconds: timeLeft,
	}, answer => {
		const isInTime = system.now - sentAt <= kind.timeoutMilliseconds;
		const isGood = answer.answer?.status === 200 && isInTime;
		if (!isGood && triesLeft > 1 && isInTime) {
			system.schedule(20, () => {
				send(system, kind, entry, sentAt, triesLeft - 1, results);
			});
			return;
		}

		results.push({
			kind: kind.kind, sentAt, isGood, isRefused: answer.outcome === Outcome.NotRun,
		});
	});
}

function summarize(name: string, results: readonly Result[], system: VirtualSystem): PolicyFigures {
	const inSurge = results.filter(result => result.sentAt >= calmUntil && result.sentAt < surgeUntil);
	const good = inSurge.filter(result => result.isGood);
	const surgeSeconds = (surgeUntil - calmUntil) / 1000;
	const capacity = 9 * 1000 / (30 * slowFactor);
	const deepStarts = system.work.filter(item => item.service === 'deep');
	const surgeStarts = deepStarts.filter(item => item.at >= calmUntil && item.at < surgeUntil).length;
	const byAction = new Map<string, number>();
	deepStarts.map(item => byAction.set(item.actionId, (byAction.get(item.actionId) ?? 0) + 1));
	return {
		name,
		goodShare: Object.fromEntries(kinds.map(({kind}) => {
			const own = inSurge.filter(result => result.kind === kind);
			return [kind, own.filter(result => result.isGood).length / Math.max(1, own.length)];
		})),
		goodPerSecond: good.length / surgeSeconds,
		ofCapacity: good.length / surgeSeconds / capacity,
		recoveryMilliseconds: findRecovery(results),
		maximumAmplification: Math.max(0, ...byAction.values()),
		startsPerGood: surgeStarts / Math.max(1, good.length),
	};
}

function findRecovery(results: readonly Result[]): number | undefined {
	const goodIn = (from: number, to: number): number => results.filter(result => result.isGood && result.sentAt >= from && result.sentAt < to).length * 1000 / (to - from);
	const before = goodIn(startMilliseconds + 1000, calmUntil);
	const windows = Array.from({length: Math.floor((end - surgeUntil) / windowMilliseconds)}, (_, index) => surgeUntil + (index * windowMilliseconds));
	const recovered = windows.find(from => goodIn(from, Math.min(end, from + (4 * windowMilliseconds))) >= before * 0.9);
	return recovered === undefined ? undefined : recovered - surgeUntil;
}

function toRow(figures: PolicyFigures): string[] {
	return [
		figures.name,
		...kinds.map(({kind}) => ((figures.goodShare[kind] ?? 0) * 100).toFixed(1)),
		figures.goodPerSecond.toFixed(1),
		(figures.ofCapacity * 100).toFixed(1),
		figures.recoveryMilliseconds === undefined ? 'not seen' : String(figures.recoveryMilliseconds),
		String(figures.maximumAmplification),
		figures.startsPerGood.toFixed(2),
	];
}

if (process.argv[1]?.endsWith('policy.js') === true) {
	const cli = cac('policy');
	cli.option('--seed <seed>', 'Seed', {default: 1});
	cli.option('--only <name>', 'Run one variant');
	const {options} = cli.parse();
	const seed = Number(options.seed);
	const header = ['variant', ...kinds.map(({kind}) => `${kind} good %`), 'good/s', '% of capacity', 'recovery ms', 'most starts/action', 'starts/good'];
	const rows = variants.filter(variant => options.only === undefined || variant.name === options.only).map(variant => toRow(runVariant(variant, seed)));
	process.stdout.write(`seed ${seed}\n${formatTable([header, ...rows])}\n`);
}
