/**
 * What a virtual system consists of: services, the nodes that serve them, and what their upstreams did.
 *
 * @module
 */
import type {
	CallerAnswer, EntryMechanisms, AdmissionMechanisms, Manifest, NodeCore, NodeDefinition, NodeEffect, UpstreamFailure,
} from '@laburnumspool/core';

/** A call that an upstream makes for another. */
export type VirtualInnerCall = {readonly service: string; readonly host?: string; readonly method: string; readonly target: string};

/** How a virtual upstream works on requests whose path begins with the prefix. */
export type VirtualBehaviour = {
	readonly prefix: string;
	readonly milliseconds: number;
	readonly calls?: readonly VirtualInnerCall[];
	/** Whether each call waits for the one before, and is left out when that failed. */
	readonly isInTurn?: boolean;
};

export type VirtualService = {
	readonly service: string;
	readonly instances: number;
	/** Slots that the upstream has. */
	readonly slots: number;
	/** Slots that it announces; left out, those that it has. */
	readonly announcedSlots?: number;
	readonly behaviours: readonly VirtualBehaviour[];
};

/** A message between two nodes on its way; a test may lose, delay or double it. */
export type MessageFate = {readonly copies: number; readonly delayMilliseconds: number};

export type VirtualDefinition = {
	readonly seed: number;
	readonly manifest: Manifest;
	readonly services: readonly VirtualService[];
	readonly guardMechanisms?: AdmissionMechanisms;
	readonly entryMechanisms?: EntryMechanisms;
	readonly retries?: NodeDefinition['retries'];
	readonly fateOf?: (effect: NodeEffect, from: string) => MessageFate;
	readonly withoutStoreMilliseconds?: number;
};

/** Work that an upstream did. */
export type UpstreamWork = {
	readonly node: string;
	readonly service: string;
	readonly callId: string;
	readonly actionId: string;
	readonly target: string;
	readonly key: string | undefined;
	readonly at: number;
};

/** One node with its upstream. */
export class VirtualNode {
	readonly core: NodeCore;
	readonly service: VirtualService;
	readonly running = new Map<string, {isCancelled: boolean}>();
	isDown = false;
	isPaused = false;
	/** What the upstream does next in place of its work. */
	upstreamFailure: UpstreamFailure | undefined;
	slowFactor = 1;
	lastEntryId = 0;
	readonly callers = new Map<number, (answer: CallerAnswer) => void>();

	constructor(core: NodeCore, service: VirtualService) {
		this.core = core;
		this.service = service;
	}

	get name(): string {
		return this.core.own.name;
	}
}
