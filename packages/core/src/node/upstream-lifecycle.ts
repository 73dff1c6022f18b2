/**
 * What a node does on the words of its upstream: it serves, leaves, is doubted, or has fallen silent.
 *
 * @module
 */
import type {AdmissionController} from '../admission/admission-controller.js';
import {EventType} from '../events/event.js';
import {UpstreamState} from '../membership/member.js';
import type {MembershipEffect} from '../membership/messages.js';
import type {Membership} from '../membership/membership.js';
import type {AtMostOnceCoordinator} from '../at-most-once/at-most-once-coordinator.js';
import {UpstreamTracker} from '../upstream/upstream-tracker.js';
import type {CallFlow} from './call-flow.js';
import {
	AnnouncedState, NodeEffectType, type Announcement, type EventEffectFactory, type NodeEffect, type Withdrawal,
} from './effects.js';

const announcementLifeMilliseconds = 5000;

/** Longer than an upstream goes on serving after it said that it leaves, and than its words are late. */
const doubtMilliseconds = 6000;

const announcedStates: Readonly<Record<AnnouncedState, UpstreamState>> = {
	[AnnouncedState.Starting]: UpstreamState.Starting,
	[AnnouncedState.Ready]: UpstreamState.Ready,
	[AnnouncedState.Draining]: UpstreamState.Draining,
};

/** Parts of the node that follow the upstream. */
export type UpstreamPresenceParts = {
	readonly guard: AdmissionController;
	readonly membership: Membership;
	readonly once: AtMostOnceCoordinator;
	readonly flow: CallFlow;
	/** Share of the announced slots that is used at most. */
	readonly slotShare: number;
	readonly fromMembership: (effects: readonly MembershipEffect[], now: number) => NodeEffect[];
	/** Told when the upstream may be of another service than before. */
	readonly serviceAnnounced: () => void;
	readonly makeEvent: EventEffectFactory;
};

/**
 * The upstream beside a node.
 *
 * @example
 * const presence = new UpstreamLifecycle(parts);
 * presence.announced({service: 'catalogue', slots: 140, state: AnnouncedState.Ready, load: undefined}, now);
 * presence.withdrawn({instance: 'i-1', birth: 1000}, now);
 */
export class UpstreamLifecycle {
	readonly #parts: UpstreamPresenceParts;
	readonly #tracker = new UpstreamTracker();
	#isLeaving = false;
	#announcedAt = -Infinity;
	#announcedState: AnnouncedState | undefined;

	constructor(parts: UpstreamPresenceParts) {
		this.#parts = parts;
	}

	/** Incarnation of the upstream that announced itself last. */
	get instance(): string | undefined {
		return this.#tracker.instance;
	}

	/** Whether the node itself leaves, whatever its upstream says. */
	get isDraining(): boolean {
		return this.#isLeaving;
	}

	/** The upstream has announced itself. Announcements that a later word has overtaken are passed over. */
	announced(announcement: Announcement, now: number): NodeEffect[] {
		const {guard, membership, slotShare, fromMembership, serviceAnnounced, makeEvent} = this.#parts;
		const isNewIncarnation = this.#tracker.isNewIncarnation(announcement);
		if (!this.#tracker.accept(announcement, now)) {
			return [makeEvent({type: EventType.AnnouncementIgnored, service: announcement.service, detail: `${announcement.instance ?? ''} ${announcement.sequence ?? ''} ${announcement.state}`})];
		}

		const isRestart = isNewIncarnation || (announcement.state === AnnouncedState.Ready && this.#announcedState !== AnnouncedState.Ready);
		this.#announcedAt = now;
		this.#announcedState = announcement.state;
		guard.limit.setSlots(Math.max(1, Math.floor(announcement.slots * slotShare)));
		guard.limit.applyUpstreamReport(announcement.load?.healthy ?? true, (announcement.load?.inFlight ?? 0) - guard.inFlight);
		if (isRestart) {
			guard.limit.restart(now);
		}

		const changed = membership.updateOwn({service: announcement.service, slots: announcement.slots}, now);
		serviceAnnounced();
		const state = this.#isLeaving ? UpstreamState.Draining : announcedStates[announcement.state];
		return [{type: NodeEffectType.UpstreamAnnounced, announcement}, ...fromMembership(changed, now), ...this.#setState(state, now)];
	}

	/** The upstream, asked at the node's start, does not serve: it may be leaving, which an earlier life of the node has acknowledged. */
	doubted(instance: string, now: number): NodeEffect[] {
		const {service} = this.#parts.membership.own;
		this.#tracker.suspect(instance, now + doubtMilliseconds);
		return [this.#parts.makeEvent({type: EventType.UpstreamSuspected, service, detail: instance})];
	}

	/** The upstream has withdrawn: it gets no new work any more. */
	withdrawn(withdrawal: Withdrawal, now: number): NodeEffect[] {
		return this.#tracker.withdraw(withdrawal) ? this.#silence(now) : [];
	}

	/** The node begins a planned stop: the upstream gets no new work. */
	leave(now: number): NodeEffect[] {
		this.#isLeaving = true;
		return this.#setState(UpstreamState.Draining, now);
	}

	/** Notices an upstream that has not announced itself for long. */
	advance(now: number): NodeEffect[] {
		const isSilent = this.#announcedState !== undefined && now - this.#announcedAt > announcementLifeMilliseconds;
		return isSilent ? this.#silence(now) : [];
	}

	#silence(now: number): NodeEffect[] {
		this.#announcedState = undefined;
		return this.#setState(UpstreamState.Draining, now);
	}

	#setState(state: UpstreamState, now: number): NodeEffect[] {
		const {guard, membership, once, flow, fromMembership} = this.#parts;
		const refused = state === UpstreamState.Draining ? flow.fromServing(flow.serving.stopAccepting(now), now) : [];
		if (state !== UpstreamState.Draining) {
			guard.resumeAccepting();
		}

		once.setDraining(state === UpstreamState.Draining);
		return [...fromMembership(membership.updateOwn({state}, now), now), ...refused];
	}
}
