import {AnnouncedState, ErrorKind, type Explanation} from '@laburnumspool/core';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {test} from 'tap';
import {CoreMessageType} from '../core-task.js';
import {checkSettings, defaultDeployment, startDaemon} from '../index.js';
import {maximumQuestionBytes} from '../questions.js';
import {silentLog} from './fixtures.js';

const document = JSON.stringify({
	services: {shop: {}},
	routes: {
		orders: {
			host: 'h', prefix: '/orders/', semantics: 'idempotent', service: 'shop',
		},
	},
	organisations: {acme: {keys: ['secret-one'], requestsPerSecond: 10, burst: 5}},
	limits: {bodyBytes: 1000},
});

type Answer = {readonly status: number; readonly body: string};

test('the port of the metrics explains requests, and no other port does', async t => {
	const [callers, peers, control, store, metrics, health] = await findFreePorts(6) as [number, number, number, number, number, number];
	const daemon = await startDaemon(checkSettings({
		name: 'n1', region: 'r', failureDomain: 'f', host: '127.0.0.1', ports: {
			callers, peers, control, metrics, health,
		}, store: {url: `http://127.0.0.1:${store}`}, stopSeconds: 1, controlCalls: false, headers: {organisationKey: 'x-key', organisation: 'x-organisation'},
	}), () => silentLog);
	t.teardown(async () => daemon.stop());
	const ask = async (question: unknown, port = metrics): Promise<Answer> => {
		const response = await fetch(`http://127.0.0.1:${port}/laburnumspool/v1/explain`, {method: 'POST', body: JSON.stringify(question)});
		return {status: response.status, body: await response.text()};
	};

	const explain = async (question: object): Promise<Explanation> => {
		const {body} = await ask({
			host: 'h', path: '/orders/7', organisationKey: 'secret-one', ...question,
		});
		return JSON.parse(body) as Explanation;
	};

	t.match(await explain({}), {choice: {rule: 'refused'}, checks: [{}, {}, {}, {check: 'manifest', error: {kind: ErrorKind.NotReady}}]}, 'without a manifest');
	daemon.core.post({type: CoreMessageType.ManifestArrived, revision: defaultDeployment.toRevision(3, document)});
	daemon.core.post({
		type: CoreMessageType.UpstreamAnnounced, announcement: {
			service: 'shop', slots: 4, address: `127.0.0.1:${store}`, state: AnnouncedState.Ready, load: undefined,
		},
	});
	await daemon.whenReady();
	t.match(await explain({bodyBytes: 900}), {
		node: {name: 'n1'}, manifest: {revision: 3}, organisation: {name: 'acme', quota: {burst: 5}}, request: {kind: 'orders', bodyBytes: 900}, choice: {node: 'n1'}, candidates: [{node: 'n1', distance: 'own-vm'}],
	});
	t.match(await explain({bodyBytes: 1001}), {choice: {rule: 'refused', otherwise: 'n1', detail: /body-size/u}});
	const unknown = await ask({host: 'h', path: '/orders/7', organisationKey: 'secret-two'});
	t.match(unknown, {status: 200, body: /"unauthenticated"/u});
	t.notMatch(unknown.body, /secret/u);
	const malformed = await ask({path: '/orders/7', organisationKey: 'secret\none', size: 3});
	t.match(malformed, {status: 400, body: /organisationKey, size|size, organisationKey/u});
	t.notMatch(malformed.body, /secret/u);
	t.match(await ask({path: '/', host: 'x'.repeat(maximumQuestionBytes)}), {status: 413});
	t.match(await Promise.all([callers, health].map(async port => ask({path: '/orders/7'}, port))), [{status: 404}, {status: 404}], 'callers learn nothing');
	t.match(daemon.core.core.quotas.counts, {admitted: 0, refused: 0});
});
