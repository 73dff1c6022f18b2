import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {AnnouncedState, ErrorKind} from '@laburnumspool/core';
import {
	checkSettings, CoreMessageType, defaultDeployment, startDaemon, type Logger,
} from '@laburnumspool/node';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {test} from 'tap';
import {askNode, formatExplanation} from '../index.js';
import {readQuestion} from '../question.js';

const doNothing = (): void => undefined;
const log: Logger = {
	error: doNothing, warn: doNothing, info: doNothing, debug: doNothing,
};

const document = JSON.stringify({
	services: {shop: {}},
	routes: {
		orders: {
			host: 'h', prefix: '/orders/', semantics: 'idempotent', service: 'shop',
		},
	},
	organisations: {acme: {keys: ['0042'], requestsPerSecond: 1, burst: 1}},
});

const readNoInput = async (): Promise<string> => '';

test('the text of an explanation has every part, and never the key', async t => {
	const [callers, peers, control, store, metrics] = await findFreePorts(5);
	const daemon = await startDaemon(checkSettings({
		name: 'n1', region: 'r', failureDomain: 'f', host: '127.0.0.1', ports: {
			callers, peers, control, metrics,
		}, store: {url: `http://127.0.0.1:${store}`}, stopSeconds: 1, controlCalls: false, headers: {organisationKey: 'x-key', organisation: 'x-organisation'},
	}), () => log);
	t.teardown(async () => daemon.stop());
	daemon.core.post({type: CoreMessageType.ManifestArrived, revision: defaultDeployment.toRevision(3, document)});
	daemon.core.post({
		type: CoreMessageType.UpstreamAnnounced, announcement: {
			service: 'shop', slots: 4, address: `127.0.0.1:${store}`, state: AnnouncedState.Ready, load: undefined,
		},
	});
	await daemon.whenReady();
	const ask = async (path: string, parameters: string[], input = ''): Promise<string> => {
		const question = await readQuestion(path, {keyStdin: input !== ''}, parameters, async () => input);
		return formatExplanation(await askNode(`127.0.0.1:${metrics}`, question));
	};

	const text = await ask('/orders/7', ['--host', 'h'], '0042\n');
	const lines = text.split('\n').map(line => line.trim());
	const expected = [
		/^node +n1 \(r\/f\), upstream shop ready/u,
		/^manifest +revision 3/u,
		/^request +shop\/orders, idempotent, importance critical, priority \d+ \(384 to 511/u,
		/^organisation +acme, quota of 1 requests\/s, burst 1, room for [1-9]\d* requests/u,
		/^passed +quota/u,
		/^passed +own-upstream/u,
		/^n1 +own-vm .* chosen$/u,
		/^choice: n1 \(only-candidate\)/u,
	];
	t.same(expected.filter(pattern => !lines.some(line => pattern.test(line))), []);
	t.notMatch(text, /0042/u);
	t.match(await ask('/orders/7', ['--host', 'h']), /choice: none \(refused\): .*carries no key/u);
	t.match(await ask('/else/', ['--host', 'h']), /refused +request .*\(404 unknown-request-kind\)/u);
});

// Guards against an error that does not tell whether the node, its version or the question is at fault.
test('a node without explanations, another program and no node at all are told apart', async t => {
	const answers: Array<readonly [number, string]> = [[404, '{}'], [200, '{"ready":true}'], [200, 'text'], [413, '{"detail":"too long"}']];
	const server = createServer((_request, response) => {
		const [status, body] = answers.shift()!;
		response.writeHead(status).end(body);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	await t.rejects(askNode(address, {path: '/'}), {kind: ErrorKind.UnknownRequestKind, message: /version is older/u});
	await t.rejects(askNode(address, {path: '/'}), {message: /no valid explanation/u});
	await t.rejects(askNode(address, {path: '/'}), {message: /no valid explanation/u});
	await t.rejects(askNode(address, {path: '/'}), {kind: ErrorKind.Malformed, message: /too long/u});
	server.close();
	await t.rejects(askNode(address, {path: '/'}), {kind: ErrorKind.PeerConnectionLost, message: /did not answer/u});
});

test('the question keeps ids as written, and invalid options are bad usage', async t => {
	t.match(await readQuestion('/', {timeLeft: 5}, ['--idempotency-key=0042', '--request-id', '1e3'], readNoInput), {idempotencyKey: '0042', requestId: '1e3', timeLeftMilliseconds: 5});
	const invalid: Array<Parameters<typeof readQuestion>> = [
		['orders', {}, [], readNoInput],
		['/', {timeLeft: -1}, [], readNoInput],
		['/', {keyStdin: true}, [], readNoInput],
		['/', {keyStdin: true}, ['--key-file', 'file'], readNoInput],
		['/', {}, ['--key-file', '/nowhere/key'], readNoInput],
		['/', {}, ['--host'], readNoInput],
	];
	await Promise.all(invalid.map(async parameters => t.rejects(readQuestion(...parameters), {name: 'LaburnumspoolError', message: /expected|cannot be read/u})));
});
