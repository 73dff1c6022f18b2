/**
 * Metrics: counters, gauges and latency histograms as text for a scraper, and by StatsD where a server is set.
 *
 * @module
 */
import {EventType, type NodeCore, type NodeEvent} from '@laburnumspool/core';
import type {StatsD} from 'hot-shots';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

const prefix = 'laburnumspool_';
const statsdPrefix = 'laburnumspool.';

/** Upper bounds of the latency buckets, in milliseconds. */
const latencyBuckets = [5, 10, 25, 50, 100, 200, 300, 500, 800, 1200, 2000, 5000];

const eventsWithReason: ReadonlySet<EventType> = new Set([EventType.Refused, EventType.Answered]);

type EventLabels = Readonly<Record<'type' | 'service' | 'kind' | 'reason', string>>;

/** Where metrics are kept. */
export type Metrics = {
	readonly count: (event: NodeEvent) => void;
	readonly gauge: (core: NodeCore) => void;
	readonly observeAnswer: (kind: string, milliseconds: number) => void;
	/** All metrics as text, and their content type. */
	readonly text: () => Promise<{readonly type: string; readonly text: string}>;
	readonly close: () => void;
};

/**
 * Opens the metrics.
 *
 * @example
 * const metrics = await openMetrics({host: '10.0.0.9', port: 8125}, 'node-1');
 */
export async function openMetrics(server: {readonly host: string; readonly port: number} | undefined, node: string): Promise<Metrics> {
	const registry = new Registry();
	const registers = [registry];
	registry.setDefaultLabels({node});
	const counts = new Map<string, {readonly labels: EventLabels; count: number}>();
	registry.registerMetric(new Counter({
		name: `${prefix}events_total`,
		help: 'Events of the node by type, service, kind and reason',
		labelNames: ['type', 'service', 'kind', 'reason'],
		registers: [],
		// The library's own counting has a price for each event; it gets the counts when they are read.
		collect() {
			this.reset();
			[...counts.values()].map(({labels, count}) => this.inc(labels, count));
		},
	}));
	const gauges = new Gauge({
		name: `${prefix}state`, help: 'State of the node by name', labelNames: ['name'], registers,
	});
	const latencies = new Histogram({
		name: `${prefix}answer_milliseconds`, help: 'Time from a caller\'s whole request to its answer', labelNames: ['kind'], buckets: latencyBuckets, registers,
	});
	const latencyOf = new Map<string, {readonly observe: (milliseconds: number) => void}>();
	const client = server === undefined ? undefined : await openStatsd(server, node);
	return {
		count(event) {
			const reason = eventsWithReason.has(event.type) ? event.detail ?? '' : '';
			const {type, service = '', kind = ''} = event;
			const key = `${type}/${service}/${kind}/${reason}`;
			const known = counts.get(key);
			if (known === undefined) {
				counts.set(key, {
					labels: {
						type, service, kind, reason,
					}, count: 1,
				});
			} else {
				known.count += 1;
			}

			client?.increment(`events.${type}`, 1, {service, kind, reason});
		},
		gauge(core) {
			Object.entries(gaugesOf(core)).map(([name, value]) => {
				gauges.set({name}, value);
				client?.gauge(name, value);
				return name;
			});
		},
		observeAnswer(kind, milliseconds) {
			const known = latencyOf.get(kind) ?? latencies.labels({kind});
			latencyOf.set(kind, known);
			known.observe(milliseconds);
		},
		text: async () => ({type: registry.contentType, text: await registry.metrics()}),
		close() {
			client?.close(() => undefined);
		},
	};
}

function gaugesOf(core: NodeCore): Readonly<Record<string, number>> {
	return {
		limit: core.admission.capacity,
		in_flight: core.admission.inFlight,
		waiting: core.admission.waiting,
		level: core.admission.load.level,
		members: core.membership.others.length + 1,
		revision: core.manifest?.number ?? 0,
		claims: core.atMostOnce.memory.claims,
	};
}

async function openStatsd(server: {readonly host: string; readonly port: number}, node: string): Promise<StatsD> {
	const {StatsD: Client} = await import('hot-shots');
	return new Client({
		...server, prefix: statsdPrefix, globalTags: {node}, maxBufferSize: 1200, errorHandler: () => undefined,
	});
}
