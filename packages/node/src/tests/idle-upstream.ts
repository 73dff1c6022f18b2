/**
 * An upstream in a thread of its own, which goes on while the thread of the test stands still. It answers each request,
 * and writes the bytes that it is given to the connection that asked last.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import {createServer, type Socket} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';

/** What the test asks for, and what the upstream has done. */
export enum Step {
	None,
	Write,
	Written,
}

/** What the thread of the upstream is given. */
export type IdleUpstreamData = {readonly step: SharedArrayBuffer; readonly bytes: string};

const pollMilliseconds = 1;

if (parentPort !== null) {
	const {step, bytes} = workerData as IdleUpstreamData;
	const steps = new Int32Array(step);
	let newest: Socket | undefined;
	const server = createServer({noDelay: true}, socket => {
		socket.on('error', () => undefined);
		socket.on('data', (chunk: Buffer) => {
			newest = socket;
			const requestId = /request-id: (\S+)/u.exec(chunk.toString('latin1'))![1]!;
			socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\nsignature: s\r\ncontent-length: ${requestId.length}\r\n\r\n${requestId}`);
		});
	}).listen(0, '127.0.0.1', () => {
		parentPort!.postMessage((server.address() as {port: number}).port);
	});
	setInterval(() => {
		const asked: Step = Atomics.compareExchange(steps, 0, Step.Write, Step.None);
		if (asked === Step.Write) {
			newest!.write(bytes, () => {
				Atomics.store(steps, 0, Step.Written);
				Atomics.notify(steps, 0);
			});
		}
	}, pollMilliseconds);
}
