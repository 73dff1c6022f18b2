import {test} from 'tap';
import {
	safeParseManifest, type CallerRequest, type Manifest, type Revision,
} from '../index.js';
import {ActiveManifest} from '../node/active-manifest.js';

const parsed = safeParseManifest({routes: {}, services: {}});
const {manifest} = (parsed as {manifest: Manifest});
const revision = (number: number): Revision => ({number, document: '', manifest});
const request = (entryId: number): CallerRequest => ({
	entryId, service: '', key: undefined, timeoutMilliseconds: undefined, traceparent: undefined, tracestate: undefined, request: {
		method: 'GET', target: '/', headers: [], body: new Uint8Array(), digest: '',
	},
});

test('a revision that is not above the active one is rejected', async t => {
	const activeManifest = new ActiveManifest();
	t.ok(activeManifest.offer(revision(7)));
	t.notOk(activeManifest.offer(revision(6)));
	t.notOk(activeManifest.offer(revision(7)));
	t.equal(activeManifest.current?.number, 7);
});

test('a newer revision that a message mentioned is pulled repeatedly, with pauses, until it arrives', async t => {
	const activeManifest = new ActiveManifest();
	activeManifest.offer(revision(7));
	t.same([activeManifest.observe(8, 1000), activeManifest.observe(8, 1100), activeManifest.takePull(1250)], [true, false, true]);
	activeManifest.offer(revision(8));
	t.notOk(activeManifest.takePull(2000));
});

test('requests are held for a newer revision up to the time limit, and again for the next revision', async t => {
	const activeManifest = new ActiveManifest();
	activeManifest.offer(revision(7));
	t.notOk(activeManifest.hold(request(1), 1000));
	activeManifest.observe(8, 1000);
	t.ok(activeManifest.hold(request(2), 1100));
	t.same(activeManifest.release(1200), []);
	t.same(activeManifest.release(1250).map(({entryId}) => entryId), [2]);
	t.notOk(activeManifest.hold(request(3), 1300));
	activeManifest.offer(revision(8));
	activeManifest.observe(9, 5000);
	t.ok(activeManifest.hold(request(4), 5100));
	activeManifest.offer(revision(9));
	t.same(activeManifest.release(5110).map(({entryId}) => entryId), [4]);
});
