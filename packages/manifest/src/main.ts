#!/usr/bin/env node
/**
 * The operators' command for manifests.
 *
 * @module
 */
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	ErrorKind, LaburnumspoolError, manifestSchema, routesManifestSchema,
} from '@laburnumspool/core';
import {toJsonSchema} from '@valibot/to-json-schema';
import {cac} from 'cac';
import * as valibot from 'valibot';
import {ExitCode, runCommandLine, version} from './command-line.js';
import {openHttpStore} from './http-store.js';
import {parseManifest} from './manifest-document.js';
import {waitForRollout} from './rollout.js';
import {readLiveNodes, readRolloutStatus} from './rollout-status.js';
import {ship, ShipResultType, type ShipResult} from './ship.js';
import {parseShippedManifest} from './shipped-manifest.js';
import {defaultManifestKey, type Store} from './store.js';

const maximumShipAttempts = 10;
const shipRetryDelayMilliseconds = 300;
const rolloutPollMilliseconds = 100;
const defaultWaitSeconds = 30;
const maximumWaitSeconds = 86_400;

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

async function readManifestFile(file: string): Promise<string> {
	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		throw new LaburnumspoolError(ErrorKind.InvalidManifest, `${file}: cannot be read`, {cause: error});
	}
}

async function checkFile(file: string): Promise<ExitCode> {
	const manifest = parseManifest(await readManifestFile(file), file);
	const organisations = manifest.organisations === undefined ? '' : ` and ${manifest.organisations.length} organisations`;
	print(`${file}: manifest ${manifest.name} with ${Object.keys(manifest.services).length} services${organisations} is valid`);
	return ExitCode.Success;
}

async function withStore(url: string | undefined, action: (store: Store) => Promise<ExitCode>): Promise<ExitCode> {
	if (url === undefined || !URL.canParse(url)) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `--store: expected a URL, received ${url ?? 'no value'}`);
	}

	const store = openHttpStore(url);
	try {
		return await action(store);
	} finally {
		await store.close();
	}
}

async function shipFile(file: string, options: ShipOptions): Promise<ExitCode> {
	const {base} = options;
	if (base !== undefined && (!Number.isSafeInteger(base) || base < 0)) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `--base: expected a revision number, received ${String(base)}`);
	}

	if (options.wait === true && options.node === undefined) {
		throw new LaburnumspoolError(ErrorKind.Malformed, '--wait: requires --node HOST:PORT, a node that lists the live nodes');
	}

	const {timeout} = options;
	if (timeout !== undefined && !(timeout >= 0 && timeout <= maximumWaitSeconds)) {
		throw new LaburnumspoolError(ErrorKind.Malformed, `--timeout: expected 0 to ${maximumWaitSeconds} seconds, received ${String(timeout)}`);
	}

	const document = await readManifestFile(file);
	return withStore(options.store, async store => {
		const result = await ship(store, {
			document,
			file,
			base,
			nonce: randomUUID(),
			maximumAttempts: maximumShipAttempts,
			waitBeforeRetry: async () => delay(shipRetryDelayMilliseconds * (0.5 + Math.random())),
		});
		return reportResult(result, options);
	});
}

async function reportResult(result: ShipResult, options: ShipOptions): Promise<ExitCode> {
	if (result.type === ShipResultType.Accepted) {
		print(`accepted as revision ${result.revision}`);
		return options.wait === true ? waitUntilInForce(options.node!, result.revision, options.timeout ?? defaultWaitSeconds) : ExitCode.Success;
	}

	if (result.type === ShipResultType.Conflict) {
		print(`not accepted: conflict with revision ${result.revision}`);
		return ExitCode.Conflict;
	}

	print('unknown: the store did not confirm the write, so the manifest may or may not have been accepted');
	return ExitCode.Unknown;
}

async function waitUntilInForce(node: string, revision: number, timeoutSeconds: number): Promise<ExitCode> {
	const {isInForce, elapsedMilliseconds, status} = await waitForRollout({
		readStatus: async () => readRolloutStatus(await readLiveNodes(node), revision),
		timeoutMilliseconds: timeoutSeconds * 1000,
		now: () => Date.now(),
		pause: async () => delay(rolloutPollMilliseconds),
	});
	if (isInForce) {
		print(`in force on ${status!.activeCount} of ${status!.liveCount} live nodes after ${elapsedMilliseconds} ms`);
		return ExitCode.Success;
	}

	print(status === undefined
		? `unknown where it is in force: ${node} did not list the live nodes`
		: `in force on ${status.activeCount} of ${status.liveCount} live nodes; not yet on ${status.outdatedNodes.join(', ')}`);
	return ExitCode.Failure;
}

async function showManifest(options: {readonly store?: string}): Promise<ExitCode> {
	return withStore(options.store, async store => {
		const entry = await store.get(defaultManifestKey);
		if (entry === undefined) {
			print('The store holds no manifest');
			return ExitCode.Failure;
		}

		const shipped = parseShippedManifest(entry);
		print(`# revision ${entry.version}, based on revision ${shipped.base}, sha256 ${shipped.digest}`);
		print(shipped.document.trimEnd());
		return ExitCode.Success;
	});
}

const cli = cac('laburnumspool-manifest');
cli.command('check <file>', 'Validate a manifest without writing it').action(checkFile);
cli.command('ship <file>', 'Validate a manifest and write it to the store')
	.option('--store <url>', 'URL of the store')
	.option('--base <revision>', 'Revision that the manifest is based on; any other one in the store is a conflict (default: the one in the store)')
	.option('--wait', 'Wait until all live nodes have the manifest in force')
	.option('--node <address>', 'Address HOST:PORT of the callers\' port of any node; required with --wait')
	.option('--timeout <seconds>', `Time limit for --wait (default: ${defaultWaitSeconds})`)
	.action(shipFile);
cli.command('show', 'Print the manifest in the store').option('--store <url>', 'URL of the store').action(showManifest);
cli.command('schema', 'Print the JSON Schema of both forms of the manifest').action(() => {
	print(JSON.stringify(toJsonSchema(valibot.union([manifestSchema, routesManifestSchema]), {errorMode: 'ignore', typeMode: 'input'}), undefined, '\t'));
});
cli.help();
cli.version(version);
await runCommandLine(cli, process.argv);
