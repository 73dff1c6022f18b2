import {readFileSync} from 'node:fs';
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';
import {test} from 'tap';
import {
	parseManifest, parseShippedManifest, ship, ShipResultType, SwapResultType, type ShipRequest, type Store, type StoreEntry,
} from '../index.js';

const readExample = (name: string): string => readFileSync(new URL(`../../../../examples/${name}`, import.meta.url), 'utf8');
const document = readExample('burrowline.yaml');

/** A store in memory. Each write takes the next fault from the list. */
function createFakeStore(faults: Array<'lose-confirmation' | 'no-answer'> = []): Store & {entry: StoreEntry | undefined} {
	const fail = (): never => {
		throw new LaburnumspoolError(ErrorKind.StoreUnavailable, 'no answer');
	};

	const store = {
		entry: undefined as StoreEntry | undefined,
		get: async () => store.entry,
		async compareAndSwap(_key: string, expectedVersion: number, value: string) {
			const fault = faults.shift();
			if (fault === 'no-answer') {
				return fail();
			}

			if ((store.entry?.version ?? 0) !== expectedVersion) {
				return {type: SwapResultType.Conflict as const, current: store.entry};
			}

			store.entry = {version: expectedVersion + 1, value};
			return fault === 'lose-confirmation' ? fail() : {type: SwapResultType.Written as const, version: expectedVersion + 1};
		},
		watch: async () => undefined,
		list: async () => [],
		grantLease: async () => 'lease',
		renewLease: async () => true,
		revokeLease: async () => undefined,
		close: async () => undefined,
	};
	return store;
}

const createShipRequest = (changes: Partial<ShipRequest> = {}): ShipRequest => ({
	document, file: 'burrowline.yaml', base: undefined, nonce: 'n-1', maximumAttempts: 3, waitBeforeRetry: async () => undefined, ...changes,
});

test('both example manifests are valid', async t => {
	t.equal(parseManifest(readExample('burrowline.yaml'), 'burrowline.yaml').name, 'burrowline');
	t.equal(parseManifest(readExample('burdekin.yaml'), 'burdekin.yaml').name, 'burdekin');
});

test('the error for an invalid value states file, line, column and path', async t => {
	const wrong = document.replace('importance: critical', 'importance: enormous');
	const line = wrong.split('\n').findIndex(text => text.includes('enormous')) + 1;
	const message = new RegExp(String.raw`^wrong\.yaml:${line}:\d+: services\.deposits\.requests\.0\.importance: `, 'u');
	t.throws(() => parseManifest(wrong, 'wrong.yaml'), {kind: ErrorKind.InvalidManifest, message});
});

test('the example with organisations is valid, and an error in one states its place without its keys', async t => {
	const text = readExample('organisations.yaml');
	t.same(parseManifest(text, 'organisations.yaml').organisations?.map(({name}) => name), ['lakeside-market', 'corner-shop', 'own-staff']);
	const changes: ReadonlyArray<readonly [before: string, after: string, path: string]> = [
		['[example-1b77e0c9aa]', '[example-1b77e0c9aa, "example 2"]', 'corner-shop.keys.1'],
		['[example-1b77e0c9aa]', '[example-1b77e0c9aa, example-d94a6637c1]', 'corner-shop.keys.1'],
		['burst: 20', 'burst: much', 'corner-shop.burst'],
		['rank: 1\n', 'rank: 0.5\n', 'lakeside-market.rank'],
		['keys: [example-60f25be318]', 'keys: example-60f25be318', 'own-staff.keys'],
	];
	changes.map(([before, after, path]) => {
		const wrong = text.replace(before, after);
		const line = wrong.split('\n').findIndex(wrongLine => wrongLine.includes(after.trimEnd())) + 1;
		const message = new RegExp(String.raw`^wrong\.yaml:${line}:\d+: organisations\.${path}: (?!.*example)[^\n]*$`, 'u');
		return t.throws(() => parseManifest(wrong, 'wrong.yaml'), {kind: ErrorKind.InvalidManifest, message});
	});
});

test('a manifest with organisations is shipped as it was written', async t => {
	const store = createFakeStore();
	const text = readExample('organisations.yaml');
	t.same(await ship(store, createShipRequest({document: text})), {type: ShipResultType.Accepted, revision: 1});
	t.equal(parseShippedManifest(store.entry!).document, text);
});

test('the error for text that is not YAML states file, line and column', async t => {
	t.throws(() => parseManifest('name: [', 'broken.yaml'), {kind: ErrorKind.InvalidManifest, message: /^broken\.yaml:1:\d+: /u});
});

test('a manifest is invalid if an idempotent kind calls an at-most-once kind without a derived key', async t => {
	const wrong = document.replace('        waitMilliseconds: 800\n', '        waitMilliseconds: 800\n        calls: [{service: deposits, kind: pay}]\n');
	t.throws(() => parseManifest(wrong, 'wrong.yaml'), {message: /derivedKey/u});
	t.doesNotThrow(() => parseManifest(wrong.replace('kind: pay}', 'kind: pay, derivedKey: true}'), 'right.yaml'));
});

test('a manifest is invalid if it declares a call of an unknown request kind', async t => {
	t.throws(() => parseManifest(document.replace('kind: lookup}', 'kind: nothing}'), 'wrong.yaml'), {message: /no request kind nothing/u});
});

test('shipping an invalid manifest is rejected and leaves the store unchanged', async t => {
	const store = createFakeStore();
	await t.rejects(ship(store, createShipRequest({document: 'name: x'})), {kind: ErrorKind.InvalidManifest, name: 'LaburnumspoolError'});
	t.equal(store.entry, undefined);
});

test('of two shipments with the same base the first is accepted and the second is a conflict', async t => {
	const store = createFakeStore();
	const first = await ship(store, createShipRequest({base: 0}));
	const second = await ship(store, createShipRequest({base: 0, nonce: 'n-2'}));
	t.same([first, second], [{type: ShipResultType.Accepted, revision: 1}, {type: ShipResultType.Conflict, revision: 1}]);
});

test('a shipment is accepted although the confirmation of its write is lost', async t => {
	const store = createFakeStore(['lose-confirmation']);
	t.same(await ship(store, createShipRequest()), {type: ShipResultType.Accepted, revision: 1});
	t.equal(parseShippedManifest(store.entry!).nonce, 'n-1');
});

test('the result of a shipment is unknown if the store never answers', async t => {
	const store = createFakeStore(['no-answer', 'no-answer', 'no-answer']);
	t.same(await ship(store, createShipRequest()), {type: ShipResultType.Unknown});
});
