/**
 * Translates effects of the at-most-once coordinator to effects of the node.
 *
 * @module
 */
import {EventType} from '../events/event.js';
import type {Membership} from '../membership/membership.js';
import {AtMostOnceEffectType, RoleChange, type AtMostOnceEffect} from '../at-most-once/messages.js';
import type {Holder} from '../at-most-once/record.js';
import {NodeEffectType, type EventEffectFactory, type NodeEffect} from './effects.js';

const eventTypes: Readonly<Record<RoleChange, EventType>> = {
	[RoleChange.TakenOver]: EventType.RangeTakenOver,
	[RoleChange.HandedOver]: EventType.RangeHandedOver,
	[RoleChange.BackupReplaced]: EventType.BackupReplaced,
	[RoleChange.Unavailable]: EventType.RangeUnavailable,
	[RoleChange.AdoptedWithoutClaims]: EventType.RangeAdopted,
};

export type AtMostOnceEffectsDefinition = {
	readonly own: Holder;
	readonly membership: Membership;
	readonly makeEvent: EventEffectFactory;
};

/**
 * Translator of at-most-once effects. Grants, refusals and answers are handled by the serving coordinator and yield nothing here.
 *
 * @example
 * new AtMostOnceEffects({own, membership, makeEvent}).translate(effect);
 */
export class AtMostOnceEffects {
	readonly #definition: AtMostOnceEffectsDefinition;

	constructor(definition: AtMostOnceEffectsDefinition) {
		this.#definition = definition;
	}

	translate(effect: AtMostOnceEffect): NodeEffect[] {
		const handlers: {readonly [Type in AtMostOnceEffectType]?: (effect: Extract<AtMostOnceEffect, {type: Type}>) => NodeEffect[]} = {
			[AtMostOnceEffectType.Send]: ({to, message}) => this.#send(to, message),
			[AtMostOnceEffectType.ReadRecord]: ({service}) => [{type: NodeEffectType.ReadRecord, service}],
			[AtMostOnceEffectType.WriteRecord]: ({service, expectedVersion, record}) => [{
				type: NodeEffectType.WriteRecord, service, expectedVersion, record,
			}],
			[AtMostOnceEffectType.ReadHolders]: ({holders}) => [{type: NodeEffectType.ReadHolders, holders}],
			[AtMostOnceEffectType.RoleChanged]: ({service, range, epoch, change}) => [this.#definition.makeEvent({
				type: eventTypes[change], service, detail: `range ${range} epoch ${epoch}`,
			})],
		};
		const handler = handlers[effect.type] as ((effect: AtMostOnceEffect) => NodeEffect[]) | undefined;
		return handler?.(effect) ?? [];
	}

	/** Drops a message to an incarnation that is no longer a member, as an unreliable network would. */
	#send(to: Holder, message: Extract<AtMostOnceEffect, {type: AtMostOnceEffectType.Send}>['message']): NodeEffect[] {
		const member = this.#definition.membership.get(to.name);
		return member?.incarnation === to.incarnation
			? [{
				type: NodeEffectType.SendAtMostOnce, to: member, from: this.#definition.own, message,
			}]
			: [];
	}
}
