import type {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import {createConnection, type AddressInfo, type Socket} from 'node:net';
import {AnnouncedState, ErrorKind} from '@laburnumspool/core';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {test, type Test} from 'tap';
import {CoreMessageType} from '../core-task.js';
import {sendProblem} from '../http-messages.js';
import {
	checkSettings, defaultDeployment, startDaemon, type Daemon, type Logger,
} from '../index.js';

const keys = ['secret-one', 'secret-two'];
const createManifest = (acceptedKeys: readonly string[]): string => JSON.stringify({
	services: {shop: {}},
	routes: {
		orders: {
			host: 'h', prefix: '/orders/', semantics: 'idempotent', service: 'shop',
		},
		front: {
			host: 'h', prefix: '/front/', semantics: 'idempotent', service: 'shop', public: true,
		},
	},
	organisations: {acme: {keys: acceptedKeys}},
});

async function startNode(t: Test, name: string, log: Logger): Promise<{daemon: Daemon; port: number; adopt: (number: number, acceptedKeys: readonly string[]) => void}> {
	const [callers, peers, control, store] = await findFreePorts(4);
	const daemon = await startDaemon(checkSettings({
		name, region: 'r', failureDomain: 'f', host: '127.0.0.1', ports: {callers, peers, control}, store: {url: `http://127.0.0.1:${store}`}, stopSeconds: 1,
		admission: {adaptiveLimit: false},
		headers: {requestId: 'x-id', organisationKey: 'x-key', organisation: 'x-organisation'},
	}), () => log);
	t.teardown(async () => daemon.stop());
	return {
		daemon, port: callers!, adopt(number, acceptedKeys) {
			daemon.core.post({type: CoreMessageType.ManifestArrived, revision: defaultDeployment.toRevision(number, createManifest(acceptedKeys))});
		},
	};
}

type System = {
	readonly request: (socket: Socket, headers: string, path?: string) => Promise<string>;
	readonly connect: () => Promise<Socket>;
	readonly adopt: (number: number, acceptedKeys: readonly string[]) => void;
	readonly received: IncomingMessage[];
	readonly lines: string[];
	/** Called for each request that the upstream receives, before it answers. */
	readonly onReceived: {handler: (() => Promise<void>) | undefined};
	readonly servingPort: number;
};

/** Starts an entry node, and a serving node with an upstream that records what it receives. */
async function startSystem(t: Test): Promise<System> {
	const [received, lines]: [IncomingMessage[], string[]] = [[], []];
	const record = (message: string, fields?: unknown): void => {
		lines.push(`${message} ${JSON.stringify(fields)}`);
	};

	const log: Logger = {
		error: record, warn: record, info: record, debug: record,
	};
	const onReceived: System['onReceived'] = {handler: undefined};
	const upstream = createServer((message, response) => {
		received.push(message);
		const handled = onReceived.handler?.() ?? Promise.resolve();
		// A node accepts no answer that does not name its request.
		response.setHeader('x-id', message.headers['x-id'] ?? '');
		void handled.then(() => response.end('done'));
	}).listen(0, '127.0.0.1');
	await once(upstream, 'listening');
	const [serving, entry] = [await startNode(t, 'serving', log), await startNode(t, 'entry', log)];
	t.teardown(() => {
		upstream.closeAllConnections();
		upstream.close();
	});
	const adopt = (number: number, acceptedKeys: readonly string[]): void => {
		serving.adopt(number, acceptedKeys);
		entry.adopt(number, acceptedKeys);
	};

	adopt(1, keys);
	serving.daemon.core.post({
		type: CoreMessageType.UpstreamAnnounced, announcement: {
			service: 'shop', address: `127.0.0.1:${(upstream.address() as AddressInfo).port}`, slots: 4, connections: 4, state: AnnouncedState.Ready, load: undefined,
		},
	});
	entry.daemon.core.post({type: CoreMessageType.ViewArrived, members: [serving.daemon.core.core.own], rumors: []});
	return {
		adopt, received, lines, onReceived, servingPort: serving.port,
		async connect() {
			const socket = createConnection(entry.port, '127.0.0.1');
			t.teardown(() => socket.destroy());
			await once(socket, 'connect');
			return socket;
		},
		async request(socket, headers, path = '/orders/1') {
			socket.write(`GET ${path} HTTP/1.1\r\nhost: h\r\n${headers}\r\n`);
			const [answer] = await once(socket, 'data') as [Buffer];
			return String(answer);
		},
	};
}

const headersOf = ({rawHeaders}: IncomingMessage, name: string): string[] => rawHeaders.filter((_value, index) => index % 2 === 1 && rawHeaders[index - 1] === name);

/** Guards against keys that reach an upstream, a peer or a log, and against a name that the caller chooses. */
test('an upstream at another node receives the name of the organisation, never the key, and no log line has a key', async t => {
	const {connect, request, received, lines} = await startSystem(t);
	const socket = await connect();
	t.match(await request(socket, 'X-Key: secret-one\r\nX-Organisation: forged\r\nx-organisation: again\r\n'), /^HTTP\/1\.1 200 /u);
	t.match(await request(socket, 'x-key: secret-one\r\nx-organisation: forged\r\n', '/front/1'), /^HTTP\/1\.1 200 /u);
	t.match(await request(socket, 'x-organisation: acme\r\n', '/front/1'), /^HTTP\/1\.1 200 /u);
	t.same(received.map(message => [headersOf(message, 'x-organisation'), headersOf(message, 'x-key')]), [[['acme'], []], [[], []], [[], []]]);
	await request(socket, 'x-key: secret-unknown\r\n');
	t.match(lines.join('\n'), /"detail":"unauthenticated"/u);
	t.notMatch(lines.join('\n'), /secret/u);
});

const unusableHeaders: Readonly<Record<string, string>> = {
	missing: '',
	unknown: 'x-key: other\r\n',
	empty: 'x-key: \r\n',
	doubled: 'x-key: secret-one\r\nX-Key: secret-one\r\n',
	joined: 'x-key: secret-one, secret-two\r\n',
	'empty and doubled': 'x-key:\r\nx-key: secret-one\r\n',
};

test('a key that is missing, unknown, empty, doubled or joined is answered with 401 and not-run, and the connection stays open', async t => {
	const {connect, request, received} = await startSystem(t);
	const socket = await connect();
	const answers: string[] = [];
	for (const headers of Object.values(unusableHeaders)) {
		answers.push(await request(socket, headers));
	}

	t.same(answers.map(answer => [
		answer.startsWith('HTTP/1.1 401 '), answer.includes('laburnumspool-outcome: not-run'), answer.includes('"kind":"unauthenticated"'), answer.includes('secret'),
	]), answers.map(() => [true, true, true, false]));
	t.match(await request(socket, 'x-key: secret-two\r\n'), /^HTTP\/1\.1 200 /u);
	t.equal(received.length, 1);
});

/** Guards against a key that is checked only when a connection is opened. */
test('a key that a new manifest withdraws is refused on an open connection, and a request that runs completes', async t => {
	const {connect, request, adopt, onReceived, received} = await startSystem(t);
	const [running, other] = [await connect(), await connect()];
	t.match(await request(other, 'x-key: secret-one\r\n'), /^HTTP\/1\.1 200 /u);
	let isWithdrawn = false;
	onReceived.handler = async () => {
		if (!isWithdrawn) {
			isWithdrawn = true;
			adopt(2, ['secret-two']);
			t.match(await request(other, 'x-key: secret-one\r\n'), /^HTTP\/1\.1 401 /u);
			t.match(await request(other, 'x-key: secret-two\r\n'), /^HTTP\/1\.1 200 /u);
		}
	};

	t.match(await request(running, 'x-key: secret-one\r\n'), /^HTTP\/1\.1 200 /u);
	t.match(await request(running, 'x-key: secret-one\r\n'), /^HTTP\/1\.1 401 /u);
	t.equal(received.length, 3);
});

test('a call that the upstream makes for a running request needs no key and carries the organisation', async t => {
	const {connect, request, received, onReceived, servingPort} = await startSystem(t);
	const answers: string[] = [];
	onReceived.handler = async () => {
		onReceived.handler = undefined;
		const socket = createConnection(servingPort, '127.0.0.1');
		answers.push(
			await request(socket, 'x-id: r1.a\r\nx-organisation: forged\r\n'),
			await request(socket, 'x-id: r2.a\r\n'),
		);
		socket.destroy();
	};

	t.match(await request(await connect(), 'x-key: secret-one\r\nx-id: r1\r\n'), /^HTTP\/1\.1 200 /u);
	t.same(answers.map(answer => answer.slice(9, 12)), ['200', '503']);
	t.same(received.map(message => headersOf(message, 'x-organisation')), [['acme'], ['acme']]);
});

test('a refusal for the quota has status 429 and the time until there is room, in seconds with fractions', async t => {
	const server = createServer((_request, response) => {
		sendProblem(response, {kind: ErrorKind.QuotaExceeded, detail: '', retryAfterMilliseconds: 249.2});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => server.close());
	const {status, headers} = await fetch(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`, {headers: {connection: 'close'}});
	t.same([status, headers.get('retry-after'), headers.get('laburnumspool-outcome')], [429, '0.25', 'not-run']);
});
