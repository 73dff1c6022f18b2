import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {AnnouncedState} from '@laburnumspool/core';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {test, type Test} from 'tap';
import {CoreMessageType} from '../core-task.js';
import {checkSettings, defaultDeployment, startDaemon} from '../index.js';
import {createLookManifest, silentLog} from './fixtures.js';

const timeoutMilliseconds = 3000;

/** Sends batches of requests to a node whose upstream answers all with 500; returns the answers, and the log lines. */
async function sendAll(t: Test, earlyRefusal: boolean): Promise<{readonly answers: Response[]; readonly lines: string[]; readonly ran: number}> {
	let ran = 0;
	const upstream = createServer((_request, response) => {
		ran += 1;
		response.writeHead(500).end();
	}).listen(0, '127.0.0.1');
	await once(upstream, 'listening');
	const [callers, peers, control, store] = await findFreePorts(4);
	const lines: string[] = [];
	const daemon = await startDaemon(checkSettings({
		name: 'entry', region: 'r', failureDomain: 'f', host: '127.0.0.1', ports: {callers, peers, control}, store: {url: `http://127.0.0.1:${store}`}, admission: {earlyRefusal}, stopSeconds: 3,
	}), () => ({...silentLog, info: (_message, fields) => lines.push(String(fields?.cause))}));
	t.teardown(async () => {
		await daemon.stop();
		upstream.closeAllConnections();
		upstream.close();
	});
	daemon.core.post({type: CoreMessageType.ManifestArrived, revision: defaultDeployment.toRevision(1, createLookManifest(timeoutMilliseconds))});
	daemon.core.post({
		type: CoreMessageType.UpstreamAnnounced, announcement: {
			service: 'shop', address: `127.0.0.1:${(upstream.address() as AddressInfo).port}`, slots: 4, connections: 4, state: AnnouncedState.Ready, load: undefined,
		},
	});
	const answers: Response[] = [];
	for (let batch = 0; batch < 4; batch += 1) {
		// Each decision depends on the outcomes before it. Outcomes of a batch arrive together, also on a slow machine.
		answers.push(...await Promise.all(Array.from({length: 10}, async () => fetch(`http://127.0.0.1:${callers}/shop/items`, {headers: {connection: 'close'}}))));
	}

	return {answers, lines, ran};
}

// Guards against refusals that callers cannot recognise as safe to repeat, and against ones that use the upstream.
test('a node refuses requests of a kind that fails with 503, not-run, retry-after and a log line, before they run', async t => {
	const {answers, lines, ran} = await sendAll(t, true);
	const refused = answers.filter(({status}) => status === 503);
	t.ok(refused.length > 0 && refused.length + ran === answers.length, `${refused.length} refused, ${ran} ran`);
	t.ok(refused.every(({headers}) => headers.get('laburnumspool-outcome') === 'not-run'));
	t.ok(refused.map(({headers}) => Number(headers.get('retry-after'))).every(seconds => seconds > 0 && seconds <= timeoutMilliseconds / 3000));
	t.equal(lines.filter(line => /share 0.00, evidence [\d.]+, age \d+ ms, retry after \d+ ms/u.test(line)).length, refused.length);
});

test('a node without the setting refuses no request of a kind that fails', async t => {
	const {answers, ran} = await sendAll(t, false);
	t.ok(answers.every(({status}) => status === 500));
	t.equal(ran, answers.length);
});
