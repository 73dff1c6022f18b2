import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {
	allAdmissionMechanisms, AnnouncedState, CountedRequests, ErrorKind, EventType, Importance, NodeCore, NodeEffectType, Outcome, priorityOf, safeReadManifest, Semantics, SendFailure, statusOf,
	type CallerRequest, type CallFrame, type NodeDefinition, type NodeEffect, type QuotaGate, type Revision,
} from '../index.js';
import {createMember} from './fixtures.js';

const organisationHeader = 'x-organisation';
const definition: NodeDefinition = {
	own: createMember('p'),
	wallClock: () => 0,
	random: () => 0.5,
	newActionId: () => '0'.repeat(30) + 'ff',
	membershipTimes: {probeIntervalMilliseconds: 1000, suspicionMilliseconds: 3000, exchangeIntervalMilliseconds: 10_000},
	claimLimits: {maximumClaims: 10, maximumAnswerBytes: 1000},
	storeOutageLimitMilliseconds: 1000,
	clockErrorMilliseconds: 0,
	// The adaptive limit starts below the number of slots.
	admissionMechanisms: {...allAdmissionMechanisms, adaptiveLimit: false},
	organisationHeader,
};

const route = {host: 'h', semantics: 'idempotent', service: 's'};
const organisations = {
	acme: {keys: ['a1', 'a2'], rank: 1}, plain: {keys: ['p1']}, least: {keys: ['l1'], rank: 9},
};

function createRevision(number: number, changes?: object): Revision {
	const result = safeReadManifest({
		version: number,
		services: {s: {}, other: {}},
		routes: {
			orders: {...route, prefix: '/orders/', rank: 0}, browse: {...route, prefix: '/browse/', rank: 2}, front: {...route, prefix: '/front/', public: true},
			split: {...route, prefix: '/split/', split: [{service: 's', weight: 1}, {service: 'other', weight: 1}]},
		},
		...(changes ?? {organisations}),
	});
	if (!result.success) {
		throw new Error(JSON.stringify(result.issues));
	}

	return {number, document: '', manifest: result.manifest};
}

/** Starts a node whose own upstream serves `s`, and which sends calls for `other` to another node. */
function startNode(revision: Revision | undefined, changes: Partial<NodeDefinition> = {}): NodeCore {
	const node = new NodeCore({...definition, ...changes});
	if (revision !== undefined) {
		node.manifestArrived(revision, 0);
	}

	node.upstreamAnnounced({
		service: 's', slots: 4, state: AnnouncedState.Ready, load: undefined,
	}, 0);
	node.viewArrived([createMember('q', {service: 'other'})], [], 0);
	return node;
}

let lastEntryId = 0;
function send(node: NodeCore, organisationKey: string | undefined, changes: Partial<CallerRequest> & {target?: string} = {}, now = 10): NodeEffect[] {
	lastEntryId += 1;
	const {target = '/orders/', ...others} = changes;
	return node.callerRequested({
		entryId: lastEntryId, host: 'h', service: '', organisationKey, request: {
			method: 'GET', target, headers: ['accept', 'a/b'], body: Buffer.alloc(0), digest: '',
		}, key: undefined, timeoutMilliseconds: undefined, traceparent: undefined, tracestate: undefined, ...others,
	}, now);
}

const ofType = <Type extends NodeEffectType>(effects: readonly NodeEffect[], type: Type): Array<Extract<NodeEffect, {type: Type}>> =>
	effects.filter((effect): effect is Extract<NodeEffect, {type: Type}> => effect.type === type);

const dispatchedHeaders = (effects: readonly NodeEffect[]): ReadonlyArray<readonly string[]> => ofType(effects, NodeEffectType.Dispatch).map(({request}) => request.headers);
const errorKinds = (effects: readonly NodeEffect[]): Array<ErrorKind | undefined> => ofType(effects, NodeEffectType.AnswerCaller).map(({answer}) => answer.error?.kind);
const withAcme = ['accept', 'a/b', organisationHeader, 'acme'];
const withoutOrganisation = ['accept', 'a/b'];

test('a request with a key of an organisation reaches the upstream with the name of the organisation', async t => {
	const node = startNode(createRevision(1));
	t.same(dispatchedHeaders(send(node, 'a1')), [withAcme]);
	t.same(dispatchedHeaders(send(node, 'a2')), [withAcme]);
});

for (const [name, key] of Object.entries({
	missing: undefined, unusable: '', unknown: 'secret', 'of another case': 'A1',
})) {
	test(`a request on a route that is not public is refused as not run, with an event that does not contain the key: ${name}`, async t => {
		const effects = send(startNode(createRevision(1)), key, {requestId: 'r7'});
		t.match(effects, [
			{
				type: NodeEffectType.Event, event: {
					type: EventType.Answered, request: 'r7', kind: 'orders', detail: 'unauthenticated', cause: /^not-run after 0 attempts, revision 1: /u,
				},
			},
			{type: NodeEffectType.AnswerCaller, answer: {outcome: Outcome.NotRun, error: {kind: ErrorKind.Unauthenticated}}},
		]);
		t.notMatch(JSON.stringify(effects), /secret|A1/u);
	});
}

test('a refusal for a missing key has status 401, and one for the quota 429', async t => {
	t.same([ErrorKind.Unauthenticated, ErrorKind.QuotaExceeded].map(kind => statusOf(kind, Outcome.NotRun)), [401, 429]);
});

test('a public route needs no key, and its requests have no organisation even when a key is sent', async t => {
	const node = startNode(createRevision(1));
	t.same([undefined, 'a1', 'unknown'].map(key => dispatchedHeaders(send(node, key, {target: '/front/'}))), [[withoutOrganisation], [withoutOrganisation], [withoutOrganisation]]);
});

test('a manifest without organisations needs no key, and one whose organisations are all invalid accepts none', async t => {
	const free = startNode(createRevision(1, {}));
	t.same([undefined, 'a1', ''].map(key => dispatchedHeaders(send(free, key))), [[withoutOrganisation], [withoutOrganisation], [withoutOrganisation]]);
	const closed = startNode(createRevision(1, {organisations: {acme: {keys: 'a1'}}}));
	t.same([undefined, 'a1'].map(key => errorKinds(send(closed, key))), [[ErrorKind.Unauthenticated], [ErrorKind.Unauthenticated]]);
});

test('a node without a manifest answers 503, and a path without a route 404, with or without a key', async t => {
	t.same([undefined, 'a1'].map(key => errorKinds(send(startNode(undefined), key))), [[ErrorKind.NotReady], [ErrorKind.NotReady]]);
	t.same(errorKinds(send(startNode(createRevision(1)), undefined, {target: '/nothing/'})), [ErrorKind.UnknownRequestKind]);
});

/** Guards against unauthenticated requests that shift the shares of a split route. */
test('a refused request takes no turn of a split route', async t => {
	const node = startNode(createRevision(1));
	const service = (effects: readonly NodeEffect[]): string => ofType(effects, NodeEffectType.SendCall).length > 0 ? 'other' : 's';
	const services = Array.from({length: 4}, () => {
		send(node, undefined, {target: '/split/'});
		return service(send(node, 'a1', {target: '/split/'}));
	});
	t.same(services, ['s', 'other', 's', 'other']);
});

const frameOf = (effects: readonly NodeEffect[]): CallFrame => ofType(effects, NodeEffectType.SendCall)[0]!.frame;
const callOf = (effects: readonly NodeEffect[]): {organisation: string | undefined; importance: Importance; priority: number} => {
	const frame = frameOf(effects);
	return {organisation: frame.request.headers[3], importance: frame.importance, priority: frame.priority};
};

const toOther = {...route, service: 'other'};
const callRoutes = {
	routes: {
		orders: {...toOther, prefix: '/orders/', rank: 0},
		search: {...toOther, prefix: '/search/', rank: 1},
		browse: {...toOther, prefix: '/browse/', rank: 2},
		rest: {...toOther, prefix: '/rest/', rank: 7},
		enter: {...route, prefix: '/enter/'},
	},
};

test('the rank of the organisation goes before that of the route, which orders the cohorts in four bands', async t => {
	const node = startNode(createRevision(1, {organisations, ...callRoutes}));
	const prefixes = ['/orders/', '/search/', '/browse/', '/rest/'];
	t.same(prefixes.map(target => callOf(send(node, 'a1', {target})).importance), prefixes.map(() => Importance.High));
	t.same(prefixes.map(target => callOf(send(node, 'a1', {target})).priority), [127, 95, 63, 31].map(cohort => priorityOf(Importance.High, cohort)));
	t.match(callOf(send(node, 'l1')), {importance: Importance.Low, priority: 127});
});

/** Guards against other priorities where no rank of an organisation is involved. */
test('without organisations, and with one that has no rank, importance and priority follow the route alone', async t => {
	const node = startNode(createRevision(1, {organisations, ...callRoutes}));
	const free = startNode(createRevision(1, callRoutes));
	t.match(callOf(send(node, 'p1', {target: '/search/'})), {importance: Importance.High, priority: priorityOf(Importance.High, 127)});
	t.match(callOf(send(free, undefined, {target: '/search/'})), {importance: Importance.High, priority: priorityOf(Importance.High, 127)});
});

test('calls that an upstream makes for a running request need no key and inherit organisation and priority', async t => {
	const node = startNode(createRevision(1, {organisations, ...callRoutes}));
	const [parent] = ofType(send(node, 'a1', {requestId: 'r1', target: '/enter/'}), NodeEffectType.Dispatch);
	const expected = {organisation: 'acme', importance: Importance.High, priority: priorityOf(Importance.High, 127)};
	t.same(callOf(send(node, undefined, {requestId: 'r1.x', target: '/rest/'})), expected);
	t.same(callOf(send(node, undefined, {target: '/rest/', traceparent: parent!.traceparent, tracestate: parent!.tracestate})), expected);
	t.same(errorKinds(send(node, undefined, {requestId: 'r2.x'})), [ErrorKind.NotReady], 'no parent runs');
	node.upstreamAnswered(parent!.callId, {status: 200, headers: [], body: Buffer.alloc(0)}, 20);
	t.same(errorKinds(send(node, undefined, {requestId: 'r1.y'})), [ErrorKind.NotReady], 'the parent has ended');
});

test('a nested call of a parent that entered at another node inherits what the frame of the parent carries', async t => {
	const node = startNode(createRevision(1, {organisations, ...callRoutes}));
	const frame = frameOf(send(startNode(createRevision(1, {organisations, ...callRoutes})), 'a1', {requestId: 'r1', target: '/search/'}));
	t.notMatch(JSON.stringify(frame), /"a1"/u);
	node.callArrived({...frame, service: 's'}, 0, 10);
	t.same(callOf(send(node, undefined, {requestId: 'r1.x', target: '/rest/'})), {organisation: 'acme', importance: frame.importance, priority: frame.priority});
});

/** Guards against a retry of an upload, and against frames that nodes of earlier versions reject. */
test('an upload is sent as at-most-once work and not again after a lost connection', async t => {
	const node = startNode(createRevision(1, {
		routes: {
			photos: {
				...route, semantics: 'upload', service: 'other', prefix: '/photos/',
			},
		},
	}));
	const frame = frameOf(send(node, undefined, {target: '/photos/'}));
	t.equal(frame.semantics, Semantics.AtMostOnce);
	t.match(ofType(node.callFailed(frame.callId, SendFailure.ConnectionLost, 20), NodeEffectType.AnswerCaller), [{answer: {outcome: Outcome.Unknown}}]);
});

test('a nested call keeps the organisation of its parent after the key was withdrawn, and has none when its parent has none', async t => {
	const node = startNode(createRevision(1, {organisations, ...callRoutes}));
	send(node, 'a1', {requestId: 'r1', target: '/enter/'});
	node.manifestArrived(createRevision(2, {organisations: {plain: organisations.plain}, ...callRoutes}), 20);
	t.equal(callOf(send(node, undefined, {requestId: 'r1.x'})).organisation, 'acme');
	const free = startNode(createRevision(1, callRoutes));
	send(free, undefined, {requestId: 'r1', target: '/enter/'});
	free.manifestArrived(createRevision(2, {organisations, ...callRoutes}), 20);
	t.equal(callOf(send(free, undefined, {requestId: 'r1.x'})).organisation, undefined);
});

/** Guards against callers who take over the identity of a running request by its id while they send a key. */
test('a request with a key is a caller\'s request, also when its id names a running parent', async t => {
	const node = startNode(createRevision(1, {organisations, ...callRoutes}));
	send(node, 'a1', {requestId: 'r1', target: '/enter/'});
	t.match(callOf(send(node, 'l1', {requestId: 'r1.x'})), {organisation: 'least', importance: Importance.Low});
	t.same(errorKinds(send(node, 'unknown', {requestId: 'r1.x'})), [ErrorKind.Unauthenticated]);
	t.same(errorKinds(send(node, '', {requestId: 'r1.x'})), [ErrorKind.Unauthenticated]);
});

test('a withdrawn key is refused from the adoption on, and a request accepted before completes', async t => {
	const node = startNode(createRevision(1));
	const [accepted] = ofType(send(node, 'a1'), NodeEffectType.Dispatch);
	node.manifestArrived(createRevision(2, {organisations: {acme: {keys: ['a2']}}}), 20);
	t.same([errorKinds(send(node, 'a1')), dispatchedHeaders(send(node, 'a2'))], [[ErrorKind.Unauthenticated], [withAcme]]);
	const answered = node.upstreamAnswered(accepted!.callId, {status: 200, headers: [], body: Buffer.alloc(0)}, 30);
	t.match(ofType(answered, NodeEffectType.AnswerCaller), [{answer: {outcome: Outcome.Ran}}]);
});

/** Guards against requests that wait for a newer manifest and keep a key that it withdraws. */
test('a held request is checked by the manifest in force when it is resumed', async t => {
	const node = startNode(createRevision(1));
	node.manifestConfirmed({number: 2, ageMilliseconds: 0}, 10);
	t.same([send(node, 'a1', {}, 11), send(node, 'new', {}, 11)], [[], []]);
	const effects = node.manifestArrived(createRevision(2, {organisations: {acme: {keys: ['new']}}}), 20);
	t.same([errorKinds(effects), dispatchedHeaders(effects)], [[ErrorKind.Unauthenticated], [withAcme]]);
});

/** A gate that admits a number of requests and records its calls. */
function createGate(room: number): QuotaGate & {readonly calls: string[]} {
	const calls: string[] = [];
	let left = room;
	return {
		calls,
		admit(organisation) {
			calls.push(`admit ${organisation}`);
			left -= 1;
			return left >= 0 ? {admitted: true} : {admitted: false, retryAfterMilliseconds: 250};
		},
		giveBack(organisation) {
			calls.push(`give back ${organisation}`);
		},
	};
}

test('the quota counts each accepted request of a caller once, and neither nested calls nor refused or public requests', async t => {
	const quotaGate = createGate(10);
	const node = startNode(createRevision(1, {organisations, ...callRoutes, routes: {...callRoutes.routes, front: {...route, prefix: '/front/', public: true}}}), {quotaGate});
	const [parent] = ofType(send(node, 'a1', {requestId: 'r1', target: '/enter/'}), NodeEffectType.Dispatch);
	send(node, undefined, {requestId: 'r1.x'});
	send(node, 'unknown');
	send(node, 'a1', {target: '/front/'});
	send(node, 'a1', {key: 'not a valid idempotency key'});
	node.upstreamAnswered(parent!.callId, {status: 200, headers: [], body: Buffer.alloc(0)}, 20);
	t.same(quotaGate.calls, ['admit acme']);
});

test('a request above the quota is refused as not run with the time until there is room, and gives nothing back', async t => {
	const quotaGate = createGate(0);
	t.match(send(startNode(createRevision(1), {quotaGate}), 'a1'), [
		{
			type: NodeEffectType.Event, event: {
				type: EventType.Answered, organisation: 'acme', kind: 'orders', detail: 'quota-exceeded',
			},
		},
		{type: NodeEffectType.AnswerCaller, answer: {outcome: Outcome.NotRun, error: {kind: ErrorKind.QuotaExceeded, retryAfterMilliseconds: 250}}},
	]);
	t.same(quotaGate.calls, ['admit acme']);
});

test('a request that ends without having run is given back once, whether its caller is answered or gone', async t => {
	const quotaGate = createGate(10);
	const node = startNode(createRevision(1, {
		organisations, ...callRoutes, services: {s: {}, other: {}, nowhere: {}}, routes: {...callRoutes.routes, none: {...route, prefix: '/none/', service: 'nowhere'}},
	}), {quotaGate});
	t.same(errorKinds(send(node, 'a1', {target: '/none/'})), [ErrorKind.NoUpstream]);
	t.same(quotaGate.calls, ['admit acme', 'give back acme']);
	const running = Array.from({length: 4}, () => ofType(send(node, 'p1', {target: '/enter/'}), NodeEffectType.Dispatch)[0]!);
	send(node, 'a1', {target: '/enter/'});
	node.callerDisconnected(lastEntryId, 20);
	t.same(quotaGate.calls.slice(-2), ['admit acme', 'give back acme'], 'it waited for a slot');
	node.upstreamAnswered(running[0]!.callId, {status: 200, headers: [], body: Buffer.alloc(0)}, 30);
	node.callerDisconnected(lastEntryId - 1, 30);
	t.equal(quotaGate.calls.filter(call => call.startsWith('give back')).length, 2, 'a running request is not given back');
});

/** Guards against tokens that are returned twice, or for work that may have run, and against entries that are kept for good. */
test('only the first end of a counted request counts, and only not-run gives it back', async t => {
	const quotaGate = createGate(10);
	const counted = new CountedRequests(quotaGate);
	const outcomes = [Outcome.Ran, Outcome.Unknown, Outcome.NotRun];
	outcomes.map((_outcome, entryId) => counted.admit(entryId, `o${entryId}`, 0));
	t.equal(counted.size, 3);
	[1, 2].map(() => outcomes.map((outcome, entryId) => {
		counted.ended(entryId, outcome, 10);
		return entryId;
	}));
	t.same([counted.size, quotaGate.calls], [0, ['admit o0', 'admit o1', 'admit o2', 'give back o2']]);
});

test('the events of a refused call name its organisation', async t => {
	const node = startNode(createRevision(1));
	Array.from({length: 4}, () => send(node, 'p1'));
	send(node, 'a1', {timeoutMilliseconds: 5, target: '/browse/'}, 10);
	const events = ofType(node.advance(60), NodeEffectType.Event).map(({event}) => [event.type, event.organisation]);
	t.same(events.filter(([, organisation]) => organisation === 'acme').map(([type]) => type), [EventType.Refused, EventType.Answered]);
});
