/**
 * The task that talks to the platform's store. Nothing on a call's path waits for it.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	chooseByRendezvous, holderKey, isGone, NodeEffectType, WriteResultType, type Holder, type Member, type RangeRecord, type Revision, type WriteResult,
} from '@laburnumspool/core';
import {
	SwapResultType, type Store, type StoreEntry,
} from '@laburnumspool/manifest';
import {tryParseMember} from '@laburnumspool/protocol';
import {CoreMessageType, type CoreTask} from './core-task.js';
import type {PartLog} from './logs.js';
import {parseRecord} from './range-records.js';

const watchMilliseconds = 20_000;
const watchersPerRegion = 2;
const lonelyCheckMilliseconds = 500;

/** Pause between two readings of the members for each member known, so that the fleet's readings grow with its size only. */
const checkMillisecondsPerMember = 1250;
const shortestCheckMilliseconds = 2000;
const firstPauseMilliseconds = 200;
const longestPauseMilliseconds = 1000;
const holdersPrefix = 'holders/';

export type StoreTaskDefinition = {
	readonly core: CoreTask;
	readonly store: Store;
	readonly log: PartLog;
	readonly clock: () => number;
	readonly random: () => number;
	readonly leaseMilliseconds: number;
	readonly manifestKey: string;
	/** Reads a manifest as the store holds it; throws `invalid-manifest`. */
	readonly readManifest: (entry: StoreEntry) => Revision;
	/** Asks peers for a manifest; resolves to whether one gave a newer one. */
	readonly pullManifest: (from: readonly Member[]) => Promise<boolean>;
};

/**
 * Reads and writes what must last.
 *
 * @example
 * const task = new StoreTask(definition);
 * task.start();
 */
export class StoreTask {
	readonly #definition: StoreTaskDefinition;
	readonly #stopping = new AbortController();
	#lease: string | undefined;
	#hasHolderKey = false;
	#failures = 0;
	#isReadingManifest = false;
	/** Version of the manifest's key that was read last. */
	#seenVersion = 0;

	constructor(definition: StoreTaskDefinition) {
		this.#definition = definition;
		definition.core.handle({
			[NodeEffectType.PullManifest]: ({from}) => {
				void this.#fetchManifest(from);
			},
			[NodeEffectType.ReadRecord]: ({service}) => {
				void this.#readRecord(service);
			},
			[NodeEffectType.WriteRecord]: ({service, expectedVersion, record}) => {
				void this.#writeRecord(service, expectedVersion, record);
			},
			[NodeEffectType.ReadHolders]: ({holders}) => {
				void this.#readHolders(holders);
			},
		});
	}

	start(): void {
		void this.#loop(async () => this.#keepLease(), () => this.#definition.leaseMilliseconds / 3);
		void this.#loop(async () => this.#readMembers(), () => this.#memberPause());
		void this.#watchManifest();
	}

	/** Gives the lease back, so that others need not wait for its end. */
	async stop(): Promise<void> {
		this.#stopping.abort();
		if (this.#lease !== undefined) {
			await this.#attempt(async () => this.#definition.store.revokeLease(this.#lease!));
		}

		await this.#definition.store.close();
	}

	/** A newer manifest is known to exist: it is asked of peers, and else read from the store. */
	async #fetchManifest(from: readonly Member[]): Promise<void> {
		if (this.#isReadingManifest) {
			return;
		}

		this.#isReadingManifest = true;
		if (!await this.#definition.pullManifest(from)) {
			await this.#attempt(async () => {
				this.#takeManifest(await this.#definition.store.get(this.#definition.manifestKey));
			});
		}

		this.#isReadingManifest = false;
	}

	async #keepLease(): Promise<void> {
		const {store, leaseMilliseconds, clock, core} = this.#definition;
		const sentAt = clock();
		const isRenewed = this.#lease !== undefined && await store.renewLease(this.#lease);
		if (!isRenewed) {
			if (this.#lease !== undefined) {
				core.post({type: CoreMessageType.LeaseLapsed});
			}

			this.#lease = await store.grantLease(leaseMilliseconds);
			this.#hasHolderKey = false;
		}

		if (!this.#hasHolderKey) {
			await this.#writeHolderKey(this.#lease!);
		}

		core.post({type: CoreMessageType.LeaseRenewed, sentAt});
	}

	async #writeHolderKey(lease: string): Promise<void> {
		const {own} = this.#definition.core.core;
		const key = `${holdersPrefix}${holderKey(own)}`;
		const value = JSON.stringify(own);
		const result = await this.#definition.store.compareAndSwap(key, 0, value, lease);
		if (result.type === SwapResultType.Conflict) {
			await this.#definition.store.compareAndSwap(key, result.current?.version ?? 0, value, lease);
		}

		this.#hasHolderKey = true;
	}

	/** The entries of all nodes make each findable; what changes after that travels by gossip. */
	async #readMembers(): Promise<void> {
		const {core, store} = this.#definition;
		const entries = await store.list(holdersPrefix);
		const members = entries.flatMap(entry => tryParseMember(entry.value) ?? []);
		core.post({type: CoreMessageType.ViewArrived, members, rumors: []});
	}

	#memberPause(): number {
		const count = this.#definition.core.core.membership.others.length;
		return count === 0 ? lonelyCheckMilliseconds : Math.max(shortestCheckMilliseconds, count * checkMillisecondsPerMember);
	}

	/** Some nodes of each region watch the store; the others hear of new revisions from their peers. */
	async #watchManifest(): Promise<void> {
		const {core, store, manifestKey} = this.#definition;
		await this.#loop(async () => {
			const {own, membership, manifest} = core.core;
			const region = membership.members.filter(member => !isGone(member) && member.location.region === own.location.region);
			const watchers = chooseByRendezvous('manifest', region, member => member.name, watchersPerRegion);
			if (manifest === undefined || watchers.some(member => member.name === own.name)) {
				this.#takeManifest(await store.watch(manifestKey, this.#seenVersion, watchMilliseconds));
			}
		}, () => firstPauseMilliseconds);
	}

	#takeManifest(entry: StoreEntry | undefined): void {
		const {core, log, readManifest} = this.#definition;
		if (entry === undefined || entry.version <= this.#seenVersion) {
			return;
		}

		this.#seenVersion = entry.version;
		try {
			core.post({type: CoreMessageType.ManifestArrived, revision: readManifest(entry)});
		} catch (error) {
			log.error(`the manifest at version ${entry.version} cannot be read and is not adopted: ${error instanceof Error ? error.message : String(error)}`);
		}
	}

	async #readRecord(service: string): Promise<void> {
		await this.#attempt(async () => {
			const entry = await this.#definition.store.get(recordKey(service));
			this.#definition.core.post({type: CoreMessageType.RecordArrived, record: entry === undefined ? undefined : parseRecord(entry.version, entry.value)});
		});
	}

	async #writeRecord(service: string, expectedVersion: number, record: RangeRecord): Promise<void> {
		const result = await this.#attempt(async () => this.#definition.store.compareAndSwap(recordKey(service), expectedVersion, JSON.stringify(record)));
		this.#definition.core.post({type: CoreMessageType.RecordWritten, result: toWriteResult(result)});
	}

	async #readHolders(holders: readonly Holder[]): Promise<void> {
		await this.#attempt(async () => {
			const entries = await Promise.all(holders.map(async holder => this.#definition.store.get(`${holdersPrefix}${holderKey(holder)}`)));
			const present = new Set(holders.flatMap((holder, index) => entries[index] === undefined ? [] : [holderKey(holder)]));
			this.#definition.core.post({type: CoreMessageType.HoldersRead, asked: holders, present});
		});
	}

	/** Runs a step again and again, with jitter, and with longer pauses while the store fails. */
	async #loop(step: () => Promise<void>, pauseMilliseconds: () => number): Promise<void> {
		while (!this.#stopping.signal.aborted) {
			const isDone = await this.#attempt(async () => { // eslint-disable-line no-await-in-loop
				await step();
				return true;
			});
			const pause = isDone === true ? pauseMilliseconds() : Math.min(longestPauseMilliseconds, firstPauseMilliseconds * (2 ** Math.min(8, this.#failures)));
			await delay(pause * (0.75 + (this.#definition.random() / 2)), undefined, {signal: this.#stopping.signal}).catch(() => undefined); // eslint-disable-line no-await-in-loop
		}
	}

	async #attempt<Result>(step: () => Promise<Result>): Promise<Result | undefined> {
		try {
			const result = await step();
			this.#noteAnswer();
			return result;
		} catch (error) {
			this.#noteFailure(error);
			return undefined;
		}
	}

	#noteAnswer(): void {
		if (this.#failures > 0) {
			this.#definition.log.info('the store answers again');
		}

		this.#failures = 0;
	}

	#noteFailure(error: unknown): void {
		if (this.#failures === 0 && !this.#stopping.signal.aborted) {
			this.#definition.log.warn(`the store does not answer: ${error instanceof Error ? error.message : String(error)}`);
		}

		this.#failures += 1;
	}
}

function recordKey(service: string): string {
	return `ranges/${service}`;
}

function toWriteResult(result: Awaited<ReturnType<Store['compareAndSwap']>> | undefined): WriteResult {
	if (result === undefined) {
		return {type: WriteResultType.Unknown};
	}

	return result.type === SwapResultType.Written
		? {type: WriteResultType.Written, version: result.version}
		: {type: WriteResultType.Conflict, current: result.current === undefined ? undefined : parseRecord(result.current.version, result.current.value)};
}
