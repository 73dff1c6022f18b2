import {test} from 'tap';
import {
	describeIssues, formatIssue, isIdempotent, RouteTable, safeParseManifest, safeReadManifest, Semantics, type Manifest, type Route,
} from '../index.js';

const route = {
	host: 'shop.example', prefix: '/', semantics: 'idempotent', service: 'catalogue',
};

const createDocument = (routes: Record<string, unknown>, changes: Record<string, unknown> = {}): object => ({
	version: 7, routes, services: {catalogue: {}}, limits: {idleMilliseconds: 15_000}, ...changes,
});

function read(document: object): {manifest: Manifest; issues: string[]} {
	const result = safeReadManifest(document);
	if (!result.success) {
		throw new Error(JSON.stringify(result.issues));
	}

	return {manifest: result.manifest, issues: result.issues.map(issue => formatIssue(issue))};
}

const namesOf = (routes: readonly Route[] | undefined): string[] => (routes ?? []).map(({name}) => name);

test('downloads are part of both forms of the manifest and may be sent more than once', async t => {
	const {manifest, issues} = read(createDocument({slips: {...route, semantics: 'download'}}));
	t.equal(manifest.routes?.[0]?.policy.semantics, Semantics.Download);
	t.same(issues, []);
	t.ok(safeParseManifest(createDocument({slips: {...route, semantics: 'download'}})).success);
	t.ok(safeParseManifest({
		name: 'shop', retriesPerAction: 1, services: {
			slips: {
				requests: [{
					kind: 'slip', methods: ['GET'], path: '/slips/*', importance: 'normal', semantics: 'download', waitMilliseconds: 1000,
				}],
			},
		},
	}).success);
	t.same(Object.values(Semantics).map(semantics => [semantics, isIdempotent(semantics)]), [['idempotent', true], ['download', true], ['at-most-once', false], ['upload', false]]);
});

/** Guards against issues for the routes of uploads, and against retries of uploads. */
test('uploads are part of the manifest and run at most once', async t => {
	const {manifest, issues} = read(createDocument({photos: {...route, semantics: 'upload'}}));
	t.same([manifest.routes?.map(({policy}) => policy.semantics), issues], [[Semantics.Upload], []]);
	t.ok(safeParseManifest(createDocument({photos: {...route, semantics: 'upload'}})).success);
});

test('requests of a route with unknown semantics run at most once, and the other routes are unaffected', async t => {
	const {manifest, issues} = read(createDocument({a: route, b: {...route, prefix: '/b/', semantics: 'later-kind'}}));
	t.same(manifest.routes?.map(({policy}) => policy.semantics), [Semantics.Idempotent, Semantics.AtMostOnce]);
	t.same(issues, ['routes.b.semantics: Unknown value "later-kind"; the requests run at most once']);
});

const invalidRoutes: Readonly<Record<string, unknown>> = {
	'a wait of the wrong type': {...route, prefix: '/b/', waitMilliseconds: 'soon'},
	'a service that is not declared': {...route, prefix: '/b/', service: 'nothing'},
	'no service': {...route, prefix: '/b/', service: undefined},
	'an empty split': {...route, prefix: '/b/', split: []},
	'semantics of the wrong type': {...route, prefix: '/b/', semantics: 7},
};

for (const [name, invalidRoute] of Object.entries(invalidRoutes)) {
	test(`a route with an invalid field is left out alone, and its requests match no shorter prefix: ${name}`, async t => {
		const {manifest, issues} = read(createDocument({a: route, b: invalidRoute}));
		t.same(namesOf(manifest.routes), ['a']);
		t.match(manifest.invalidRoutes, [{
			name: 'b', host: 'shop.example', prefix: '/b/', detail: /^routes\.b/u,
		}]);
		t.match(issues, [/^routes\.b/u]);
		const table = new RouteTable([...manifest.routes ?? [], ...manifest.invalidRoutes ?? []]);
		t.equal(table.findRoute('shop.example', '/b/1')?.name, 'b');
		t.equal(table.findRoute('shop.example', '/c/1')?.name, 'a');
		t.notOk(safeParseManifest(createDocument({a: route, b: invalidRoute})).success, 'the operators\' check rejects the document');
	});
}

test('a route without a valid host and prefix, a limit and a service of the wrong type are left out alone', async t => {
	const {manifest, issues} = read(createDocument(
		{a: route, b: {...route, prefix: 'b/'}, c: 'route'},
		{services: {catalogue: {healthPath: 4}}, limits: {idleMilliseconds: 'long', bodyBytes: 10}},
	));
	t.same([namesOf(manifest.routes), manifest.invalidRoutes, manifest.limits], [['a'], [], {bodyBytes: 10}]);
	t.same(issues.map(text => text.split(':')[0]!).toSorted((left, right) => left.localeCompare(right)), ['limits.idleMilliseconds', 'routes.b.prefix', 'routes.c', 'services.catalogue.healthPath']);
});

test('a document without routes or services, or with an invalid version, is rejected', async t => {
	const documents = [createDocument({}, {services: undefined}), createDocument({}, {version: 'r7'}), createDocument({}, {version: 1.5}), {routes: 3, services: {}, version: 1}];
	t.same(documents.map(document => safeReadManifest(document).success), [false, false, false, false]);
});

test('the event for a revision names the invalid parts, at most 8 of them', async t => {
	const names = Array.from({length: 10}, (_, index) => `r${index}`);
	const result = safeReadManifest(createDocument(Object.fromEntries(names.map(name => [name, {...route, semantics: 'x'}]))));
	const {cause} = describeIssues({
		number: 7, document: '', manifest: result.success ? result.manifest : undefined!, issues: result.issues,
	});
	t.match(cause, /^invalid parts are left out: routes\.r0\.semantics: .*; routes\.r7\.semantics: [^;]*; [^;]*; and 2 more$/u);
});
