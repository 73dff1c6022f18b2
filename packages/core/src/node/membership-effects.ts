/**
 * Translates effects of the membership protocol to effects of the node.
 *
 * @module
 */
import {EventType} from '../events/event.js';
import type {HybridClock} from '../events/hybrid-clock.js';
import type {ManifestConfirmation} from '../manifest/freshness.js';
import {Liveness, UpstreamState, type Member} from '../membership/member.js';
import {MembershipEffectType, type MembershipEffect} from '../membership/messages.js';
import type {Rumor} from '../membership/rumors.js';
import {NodeEffectType, type EventEffectFactory, type NodeEffect} from './effects.js';

export type MembershipEffectsDefinition = {
	readonly clock: HybridClock;
	readonly makeEvent: EventEffectFactory;
	/** The confirmation of the active manifest that messages carry. */
	readonly confirmation: (now: number) => ManifestConfirmation | undefined;
};

/**
 * Translator of membership effects.
 *
 * @example
 * new MembershipEffects({clock, makeEvent, confirmation}).translate(membership.advance(now), now);
 */
export class MembershipEffects {
	readonly #definition: MembershipEffectsDefinition;

	constructor(definition: MembershipEffectsDefinition) {
		this.#definition = definition;
	}

	hasMemberChanges(effects: readonly MembershipEffect[]): boolean {
		return effects.some(effect => effect.type === MembershipEffectType.Changed);
	}

	receivedRumors(effects: readonly MembershipEffect[]): Rumor[] {
		return effects.flatMap(effect => effect.type === MembershipEffectType.RumorReceived ? [effect.rumor] : []);
	}

	translate(effects: readonly MembershipEffect[], now: number): NodeEffect[] {
		return effects.flatMap(effect => {
			const handlers: {readonly [Type in MembershipEffectType]: (effect: Extract<MembershipEffect, {type: Type}>) => NodeEffect[]} = {
				[MembershipEffectType.Send]: ({to, message}) => [{
					type: NodeEffectType.SendGossip, to, message: {...message, manifest: this.#definition.confirmation(now)}, clock: this.#definition.clock.next(),
				}],
				[MembershipEffectType.Exchange]: ({to}) => [{type: NodeEffectType.ExchangeMembers, to}],
				[MembershipEffectType.Changed]: ({member}) => this.#memberEvent(member),
				[MembershipEffectType.RumorReceived]: () => [],
				[MembershipEffectType.Superseded]: ({by}) => this.#stop(by),
			};
			return (handlers[effect.type] as (effect: MembershipEffect) => NodeEffect[])(effect);
		});
	}

	#memberEvent(member: Member): NodeEffect[] {
		const type = eventTypeOf(member);
		return type === undefined ? [] : [this.#definition.makeEvent({type, service: member.service, detail: `${member.name} ${member.state}`})];
	}

	#stop(by: Member): NodeEffect[] {
		const reason = `${by.name} at ${by.host}:${by.controlPort} started later under the name or address of this node`;
		return [this.#definition.makeEvent({type: EventType.Superseded, detail: reason}), {type: NodeEffectType.Stop, reason}];
	}
}

function eventTypeOf(member: Member): EventType | undefined {
	if (member.liveness === Liveness.Dead) {
		return EventType.MemberDead;
	}

	if (member.liveness === Liveness.Suspect) {
		return EventType.MemberSuspected;
	}

	const types: Readonly<Partial<Record<UpstreamState, EventType>>> = {
		[UpstreamState.Ready]: EventType.MemberJoined,
		[UpstreamState.Draining]: EventType.MemberDraining,
		[UpstreamState.Left]: EventType.MemberDraining,
	};
	return types[member.state];
}
