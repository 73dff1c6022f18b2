/**
 * What is asked in a soak: services, kinds of requests, and the versions of the manifest that allow them.
 *
 * @module
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {parse, stringify} from 'yaml';
import type {SystemService} from './system.js';

const base = fileURLToPath(new URL('../../examples/burrowline.yaml', import.meta.url));
const depositBytes = 4000;
const receiptBytes = 1500;
const windowBytes = 900;
const versionBytes = 100;

/** A kind of request that callers send. */
export type SoakKind = {
	readonly service: string;
	readonly method: string;
	readonly path: string;
	/** Whether it may run at most once, under its key. */
	readonly isKeyed: boolean;
	/** Bytes of padding in a whole answer. */
	readonly bodyBytes: number;
	/** Lowest version of the manifest that allows the request. */
	readonly version: number;
};

export const payment: SoakKind = {
	service: 'deposits', method: 'POST', path: '/deposits', isKeyed: true, bodyBytes: depositBytes, version: 1,
};

/** Less important work of the service that takes payments. */
export const receipt: SoakKind = {
	service: 'deposits', method: 'GET', path: '/deposits/receipt', isKeyed: false, bodyBytes: receiptBytes, version: 1,
};

/** What each payment asks for as well. */
export const windows: SoakKind = {
	service: 'deliveries', method: 'GET', path: '/windows', isKeyed: false, bodyBytes: windowBytes, version: 1,
};

/** A request that only the versions of the manifest from this one on allow. */
export function kindOfVersion(version: number): SoakKind {
	return {
		service: 'deliveries', method: 'GET', path: `/versions/${version}`, isKeyed: false, bodyBytes: versionBytes, version,
	};
}

/** Retries of one action that the manifest allows over the whole chain. */
export const {retriesPerAction} = parse(readFileSync(base, 'utf8')) as {readonly retriesPerAction: number};

export const services: readonly SystemService[] = [
	{
		service: 'deposits', slots: 8, connections: 40, behaviours: [
			{prefix: receipt.path, milliseconds: 100, bodyBytes: receiptBytes},
			{
				prefix: payment.path, milliseconds: 20, bodyBytes: depositBytes, calls: [{method: 'GET', service: 'deliveries', path: windows.path}],
			},
		],
	},
	{
		service: 'deliveries', slots: 8, connections: 40, behaviours: [
			{prefix: windows.path, milliseconds: 5, bodyBytes: windowBytes},
			{prefix: '/versions', milliseconds: 2, bodyBytes: versionBytes},
		],
	},
];

type Document = {
	readonly services: Readonly<Record<string, {readonly requests: readonly unknown[]}>>;
};

/** Writes a version of the manifest into a folder; it allows what the earlier ones allow. */
export function writeManifest(folder: string, version: number): string {
	const document = parse(readFileSync(base, 'utf8')) as Document;
	const versions = Array.from({length: version}, (_, index) => ({
		kind: `version-${index + 1}`, methods: ['GET'], path: kindOfVersion(index + 1).path, importance: 'normal', semantics: 'idempotent', waitMilliseconds: 1000,
	}));
	const {deliveries} = document.services;
	const file = join(folder, `version-${version}.yaml`);
	writeFileSync(file, stringify({...document, services: {...document.services, deliveries: {...deliveries, requests: [...deliveries!.requests, ...versions]}}}));
	return file;
}
