import {test} from 'tap';
import {
	formatIssue, safeParseManifest, safeReadManifest, type Manifest,
} from '../index.js';

const route = {
	host: 'shop.example', prefix: '/', semantics: 'idempotent', service: 'catalogue',
};
const createDocument = (organisations: unknown, changes: object = {}): object => ({
	version: 7, routes: {all: {...route, ...changes}}, services: {catalogue: {}}, organisations,
});

function read(document: object): {manifest: Manifest; issues: string[]} {
	const result = safeReadManifest(document);
	if (!result.success) {
		throw new Error(JSON.stringify(result.issues));
	}

	return {manifest: result.manifest, issues: result.issues.map(issue => formatIssue(issue))};
}

function checkIssues(document: object): string[] {
	const result = safeParseManifest(document);
	return result.success ? [] : result.issues.map(issue => formatIssue(issue));
}

const organisation = {
	keys: ['k1', 'k2'], rank: 1, requestsPerSecond: 244, burst: 250,
};

test('organisations are read with their keys, rank and quota, and routes with whether they are public', async t => {
	const document = createDocument({pulo780: organisation, other: {keys: ['k3']}}, {public: true});
	const {manifest, issues} = read(document);
	t.same(manifest.organisations, [
		{name: 'pulo780', ...organisation},
		{
			name: 'other', keys: ['k3'], rank: undefined, requestsPerSecond: 0, burst: 0,
		},
	]);
	t.same([manifest.routes?.map(({isPublic}) => isPublic), issues, checkIssues(document)], [[true], [], []]);
	t.same(read(createDocument({}, {})).manifest.routes?.map(({isPublic}) => isPublic), [false]);
});

/** Guards against authentication in a deployment that declares no organisation. */
test('a manifest with no organisation at all has none', async t => {
	t.same([undefined, null, {}].map(value => read(createDocument(value)).manifest.organisations), [undefined, undefined, undefined]);
	t.same([undefined, null, {}].map(value => checkIssues(createDocument(value))), [[], [], []]);
});

const invalidOrganisations: Readonly<Record<string, unknown>> = {
	'no keys': {rank: 1},
	'keys of the wrong type': {keys: 'secret'},
	'a key that is a number': {keys: ['k1', 4711]},
	'an empty key': {keys: ['']},
	'a key with a comma': {keys: ['secret,secret']},
	'a key with a space': {keys: ['secret secret']},
	'a negative rank': {keys: ['k1'], rank: -1},
	'a fractional rank': {keys: ['k1'], rank: 0.5},
	'a negative rate': {keys: ['k1'], requestsPerSecond: -1},
	'an infinite burst': {keys: ['k1'], burst: Infinity},
	'a text': 'secret',
	nothing: null,
};

for (const [name, invalid] of Object.entries(invalidOrganisations)) {
	test(`an invalid organisation is left out alone, and no message contains its keys: ${name}`, async t => {
		const document = createDocument({invalid, valid: organisation});
		const {manifest, issues} = read(document);
		t.same(manifest.organisations?.map(entry => entry.name), ['valid']);
		t.match(issues, [/^organisations\.invalid/u]);
		t.match(checkIssues(document), [/^organisations\.invalid/u]);
		t.notMatch([...issues, ...checkIssues(document)].join(' '), /secret|4711/u);
	});
}

/** Guards against routes that open to callers without a key because no organisation could be read. */
test('organisations that are no map, or all invalid, leave an empty list', async t => {
	const values = ['secret', ['secret'], 7, {a: 'secret'}];
	t.same(values.map(value => read(createDocument(value)).manifest.organisations), [[], [], [], []]);
	t.same(values.map(value => checkIssues(createDocument(value)).length > 0), [true, true, true, true]);
	t.notMatch(values.flatMap(value => [...checkIssues(createDocument(value)), ...read(createDocument(value)).issues]).join(' '), /secret/u);
});

test('of two organisations with the same key the later one is left out, and the operators\' check rejects the document', async t => {
	const document = createDocument({a: {keys: ['k1', 'k2']}, b: {keys: ['k3', 'k2']}, c: {keys: ['k3']}});
	const {manifest, issues} = read(document);
	t.same(manifest.organisations?.map(({name}) => name), ['a', 'c'], 'a key that only an omitted organisation had is free');
	t.same(issues, ['organisations.b.keys.1: The key belongs to organisation a as well']);
	t.same(checkIssues(document), issues);
});

/** Guards against names that the record schema drops, and names that are no header value. */
test('an organisation whose name cannot be used is left out with an issue', async t => {
	const document = createDocument(JSON.parse('{"__proto__":{"keys":["k1"]},"two words":{"keys":["k2"]},"":{"keys":["k3"]},"constructor":{"keys":["k4"]}}'));
	t.same(read(document).manifest.organisations?.map(({name}) => name), ['__proto__', 'constructor']);
	t.match(read(document).issues, [/^organisations\.two words: Expected a name/u, /^organisations\.: Expected a name/u]);
	t.match(checkIssues(document).join(' '), /organisations\.two words: Expected a name/u);
});
