/**
 * Services and request kinds of a soak, and the versions of the manifest that contain them.
 *
 * @module
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {parse, stringify} from 'yaml';
import type {SystemService} from './system.js';

const baseManifestFile = fileURLToPath(new URL('../../examples/burrowline.yaml', import.meta.url));
const depositBytes = 4000;
const receiptBytes = 1500;
const windowBytes = 900;
const versionBytes = 100;
const slowMilliseconds = [1000, 2000, 3000];
const slowWaitMilliseconds = 5000;
/** More than the time limit of a stop. */
const longMilliseconds = 9000;
const longWaitMilliseconds = 10_000;

/** A kind of request that callers send. */
export type SoakKind = {
	readonly service: string;
	readonly method: string;
	readonly path: string;
	/** Whether the request carries an idempotency key and runs at most once. */
	readonly isKeyed: boolean;
	/** Bytes of padding in a complete answer. */
	readonly bodyBytes: number;
	/** Lowest version of the manifest that contains the kind. */
	readonly version: number;
};

export const payment: SoakKind = {
	service: 'deposits', method: 'POST', path: '/deposits', isKeyed: true, bodyBytes: depositBytes, version: 1,
};

/** Less important than a payment, and of the same service. */
export const receipt: SoakKind = {
	service: 'deposits', method: 'GET', path: '/deposits/receipt', isKeyed: false, bodyBytes: receiptBytes, version: 1,
};

/** Also the nested call of each payment. */
export const windows: SoakKind = {
	service: 'deliveries', method: 'GET', path: '/windows', isKeyed: false, bodyBytes: windowBytes, version: 1,
};

/** Kinds whose calls are in flight when a stop begins, and end within its time limit. */
export const slowKinds: readonly SoakKind[] = slowMilliseconds.map(milliseconds => ({...windows, path: `/slow/${milliseconds}`}));

/** A kind whose call outlasts the time limit of a stop. */
export const longKind: SoakKind = {...windows, path: '/long'};

/** Returns a kind that the manifest contains from this version on. */
export function kindOfVersion(version: number): SoakKind {
	return {
		service: 'deliveries', method: 'GET', path: `/versions/${version}`, isKeyed: false, bodyBytes: versionBytes, version,
	};
}

/** Settings of the nodes that the checks refer to. */
export const lingerMilliseconds = 500;
/** Less than the 10 seconds after which `stopProcess` kills a process. */
export const stopSeconds = 8;

/** Retries that the manifest allows for one customer action over the whole call chain. */
export const {retriesPerAction} = parse(readFileSync(baseManifestFile, 'utf8')) as {readonly retriesPerAction: number};

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
			{prefix: longKind.path, milliseconds: longMilliseconds, bodyBytes: windowBytes},
			...slowKinds.map(({path}, index) => ({prefix: path, milliseconds: slowMilliseconds[index]!, bodyBytes: windowBytes})),
		],
	},
];

type Document = {
	readonly services: Readonly<Record<string, {readonly requests: readonly unknown[]}>>;
};

/** Writes a version of the manifest into a folder and returns the file; it contains the kinds of all earlier versions. */
export function writeManifest(folder: string, version: number): string {
	const document = parse(readFileSync(baseManifestFile, 'utf8')) as Document;
	const added = [
		...Array.from({length: version}, (_, index) => ({kind: `version-${index + 1}`, path: kindOfVersion(index + 1).path, waitMilliseconds: 1000})),
		{kind: 'slow', path: '/slow*', waitMilliseconds: slowWaitMilliseconds},
		{kind: 'long', path: longKind.path, waitMilliseconds: longWaitMilliseconds},
	];
	const requests = added.map(request => ({
		...request, methods: ['GET'], importance: 'normal', semantics: 'idempotent',
	}));
	const {deliveries} = document.services;
	const file = join(folder, `version-${version}.yaml`);
	writeFileSync(file, stringify({...document, services: {...document.services, deliveries: {...deliveries, requests: [...deliveries!.requests, ...requests]}}}));
	return file;
}
