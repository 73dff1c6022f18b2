// Stand-in for an application instance, after PROTOCOL.md: slots and a queue, work, echo of the request id, a signature, health,
// heartbeats to the node of its own machine. It runs a request that names it, or no instance, and answers 421 otherwise.
import {Buffer} from 'node:buffer';
import {createServer, request as sendRequest} from 'node:http';

export async function startInstance({host, port, id, service, zone, slots = 36, workMs = 20, control, record, queue = 40, bodyBytes = 400, beats = true}) {
	const state = {
		id, state: 'ready', sequence: 0, isBeating: beats, running: 0, runs: [], waiting: [], workMs,
	};
	const start = performance.now();
	const sendControl = (method, body, options = {}) => new Promise(resolve => {
		const text = JSON.stringify(body);
		const call = sendRequest({
			host: control.host, port: control.port, method, path: `/laburnumspool/v1/upstream?instance=${state.id}`, agent: false, timeout: 1000,
			headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}, ...options,
		}, response => {
			response.resume();
			response.on('end', () => resolve(response.statusCode));
		});
		call.on('timeout', () => call.destroy());
		call.on('error', () => resolve(0));
		call.end(text);
	});
	const beatBody = () => {
		state.sequence += 1;
		return {
			service, address: `${host}:${port}`, zone, version: 'v1', slots, state: state.state, coldMilliseconds: 0, sequence: state.sequence,
		};
	};

	const beat = async () => sendControl('PUT', beatBody());
	let beatTimer;
	const schedule = () => {
		beatTimer = setTimeout(async () => {
			if (state.isBeating) {
				await beat();
			}

			schedule();
		}, 1500);
		beatTimer.unref();
	};

	const next = () => {
		while (state.running < slots && state.waiting.length > 0) {
			state.waiting.shift()();
		}
	};

	const server = createServer(async (request, response) => {
		const requestId = request.headers['laburnumspool-request-id'];
		const expected = request.headers['laburnumspool-expected-instance'];
		const load = () => `${state.running},${state.waiting.length},${slots}`;
		const answer = (status, headers, body = '') => {
			if (!response.destroyed) {
				response.writeHead(status, {
					...(requestId === undefined ? {} : {'laburnumspool-request-id': requestId}), 'laburnumspool-server-load': load(),
					'content-length': Buffer.byteLength(body), ...(state.state === 'ready' ? {} : {connection: 'close'}), ...headers,
				});
				response.end(body);
			}
		};

		if (request.url === '/health') {
			answer(state.state === 'ready' ? 200 : 503, {'laburnumspool-instance-id': state.id});
			return;
		}

		let bytes = 0;
		request.on('data', chunk => {
			bytes += chunk.length;
		});
		await new Promise(resolve => {
			request.on('end', resolve);
			request.on('close', resolve);
		});
		if (!request.complete) {
			return;
		}

		if (expected !== undefined && expected !== state.id) {
			answer(421, {'laburnumspool-instance-id': state.id});
			return;
		}

		if (requestId === undefined) {
			answer(400, {'laburnumspool-not-executed': '1'});
			return;
		}

		if (state.running >= slots) {
			if (state.waiting.length >= queue) {
				answer(503, {'laburnumspool-not-executed': '1'});
				return;
			}

			await new Promise(resolve => {
				state.waiting.push(resolve);
			});
			if (response.destroyed) {
				next();
				return;
			}
		}

		state.running += 1;
		const run = {
			requestId, at: performance.now(), method: request.method, url: request.url, isCut: false,
		};
		state.runs.push(run);
		record(`run ${service} ${state.id} ${request.method} ${request.url} ${requestId} bytes=${bytes} deadline=${request.headers['laburnumspool-request-deadline']} caller=${request.headers['laburnumspool-caller-service']}`);
		await new Promise(resolve => {
			const timer = setTimeout(resolve, typeof state.workMs === 'function' ? state.workMs(request.url) : state.workMs);
			response.on('close', () => {
				clearTimeout(timer);
				run.isCut = !response.writableFinished;
				if (run.isCut) {
					record(`cut ${service} ${state.id} ${requestId}`);
				}

				resolve();
			});
		});
		state.running -= 1;
		next();
		answer(200, {'laburnumspool-response-signature': `${service}.${requestId}`}, 'x'.repeat(bodyBytes));
	});
	server.keepAliveTimeout = 10_000;
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	schedule();
	return Object.assign(state, {
		service, server, beat, beatBody, sendControl,
		close() {
			state.isBeating = false;
			clearTimeout(beatTimer);
			server.close();
			server.closeAllConnections();
		},
		start,
	});
}
