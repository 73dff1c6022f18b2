/**
 * Merges the events of all processes into one order, and filters and formats them.
 *
 * @module
 */
import {wallTimeOf, type EventType, type NodeEvent} from '@laburnumspool/core';

const microsecondsPerMillisecond = 1000;

/** Which events to show; left out, all. */
export type TimelineFilter = {
	readonly action?: string | undefined;
	readonly node?: string | undefined;
	readonly types?: readonly EventType[] | undefined;
};

export enum TimelineFormat {
	Text = 'text',
	Json = 'json',
	Trace = 'trace',
}

/**
 * One order over all events: by hybrid time, then by node.
 *
 * @example
 * mergeEvents([eventsOfNode1, eventsOfNode2], {types: [EventType.Refused]});
 */
export function mergeEvents(sources: ReadonlyArray<readonly NodeEvent[]>, filter: TimelineFilter = {}): NodeEvent[] {
	return sources.flat().filter(event => isWanted(event, filter)).toSorted((left, right) => (left.time - right.time) || left.node.localeCompare(right.node));
}

function isWanted(event: NodeEvent, filter: TimelineFilter): boolean {
	return (filter.action === undefined || event.action === filter.action)
		&& (filter.node === undefined || event.node === filter.node)
		&& (filter.types === undefined || filter.types.includes(event.type));
}

const formatters: Readonly<Record<TimelineFormat, (events: readonly NodeEvent[]) => string>> = {
	[TimelineFormat.Text]: events => events.map(event => toTextLine(event)).join('\n'),
	[TimelineFormat.Json]: events => events.map(event => JSON.stringify(event)).join('\n'),
	[TimelineFormat.Trace]: events => JSON.stringify({traceEvents: events.map(event => toTraceEvent(event)), displayTimeUnit: 'ms'}),
};

/** Formats events; the trace form is the Trace Event format that trace viewers open. */
export function formatEvents(events: readonly NodeEvent[], format: TimelineFormat): string {
	return formatters[format](events);
}

function toTextLine(event: NodeEvent): string {
	const what = event.service === undefined ? '' : ` ${event.service}${event.kind === undefined ? '' : `/${event.kind}`}`;
	const action = event.action === undefined ? '' : ` action ${event.action}`;
	return `${new Date(wallTimeOf(event.time)).toISOString()} ${event.node} ${event.type}${what}${event.detail === undefined ? '' : ` ${event.detail}`}${action}`;
}

function toTraceEvent(event: NodeEvent): object {
	const {time, node, type, ...fields} = event;
	return {
		name: type, ph: 'i', s: 'p', ts: wallTimeOf(time) * microsecondsPerMillisecond, pid: node, tid: event.action ?? 'node', args: fields,
	};
}
