/**
 * Requests for a call chain of four services in the virtual system: a browse passes through all four, an order through
 * the last three.
 *
 * @module
 */
import {safeParseManifest, type CallerAnswer, type Manifest} from '@laburnumspool/core';
import type {VirtualNestedCall} from '../virtual-node.js';
import type {VirtualSystem} from '../virtual-system.js';

export const host = 'shop.example';
export const settleMilliseconds = 3000;

/** Wait limit of each route, in milliseconds. */
type WaitLimits = {readonly browse: number; readonly order: number; readonly status: number; readonly ledger: number; readonly lookup: number};

const route = (service: string, prefix: string, rank: number, waitMilliseconds: number): Record<string, unknown> => ({
	host, prefix, semantics: 'idempotent', rank, waitMilliseconds, attempts: 2, service,
});

export function createChainManifest({browse, order, status, ledger, lookup}: WaitLimits): Manifest {
	const result = safeParseManifest({
		version: 1,
		routes: {
			browse: route('catalogue', '/browse/', 2, browse),
			order: route('orders', '/order/', 0, order),
			status: route('orders', '/status/', 2, status),
			ledger: route('deposits', '/ledger/', 2, ledger),
			lookup: route('deliveries', '/lookup/', 2, lookup),
		},
		services: {
			catalogue: {}, orders: {}, deposits: {}, deliveries: {},
		},
	});
	return (result as {manifest: Manifest}).manifest;
}

/** The same nested call, repeated. */
export const nestedCalls = (target: string, count: number): VirtualNestedCall[] => Array.from({length: count}, () => ({
	service: '', host, method: 'GET', target,
}));

/** A request, sent `sendAt` milliseconds after the start of its load. */
export type ScheduledRequest = {readonly sendAt: number; readonly answers: CallerAnswer[]};

/** Requests at random times (a Poisson process), sent to the nodes in turn. */
export type RequestLoad = {readonly target: string; readonly perSecond: number; readonly milliseconds: number; readonly random: () => number};

/** Schedules the requests of a load, and returns them with lists that receive their answers. */
export function scheduleRequests(system: VirtualSystem, {target, perSecond, milliseconds, random}: RequestLoad): ScheduledRequest[] {
	const requests: ScheduledRequest[] = [];
	let sendAt = 0;
	while (sendAt < milliseconds) {
		sendAt -= Math.log(1 - random()) * 1000 / perSecond;
		const entry = {sendAt, answers: [] as CallerAnswer[]};
		const node = system.nodes[requests.length % system.nodes.length]!;
		requests.push(entry);
		system.schedule(sendAt, () => {
			system.request(node.name, {host, method: 'GET', target}, answer => entry.answers.push(answer));
		});
	}

	return requests;
}

export const isServed = ({answers: [answer]}: ScheduledRequest): boolean => answer?.answer?.status === 200;

export const shareOf = (requests: readonly ScheduledRequest[], predicate: (entry: ScheduledRequest) => boolean): number => requests.filter(entry => predicate(entry)).length / requests.length;
