/**
 * Requests of a chain of four services in the virtual system: a browse calls three services below, an order two.
 *
 * @module
 */
import {safeParseManifest, type CallerAnswer, type Manifest} from '@laburnumspool/core';
import type {VirtualInnerCall} from '../virtual-node.js';
import type {VirtualSystem} from '../virtual-system.js';

export const host = 'shop.example';
export const settleMilliseconds = 3000;

/** Longest waits of the kinds, in milliseconds. */
type Waits = {readonly browse: number; readonly order: number; readonly status: number; readonly ledger: number; readonly lookup: number};

const route = (service: string, prefix: string, rank: number, waitMilliseconds: number): Record<string, unknown> => ({
	host, prefix, semantics: 'idempotent', rank, waitMilliseconds, attempts: 2, service,
});

export function chainManifest({browse, order, status, ledger, lookup}: Waits): Manifest {
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

/** Calls that an upstream makes for one of its own. */
export const calls = (target: string, times: number): VirtualInnerCall[] => Array.from({length: times}, () => ({
	service: '', host, method: 'GET', target,
}));

export type Asked = {readonly at: number; readonly answers: CallerAnswer[]};

/** How a caller asks: at random times, at nodes in turn. */
export type Load = {readonly target: string; readonly perSecond: number; readonly milliseconds: number; readonly random: () => number};

/** Schedules the requests of a load, and gives them with the answers that they will get. */
export function ask(system: VirtualSystem, {target, perSecond, milliseconds, random}: Load): Asked[] {
	const asked: Asked[] = [];
	let at = 0;
	while (at < milliseconds) {
		at -= Math.log(1 - random()) * 1000 / perSecond;
		const entry = {at, answers: [] as CallerAnswer[]};
		const node = system.nodes[asked.length % system.nodes.length]!;
		asked.push(entry);
		system.schedule(at, () => {
			system.request(node.name, {host, method: 'GET', target}, answer => entry.answers.push(answer));
		});
	}

	return asked;
}

export const isServed = ({answers: [answer]}: Asked): boolean => answer?.answer?.status === 200;

export const shareOf = (asked: readonly Asked[], is: (entry: Asked) => boolean): number => asked.filter(entry => is(entry)).length / asked.length;
