import {setTimeout as wait} from 'node:timers/promises';
import {
	holderKey, Liveness, NodeEffectType, UpstreamState, type Member,
} from '@laburnumspool/core';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {StoreServer} from '@laburnumspool/standin-store';
import {test, type Test} from 'tap';
import {CoreMessageType, CoreTask} from '../core-task.js';
import {
	checkSettings, defaultDeployment, startDaemon, type Daemon, type Logger,
} from '../index.js';
import {createLookManifest, doNothing, silentLog} from './fixtures.js';

const pollMilliseconds = 20;
const observationMilliseconds = 1000;

type Ports = {readonly callers: number; readonly peers: number; readonly control: number};
type Node = {readonly daemon: Daemon; readonly lines: string[]};

const sortTexts = (texts: readonly string[]): string[] => texts.toSorted((left, right) => left.localeCompare(right));

async function findPorts(): Promise<Ports> {
	const [callers, peers, control] = await findFreePorts(3);
	return {callers: callers!, peers: peers!, control: control!};
}

async function startNode(t: Test, name: string, ports: Ports, storePort: number): Promise<Node> {
	const lines: string[] = [];
	const record = (message: string): void => {
		lines.push(message);
	};

	const log: Logger = {
		error: record, warn: record, info: doNothing, debug: doNothing,
	};
	const daemon = await startDaemon(checkSettings({
		name, region: 'r', failureDomain: 'f', host: '127.0.0.1', ports, store: {url: `http://127.0.0.1:${storePort}`}, stopSeconds: 1,
	}), () => log);
	t.teardown(async () => daemon.stop());
	daemon.core.post({type: CoreMessageType.ManifestArrived, revision: defaultDeployment.toRevision(1, createLookManifest(1000))});
	return {daemon, lines};
}

const createEntry = (name: string, {callers, peers, control}: Ports, changes: Record<string, unknown> = {}): Record<string, unknown> => ({
	name,
	incarnation: Date.now() - 1000,
	version: 1,
	location: {region: 'r', failureDomain: 'f'},
	host: '127.0.0.1',
	callersPort: callers,
	peersPort: peers,
	controlPort: control,
	service: 'shop',
	state: UpstreamState.Ready,
	slots: 4,
	liveness: Liveness.Alive,
	...changes,
});

test('two nodes see each other and report no failure while the store has invalid and false entries', async t => {
	const store = new StoreServer();
	await store.listen(0, '127.0.0.1');
	t.teardown(async () => store.close());
	const ports = {a: await findPorts(), b: await findPorts()};
	const entries: Readonly<Record<string, unknown>> = {
		'holders/zero-ports': createEntry('zero-ports', ports.b, {peersPort: 0, controlPort: 0}),
		'holders/copy': createEntry('b', ports.b, {incarnation: 1.7e308, version: 1.7e308, host: '127.0.0.9'}),
		'holders/other-key': createEntry('b', ports.b, {host: '127.0.0.9'}),
		'holders/later-state': createEntry('c', ports.b, {state: 'hibernating'}),
		'holders/long': createEntry('c', ports.b, {name: 'c'.repeat(5000)}),
		'holders/number': 7,
	};
	Object.entries(entries).map(([key, value]) => store.state.compareAndSwap(key, 0, JSON.stringify(value), undefined, 0));
	store.state.compareAndSwap('holders/no-json', 0, '\u0000{', undefined, 0);

	const nodes = [await startNode(t, 'a', ports.a, store.port), await startNode(t, 'b', ports.b, store.port)];
	const namesSeenBy = ({daemon}: Node): string[] => daemon.core.core.membership.others.map(({name, controlPort}) => `${name}:${controlPort}`);
	const haveMet = (): boolean => namesSeenBy(nodes[0]!).includes(`b:${ports.b.control}`) && namesSeenBy(nodes[1]!).includes(`a:${ports.a.control}`);
	while (!haveMet()) {
		await wait(pollMilliseconds);
	}

	await wait(observationMilliseconds);
	t.same(nodes.map(node => namesSeenBy(node)), [[`b:${ports.b.control}`], [`a:${ports.a.control}`]]);
	for (const {daemon, lines} of nodes) {
		t.equal(daemon.core.failedEffects, 0);
		t.equal(daemon.core.core.notReadyReason, undefined);
		t.same(lines.filter(line => line.includes('failed')), []);
		const ignoredKeys = lines.map(line => /^ignored (holders\/[\w-]+): /u.exec(line)?.[1] ?? '');
		t.same(sortTexts(ignoredKeys), sortTexts([...Object.keys(entries), 'holders/no-json']), 'one line for each entry');
	}
});

test('the answer to a caller is sent although an earlier effect of the same message fails', async t => {
	const lines: string[] = [];
	const own: Member = {
		...createEntry('a', {callers: 1, peers: 2, control: 3}), service: '', state: UpstreamState.Starting,
	} as unknown as Member;
	const core = new CoreTask({
		own,
		wallClock: () => Date.now(),
		random: () => 0.5,
		newActionId: () => 'a'.repeat(32),
		membershipTimes: {probeIntervalMilliseconds: 1000, suspicionMilliseconds: 3000, exchangeIntervalMilliseconds: 10_000},
		claimLimits: {maximumClaims: 1, maximumAnswerBytes: 1},
		storeOutageLimitMilliseconds: 1000,
		clockErrorMilliseconds: 1,
	}, () => 0, 0, {...silentLog, error: line => lines.push(line)});
	const answered: number[] = [];
	core.handle({
		[NodeEffectType.Event]() {
			throw new RangeError('the port is invalid');
		},
		[NodeEffectType.AnswerCaller]({entryId}) {
			answered.push(entryId);
		},
	});
	core.post({type: CoreMessageType.ManifestArrived, revision: defaultDeployment.toRevision(1, createLookManifest(1000))});
	const failedBefore = core.failedEffects;
	core.post({
		type: CoreMessageType.CallerRequested, request: {
			entryId: 7, service: 'shop', request: {
				method: 'GET', target: '/items/1', headers: [], body: new Uint8Array(), digest: '',
			}, key: undefined, timeoutMilliseconds: undefined, traceparent: undefined, tracestate: undefined,
		},
	});
	t.same(answered, [7]);
	t.ok(core.failedEffects > failedBefore);
	t.match(lines.at(-1), /^carrying out an effect of type event failed: RangeError: the port is invalid/u);
	t.equal(holderKey(own), `a.${own.incarnation}`);
});
