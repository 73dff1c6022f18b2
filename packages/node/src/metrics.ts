/**
 * Metrics: counters, gauges and latency histograms, as Prometheus text and, if a server is set, over StatsD.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {EventType, type NodeCore, type NodeEvent} from '@laburnumspool/core';
import type {StatsD} from 'hot-shots';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {CallerLimit} from './body-reader.js';

const metricPrefix = 'laburnumspool_';
const statsdPrefix = 'laburnumspool.';

/** Upper bounds of the latency buckets. */
const latencyBucketsMilliseconds = [5, 10, 25, 50, 100, 200, 300, 500, 800, 1200, 2000, 5000];

/** Events whose detail is a reason from a fixed set, which can be a label. */
const eventTypesWithReason: ReadonlySet<EventType> = new Set([EventType.Refused, EventType.Answered]);

/** Organisations that have a metric of their own, so that 5,000 of them do not become as many time series. */
const namedOrganisations = 5;

type OrganisationUse = {readonly organisation: string; readonly milliseconds: number};

type EventLabels = Readonly<Record<'type' | 'service' | 'kind' | 'reason', string>>;

/** Metrics of one node. */
export type Metrics = {
	/** Counts an event. */
	readonly count: (event: NodeEvent) => void;
	/** Sets the gauges from the present state of the core and of the memory budget. */
	readonly gauge: (core: NodeCore, heldBytes: number) => void;
	/** Counts a use of a limit on callers. */
	readonly countLimit: (limit: CallerLimit) => void;
	/** Records the time from a caller's complete request to its answer. */
	readonly observeAnswer: (kind: string, milliseconds: number) => void;
	/** All metrics in the Prometheus text format, and their content type. */
	readonly text: () => Promise<{readonly type: string; readonly text: string}>;
	readonly close: () => void;
};

/**
 * Opens the metrics. Without a StatsD server they are available as text only; errors of the StatsD socket are ignored.
 *
 * @example
 * const metrics = await openMetrics({host: '10.0.0.9', port: 8125}, 'node-1');
 */
export async function openMetrics(statsdServer: {readonly host: string; readonly port: number} | undefined, node: string): Promise<Metrics> {
	const registry = new Registry();
	const registers = [registry];
	registry.setDefaultLabels({node});
	const eventCounts = new Map<string, {readonly labels: EventLabels; count: number}>();
	registry.registerMetric(new Counter({
		name: `${metricPrefix}events_total`,
		help: 'Events of the node by type, service, kind and reason',
		labelNames: ['type', 'service', 'kind', 'reason'],
		registers: [],
		// Counting in the library has a cost for each event, so it receives the counts only when they are read.
		collect() {
			this.reset();
			[...eventCounts.values()].map(({labels, count}) => this.inc(labels, count));
		},
	}));
	let choices: NodeCore['placementChoices'] = new Map();
	const choicesCounter = new Counter({
		name: `${metricPrefix}placement_choices_total`,
		help: 'Choices of serving nodes by rule, while cost-aware placement is enabled',
		labelNames: ['rule'],
		registers: [],
		collect() {
			this.reset();
			[...choices].map(([rule, count]) => this.inc({rule}, count));
		},
	});
	let uses: readonly OrganisationUse[] = [];
	const usesGauge = new Gauge({
		name: `${metricPrefix}organisation_use`,
		help: 'Expected work of dispatched calls by organisation, in milliseconds of a slot per second: the largest few, and all others as one',
		labelNames: ['organisation'],
		registers: [],
		collect() {
			this.reset();
			uses.map(({organisation, milliseconds}) => this.set({organisation}, milliseconds));
		},
	});
	let earlyRefusals: NodeCore['earlyRefusals'] = new Map();
	const earlyRefusalsCounter = new Counter({
		name: `${metricPrefix}early_refusals_total`,
		help: 'Requests of callers that were refused because requests of their kind fail further down the call chain',
		labelNames: ['service', 'kind'],
		registers: [],
		collect() {
			this.reset();
			[...earlyRefusals].map(([name, count]) => {
				const separator = name.indexOf('/');
				this.inc({service: name.slice(0, separator), kind: name.slice(separator + 1)}, count);
				return name;
			});
		},
	});
	const gauges = new Gauge({
		name: `${metricPrefix}state`, help: 'State of the node by name', labelNames: ['name'], registers,
	});
	const latencies = new Histogram({
		name: `${metricPrefix}answer_milliseconds`, help: 'Time from a caller\'s whole request to its answer', labelNames: ['kind'], buckets: latencyBucketsMilliseconds, registers,
	});
	const limitCounts = new Counter({
		name: `${metricPrefix}caller_limits_total`, help: 'Requests and connections of callers that were refused, slowed down or closed by a limit', labelNames: ['reason'], registers,
	});
	const histogramByKind = new Map<string, {readonly observe: (milliseconds: number) => void}>();
	const statsd = statsdServer === undefined ? undefined : await openStatsd(statsdServer, node);
	return {
		count(event) {
			const reason = eventTypesWithReason.has(event.type) ? event.detail ?? '' : '';
			const {type, service = '', kind = ''} = event;
			const key = `${type}/${service}/${kind}/${reason}`;
			const known = eventCounts.get(key);
			if (known === undefined) {
				eventCounts.set(key, {
					labels: {
						type, service, kind, reason,
					}, count: 1,
				});
			} else {
				known.count += 1;
			}

			statsd?.increment(`events.${type}`, 1, {service, kind, reason});
		},
		gauge(core, heldBytes) {
			if (choices.size === 0 && core.placementChoices.size > 0) {
				choices = core.placementChoices;
				registry.registerMetric(choicesCounter);
			}

			if (uses.length === 0 && core.admission.shares.isActive && registry.getSingleMetric(`${metricPrefix}organisation_use`) === undefined) {
				registry.registerMetric(usesGauge);
			}

			uses = organisationUsesOf(core);
			uses.map(({organisation, milliseconds}) => statsd?.gauge('organisation_use', milliseconds, {organisation}));
			if (earlyRefusals.size === 0 && core.earlyRefusals.size > 0) {
				earlyRefusals = core.earlyRefusals;
				registry.registerMetric(earlyRefusalsCounter);
			}

			Object.entries({...gaugeValuesOf(core), held_bytes: heldBytes}).map(([name, value]) => {
				gauges.set({name}, value);
				statsd?.gauge(name, value);
				return name;
			});
		},
		countLimit(limit) {
			limitCounts.inc({reason: limit});
			statsd?.increment('caller_limits', 1, {reason: limit});
		},
		observeAnswer(kind, milliseconds) {
			const known = histogramByKind.get(kind) ?? latencies.labels({kind});
			histogramByKind.set(kind, known);
			known.observe(milliseconds);
		},
		text: async () => ({type: registry.contentType, text: await registry.metrics()}),
		close() {
			statsd?.close(() => undefined);
		},
	};
}

function gaugeValuesOf(core: NodeCore): Readonly<Record<string, number>> {
	const manifestAge = core.manifestWatch.age(performance.now());
	return {
		limit: core.admission.capacity,
		in_flight: core.admission.inFlight,
		waiting: core.admission.waiting,
		level: core.admission.level,
		members: core.membership.others.length + 1,
		revision: core.manifest?.number ?? 0,
		...(Number.isFinite(manifestAge) ? {manifest_age_milliseconds: manifestAge} : {}),
		claims: core.atMostOnce.memory.claims,
		...quotaValuesOf(core),
		...shareValuesOf(core),
	};
}

/** None before the first request of an organisation with a quota, or the first report of one. */
function quotaValuesOf({quotas}: NodeCore): Readonly<Record<string, number>> {
	const {admitted, refused, owned, stock} = quotas.counts;
	return admitted + refused + owned === 0
		? {}
		: {
			quota_admitted: admitted, quota_refused: refused, quota_parts_owned: owned, quota_stock: stock,
		};
}

/** None before the first call of an organisation. */
function shareValuesOf({admission: {shares}}: NodeCore): Readonly<Record<string, number>> {
	return shares.isActive || shares.refused > 0 ? {share_refused: shares.refused, share_accounts: shares.size} : {};
}

/** Empty while no organisation calls. The names of the two groups contain a space, which no organisation's name does. */
function organisationUsesOf({admission: {shares}}: NodeCore): OrganisationUse[] {
	if (!shares.isActive) {
		return [];
	}

	const {largest, othersMilliseconds} = shares.largest(namedOrganisations, performance.now());
	return [
		...largest.map(({organisation = 'no organisation', useMilliseconds}) => ({organisation, milliseconds: useMilliseconds})),
		{organisation: 'all others', milliseconds: othersMilliseconds},
	];
}

async function openStatsd(server: {readonly host: string; readonly port: number}, node: string): Promise<StatsD> {
	const {StatsD: Client} = await import('hot-shots');
	return new Client({
		...server, prefix: statsdPrefix, globalTags: {node}, maxBufferSize: 1200, errorHandler: () => undefined,
	});
}
