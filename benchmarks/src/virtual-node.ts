/**
 * Definitions of a virtual system: its services, their nodes, and the calls that upstreams started.
 *
 * @module
 */
import type {
	CallerAnswer, EntryMechanisms, AdmissionMechanisms, Manifest, NodeCore, NodeDefinition, NodeEffect, UpstreamFailure,
} from '@laburnumspool/core';

/** A call that an upstream makes while it serves another call. */
export type VirtualNestedCall = {readonly service: string; readonly host?: string; readonly method: string; readonly target: string};

/** How a virtual upstream serves requests whose path begins with the prefix. */
export type VirtualBehaviour = {
	readonly prefix: string;
	/** Mean service time. */
	readonly milliseconds: number;
	readonly calls?: readonly VirtualNestedCall[];
	/** Whether each nested call waits for the previous one, and is skipped when that one fails. */
	readonly isSequential?: boolean;
};

export type VirtualService = {
	readonly service: string;
	readonly instances: number;
	/** Calls that the upstream serves at once without slowing down. */
	readonly slots: number;
	/** Slots that the upstream announces to its node; `slots` by default. */
	readonly announcedSlots?: number;
	readonly behaviours: readonly VirtualBehaviour[];
};

/** How the network delivers a message between two nodes: lost with 0 copies, duplicated with 2, or delayed. */
export type MessageDelivery = {readonly copies: number; readonly delayMilliseconds: number};

export type VirtualDefinition = {
	readonly seed: number;
	readonly manifest: Manifest;
	readonly services: readonly VirtualService[];
	readonly admissionMechanisms?: AdmissionMechanisms;
	readonly entryMechanisms?: EntryMechanisms;
	readonly retries?: NodeDefinition['retries'];
	/** Delivery of each message; one copy without delay by default. */
	readonly deliveryOf?: (effect: NodeEffect, from: string) => MessageDelivery;
	readonly storeOutageLimitMilliseconds?: number;
};

/** A call that an upstream started. */
export type UpstreamCall = {
	readonly node: string;
	readonly service: string;
	readonly callId: string;
	readonly actionId: string;
	readonly target: string;
	readonly key: string | undefined;
	/** Virtual time in milliseconds. */
	readonly startedAt: number;
};

/** One node with its simulated upstream. */
export class VirtualNode {
	readonly core: NodeCore;
	readonly service: VirtualService;
	readonly runningCalls = new Map<string, {isCancelled: boolean}>();
	isDown = false;
	/** A paused node handles no ticks, announcements or lease renewals, and messages to it wait; its upstream goes on. */
	isPaused = false;
	/** Failure of every call of the upstream while it is set; checked when a call starts. */
	upstreamFailure: UpstreamFailure | undefined;
	/** Share of the calls of the upstream that it refuses at once without running them. */
	refusedShare = 0;
	/** Multiplies the upstream's service times. */
	slowdownFactor = 1;
	lastEntryId = 0;
	readonly callerCallbacks = new Map<number, (answer: CallerAnswer) => void>();

	constructor(core: NodeCore, service: VirtualService) {
		this.core = core;
		this.service = service;
	}

	get name(): string {
		return this.core.own.name;
	}
}
