import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {
	allAdmissionMechanisms, AnnouncedState, EventType, Importance, NodeCore, NodeEffectType, priorityOf, safeParseManifest, safeReadManifest, Semantics, weightsOf,
	type Manifest, type NodeDefinition, type NodeEffect,
} from '../index.js';
import {createMember} from './fixtures.js';

const organisationHeader = 'x-organisation';
const definition: NodeDefinition = {
	own: createMember('p'),
	wallClock: () => 0,
	random: () => 0.5,
	newActionId: () => '0'.repeat(32),
	membershipTimes: {probeIntervalMilliseconds: 1000, suspicionMilliseconds: 3000, exchangeIntervalMilliseconds: 10_000},
	claimLimits: {maximumClaims: 10, maximumAnswerBytes: 1000},
	storeOutageLimitMilliseconds: 1000,
	clockErrorMilliseconds: 0,
	admissionMechanisms: {...allAdmissionMechanisms, adaptiveLimit: false},
	organisationHeader,
};

const createDocument = (organisations: unknown): object => ({
	version: 1, services: {s: {}}, organisations, routes: {
		all: {
			host: 'h', prefix: '/', semantics: 'idempotent', service: 's',
		},
	},
});

function readOf(organisations: unknown): Manifest {
	const result = safeReadManifest(createDocument(organisations));
	if (!result.success) {
		throw new Error(JSON.stringify(result.issues));
	}

	return result.manifest;
}

function startNode(organisations: unknown): NodeCore {
	const node = new NodeCore(definition);
	node.manifestArrived({number: 1, document: '', manifest: readOf(organisations)}, 0);
	node.upstreamAnnounced({
		service: 's', slots: 1, state: AnnouncedState.Ready, load: undefined,
	}, 0);
	return node;
}

let count = 0;

/** Sends a call of another node, as nested calls arrive. */
function receive(node: NodeCore, organisation: string, now = 10): NodeEffect[] {
	count += 1;
	return node.callArrived({
		callId: `q.1.${count}`, action: {actionId: '0'.repeat(32), vendorTraceState: []}, requestId: '', service: 's', kind: 'all', semantics: Semantics.Idempotent, answerBytesLimit: 1000, importance: Importance.Normal, priority: priorityOf(Importance.Normal, 100), timeLeftMilliseconds: 5000, retries: 0, key: undefined, epoch: 0, lastResort: true, revision: 1, request: {
			method: 'GET', target: '/', headers: ['accept', 'a/b', organisationHeader, organisation], body: Buffer.alloc(0), digest: '',
		},
	}, 0, now);
}

const refusals = (effects: readonly NodeEffect[]): Array<{readonly organisation?: string | undefined; readonly cause?: string | undefined}> =>
	effects.flatMap(effect => effect.type === NodeEffectType.Event && effect.event.type === EventType.Refused ? [effect.event] : []);

/** Guards against nested calls, which carry no key, that are not charged to their organisation. */
test('calls of other nodes are charged to the organisation in their header, with the weights of the manifest', async t => {
	const node = startNode({acme: {keys: ['a'], weight: 4}, plain: {keys: ['p']}});
	receive(node, 'acme');
	t.match(node.admission.shares.largest(5, 10), {largest: [{organisation: 'acme'}], othersMilliseconds: 0});
	t.same(['acme', 'plain'].map(organisation => node.admission.shares.weightOf({organisation, importance: Importance.Normal, priority: 0})), [4, 1]);
});

/** Guards against state and changed decisions in a deployment without organisations, whatever an old peer sends. */
test('a node whose manifest has no organisations charges none', async t => {
	const node = startNode(undefined);
	receive(node, 'acme');
	t.same([node.admission.shares.isActive, node.admission.shares.size], [false, 0]);
});

/** Guards against a refusal that an operator cannot tell from a general lack of room. */
test('the log line of a refusal says when the share of the organisation decided, with its use and share', async t => {
	const node = startNode({acme: {keys: ['a']}, plain: {keys: ['p']}});
	const full = Array.from({length: 60}, () => refusals(receive(node, 'acme'))).flat();
	t.ok(full.length > 0 && full.every(({cause}) => !cause?.includes('share')), 'the queue is full of calls of one organisation');
	t.match(refusals(receive(node, 'plain')), [{organisation: 'acme', cause: /^after 0 ms with 5000 ms left: 1 of 1 run, 36 wait, .*, share of the organisation decided: uses \d+ ms\/s, share \d+ ms\/s$/u}]);
});

test('a weight is a finite number above 0, and is absent where the manifest states none', async t => {
	t.same([...weightsOf(readOf({a: {keys: ['k1'], weight: 0.5}, b: {keys: ['k2']}}))], [['a', 0.5]]);
	t.same([0, -1, Infinity, '2', null].map(weight => readOf({a: {keys: ['k1'], weight}, b: {keys: ['k2']}}).organisations?.map(({name}) => name)), Array.from({length: 5}, () => ['b']));
	const result = safeParseManifest(createDocument({a: {keys: ['k1'], weight: 0}}));
	t.match(result.success ? [] : result.issues, [{path: ['organisations', 'a', 'weight'], message: 'Expected a number above 0'}]);
});
