import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {createConnection, type AddressInfo} from 'node:net';
import {AnnouncedState, type WorkReport} from '@laburnumspool/core';
import {
	decodeAnswer, encodeCall, encodeFrameHeader, FrameReader, FrameType, StringTableDecoder, StringTableEncoder,
} from '@laburnumspool/protocol';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {test, type Test} from 'tap';
import {CoreMessageType} from '../core-task.js';
import {checkSettings, defaultDeployment, startDaemon} from '../index.js';
import {createLookManifest, doNothing, silentLog} from './fixtures.js';
import {createCall} from './link-nodes.js';

const maximumFrameBytes = 1024 * 1024;

type Variant = {readonly costAware: boolean; readonly load: string; readonly upgradeHeader: string};

/** Sends one call over a link to a node beside an upstream, and returns the work report of its answer. */
async function callOnce(t: Test, {costAware, load, upgradeHeader}: Variant): Promise<WorkReport | undefined> {
	const upstream = createServer((_request, response) => response.writeHead(200, {'x-load': load}).end('ok')).listen(0, '127.0.0.1');
	await once(upstream, 'listening');
	const [callers, peers, control, store] = await findFreePorts(4);
	const daemon = await startDaemon(checkSettings({
		name: 'serving', region: 'r', failureDomain: 'f', host: '127.0.0.1', ports: {callers, peers, control}, store: {url: `http://127.0.0.1:${store}`}, headers: {load: 'x-load'}, placement: {costAware}, stopSeconds: 3,
	}), () => silentLog);
	const link = createConnection(peers!, '127.0.0.1').on('error', doNothing);
	t.teardown(async () => {
		link.destroy();
		await daemon.stop();
		upstream.closeAllConnections();
		upstream.close();
	});
	daemon.core.post({type: CoreMessageType.ManifestArrived, revision: defaultDeployment.toRevision(1, createLookManifest(1000))});
	daemon.core.post({
		type: CoreMessageType.UpstreamAnnounced, announcement: {
			service: 'shop', address: `127.0.0.1:${(upstream.address() as AddressInfo).port}`, slots: 4, connections: 4, state: AnnouncedState.Ready, load: undefined,
		},
	});
	link.write(`GET /calls HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: laburnumspool-calls\r\n${upgradeHeader}\r\n`);
	await once(link, 'data');
	const call = encodeCall({
		frame: createCall('n.1.1', 0), clock: 1,
	}, new StringTableEncoder());
	link.write(Buffer.concat([encodeFrameHeader(FrameType.Call, call.length), call]));
	const reader = new FrameReader(maximumFrameBytes);
	const [chunk] = await once(link, 'data') as [Buffer];
	const answer = reader.push(chunk).find(({type}) => type === FrameType.Answer);
	return decodeAnswer(answer!.content, new StringTableDecoder()).frame.serving.work;
}

const active: Variant = {costAware: true, load: '1,0,4,250', upgradeHeader: 'laburnumspool-work-reports: 1\r\n'};

test('an answer carries the slowness that the upstream reported, over a link that asked for it', async t => {
	const work = await callOnce(t, active);
	t.equal(work?.slowdown, 2.5);
	t.ok(work!.ownMilliseconds > 0);
});

// Guards against answers that a node of an earlier version cannot read, and against bytes that a deployment did not enable.
const silentVariants: Readonly<Record<string, Variant>> = {
	'to an entry node that does not read it': {...active, upgradeHeader: ''},
	'while the setting is off': {...active, costAware: false},
	'while the upstream reports three figures': {...active, load: '1,0,4'},
	'while the fourth figure is no number': {...active, load: '1,0,4,fast'},
};
Object.entries(silentVariants).map(async ([name, variant]) => test(`an answer carries no work report ${name}`, async t => {
	t.equal(await callOnce(t, variant), undefined);
}));
