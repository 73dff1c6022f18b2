/**
 * A node that only forwards, as a baseline: the runtime's HTTP server, one frame over a link, undici to the upstream, and
 * the same way back.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createServer, type ServerResponse} from 'node:http';
import {connect, createServer as createLinkServer, type Socket} from 'node:net';
import process from 'node:process';
import {
	encodeFrameHeader, FrameReader, FrameType, type Frame,
} from '@laburnumspool/protocol';
import {cac} from 'cac';
import {Pool} from 'undici';

const maximumFrameBytes = 1024 * 1024;
const connections = 40;
const callNumberBytes = 4;

function receiveFrames(socket: Socket, onFrame: (frame: Frame) => void): void {
	const reader = new FrameReader(maximumFrameBytes);
	socket.on('data', (chunk: Buffer) => {
		reader.push(chunk).map(frame => onFrame(frame));
	});
}

function send(socket: Socket, type: FrameType, number: number, text: string): void {
	const content = Buffer.allocUnsafe(callNumberBytes + Buffer.byteLength(text));
	content.writeUInt32BE(number, 0);
	content.write(text, callNumberBytes);
	socket.write(Buffer.concat([encodeFrameHeader(type, content.length), content]));
}

/** Serves calls of the peer with the node's own upstream. */
function servePeer(port: number, upstream: string): void {
	const pool = new Pool(`http://${upstream}`, {connections, pipelining: 1});
	createLinkServer(socket => {
		receiveFrames(socket, ({content}) => {
			void pool.request({method: 'GET', path: content.toString('utf8', callNumberBytes)}).then(async answer => {
				send(socket, FrameType.Answer, content.readUInt32BE(0), await answer.body.text());
			});
		});
	}).listen(port, '127.0.0.1');
}

/** Serves callers by sending each request to the peer. */
function serveCallers(port: number, peer: number): void {
	const responses = new Map<number, ServerResponse>();
	let link: Socket | undefined;
	let lastNumber = 0;
	const open = (): Socket => {
		const socket = connect(peer, '127.0.0.1');
		receiveFrames(socket, ({content}) => {
			const number = content.readUInt32BE(0);
			responses.get(number)?.writeHead(200, ['content-type', 'application/json', 'content-length', String(content.length - callNumberBytes)]).end(content.subarray(callNumberBytes));
			responses.delete(number);
		});
		return socket;
	};

	createServer((request, response) => {
		link ??= open();
		lastNumber += 1;
		responses.set(lastNumber, response);
		send(link, FrameType.Call, lastNumber, request.url ?? '/');
	}).listen(port, '127.0.0.1', () => {
		process.stdout.write('node: ready\n');
	});
}

process.once('SIGTERM', () => {
	process.exit(0);
});
const cli = cac('bare-node');
cli.option('--callers <port>', 'Port for callers');
cli.option('--peers <port>', 'Port for the other node');
cli.option('--peer <port>', 'Port of the other node');
cli.option('--upstream <address>', 'Address of the upstream');
const {options} = cli.parse();
servePeer(Number(options.peers), String(options.upstream));
serveCallers(Number(options.callers), Number(options.peer));
