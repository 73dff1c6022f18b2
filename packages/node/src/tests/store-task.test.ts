import {
	checkMemberText, formatMember, holderKey, Liveness, UpstreamState, type Member,
} from '@laburnumspool/core';
import {SwapResultType, type KeyedEntry, type Store} from '@laburnumspool/manifest';
import {test} from 'tap';
import {CoreMessageType, CoreTask} from '../core-task.js';
import {defaultDeployment} from '../index.js';
import {StoreTask} from '../store-task.js';
import {createLookManifest, silentLog} from './fixtures.js';

const nodeCount = 24;
const stepMilliseconds = 50;

const createMember = (index: number): Member => ({
	name: `node-${index}`,
	incarnation: 1,
	version: 1,
	location: {region: `r${index % 3}`, failureDomain: `f${index % 6}`},
	host: `10.0.0.${index + 1}`,
	callersPort: 1,
	peersPort: 2,
	controlPort: 3,
	service: 'shop',
	state: UpstreamState.Ready,
	slots: 4,
	liveness: Liveness.Alive,
});

/** A store in memory that counts calls. All nodes share it; a watch ends at once when there is a manifest. */
class StoreStub {
	readonly calls = new Map<string, number>();
	/** Whether every call fails. */
	isDown = false;
	readonly entries = new Map<string, KeyedEntry>();

	count(name: string): void {
		this.calls.set(name, (this.calls.get(name) ?? 0) + 1);
	}

	/** The store; its calls fail while it is down. */
	open(): Store {
		const store = this.#open();
		return Object.fromEntries(Object.entries(store).map(([name, call]) => [name, async (...parameters: never[]) => {
			if (this.isDown && name !== 'close') {
				this.count('failed');
				throw new Error('the store is down');
			}

			return (call as (...values: never[]) => unknown)(...parameters);
		}])) as unknown as Store;
	}

	#open(): Store {
		return {
			get: async key => this.entries.get(key),
			compareAndSwap: async (key, _version, value) => {
				this.count('write');
				this.entries.set(key, {key, version: this.entries.size + 1, value});
				return {type: SwapResultType.Written, version: this.entries.size};
			},
			watch: async key => {
				this.count('watch');
				return this.entries.get(key);
			},
			list: async prefix => {
				this.count('list');
				return [...this.entries.values()].filter(entry => entry.key.startsWith(prefix));
			},
			grantLease: async () => 'lease',
			renewLease: async () => true,
			async revokeLease() {
				// Leases do not lapse here.
			},
			async close() {
				// Nothing is open.
			},
		};
	}
}

type Started = {readonly core: CoreTask; readonly task: StoreTask};

function startTask(store: StoreStub, own: Member, clock: () => number, leaseMilliseconds = 10_000, log = silentLog): Started {
	const core = new CoreTask({
		own,
		wallClock: () => 1000,
		random: () => 0.5,
		newActionId: () => 'a'.repeat(32),
		membershipTimes: {probeIntervalMilliseconds: 1000, suspicionMilliseconds: 3000, exchangeIntervalMilliseconds: 10_000},
		claimLimits: {maximumClaims: 1, maximumAnswerBytes: 1},
		storeOutageLimitMilliseconds: 1000,
		clockErrorMilliseconds: 1,
	}, clock, 0, silentLog);
	const task = new StoreTask({
		core, store: store.open(), log, clock, random: () => 0.5, leaseMilliseconds, manifestKey: 'manifest',
		readManifest: entry => defaultDeployment.toRevision(entry.version, entry.value),
		pullManifest: async () => false,
	});
	task.start();
	return {core, task};
}

/** Lets the periodic steps of the tasks run. */
async function settle(milliseconds: number): Promise<void> {
	const until = performance.now() + milliseconds;
	while (performance.now() < until) {
		await new Promise(resolve => {
			setTimeout(resolve, stepMilliseconds);
		});
	}
}

test('of many nodes that start together, only a few of each region read the manifest from the store', async t => {
	const store = new StoreStub();
	const members = Array.from({length: nodeCount}, (_, index) => createMember(index));
	members.map(member => store.entries.set(`holders/${holderKey(member)}`, {key: `holders/${holderKey(member)}`, version: 1, value: formatMember(member)}));
	store.entries.set('manifest', {key: 'manifest', version: 1, value: createLookManifest(1000)});
	const started = members.map(member => startTask(store, member, () => performance.now()));
	await settle(700);
	const withManifest = started.filter(({core}) => core.core.manifest !== undefined).length;
	t.equal(withManifest, 6, 'two of each of three regions');
	t.equal(store.calls.get('write'), nodeCount);
	await Promise.all(started.map(async ({task}) => task.stop()));
});

test('a node reads the manifest itself when no other node sends one', async t => {
	const store = new StoreStub();
	const others = Array.from({length: nodeCount}, (_, index) => createMember(index));
	others.map(member => store.entries.set(`holders/${holderKey(member)}`, {key: `holders/${holderKey(member)}`, version: 1, value: formatMember(member)}));
	store.entries.set('manifest', {key: 'manifest', version: 1, value: createLookManifest(1000)});
	let ahead = 0;
	const started = others.map(member => startTask(store, member, () => performance.now() + ahead));
	await settle(400);
	t.ok(started.some(({core}) => core.core.manifest === undefined));
	ahead = 2000;
	await settle(700);
	t.ok(started.every(({core}) => core.core.manifest !== undefined));
	await Promise.all(started.map(async ({task}) => task.stop()));
});

// Guards against docs/incidents/review-silent-store.md: a node that is cut off from the others, but not from the store, kept an old manifest active.
test('nodes that receive nothing from each other read a new manifest within 2.5 seconds of its write', async t => {
	const store = new StoreStub();
	const members = Array.from({length: nodeCount}, (_, index) => createMember(index));
	members.map(member => store.entries.set(`holders/${holderKey(member)}`, {key: `holders/${holderKey(member)}`, version: 1, value: formatMember(member)}));
	store.entries.set('manifest', {key: 'manifest', version: 1, value: createLookManifest(1000)});
	const started = members.map(member => startTask(store, member, () => performance.now()));
	started.map(({core}) => core.post({type: CoreMessageType.ManifestArrived, revision: defaultDeployment.toRevision(1, createLookManifest(1000))}));
	await settle(500);
	store.entries.set('manifest', {key: 'manifest', version: 2, value: createLookManifest(2000)});
	await settle(2500);
	t.same([...new Set(started.map(({core}) => core.core.manifest?.number))], [2]);
	await Promise.all(started.map(async ({task}) => task.stop()));
});

test('a node logs an outage of the store once, and its calls back off until the store answers again', async t => {
	const store = new StoreStub();
	store.entries.set('manifest', {key: 'manifest', version: 1, value: createLookManifest(1000)});
	const lines: string[] = [];
	const record = (line: string): void => {
		lines.push(line);
	};

	const {core, task} = startTask(store, createMember(0), () => performance.now(), 600, {...silentLog, warn: record, info: record});
	while (core.core.manifest === undefined) {
		await settle(stepMilliseconds);
	}

	store.isDown = true;
	await settle(6000);
	t.same(lines, ['the store is unavailable: the store is down']);
	const failed = store.calls.get('failed') ?? 0;
	t.ok(failed <= 40, `${failed} calls of four loops in 6 s`);
	store.isDown = false;
	await settle(1500);
	t.same(lines.slice(1), ['the store is available again']);
	await task.stop();
});

test('a node that is alone reads the manifest after its second look for others', async t => {
	const store = new StoreStub();
	store.entries.set('manifest', {key: 'manifest', version: 1, value: createLookManifest(1000)});
	const {core, task} = startTask(store, createMember(0), () => performance.now());
	while (core.core.manifest === undefined) {
		await settle(stepMilliseconds);
	}

	t.ok((store.calls.get('list') ?? 0) >= 2);
	await task.stop();
});

test('a node that refuted a false entry writes its entry again with its new incarnation', async t => {
	const store = new StoreStub();
	const own = createMember(0);
	const {core, task} = startTask(store, own, () => performance.now(), 600);
	await settle(100);
	core.post({type: CoreMessageType.ViewArrived, members: [{...own, incarnation: 5, version: 9}], rumors: []});
	t.equal(core.core.own.incarnation, 6);
	while (!store.entries.has('holders/node-0.6')) {
		await settle(stepMilliseconds);
	}

	t.match(checkMemberText(store.entries.get('holders/node-0.6')!.value), {success: true, value: {name: 'node-0', incarnation: 6}});
	await task.stop();
});

test('the entry of a member is at most half as long as its JSON object, and both are read', async t => {
	const member = createMember(3);
	t.ok(formatMember(member).length < JSON.stringify(member).length / 2);
	t.same([formatMember(member), JSON.stringify(member)].map(text => checkMemberText(text)), [{success: true, value: member}, {success: true, value: member}]);
});
