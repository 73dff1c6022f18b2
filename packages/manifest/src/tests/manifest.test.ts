import {readFileSync} from 'node:fs';
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';
import {test} from 'tap';
import {
	parseManifest, parseShipped, ship, ShipResultType, SwapResultType, type Shipment, type Store, type StoreEntry,
} from '../index.js';

const example = (name: string): string => readFileSync(new URL(`../../../../examples/${name}`, import.meta.url), 'utf8');
const document = example('burrowline.yaml');

/** A store in memory; the faults are used up one after another by its writes. */
function fakeStore(faults: Array<'lose-confirmation' | 'no-answer'> = []): Store & {entry: StoreEntry | undefined} {
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

const shipment = (changes: Partial<Shipment> = {}): Shipment => ({
	document, file: 'burrowline.yaml', base: undefined, nonce: 'n-1', tries: 3, pause: async () => undefined, ...changes,
});

test('the manifests of both users are valid', async t => {
	t.equal(parseManifest(example('burrowline.yaml'), 'burrowline.yaml').name, 'burrowline');
	t.equal(parseManifest(example('burdekin.yaml'), 'burdekin.yaml').name, 'burdekin');
});

test('a mistake is named by file, line, column and path', async t => {
	const wrong = document.replace('importance: critical', 'importance: enormous');
	const line = wrong.split('\n').findIndex(text => text.includes('enormous')) + 1;
	t.throws(() => parseManifest(wrong, 'wrong.yaml'), {kind: ErrorKind.InvalidManifest, message: new RegExp(String.raw`^wrong\.yaml:${line}:\d+: services\.deposits\.requests\.0\.importance: `, 'u')});
});

test('text that is not YAML is named by its line', async t => {
	t.throws(() => parseManifest('name: [', 'broken.yaml'), {kind: ErrorKind.InvalidManifest, message: /^broken\.yaml:1:\d+: /u});
});

test('an idempotent kind may not repeat at-most-once work below it', async t => {
	const wrong = document.replace('        waitMilliseconds: 800\n', '        waitMilliseconds: 800\n        calls: [{service: deposits, kind: pay}]\n');
	t.throws(() => parseManifest(wrong, 'wrong.yaml'), {message: /derivedKey/u});
	t.doesNotThrow(() => parseManifest(wrong.replace('kind: pay}', 'kind: pay, derivedKey: true}'), 'right.yaml'));
});

test('a call of a kind that does not exist is refused', async t => {
	t.throws(() => parseManifest(document.replace('kind: lookup}', 'kind: nothing}'), 'wrong.yaml'), {message: /no request kind nothing/u});
});

test('a manifest that the check refuses changes nothing', async t => {
	const store = fakeStore();
	await t.rejects(ship(store, shipment({document: 'name: x'})), {kind: ErrorKind.InvalidManifest, name: 'LaburnumspoolError'});
	t.equal(store.entry, undefined);
});

test('of two operators on one base one is accepted, and the other is told of the conflict', async t => {
	const store = fakeStore();
	const first = await ship(store, shipment({base: 0}));
	const second = await ship(store, shipment({base: 0, nonce: 'n-2'}));
	t.same([first, second], [{type: ShipResultType.Accepted, revision: 1}, {type: ShipResultType.Conflict, revision: 1}]);
});

test('a lost confirmation is settled by the store\'s next answer', async t => {
	const store = fakeStore(['lose-confirmation']);
	t.same(await ship(store, shipment()), {type: ShipResultType.Accepted, revision: 1});
	t.equal(parseShipped(store.entry!).nonce, 'n-1');
});

test('without an answer nothing is claimed', async t => {
	const store = fakeStore(['no-answer', 'no-answer', 'no-answer']);
	t.same(await ship(store, shipment()), {type: ShipResultType.Unknown});
});
