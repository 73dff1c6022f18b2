import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {
	Importance, priorityOf, RetryQuota, safeParseManifest, Semantics, type Manifest,
} from '../index.js';
import {toEntryRequest, type RequestContext} from '../node/caller-requests.js';

const {manifest} = safeParseManifest({
	name: 'shop',
	retriesPerAction: 1,
	services: {
		orders: {
			requests: [{
				kind: 'order', methods: ['POST'], path: '/orders', importance: 'high', semantics: 'at-most-once', waitMilliseconds: 1000, calls: [{service: 'deposits', kind: 'pay', derivedKey: true}],
			}],
		},
		deposits: {
			requests: [{
				kind: 'pay', methods: ['POST'], path: '/pay', importance: 'critical', semantics: 'at-most-once', waitMilliseconds: 1000,
			}],
		},
	},
}) as {manifest: Manifest};

const parent = {
	frame: {
		service: 'orders', kind: 'order', action: {actionId: 'a'.repeat(32), vendorTraceState: []}, importance: Importance.High, priority: priorityOf(Importance.High, 1),
	},
	work: {deadline: 1000},
	retryQuota: new RetryQuota(1),
};

function resolve(body: string): {key: string | undefined; digest: string} {
	const result = toEntryRequest({
		entryId: 1, service: 'deposits', request: {
			method: 'POST', target: '/pay', headers: [], body: Buffer.from(body), digest: '',
		}, key: undefined, timeoutMilliseconds: undefined, traceparent: undefined, tracestate: undefined,
	}, {
		manifest, parentOf: () => parent, parentOfRequest: () => undefined, newActionId: () => 'b'.repeat(32),
	} as unknown as RequestContext, 0);
	if (!result.success) {
		throw new Error(result.error.detail);
	}

	const {key, request, policy} = result.entryRequest;
	return policy.semantics === Semantics.AtMostOnce ? {key, digest: request.digest} : {key: undefined, digest: ''};
}

test('two nested calls with the same derived key and other bodies have different digests', async t => {
	const [first, second, again] = [resolve('{"amount":5}'), resolve('{"amount":6}'), resolve('{"amount":5}')];
	t.match(first.key, /^[\da-f]{64}$/u);
	t.equal(first.key, second.key);
	t.match(first.digest, /^[\da-f]{64}$/u);
	t.not(first.digest, second.digest);
	t.same(first, again);
});
