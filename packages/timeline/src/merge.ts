/**
 * Merges the events of several nodes into one order, filters and formats them.
 *
 * @module
 */
import {wallTimeOf, type EventType, type NodeEvent} from '@laburnumspool/core';

const microsecondsPerMillisecond = 1000;

/** Selects events; an event must match every field that is set. */
export type TimelineFilter = {
	readonly action?: string | undefined;
	readonly node?: string | undefined;
	readonly types?: readonly EventType[] | undefined;
};

/** Output format of the time line. */
export enum TimelineFormat {
	/** One line of text per event. */
	Text = 'text',
	/** One JSON object per line and event. */
	Json = 'json',
	/** Trace Event format, which trace viewers open. */
	Trace = 'trace',
}

/**
 * Returns the events that match the filter, ordered by hybrid time, then by node name.
 *
 * @example
 * mergeEvents([eventsOfNode1, eventsOfNode2], {types: [EventType.Refused]});
 */
export function mergeEvents(sources: ReadonlyArray<readonly NodeEvent[]>, filter: TimelineFilter = {}): NodeEvent[] {
	return sources.flat().filter(event => matchesFilter(event, filter)).toSorted((left, right) => (left.time - right.time) || left.node.localeCompare(right.node));
}

function matchesFilter(event: NodeEvent, filter: TimelineFilter): boolean {
	return (filter.action === undefined || event.action === filter.action)
		&& (filter.node === undefined || event.node === filter.node)
		&& (filter.types === undefined || filter.types.includes(event.type));
}

const formatters: Readonly<Record<TimelineFormat, (events: readonly NodeEvent[]) => string>> = {
	[TimelineFormat.Text]: events => events.map(event => toTextLine(event)).join('\n'),
	[TimelineFormat.Json]: events => events.map(event => JSON.stringify(event)).join('\n'),
	[TimelineFormat.Trace]: events => JSON.stringify({traceEvents: events.map(event => toTraceEvent(event)), displayTimeUnit: 'ms'}),
};

/** Formats events, in the given order. */
export function formatEvents(events: readonly NodeEvent[], format: TimelineFormat): string {
	return formatters[format](events);
}

function toTextLine(event: NodeEvent): string {
	const target = event.service === undefined ? '' : ` ${event.service}${event.kind === undefined ? '' : `/${event.kind}`}`;
	const action = event.action === undefined ? '' : ` action ${event.action}`;
	return `${new Date(wallTimeOf(event.time)).toISOString()} ${event.node} ${event.type}${target}${event.detail === undefined ? '' : ` ${event.detail}`}${action}`;
}

function toTraceEvent(event: NodeEvent): object {
	const {time, node, type, ...fields} = event;
	return {
		name: type, ph: 'i', s: 'p', ts: wallTimeOf(time) * microsecondsPerMillisecond, pid: node, tid: event.action ?? 'node', args: fields,
	};
}
