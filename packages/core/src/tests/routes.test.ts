import {test} from 'tap';
import {
	Importance, RouteTable, safeParseManifest, Semantics, SplitSelector, type Manifest,
} from '../index.js';
import {importanceOf} from '../node/request-importance.js';

const document = {
	version: 7,
	routes: {
		all: {
			host: 'shop.example', prefix: '/', semantics: 'idempotent', rank: 9, service: 'catalogue',
		},
		designs: {
			host: 'shop.example', prefix: '/designs/', semantics: 'idempotent', waitMilliseconds: 800, objectiveMilliseconds: 1500, rank: 2, attempts: 2, service: 'catalogue', later: true,
		},
		orders: {
			host: 'shop.example', prefix: '/designs/orders/', semantics: 'at-most-once', rank: 0, split: [{service: 'orders', weight: 75}, {service: 'catalogue', weight: 25}],
		},
	},
	services: {catalogue: {healthPath: '/health'}, orders: {}},
	limits: {idleMilliseconds: 15_000},
};

function parse(changes: Record<string, unknown> = {}): Manifest {
	const result = safeParseManifest({...document, ...changes});
	if (!result.success) {
		throw new Error(JSON.stringify(result.issues));
	}

	return result.manifest;
}

test('a request matches the route of its host with the longest prefix', async t => {
	const table = new RouteTable(parse().routes ?? []);
	t.equal(table.findRoute('shop.example', '/designs/orders/4?a=/x/')?.name, 'orders');
	t.equal(table.findRoute('SHOP.example:8080', '/designs/4')?.name, 'designs');
	t.equal(table.findRoute('shop.example', '/designs')?.name, 'all');
	t.equal(table.findRoute('other.example', '/designs/4'), undefined);
});

test('the policy of a route has the declared limits, and the importance of its rank', async t => {
	const [all, designs, orders] = parse().routes ?? [];
	t.match(designs?.policy, {
		kind: 'designs', importance: Importance.Normal, semantics: Semantics.Idempotent, waitMilliseconds: 800, objectiveMilliseconds: 1500, attempts: 2,
	});
	t.equal(all?.policy.importance, Importance.Low);
	t.equal(orders?.policy.importance, Importance.Critical);
});

// Guards against the refusal of important bodies for the sake of less important ones.
test('the importance of a request follows from its route or kind, and is normal without one', async t => {
	const routed = parse();
	const table = new RouteTable(routed.routes ?? []);
	const target = {
		method: 'PUT', host: 'shop.example', service: '', target: '/designs/orders/4',
	};
	t.equal(importanceOf(target, routed, table), Importance.Critical);
	t.equal(importanceOf({...target, host: 'other.example'}, routed, table), Importance.Normal);
	const requests = [{
		kind: 'pay', methods: ['POST'], path: '/pay*', importance: Importance.Critical, semantics: Semantics.Idempotent, waitMilliseconds: 100,
	}];
	const kinds = safeParseManifest({name: 'shop', retriesPerAction: 0, services: {deposits: {requests}}});
	const manifest = kinds.success ? kinds.manifest : undefined;
	const pay = {
		method: 'POST', host: '', service: 'deposits', target: '/pay/4',
	};
	t.equal(importanceOf(pay, manifest, undefined), Importance.Critical);
	t.same([{...pay, method: 'GET'}, {...pay, service: 'other'}].map(other => importanceOf(other, manifest, undefined)), [Importance.Normal, Importance.Normal]);
	t.equal(importanceOf(pay, undefined, undefined), Importance.Normal, 'without a manifest');
});

test('the services of a split are selected in proportion to their weights within each cycle', async t => {
	const route = new RouteTable(parse().routes ?? []).findRoute('shop.example', '/designs/orders/1')!;
	const selector = new SplitSelector();
	const selected = Array.from({length: 40}, () => selector.select(route));
	t.equal(selected.filter(service => service === 'orders').length, 30);
	t.equal(selected.slice(0, 4).filter(service => service === 'orders').length, 3);
});

test('invalid routes are rejected, and unknown fields are ignored', async t => {
	const invalidChanges = [
		{routes: {a: {...document.routes.all, service: 'nothing'}}},
		{routes: {a: {...document.routes.all, service: undefined}}},
		{routes: {a: {...document.routes.all, semantics: 'perhaps'}}},
		{routes: {a: {...document.routes.all, waitMilliseconds: -1}}},
		{routes: {a: {...document.routes.all, prefix: '/designs'}}},
		{routes: {a: {...document.routes.all, split: [{service: 'orders', weight: 0}]}}},
		{services: undefined},
	];
	t.same(invalidChanges.map(changes => safeParseManifest({...document, ...changes}).success), invalidChanges.map(() => false));
	t.equal(parse().version, 7);
	t.same(parse().limits, {idleMilliseconds: 15_000});
});
