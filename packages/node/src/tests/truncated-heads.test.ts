import type {Socket} from 'node:net';
import {UpstreamFailure} from '@laburnumspool/core';
import {test, type Test} from 'tap';
import {completeAnswer, startUpstream, summarize} from './raw-upstream.js';

type Answer = {
	/** Head of the answer to the request of an id. */
	readonly head: (requestId: string) => string;
	/** Body of an answer with a length or in chunks, whose last byte ends the answer. It must arrive whole. */
	readonly body?: string;
	readonly method?: string;
	/** Result of the whole answer. */
	readonly whole: string;
};

const id = (requestId: string): string => `request-id: ${requestId}\r\n`;
const ok = (requestId: string): string => `HTTP/1.1 200 OK\r\n${id(requestId)}signature: s\r\n`;
const withLength = (requestId: string): string => `${ok(requestId)}content-length: 12\r\n\r\n`;
const body = 'abcdefghijkl';
const chunkedBody = `c\r\n${body}\r\n0\r\n\r\n`;

const answers: Readonly<Record<string, Answer>> = {
	'with a length': {head: withLength, body, whole: `200 ${body}`},
	'with a length, which comes first': {
		head: requestId => `HTTP/1.1 200 OK\r\ncontent-length: 12\r\n${id(requestId)}signature: s\r\n\r\n`, body, whole: `200 ${body}`,
	},
	'with a length of 0': {head: requestId => `${ok(requestId)}content-length: 0\r\n\r\n`, whole: '200 '},
	'in chunks': {head: requestId => `${ok(requestId)}transfer-encoding: chunked\r\n\r\n`, body: chunkedBody, whole: `200 ${body}`},
	'in chunks, with connection: close': {
		head: requestId => `HTTP/1.1 200 OK\r\nconnection: close\r\n${id(requestId)}signature: s\r\ntransfer-encoding: chunked\r\n\r\n`, body: chunkedBody, whole: `200 ${body}`,
	},
	'without a length': {head: requestId => `${ok(requestId)}\r\n`, whole: '200 '},
	'with connection: close and a length': {
		head: requestId => `HTTP/1.1 200 OK\r\nconnection: close\r\n${id(requestId)}signature: s\r\ncontent-length: 12\r\n\r\n`, body, whole: `200 ${body}`,
	},
	'with connection: close, without a length': {head: requestId => `HTTP/1.1 200 OK\r\nconnection: close\r\n${id(requestId)}signature: s\r\n\r\n`, whole: '200 '},
	'with connection: keep-alive': {
		head: requestId => `HTTP/1.1 200 OK\r\nconnection: keep-alive\r\nkeep-alive: timeout=5\r\n${id(requestId)}signature: s\r\ncontent-length: 12\r\n\r\n`, body, whole: `200 ${body}`,
	},
	'in HTTP/1.0': {head: requestId => `HTTP/1.0 200 OK\r\n${id(requestId)}signature: s\r\n\r\n`, whole: '200 '},
	'with status 204': {head: requestId => `HTTP/1.1 204 No Content\r\nconnection: close\r\n${id(requestId)}signature: s\r\n\r\n`, whole: '204 '},
	'with status 304': {head: requestId => `HTTP/1.1 304 Not Modified\r\n${id(requestId)}\r\n`, whole: '304 '},
	'with status 500': {head: requestId => `HTTP/1.1 500 Internal Server Error\r\n${id(requestId)}content-length: 12\r\n\r\n`, body, whole: `500 ${body}`},
	refusal: {
		head: requestId => `HTTP/1.1 503 Service Unavailable\r\n${id(requestId)}not-executed: 1\r\ncontent-length: 12\r\n\r\n`, body, whole: UpstreamFailure.Refused,
	},
	'refusal without an id': {head: () => 'HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\nconnection: close\r\n\r\n', whole: UpstreamFailure.Refused},
	'refusal by another instance': {head: requestId => `HTTP/1.1 421 Misdirected Request\r\n${id(requestId)}content-length: 0\r\n\r\n`, whole: UpstreamFailure.OtherInstance},
	'after an interim answer 103': {head: requestId => `HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n${ok(requestId)}\r\n`, whole: '200 '},
	'after an interim answer 103 with connection: close': {
		head: requestId => `HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n${ok(requestId)}\r\n`, whole: UpstreamFailure.Broken,
	},
	'after an interim answer 100': {head: requestId => `HTTP/1.1 100 Continue\r\n\r\n${ok(requestId)}\r\n`, whole: UpstreamFailure.Broken},
	'lines that end with a line feed': {head: requestId => `${ok(requestId)}\r\n`.replaceAll('\r\n', '\n'), whole: UpstreamFailure.Broken},
	'lines that end with a carriage return': {head: requestId => `${ok(requestId)}\r\n`.replaceAll('\r\n', '\r'), whole: UpstreamFailure.Broken},
	'to a HEAD request': {head: withLength, method: 'HEAD', whole: '200 '},
	'to a HEAD request, with connection: close': {
		head: requestId => `HTTP/1.1 200 OK\r\nconnection: close\r\n${id(requestId)}signature: s\r\n\r\n`, method: 'HEAD', whole: '200 ',
	},
};

const ends: ReadonlyArray<(socket: Socket, bytes: string) => void> = [
	(socket, bytes) => {
		socket.end(bytes);
	},
	(socket, bytes) => {
		socket.write(bytes, () => {
			setImmediate(() => {
				socket.end();
			});
		});
	},
	(socket, bytes) => {
		socket.write(bytes);
		socket.resetAndDestroy();
	},
];

/**
 * Results of the answer that is cut at each of its bytes, each named once, and that of the whole answer. The call before each
 * of them is answered in whole over the same connection, if there is to be a previous answer.
 */
async function resultsOf(t: Test, {head, body: ending = '', method = 'GET'}: Answer, end: typeof ends[number], hasPrevious: boolean): Promise<readonly string[]> {
	const previousId = 'r1';
	const callId = 'r2';
	const bytes = head(callId) + ending;
	let length = 0;
	const {core, dispatch, call, connections} = await startUpstream(t, (requestId, socket) => {
		if (requestId === previousId) {
			socket.write(completeAnswer(previousId, previousId));
		} else {
			end(socket, bytes.slice(0, length));
		}
	});
	const results = new Set<string>();
	for (; length < bytes.length; length++) {
		if (hasPrevious) {
			results.add(await call(1));
		}

		dispatch(2, {method});
		results.add(summarize(await core.nextMessage()));
	}

	const connectionCount = connections.length;
	dispatch(2, {method});
	return [...results, connectionCount === bytes.length ? 'a connection each' : `${connectionCount} connections`, summarize(await core.nextMessage())];
}

for (const [name, answer] of Object.entries(answers)) {
	test(`an answer whose connection ends before its last byte fails as broken, wherever its head is cut: ${name}`, async t => {
		const [endResults, laterEndResults, resetResults] = await Promise.all(ends.map(async end => resultsOf(t, answer, end, false)));
		const expected = [UpstreamFailure.Broken, 'a connection each', answer.whole];
		t.same(endResults, expected, 'an end with the last bytes');
		t.same(laterEndResults, expected, 'an end in a later turn');
		t.same(resetResults!.slice(0, 2), expected.slice(0, 2), 'a reset');
	});
}

for (const name of ['with a length', 'without a length', 'with connection: close, without a length', 'refusal', 'refusal by another instance']) {
	test(`an answer whose connection ends before its last byte fails as broken after a complete answer over the same connection: ${name}`, async t => {
		const results = await Promise.all(ends.map(async end => resultsOf(t, answers[name]!, end, true)));
		t.same(results.map(([first, second, connections]) => [first, second, connections]), ends.map(() => ['200 r1', UpstreamFailure.Broken, 'a connection each']));
	});
}
