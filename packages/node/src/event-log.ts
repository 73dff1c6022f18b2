/**
 * Events as lines of the log: one for each decision that touches a request or changes what the node believes.
 *
 * @module
 */
import {EventType, Outcome, type NodeEvent} from '@laburnumspool/core';
import type {PartLog} from './logs.js';

/** Events that every whole call has; a line for each would say nothing that the metrics do not. */
const routineEvents: ReadonlySet<EventType> = new Set([EventType.Admitted]);

const sentences: Readonly<Partial<Record<EventType, string>>> = {
	[EventType.Refused]: 'a call was refused before dispatch',
	[EventType.Retried]: 'a call is sent again',
	[EventType.Preempted]: 'a call made room for more important work',
	[EventType.Cancelled]: 'a call was given up',
	[EventType.Answered]: 'a request was answered with an error',
	[EventType.StaleAnswer]: 'an answer came for a call that is over',
	[EventType.ManifestAdopted]: 'a manifest is in force',
	[EventType.MemberJoined]: 'a member serves',
	[EventType.MemberSuspected]: 'a member does not answer probes',
	[EventType.MemberDead]: 'a member is held dead',
	[EventType.MemberDraining]: 'a member leaves',
	[EventType.LimitChanged]: 'the limit of the upstream changed',
	[EventType.Superseded]: 'another node took the name or address of this one',
	[EventType.UpstreamSuspected]: 'the upstream does not serve though it announces itself, and is not used for now',
	[EventType.AnnouncementIgnored]: 'an announcement of the upstream was overtaken by a later one',
};

/** Writes an event, unless it is routine. */
export function logEvent(log: PartLog, event: NodeEvent): void {
	const {type, service, kind, request, detail, cause} = event;
	const isWhole = type === EventType.Answered && detail === Outcome.Ran;
	if (routineEvents.has(type) || isWhole) {
		return;
	}

	log.info(sentences[type] ?? type, {
		event: type, request, service, kind, detail, cause,
	});
}
