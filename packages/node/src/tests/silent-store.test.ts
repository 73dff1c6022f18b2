import {setTimeout as wait} from 'node:timers/promises';
import {defaultManifestKey, digestOf, type ShippedManifest} from '@laburnumspool/manifest';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {StoreServer} from '@laburnumspool/standin-store';
import {test, type Test} from 'tap';
import {checkSettings, startDaemon, type Daemon} from '../index.js';
import {createLookManifest, silentLog} from './fixtures.js';

/** Time within which an accepted manifest has to be active at every node that reaches the store. */
const applyMilliseconds = 2500;
const pollMilliseconds = 20;

function writeManifest(store: StoreServer, waitMilliseconds: number): number {
	const base = store.state.read(defaultManifestKey, Date.now())?.version ?? 0;
	const document = createLookManifest(waitMilliseconds);
	const shipped: ShippedManifest = {
		base, nonce: String(waitMilliseconds), digest: digestOf(document), document,
	};
	store.state.compareAndSwap(defaultManifestKey, base, JSON.stringify(shipped), undefined, Date.now());
	return store.state.read(defaultManifestKey, Date.now())!.version;
}

async function startNode(t: Test, name: string, storePort: number): Promise<Daemon> {
	const [callers, peers, control] = await findFreePorts(3);
	const daemon = await startDaemon(checkSettings({
		name, region: 'r', failureDomain: 'f', host: '127.0.0.1', ports: {callers, peers, control}, store: {url: `http://127.0.0.1:${storePort}`}, stopSeconds: 1, controlCalls: false,
	}), () => silentLog);
	t.teardown(async () => daemon.stop());
	await daemon.whenReady();
	return daemon;
}

// Guards against docs/incidents/review-silent-store.md: a watch that waited on a silent connection kept an old manifest active for 20 s.
for (const [silentAfterMilliseconds, changeAfterMilliseconds] of [[0, 0], [300, 0], [700, 400], [400, 3000]] as const) {
	test(`a manifest written ${changeAfterMilliseconds} ms after the connections to the store went silent is active at all nodes within ${applyMilliseconds} ms`, async t => {
		const store = new StoreServer();
		await store.listen(0, '127.0.0.1');
		t.teardown(async () => store.close());
		writeManifest(store, 1000);
		const nodes = await Promise.all(['a', 'b', 'c'].map(async name => startNode(t, name, store.port)));
		await wait(silentAfterMilliseconds);
		store.silenceConnections();
		await wait(changeAfterMilliseconds);
		const revision = writeManifest(store, 2000);
		const until = performance.now() + applyMilliseconds;
		const revisions = (): number[] => nodes.map(({core}) => core.core.manifest?.number ?? 0);
		while (performance.now() < until && revisions().some(number => number !== revision)) {
			await wait(pollMilliseconds);
		}

		t.same(revisions(), [revision, revision, revision]);
	});
}
