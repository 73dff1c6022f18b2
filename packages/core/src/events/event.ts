/**
 * Events for the time line.
 *
 * @module
 */
import type {HybridTime} from './hybrid-clock.js';

export enum EventType {
	Admitted = 'admitted',
	Refused = 'refused',
	Retried = 'retried',
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

/** What happened. */
export type EventDetails = {
	readonly type: EventType;
	/** Customer action, where the event belongs to one. */
	readonly action?: string;
	/** The caller's own name for the request. */
	readonly request?: string;
	readonly service?: string;
	readonly kind?: string;
	/** Short text: a reason, a name, a number. */
	readonly detail?: string;
	/** What decided it, in words. */
	readonly cause?: string;
};

/** An event of one process. */
export type NodeEvent = EventDetails & {
	readonly time: HybridTime;
	readonly node: string;
};

/** Gives details their time and place. All events have the same fields in the same order, whatever their details lack. */
export function toEvent({type, action, request, service, kind, detail, cause}: EventDetails, time: HybridTime, node: string): NodeEvent {
	return {
		type, time, node, action: action!, request: request!, service: service!, kind: kind!, detail: detail!, cause: cause!,
	};
}

/**
 * The latest events of a process, up to a bound; none where the bound is zero.
 *
 * @example
 * ring.add(event);
 * ring.since(time); // events after the time, oldest first
 */
export class EventRing {
	readonly #capacity: number;
	readonly #events: NodeEvent[] = [];
	#next = 0;
	#dropped = 0;

	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	/** Events that no longer fit. */
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

	since(time: HybridTime): NodeEvent[] {
		const isFull = this.#events.length === this.#capacity;
		const ordered = isFull ? [...this.#events.slice(this.#next), ...this.#events.slice(0, this.#next)] : this.#events;
		return ordered.filter(event => event.time > time);
	}
}
