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

test('a revision below the one in force changes nothing', async t => {
	const inForce = new ActiveManifest();
	t.ok(inForce.offer(revision(7)));
	t.notOk(inForce.offer(revision(6)));
	t.notOk(inForce.offer(revision(7)));
	t.equal(inForce.current?.number, 7);
});

test('a newer revision that was heard of is pulled, again after a pause, until it is there', async t => {
	const inForce = new ActiveManifest();
	inForce.offer(revision(7));
	t.same([inForce.hear(8, 1000), inForce.hear(8, 1100), inForce.isPullDue(1250)], [true, false, true]);
	inForce.offer(revision(8));
	t.notOk(inForce.isPullDue(2000));
});

test('requests wait for a newer revision, but not for long, and anew for the next one', async t => {
	const inForce = new ActiveManifest();
	inForce.offer(revision(7));
	t.notOk(inForce.hold(request(1), 1000));
	inForce.hear(8, 1000);
	t.ok(inForce.hold(request(2), 1100));
	t.same(inForce.release(1200), []);
	t.same(inForce.release(1250).map(({entryId}) => entryId), [2]);
	t.notOk(inForce.hold(request(3), 1300));
	inForce.offer(revision(8));
	inForce.hear(9, 5000);
	t.ok(inForce.hold(request(4), 5100));
	inForce.offer(revision(9));
	t.same(inForce.release(5110).map(({entryId}) => entryId), [4]);
});
