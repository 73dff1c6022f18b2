/**
 * Measures what a manifest with many organisations costs a node: its bytes, the time to read and adopt it, the memory that
 * it holds, and the time to look up a key.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import process from 'node:process';
import {gzipSync} from 'node:zlib';
import {OrganisationIndex, safeReadManifest, type Manifest} from '@laburnumspool/core';
import {formatTable} from '@laburnumspool/load';
import {cac} from 'cac';

const readRepetitions = 10;
const lookupCount = 2_000_000;
const keysPerOrganisation = 4;
const bytesPerMegabyte = 1024 * 1024;

const createKey = (index: number): string => createHash('sha256').update(`key ${index}`).digest('hex').slice(0, 32);

/** A manifest of one route and the given number of organisations, as JSON. Keys have 32 characters. */
function createDocument(organisationCount: number): string {
	const organisations = Array.from({length: organisationCount}, (_, index) => [`organisation-${index}`, {
		keys: Array.from({length: keysPerOrganisation}, (_key, keyIndex) => createKey((index * keysPerOrganisation) + keyIndex)),
		rank: index % 4,
		requestsPerSecond: 100,
		burst: 200,
	}]);
	return JSON.stringify({
		version: 1,
		routes: {
			all: {
				host: 'h', prefix: '/', semantics: 'idempotent', service: 's',
			},
		},
		services: {s: {}},
		organisations: Object.fromEntries(organisations) as unknown,
	});
}

function read(document: string): Manifest {
	const result = safeReadManifest(JSON.parse(document));
	if (!result.success || result.issues.length > 0) {
		throw new Error('The manifest of the measurement is invalid');
	}

	return result.manifest;
}

function median(values: readonly number[]): number {
	return values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)]!;
}

/** Heap and external bytes, and resident bytes, after a garbage collection. */
function memory(): {readonly used: number; readonly resident: number} {
	globalThis.gc?.();
	const {heapUsed, external, rss} = process.memoryUsage();
	return {used: heapUsed + external, resident: rss};
}

/** Nanoseconds of one lookup, over keys in an order that does not follow the order of insertion. */
function measureLookup(keyCount: number): {readonly known: number; readonly unknown: number} {
	const keys = Array.from({length: keyCount}, (_, index) => createKey(index));
	const index = new OrganisationIndex(keys.map((key, number) => ({
		name: `organisation-${number}`, keys: [key], rank: undefined, requestsPerSecond: 0, burst: 0,
	})));
	// Each request brings its key as a new string whose hash is not computed yet.
	const measure = (isKnown: boolean): number => {
		const prefix = isKnown ? '' : 'x';
		const requests = Array.from({length: 20_000}, (_, number) => Buffer.from(`${prefix}${keys[(number * 7919) % keyCount]!}`));
		const startedAt = process.hrtime.bigint();
		let found = 0;
		for (let number = 0; number < lookupCount; number += 1) {
			const organisation = index.find(requests[number % requests.length]!.toString('latin1'));
			found += organisation === undefined ? 0 : 1;
		}

		const nanoseconds = Number(process.hrtime.bigint() - startedAt) / lookupCount;
		if (found !== (isKnown ? lookupCount : 0)) {
			throw new Error(`${found} keys were found`);
		}

		return nanoseconds;
	};

	measure(true);
	return {known: measure(true), unknown: measure(false)};
}

/** Processor milliseconds of this process, which other processes of the machine do not change as they change the clock time. */
function processorMilliseconds(): number {
	const {user, system} = process.cpuUsage();
	return (user + system) / 1000;
}

/** Reads the manifest once for the memory that it adds to a fresh process, and then again for the time of a later read. */
function measureManifest(organisationCount: number): readonly string[] {
	const document = createDocument(organisationCount);
	const before = memory();
	const startedAt = processorMilliseconds();
	const manifest = read(document);
	const index = new OrganisationIndex(manifest.organisations ?? []);
	const firstMilliseconds = processorMilliseconds() - startedAt;
	const unreleased = process.memoryUsage().rss;
	const after = memory();
	const milliseconds = Array.from({length: readRepetitions}, () => {
		const repeatedAt = processorMilliseconds();
		const repeated = new OrganisationIndex(read(document).organisations ?? []);
		return repeated.size === index.size ? processorMilliseconds() - repeatedAt : 0;
	});
	return [
		String(manifest.organisations?.length ?? 0),
		String(index.size),
		String(document.length),
		String(gzipSync(document).length),
		firstMilliseconds.toFixed(1),
		median(milliseconds).toFixed(1),
		((after.used - before.used) / bytesPerMegabyte).toFixed(2),
		((unreleased - before.resident) / bytesPerMegabyte).toFixed(1),
		((after.resident - before.resident) / bytesPerMegabyte).toFixed(1),
	];
}

const cli = cac('organisation-cost');
cli.option('--organisations <count>', 'Organisations of the manifest', {default: 5000});
const {options} = cli.parse();
process.stdout.write(`${formatTable([
	['organisations', 'keys', 'bytes', 'with gzip', 'first read ms', 'later reads ms', 'heap MB', 'resident MB after reading', 'resident MB after collection'],
	measureManifest(Number(options.organisations)),
])}\n\n`);
process.stdout.write(`${formatTable([
	['keys', 'ns for a known key', 'ns for an unknown key'],
	...[5, 20_000].map(keyCount => {
		const {known, unknown} = measureLookup(keyCount);
		return [String(keyCount), known.toFixed(0), unknown.toFixed(0)];
	}),
])}\n`);
