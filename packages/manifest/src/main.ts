#!/usr/bin/env node
/**
 * The operators' command.
 *
 * @module
 */
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {ErrorKind, LaburnumspoolError, manifestSchema} from '@laburnumspool/core';
import {toJsonSchema} from '@valibot/to-json-schema';
import {cac} from 'cac';
import {ExitCode, runCommandLine, version} from './command-line.js';
import {openHttpStore} from './http-store.js';
import {parseManifest} from './manifest-document.js';
import {readLiveNodes, readSpread} from './rollout-status.js';
import {ship, ShipResultType, type ShipResult} from './ship.js';
import {parseShipped} from './shipped-manifest.js';
import {manifestKey, type Store} from './store.js';

const shipTries = 10;
const shipPauseMilliseconds = 300;
const waitPauseMilliseconds = 100;
const defaultWaitSeconds = 30;

type ShipOptions = {
	readonly store?: string;
	readonly base?: number;
	readonly wait?: boolean;
	readonly node?: string;
	readonly timeout?: number;
};

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

async function readText(file: string): Promise<string> {
	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		throw new LaburnumspoolError(ErrorKind.InvalidManifest, `${file}: cannot be read`, {cause: error});
	}
}

async function check(file: string): Promise<ExitCode> {
	const manifest = parseManifest(await readText(file), file);
	print(`${file}: manifest ${manifest.name} with ${Object.keys(manifest.services).length} services is valid`);
	return ExitCode.Done;
}

async function withStore(url: string | undefined, use: (store: Store) => Promise<ExitCode>): Promise<ExitCode> {
	if (url === undefined || !URL.canParse(url)) {
		throw new LaburnumspoolError(ErrorKind.Malformed, '--store: expected the URL of the store');
	}

	const store = openHttpStore(url);
	try {
		return await use(store);
	} finally {
		await store.close();
	}
}

async function shipFile(file: string, options: ShipOptions): Promise<ExitCode> {
	const {base} = options;
	if (base !== undefined && (!Number.isSafeInteger(base) || base < 0)) {
		throw new LaburnumspoolError(ErrorKind.Malformed, '--base: expected the number of a revision');
	}

	if (options.wait === true && options.node === undefined) {
		throw new LaburnumspoolError(ErrorKind.Malformed, '--wait: expected --node HOST:PORT as well, to learn of the live nodes');
	}

	const document = await readText(file);
	return withStore(options.store, async store => {
		const result = await ship(store, {
			document, file, base, nonce: randomUUID(), tries: shipTries, pause: async () => delay(shipPauseMilliseconds * (0.5 + Math.random())),
		});
		return tell(result, options);
	});
}

async function tell(result: ShipResult, options: ShipOptions): Promise<ExitCode> {
	if (result.type === ShipResultType.Accepted) {
		print(`accepted as revision ${result.revision}`);
		return options.wait === true ? waitUntilInForce(options.node!, result.revision, options.timeout ?? defaultWaitSeconds) : ExitCode.Done;
	}

	if (result.type === ShipResultType.Conflict) {
		print(`not accepted: conflict with revision ${result.revision}`);
		return ExitCode.Conflict;
	}

	print('unknown: the store does not answer, so the manifest may or may not have been accepted');
	return ExitCode.Unknown;
}

async function waitUntilInForce(node: string, revision: number, timeoutSeconds: number): Promise<ExitCode> {
	const startedAt = Date.now();
	const isOver = (): boolean => Date.now() - startedAt >= timeoutSeconds * 1000;
	const look = async (): Promise<ExitCode> => {
		const spread = await readSpread(await readLiveNodes(node), revision);
		if (spread.behind.length === 0) {
			print(`in force on ${spread.inForce} of ${spread.live} live nodes after ${Date.now() - startedAt} ms`);
			return ExitCode.Done;
		}

		if (isOver()) {
			print(`in force on ${spread.inForce} of ${spread.live} live nodes; not yet on ${spread.behind.join(', ')}`);
			return ExitCode.Failed;
		}

		await delay(waitPauseMilliseconds);
		return look();
	};

	return look();
}

async function show(options: {readonly store?: string}): Promise<ExitCode> {
	return withStore(options.store, async store => {
		const entry = await store.get(manifestKey);
		if (entry === undefined) {
			print('The store holds no manifest');
			return ExitCode.Failed;
		}

		const shipped = parseShipped(entry);
		print(`# revision ${entry.version}, based on revision ${shipped.base}, sha256 ${shipped.digest}`);
		print(shipped.document.trimEnd());
		return ExitCode.Done;
	});
}

const cli = cac('laburnumspool-manifest');
cli.command('check <file>', 'Check a manifest and write nothing').action(check);
cli.command('ship <file>', 'Check a manifest and put it in force')
	.option('--store <url>', 'URL of the store')
	.option('--base <revision>', 'Revision that the manifest is based on; a newer one in the store is a conflict')
	.option('--wait', 'Wait until all live nodes have it in force')
	.option('--node <address>', 'Callers\' address of any node, for --wait')
	.option('--timeout <seconds>', 'Longest time to wait')
	.action(shipFile);
cli.command('show', 'Print the manifest in the store').option('--store <url>', 'URL of the store').action(show);
cli.command('schema', 'Print the JSON Schema of the manifest').action(() => {
	print(JSON.stringify(toJsonSchema(manifestSchema, {errorMode: 'ignore'}), undefined, '\t'));
});
cli.help();
cli.version(version);
await runCommandLine(cli, process.argv);
