/**
 * Log lines for events: one for each decision on a request and for each change in the node's view of the system.
 *
 * @module
 */
import {EventType, Outcome, type NodeEvent} from '@laburnumspool/core';
import type {Logger} from './logs.js';

/** Events of every successful call. They are counted in the metrics and not logged. */
const unloggedEvents: ReadonlySet<EventType> = new Set([EventType.Admitted]);

const eventMessages: Readonly<Partial<Record<EventType, string>>> = {
	[EventType.Refused]: 'a call was refused before dispatch',
	[EventType.Retried]: 'a call is retried',
	[EventType.Preempted]: 'a call was preempted by more important work',
	[EventType.Cancelled]: 'a call was cancelled',
	[EventType.Answered]: 'a request was answered with an error',
	[EventType.StaleAnswer]: 'an answer arrived for a call that had already ended',
	[EventType.ManifestAdopted]: 'a manifest revision was adopted',
	[EventType.MemberJoined]: 'a member is ready',
	[EventType.MemberSuspected]: 'a member is suspected: it does not answer probes',
	[EventType.MemberDead]: 'a member was declared dead',
	[EventType.MemberDraining]: 'a member is draining or has left',
	[EventType.LimitChanged]: 'the concurrency limit of the upstream changed',
	[EventType.Superseded]: 'another node was started with the name or address of this one',
	[EventType.UpstreamSuspected]: 'the upstream failed a probe and is suspected: its announcements are ignored for now',
	[EventType.AnnouncementIgnored]: 'an outdated announcement of the upstream was ignored',
};

/** Logs an event, unless it belongs to every successful call. */
export function logEvent(log: Logger, event: NodeEvent): void {
	const {
		type, service, kind, organisation, request, detail, cause,
	} = event;
	const isSuccess = type === EventType.Answered && detail === Outcome.Ran;
	if (unloggedEvents.has(type) || isSuccess) {
		return;
	}

	log.info(eventMessages[type] ?? type, {
		event: type, request, service, kind, organisation, detail, cause,
	});
}
