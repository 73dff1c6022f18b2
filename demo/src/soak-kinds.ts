/**
 * Services and request kinds of a soak, and the versions of the manifest that contain them.
 *
 * @module
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {parse, stringify} from 'yaml';
import {organisationsOf, recordedHeaders} from './soak-organisations.js';
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
const paymentWaitMilliseconds = 3000;
const defaultWaitMilliseconds = 1000;

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
	service: 'deposits', method: 'POST', path: '/deposits/', isKeyed: true, bodyBytes: depositBytes, version: 1,
};

/** Less important than a payment, and of the same service. */
export const receipt: SoakKind = {
	service: 'deposits', method: 'GET', path: '/deposits/receipt/', isKeyed: false, bodyBytes: receiptBytes, version: 1,
};

/** Also the nested call of each payment. */
export const windows: SoakKind = {
	service: 'deliveries', method: 'GET', path: '/windows/', isKeyed: false, bodyBytes: windowBytes, version: 1,
};

/** Kinds whose calls are in flight when a stop begins, and end within its time limit. */
export const slowKinds: readonly SoakKind[] = slowMilliseconds.map(milliseconds => ({...windows, path: `/slow/${milliseconds}/`}));

/** A kind whose call outlasts the time limit of a stop. */
export const longKind: SoakKind = {...windows, path: '/long/'};

/** Returns a kind that the manifest contains from this version on. */
export function kindOfVersion(version: number): SoakKind {
	return {
		service: 'deliveries', method: 'GET', path: `/versions/${version}/`, isKeyed: false, bodyBytes: versionBytes, version,
	};
}

/** Settings of the nodes that the checks refer to. */
export const lingerMilliseconds = 500;
/** Less than the 10 seconds after which `stopProcess` kills a process. */
export const stopSeconds = 8;

/** Retries of one customer action over the whole call chain: those of the example, and the bound of the checks. */
export const {retriesPerAction} = parse(readFileSync(baseManifestFile, 'utf8')) as {readonly retriesPerAction: number};

/** Path of the requests of a kind. With a manifest of routes the upstream receives it whole, otherwise without the service. */
const prefixOf = ({service, path}: SoakKind): string => `/${service}${path}`;

type Behaviours = SystemService['behaviours'];

/** Adds the whole paths, in front since they are longer. */
const withWholePaths = (service: string, behaviours: Behaviours): Behaviours => [
	...behaviours.map(behaviour => ({...behaviour, prefix: `/${service}${behaviour.prefix}`})),
	...behaviours,
];

export const services: readonly SystemService[] = [
	{
		service: 'deposits', slots: 8, connections: 40, recordedHeaders, behaviours: withWholePaths('deposits', [
			{prefix: receipt.path, milliseconds: 100, bodyBytes: receiptBytes},
			{
				prefix: payment.path, milliseconds: 20, bodyBytes: depositBytes, calls: [{method: 'GET', service: 'deliveries', path: windows.path}],
			},
		]),
	},
	{
		service: 'deliveries', slots: 8, connections: 40, recordedHeaders, behaviours: withWholePaths('deliveries', [
			{prefix: windows.path, milliseconds: 5, bodyBytes: windowBytes},
			{prefix: '/versions', milliseconds: 2, bodyBytes: versionBytes},
			{prefix: longKind.path, milliseconds: longMilliseconds, bodyBytes: windowBytes},
			...slowKinds.map(({path}, index) => ({prefix: path, milliseconds: slowMilliseconds[index]!, bodyBytes: windowBytes})),
		]),
	},
];

enum Rank {
	Critical = 0,
	Normal = 2,
}

/** Attempts of one call that stay within the retries of a customer action, which a manifest of routes does not limit by itself. */
const attempts = retriesPerAction + 1;

const toRoute = (kind: SoakKind, rank: Rank, waitMilliseconds: number): Readonly<Record<string, unknown>> => ({
	host: '127.0.0.1', prefix: prefixOf(kind), service: kind.service, semantics: kind.isKeyed ? 'at-most-once' : 'idempotent', rank, waitMilliseconds, attempts,
});

type Document = {
	readonly services: Readonly<Record<string, {readonly requests: ReadonlyArray<Readonly<Record<string, unknown>>>}>>;
};

/** A manifest that declares services, in which payments have keys. */
function createServicesManifest(version: number): Readonly<Record<string, unknown>> {
	const document = parse(readFileSync(baseManifestFile, 'utf8')) as Document;
	const added = [
		...Array.from({length: version}, (_, index) => ({kind: `version-${index + 1}`, path: kindOfVersion(index + 1).path, waitMilliseconds: defaultWaitMilliseconds})),
		{kind: 'slow', path: '/slow*', waitMilliseconds: slowWaitMilliseconds},
		{kind: 'long', path: longKind.path, waitMilliseconds: longWaitMilliseconds},
	];
	const requests = added.map(request => ({
		...request, methods: ['GET'], importance: 'normal', semantics: 'idempotent',
	}));
	const {deliveries, deposits} = document.services;
	const depositRequests = deposits!.requests.map(request => request.kind === 'pay' ? {...request, path: payment.path} : request);
	return {
		...document, services: {
			...document.services,
			deposits: {...deposits, requests: depositRequests},
			deliveries: {...deliveries, requests: [...deliveries!.requests, ...requests]},
		},
	};
}

/** A manifest of routes with organisations; keys of payments have no effect in this form. */
function createRoutesManifest(version: number, isKeyWithdrawn: boolean): Readonly<Record<string, unknown>> {
	const routes = {
		pay: toRoute(payment, Rank.Critical, paymentWaitMilliseconds),
		receipt: toRoute(receipt, Rank.Normal, defaultWaitMilliseconds),
		windows: toRoute(windows, Rank.Normal, defaultWaitMilliseconds),
		long: toRoute(longKind, Rank.Normal, longWaitMilliseconds),
		...Object.fromEntries(slowKinds.map((kind, index) => [`slow-${index + 1}`, toRoute(kind, Rank.Normal, slowWaitMilliseconds)])),
		...Object.fromEntries(Array.from({length: version}, (_, index) => [`version-${index + 1}`, toRoute(kindOfVersion(index + 1), Rank.Normal, defaultWaitMilliseconds)])),
	};
	return {routes, services: {deposits: {}, deliveries: {}}, organisations: organisationsOf(isKeyWithdrawn)};
}

export type ManifestForm = {
	/** Whether the manifest has routes and organisations; only this form may have organisations. */
	readonly hasOrganisations: boolean;
	/** Whether it lacks the key that is withdrawn during the soak. */
	readonly isKeyWithdrawn: boolean;
};

/** Writes a version of the manifest into a folder and returns the file; it contains the kinds of all earlier versions. */
export function writeManifest(folder: string, version: number, {hasOrganisations, isKeyWithdrawn}: ManifestForm): string {
	const file = join(folder, `version-${version}.yaml`);
	writeFileSync(file, stringify(hasOrganisations ? createRoutesManifest(version, isKeyWithdrawn) : createServicesManifest(version)));
	return file;
}
