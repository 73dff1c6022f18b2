/**
 * The task that reads and writes the platform's store. No call waits for it.
 *
 * @module
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	checkMemberText, formatMember, holderKey, NodeEffectType, WriteResultType, type Holder, type Member, type RangeRecord, type Revision, type WriteResult,
} from '@laburnumspool/core';
import {
	SwapResultType, type KeyedEntry, type Store, type StoreEntry,
} from '@laburnumspool/manifest';
import {CoreMessageType, type CoreTask} from './core-task.js';
import type {Logger} from './logs.js';
import {ProblemLog} from './problem-log.js';
import {tryParseRecord} from './range-records.js';

const memberPollWithoutPeersMilliseconds = 500;

/** Poll interval per known member; scaling it with the member count keeps the read entries per second linear in the fleet size. */
const memberPollMillisecondsPerMember = 1250;
const minimumMemberPollMilliseconds = 2000;
/** Interval of the checks whether the manifest must be read, and the base of the back-off after failures. */
const basePauseMilliseconds = 200;
const maximumBackoffMilliseconds = 1000;

/** Part of the maximum back-off per known member. Limits the calls of a whole fleet to a store that fails. */
const backoffMillisecondsPerMember = 1;
const holdersPrefix = 'holders/';

/** Time after the start in which a node that knows others expects the manifest from them. */
const manifestFromPeersMilliseconds = 2000;

/** Longest wait of one watch for the first manifest. */
const firstWatchMilliseconds = 1000;

/** Reads of the members after which a node that knows no other one is the only one. Nodes that start together find each other by then. */
const memberReadsOfOnlyNode = 2;

export type StoreTaskDefinition = {
	readonly core: CoreTask;
	readonly store: Store;
	readonly log: Logger;
	readonly clock: () => number;
	readonly random: () => number;
	readonly leaseMilliseconds: number;
	readonly manifestKey: string;
	/** Parses a manifest from its store entry; throws `invalid-manifest`. */
	readonly readManifest: (entry: StoreEntry) => Revision;
	/** Requests the manifest from peers; resolves to whether one sent a newer revision than the active one. */
	readonly pullManifest: (from: readonly Member[]) => Promise<boolean>;
};

/** A call to the store that is repeated while it is due. */
type PeriodicCall = {
	readonly isDue: () => boolean;
	readonly call: () => Promise<void>;
	/** Time from the start of one call to the next. */
	readonly pauseMilliseconds: () => number;
};

/**
 * Keeps the node's lease, reads members and manifests, and reads and writes key-range records. Periodic steps that fail
 * are retried with back-off; reads and writes of records are not retried here.
 *
 * @example
 * const task = new StoreTask(definition);
 * task.start();
 */
export class StoreTask {
	readonly #definition: StoreTaskDefinition;
	readonly #stopController = new AbortController();
	readonly #problems: ProblemLog;
	#lease: string | undefined;
	/** Key of the own entry under the present lease; undefined before it is written. */
	#writtenKey: string | undefined;
	#startedAt = 0;
	#memberReads = 0;
	#consecutiveFailures = 0;
	#isReadingManifest = false;
	/** Version of the manifest entry that was read last. */
	#lastReadVersion = 0;
	/** Number of the revision in that entry; undefined if the entry was invalid. */
	#lastReadNumber: number | undefined;
	#manifestReadAt = -Infinity;

	constructor(definition: StoreTaskDefinition) {
		this.#definition = definition;
		this.#problems = new ProblemLog(definition.log, definition.clock);
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
		this.#startedAt = this.#definition.clock();
		const always = (): boolean => true;
		void this.#repeat({isDue: always, call: async () => this.#renewLease(), pauseMilliseconds: () => this.#definition.leaseMilliseconds / 3});
		void this.#repeat({isDue: always, call: async () => this.#readMembers(), pauseMilliseconds: () => this.#memberPollMilliseconds()});
		void this.#repeat({isDue: () => this.#watchMilliseconds !== undefined, call: async () => this.#watchManifest(), pauseMilliseconds: () => basePauseMilliseconds});
		void this.#repeat({isDue: () => this.#takeRead(), call: async () => this.#readManifest(), pauseMilliseconds: () => basePauseMilliseconds});
	}

	/** Revokes the lease, so that other nodes need not wait until it lapses, and closes the store. */
	async stop(): Promise<void> {
		this.#stopController.abort();
		if (this.#lease !== undefined) {
			await this.#attempt(async () => this.#definition.store.revokeLease(this.#lease!));
		}

		await this.#definition.store.close();
	}

	/** Requests a newer manifest from peers, and reads it from the store when no peer sends one. */
	async #fetchManifest(from: readonly Member[]): Promise<void> {
		if (this.#isReadingManifest) {
			return;
		}

		this.#isReadingManifest = true;
		try {
			if (!await this.#definition.pullManifest(from)) {
				await this.#attempt(async () => {
					await this.#readManifest();
				});
			}
		} finally {
			this.#isReadingManifest = false;
		}
	}

	async #renewLease(): Promise<void> {
		const {store, leaseMilliseconds, clock, core} = this.#definition;
		const sentAt = clock();
		const isRenewed = this.#lease !== undefined && await store.renewLease(this.#lease);
		if (!isRenewed) {
			if (this.#lease !== undefined) {
				core.post({type: CoreMessageType.LeaseLapsed});
			}

			this.#lease = await store.grantLease(leaseMilliseconds);
			this.#writtenKey = undefined;
		}

		// A node that refuted a false entry has a higher incarnation than its written entry.
		if (this.#writtenKey !== ownKey(core.core.own)) {
			await this.#writeHolderKey(this.#lease!);
		}

		core.post({type: CoreMessageType.LeaseRenewed, sentAt});
	}

	async #writeHolderKey(lease: string): Promise<void> {
		const {own} = this.#definition.core.core;
		const key = ownKey(own);
		const value = formatMember(own);
		const result = await this.#definition.store.compareAndSwap(key, 0, value, lease);
		if (result.type === SwapResultType.Conflict) {
			await this.#definition.store.compareAndSwap(key, result.current?.version ?? 0, value, lease);
		}

		this.#writtenKey = key;
	}

	/** Reads the entries of all nodes, by which nodes discover each other. Later changes spread by gossip. */
	async #readMembers(): Promise<void> {
		const {core, store} = this.#definition;
		const entries = await store.list(holdersPrefix);
		const members = entries.flatMap(entry => this.#checkEntry(entry));
		this.#memberReads += 1;
		core.post({type: CoreMessageType.ViewArrived, members, rumors: []});
	}

	/** The member of an entry; none for an entry that is invalid or stands under the key of another member. */
	#checkEntry({key, value}: KeyedEntry): Member[] {
		const checked = checkMemberText(value);
		const expectedKey = checked.success ? `${holdersPrefix}${holderKey(checked.value)}` : key;
		if (checked.success && key === expectedKey) {
			return [checked.value];
		}

		this.#problems.report(key, checked.success ? `its member belongs under ${expectedKey}` : checked.problem);
		return [];
	}

	#memberPollMilliseconds(): number {
		const count = this.#definition.core.core.membership.others.length;
		return count === 0 ? memberPollWithoutPeersMilliseconds : Math.max(minimumMemberPollMilliseconds, count * memberPollMillisecondsPerMember);
	}

	/** Each call to the store is billed, so a node without a manifest reads it itself only where no other one is expected to send it. */
	#takeRead(): boolean {
		const {core, clock} = this.#definition;
		const {manifest, manifestWatch} = core.core;
		if (manifest !== undefined) {
			return manifestWatch.takeRead(clock());
		}

		return !this.#isFirstReader && clock() - Math.max(this.#startedAt, this.#manifestReadAt) >= manifestFromPeersMilliseconds;
	}

	get #isFirstReader(): boolean {
		const {membership, manifestWatch} = this.#definition.core.core;
		return membership.others.length === 0 ? this.#memberReads >= memberReadsOfOnlyNode : manifestWatch.isFirstReader;
	}

	async #readManifest(): Promise<void> {
		const {store, manifestKey, clock} = this.#definition;
		const sentAt = clock();
		this.#manifestReadAt = sentAt;
		const entry = await store.get(manifestKey);
		if (entry !== undefined) {
			this.#manifestRead(entry, sentAt);
		}
	}

	/** Longest wait of the next watch; undefined at a node that does not watch the store. */
	get #watchMilliseconds(): number | undefined {
		const {core, clock} = this.#definition;
		const {manifest, manifestWatch} = core.core;
		if (manifest !== undefined) {
			return manifestWatch.watchMilliseconds(clock());
		}

		return this.#isFirstReader ? firstWatchMilliseconds : undefined;
	}

	/** A watch that ends without a newer revision shows that there was none at its end. */
	async #watchManifest(): Promise<void> {
		const {store, manifestKey, clock} = this.#definition;
		const waitMilliseconds = this.#watchMilliseconds ?? 0;
		const sentAt = clock();
		const entry = await store.watch(manifestKey, this.#lastReadVersion, Math.floor(waitMilliseconds));
		const hasWaited = entry === undefined && clock() - sentAt >= waitMilliseconds;
		this.#manifestRead(entry, hasWaited ? sentAt + waitMilliseconds : sentAt);
	}

	/** Adopts a newer revision, and confirms the newest one unless the store answered with an older one. */
	#manifestRead(entry: StoreEntry | undefined, at: number): void {
		if (entry !== undefined && entry.version < this.#lastReadVersion) {
			return;
		}

		this.#postManifest(entry);
		const {core} = this.#definition;
		const number = this.#lastReadNumber ?? core.core.manifest?.number;
		if (number !== undefined) {
			core.post({type: CoreMessageType.ManifestConfirmed, number, at});
		}
	}

	#postManifest(entry: StoreEntry | undefined): void {
		const {core, log, readManifest} = this.#definition;
		if (entry === undefined || entry.version <= this.#lastReadVersion) {
			return;
		}

		this.#lastReadVersion = entry.version;
		this.#lastReadNumber = undefined;
		try {
			const revision = readManifest(entry);
			this.#lastReadNumber = revision.number;
			core.post({type: CoreMessageType.ManifestArrived, revision});
		} catch (error) {
			const active = core.core.manifest === undefined ? 'the node has none' : `revision ${core.core.manifest.number} stays active`;
			log.error(`the manifest at version ${entry.version} is invalid and was not adopted, ${active}: ${error instanceof Error ? error.message : String(error)}`);
		}
	}

	async #readRecord(service: string): Promise<void> {
		await this.#attempt(async () => {
			const entry = await this.#definition.store.get(recordKey(service));
			this.#definition.core.post({type: CoreMessageType.RecordArrived, record: entry === undefined ? undefined : tryParseRecord(entry.version, entry.value)});
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
			this.#definition.core.post({type: CoreMessageType.HoldersRead, requested: holders, present});
		});
	}

	/**
	 * Repeats a call until the stop, with jittered pauses, and with exponential back-off while the store fails. Pauses run from
	 * the start of the call, so that one that timed out is repeated without a further wait. While no call is due, the
	 * store counts as it did after the last one.
	 */
	async #repeat({isDue, call, pauseMilliseconds}: PeriodicCall): Promise<void> {
		const {clock, random} = this.#definition;
		while (!this.#stopController.signal.aborted) {
			const startedAt = clock();
			const hasFailed = isDue() && await this.#attempt(async () => { // eslint-disable-line no-await-in-loop
				await call();
				return true;
			}) === undefined;
			const pause = (hasFailed ? this.#backoffMilliseconds : pauseMilliseconds()) * (0.75 + (random() / 2));
			await delay(Math.max(0, pause - (clock() - startedAt)), undefined, {signal: this.#stopController.signal}).catch(() => undefined); // eslint-disable-line no-await-in-loop
		}
	}

	get #backoffMilliseconds(): number {
		const maximum = Math.max(maximumBackoffMilliseconds, this.#definition.core.core.membership.others.length * backoffMillisecondsPerMember);
		return Math.min(maximum, basePauseMilliseconds * (2 ** Math.min(8, this.#consecutiveFailures)));
	}

	/** Runs a step; undefined when it throws. Logs the first of several failures in a row, and the success after them. */
	async #attempt<Result>(step: () => Promise<Result>): Promise<Result | undefined> {
		try {
			const result = await step();
			this.#recordSuccess();
			return result;
		} catch (error) {
			this.#recordFailure(error);
			return undefined;
		}
	}

	#recordSuccess(): void {
		if (this.#consecutiveFailures > 0) {
			this.#definition.log.info('the store is available again');
		}

		this.#consecutiveFailures = 0;
	}

	#recordFailure(error: unknown): void {
		if (this.#consecutiveFailures === 0 && !this.#stopController.signal.aborted) {
			this.#definition.log.warn(`the store is unavailable: ${error instanceof Error ? error.message : String(error)}`);
		}

		this.#consecutiveFailures += 1;
	}
}

function ownKey(own: Member): string {
	return `${holdersPrefix}${holderKey(own)}`;
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
		: {type: WriteResultType.Conflict, current: result.current === undefined ? undefined : tryParseRecord(result.current.version, result.current.value)};
}
