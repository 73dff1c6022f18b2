/**
 * Follows the announced state of the own upstream: starting, ready, draining, suspected, or no longer announcing itself.
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

const announcementTimeoutMilliseconds = 5000;

/** Exceeds both the time that an upstream keeps serving after it began to drain and the delay of its announcements. */
const suspicionMilliseconds = 6000;

const announcedStates: Readonly<Record<AnnouncedState, UpstreamState>> = {
	[AnnouncedState.Starting]: UpstreamState.Starting,
	[AnnouncedState.Ready]: UpstreamState.Ready,
	[AnnouncedState.Draining]: UpstreamState.Draining,
};

/** Parts of the node that depend on the state of the upstream. */
export type UpstreamLifecycleDependencies = {
	readonly admission: AdmissionController;
	readonly membership: Membership;
	readonly atMostOnce: AtMostOnceCoordinator;
	readonly flow: CallFlow;
	/** Whether a manifest is in force. Without one the node refuses the calls that its upstream makes. */
	readonly hasManifest: () => boolean;
	/** Largest share of the announced slots that is used. */
	readonly slotShare: number;
	readonly handleMembershipEffects: (effects: readonly MembershipEffect[], now: number) => NodeEffect[];
	/** Called after each accepted announcement, since the service of the upstream may have changed. */
	readonly onServiceAnnounced: () => void;
	readonly makeEvent: EventEffectFactory;
};

/**
 * Lifecycle of the upstream beside a node.
 *
 * @example
 * const lifecycle = new UpstreamLifecycle(dependencies);
 * lifecycle.announced({service: 'catalogue', slots: 140, state: AnnouncedState.Ready, load: undefined}, now);
 * lifecycle.withdrawn({instance: 'i-1', birth: 1000}, now);
 */
export class UpstreamLifecycle {
	readonly #dependencies: UpstreamLifecycleDependencies;
	readonly #tracker = new UpstreamTracker();
	#isDraining = false;
	#hasLeft = false;
	#announcedAt = -Infinity;
	#announcedState: AnnouncedState | undefined;

	constructor(dependencies: UpstreamLifecycleDependencies) {
		this.#dependencies = dependencies;
	}

	/** Incarnation of the upstream whose announcement was accepted last. */
	get instance(): string | undefined {
		return this.#tracker.instance;
	}

	/** Whether the node itself drains, whatever state its upstream announces. */
	get isDraining(): boolean {
		return this.#isDraining;
	}

	/** Processes an announcement of the upstream. An outdated announcement is ignored. */
	announced(announcement: Announcement, now: number): NodeEffect[] {
		const {admission, membership, slotShare, handleMembershipEffects, onServiceAnnounced, makeEvent} = this.#dependencies;
		const isNewIncarnation = this.#tracker.isNewIncarnation(announcement);
		if (!this.#tracker.accept(announcement, now)) {
			return [makeEvent({type: EventType.AnnouncementIgnored, service: announcement.service, detail: `${announcement.instance ?? ''} ${announcement.sequence ?? ''} ${announcement.state}`})];
		}

		const isRestart = isNewIncarnation || (announcement.state === AnnouncedState.Ready && this.#announcedState !== AnnouncedState.Ready);
		this.#announcedAt = now;
		this.#announcedState = announcement.state;
		admission.limit.setSlots(Math.max(1, Math.floor(announcement.slots * slotShare)));
		admission.limit.applyUpstreamReport(announcement.load?.healthy ?? true, (announcement.load?.inFlight ?? 0) - admission.inFlight);
		if (isRestart) {
			admission.limit.restart(now);
		}

		const changed = membership.updateOwn({service: announcement.service, slots: announcement.slots}, now);
		onServiceAnnounced();
		return [{type: NodeEffectType.UpstreamAnnounced, announcement}, ...handleMembershipEffects(changed, now), ...this.#setState(this.#stateOf(announcement.state), now)];
	}

	/** Applies the announced state, which has had no full effect while there was no manifest. */
	manifestAdopted(now: number): NodeEffect[] {
		return this.#announcedState === undefined ? [] : this.#setState(this.#stateOf(this.#announcedState), now);
	}

	/**
	 * Marks the upstream as suspected after a probe at the node's start found that it does not serve. It may be draining, which
	 * an earlier incarnation of the node has acknowledged.
	 */
	suspected(instance: string, now: number): NodeEffect[] {
		const {service} = this.#dependencies.membership.own;
		this.#tracker.suspect(instance, now + suspicionMilliseconds);
		return [this.#dependencies.makeEvent({type: EventType.UpstreamSuspected, service, detail: instance})];
	}

	/** Stops sending new calls to an upstream that has withdrawn. */
	withdrawn(withdrawal: Withdrawal, now: number): NodeEffect[] {
		return this.#tracker.withdraw(withdrawal) ? this.#stopSendingCalls(now) : [];
	}

	/** Begins a planned stop of the node: the upstream gets no new calls. */
	startDraining(now: number): NodeEffect[] {
		this.#isDraining = true;
		return this.#setState(UpstreamState.Draining, now);
	}

	/** Ends the membership of the node. No later announcement of its upstream changes that. */
	leave(now: number): NodeEffect[] {
		this.#hasLeft = true;
		return this.#updateMembership(UpstreamState.Left, now);
	}

	/** Stops sending calls to an upstream whose last announcement is too old. */
	advance(now: number): NodeEffect[] {
		const isExpired = this.#announcedState !== undefined && now - this.#announcedAt > announcementTimeoutMilliseconds;
		return isExpired ? this.#stopSendingCalls(now) : [];
	}

	/** Until a manifest is in force, the upstream gets no calls, since the calls that it makes on behalf of them would fail. */
	#stateOf(announced: AnnouncedState): UpstreamState {
		if (this.#isDraining) {
			return UpstreamState.Draining;
		}

		return announced === AnnouncedState.Ready && !this.#dependencies.hasManifest() ? UpstreamState.Starting : announcedStates[announced];
	}

	#stopSendingCalls(now: number): NodeEffect[] {
		this.#announcedState = undefined;
		return this.#setState(UpstreamState.Draining, now);
	}

	#setState(state: UpstreamState, now: number): NodeEffect[] {
		const {admission, atMostOnce, flow} = this.#dependencies;
		const refused = state === UpstreamState.Draining ? flow.handleServingEffects(flow.serving.stopAccepting(now), now) : [];
		if (state !== UpstreamState.Draining) {
			admission.resumeAccepting();
		}

		atMostOnce.setDraining(state === UpstreamState.Draining);
		return [...(this.#hasLeft ? [] : this.#updateMembership(state, now)), ...refused];
	}

	#updateMembership(state: UpstreamState, now: number): NodeEffect[] {
		const {membership, handleMembershipEffects} = this.#dependencies;
		return handleMembershipEffects(membership.updateOwn({state}, now), now);
	}
}
