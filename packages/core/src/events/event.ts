/**
 * Events of a node for the time line, and the buffer that holds the latest of them.
 *
 * @module
 */
import type {HybridTime} from './hybrid-clock.js';

export enum EventType {
	Admitted = 'admitted',
	Refused = 'refused',
	Retried = 'retried',
	/** Received only from nodes of earlier versions, which cancelled running calls for more important ones. */
	Preempted = 'preempted',
	Cancelled = 'cancelled',
	Answered = 'answered',
	StaleAnswer = 'stale-answer',
	RangeTakenOver = 'range-taken-over',
	RangeHandedOver = 'range-handed-over',
	RangeUnavailable = 'range-standing-still',
	RangeAdopted = 'range-adopted',
	BackupReplaced = 'backup-replaced',
	ManifestAdopted = 'manifest-adopted',
	MemberJoined = 'member-joined',
	MemberSuspected = 'member-suspected',
	MemberDead = 'member-dead',
	MemberDraining = 'member-leaving',
	LimitChanged = 'limit-changed',
	Superseded = 'superseded',
	UpstreamSuspected = 'upstream-doubted',
	AnnouncementIgnored = 'announcement-passed-over',
}

/** An event without its time and its node. */
export type EventDetails = {
	readonly type: EventType;
	/** Id of the customer action, if the event belongs to one. */
	readonly action?: string;
	/** Request id that the caller set. */
	readonly request?: string;
	readonly service?: string;
	readonly kind?: string;
	/** Name of the organisation of the request, if it has one. */
	readonly organisation?: string | undefined;
	/** Short text, such as a reason, a name or a number. */
	readonly detail?: string;
	/** Plain text that says which value or rule led to the event. */
	readonly cause?: string;
};

/** An event with its time and its node. */
export type NodeEvent = EventDetails & {
	readonly time: HybridTime;
	readonly node: string;
};

/** Adds time and node. Sets every field, in a fixed order, so that all events have the same object shape. */
export function toEvent({type, action, request, service, kind, organisation, detail, cause}: EventDetails, time: HybridTime, node: string): NodeEvent {
	return {
		type, time, node, action: action!, request: request!, service: service!, kind: kind!, organisation, detail: detail!, cause: cause!,
	};
}

/**
 * Ring buffer of the latest events. A ring of capacity 0 keeps none and counts all as dropped.
 *
 * @example
 * ring.add(event);
 * ring.since(time);
 */
export class EventRing {
	readonly #capacity: number;
	readonly #events: NodeEvent[] = [];
	#next = 0;
	#dropped = 0;

	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	/** Number of events that were overwritten or not kept. */
	get dropped(): number {
		return this.#dropped;
	}

	add(event: NodeEvent): void {
		this.#dropped += this.#events.length === this.#capacity ? 1 : 0;
		if (this.#capacity === 0) {
			return;
		}

		this.#events[this.#next] = event;
		this.#next = (this.#next + 1) % this.#capacity;
	}

	/** Events after the time, oldest first. */
	since(time: HybridTime): NodeEvent[] {
		const isFull = this.#events.length === this.#capacity;
		const ordered = isFull ? [...this.#events.slice(this.#next), ...this.#events.slice(0, this.#next)] : this.#events;
		return ordered.filter(event => event.time > time);
	}
}
