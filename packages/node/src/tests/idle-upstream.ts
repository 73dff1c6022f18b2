/**
 * An upstream in a worker thread, which keeps running while the thread of the test is blocked. It answers each request. On
 * request of the test it writes the given bytes to the connection that sent the latest request.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import {createServer, type Socket} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';

/** State of a write that the test requests; shared between the threads. */
export enum WriteStep {
	None,
	Requested,
	Done,
}

export type IdleUpstreamData = {readonly step: SharedArrayBuffer; readonly bytes: string};

const pollMilliseconds = 1;

if (parentPort !== null) {
	const {step, bytes} = workerData as IdleUpstreamData;
	const steps = new Int32Array(step);
	let newestSocket: Socket | undefined;
	const server = createServer({noDelay: true}, socket => {
		socket.on('error', () => undefined);
		socket.on('data', (chunk: Buffer) => {
			newestSocket = socket;
			const requestId = /request-id: (\S+)/u.exec(chunk.toString('latin1'))![1]!;
			socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\nsignature: s\r\ncontent-length: ${requestId.length}\r\n\r\n${requestId}`);
		});
	}).listen(0, '127.0.0.1', () => {
		parentPort!.postMessage((server.address() as {port: number}).port);
	});
	setInterval(() => {
		const requestedStep: WriteStep = Atomics.compareExchange(steps, 0, WriteStep.Requested, WriteStep.None);
		if (requestedStep === WriteStep.Requested) {
			newestSocket!.write(bytes, () => {
				Atomics.store(steps, 0, WriteStep.Done);
				Atomics.notify(steps, 0);
			});
		}
	}, pollMilliseconds);
}
