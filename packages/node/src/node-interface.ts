/**
 * The HTTP interface of the node itself: health, members, metrics, and the announcements of its upstream.
 *
 * @module
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	ErrorKind, isDeadOrLeft, LaburnumspoolError, type Explanation,
} from '@laburnumspool/core';
import {parseAnnouncement} from './announcements.js';
import {
	explainPath, maximumQuestionBytes, parseQuestion, type Question,
} from './questions.js';
import {CoreMessageType, type CoreTask} from './core-task.js';
import {
	readBody, sendClientError, sendProblem, toCallError,
} from './http-messages.js';

const nodePathPrefix = '/laburnumspool/';
const maximumAnnouncementBytes = 16 * 1024;
const loopbackAddresses: ReadonlySet<string> = new Set(['127.0.0.1', '::1', '::ffff:127.0.0.1']);

export type NodeInterfaceDefinition = {
	readonly core: CoreTask;
	/** Host of the node. Announcements are accepted from this address and from loopback. */
	readonly host: string;
	/** The upstream of the node, if the settings name it. */
	readonly upstream: {readonly service: string; readonly address: string} | undefined;
	/** All metrics as text, and their content type. */
	readonly metrics: () => Promise<{readonly type: string; readonly text: string}>;
};

/** Whether a path belongs to the node itself and is never routed to an upstream. */
export function isNodePath(url: string): boolean {
	return url.startsWith(nodePathPrefix);
}

/**
 * Answers requests to the node itself.
 *
 * @example
 * const nodeInterface = new NodeInterface(definition);
 * const server = nodeInterface.createServer();
 */
export class NodeInterface {
	readonly #definition: NodeInterfaceDefinition;
	#isStopping = false;

	constructor(definition: NodeInterfaceDefinition) {
		this.#definition = definition;
	}

	/** Reports the node as not ready from now on. */
	setStopping(): void {
		this.#isStopping = true;
	}

	/** Creates a server that offers only this interface, for a port of its own. */
	createServer(): Server {
		return this.#createServer(async (request, response) => this.handle(request, response, request.url ?? '/'));
	}

	/**
	 * Creates a server that also explains requests of the same VM, for the port of the metrics. An explanation names nodes and
	 * organisations, and tells whether a key is valid, which callers must not learn.
	 */
	createOperatorsServer(explain: (question: Question) => Explanation): Server {
		return this.#createServer(async (request, response) => {
			if (request.method === 'POST' && request.url === explainPath) {
				this.#requireSameVm(request);
				await sendExplanation(request, response, explain);
			} else {
				await this.handle(request, response, request.url ?? '/');
			}
		});
	}

	/** Answers one request; throws `unknown-request-kind` or `malformed`. */
	async handle(request: IncomingMessage, response: ServerResponse, url: string): Promise<void> {
		const {pathname, searchParams} = new URL(url, 'http://node');
		const instance = searchParams.get('instance') ?? undefined;
		const handlers: Readonly<Record<string, () => void | Promise<void>>> = {
			'GET /laburnumspool/v1/health': () => {
				this.#sendHealth(response);
			},
			'GET /laburnumspool/v1/members': () => {
				this.#sendMembers(response);
			},
			'GET /metrics': async () => this.#sendMetrics(response),
			'PUT /laburnumspool/v1/upstream': async () => this.#receiveAnnouncement(request, response, instance),
			'DELETE /laburnumspool/v1/upstream': async () => this.#receiveWithdrawal(request, response, instance),
		};
		const handler = handlers[`${request.method} ${pathname}`];
		if (handler === undefined) {
			throw new LaburnumspoolError(ErrorKind.UnknownRequestKind, `The node has no endpoint ${request.method} ${pathname}`);
		}

		await handler();
	}

	#createServer(handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>): Server {
		const server = createServer(async (request, response) => {
			try {
				await handle(request, response);
			} catch (error) {
				sendProblem(response, toCallError(error));
			}
		});
		server.on('clientError', sendClientError);
		return server;
	}

	#sendHealth(response: ServerResponse): void {
		const {core} = this.#definition.core;
		const reason = this.#isStopping ? 'The node is stopping' : core.notReadyReason;
		sendJson(response, reason === undefined ? 200 : 503, {
			ready: reason === undefined, reason, revision: core.manifest?.number ?? 0, state: core.own.state,
		});
	}

	#sendMembers(response: ServerResponse): void {
		const members = this.#definition.core.core.members.filter(member => !isDeadOrLeft(member)).map(member => ({
			name: member.name,
			callers: `${member.host}:${member.callersPort}`,
			control: `${member.host}:${member.controlPort}`,
			service: member.service,
			state: member.state,
			region: member.location.region,
			failureDomain: member.location.failureDomain,
		}));
		sendJson(response, 200, {members});
	}

	async #sendMetrics(response: ServerResponse): Promise<void> {
		const {type, text} = await this.#definition.metrics();
		response.writeHead(200, {'content-type': type});
		response.end(text);
	}

	/** Accepts an announcement. One that names another upstream than the settings comes from another process and is rejected. */
	async #receiveAnnouncement(request: IncomingMessage, response: ServerResponse, instance: string | undefined): Promise<void> {
		this.#requireSameVm(request);
		const {upstream, core} = this.#definition;
		const body = await readBody(request, maximumAnnouncementBytes);
		const announcement = parseAnnouncement(body.toString('utf8'), instance);
		const isOther = upstream !== undefined && (announcement.address !== upstream.address || announcement.service !== upstream.service);
		if (isOther) {
			throw new LaburnumspoolError(ErrorKind.Malformed, `Expected an announcement of ${upstream.service} at ${upstream.address}, got ${announcement.service} at ${announcement.address}`);
		}

		core.post({type: CoreMessageType.UpstreamAnnounced, announcement});
		response.writeHead(204).end();
	}

	async #receiveWithdrawal(request: IncomingMessage, response: ServerResponse, instance: string | undefined): Promise<void> {
		this.#requireSameVm(request);
		const body = await readBody(request, maximumAnnouncementBytes);
		this.#definition.core.post({type: CoreMessageType.UpstreamWithdrawn, withdrawal: {instance, birth: tryParseBirth(body.toString('utf8'))}});
		response.writeHead(204).end();
	}

	#requireSameVm(request: IncomingMessage): void {
		const {remoteAddress = ''} = request.socket;
		if (!loopbackAddresses.has(remoteAddress) && remoteAddress !== this.#definition.host) {
			throw new LaburnumspoolError(ErrorKind.Malformed, `Expected a request from the same VM, got one from ${remoteAddress}`);
		}
	}
}

/** Answers where a request would go. */
async function sendExplanation(request: IncomingMessage, response: ServerResponse, explain: (question: Question) => Explanation): Promise<void> {
	const body = await readBody(request, maximumQuestionBytes);
	sendJson(response, 200, explain(parseQuestion(body.toString('utf8'))));
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}

/** Reads the birth of the withdrawn incarnation; undefined, which stands for the present incarnation, without a valid body. */
function tryParseBirth(text: string): number | undefined {
	try {
		const {birth} = JSON.parse(text) as {birth?: unknown};
		return typeof birth === 'number' ? birth : undefined;
	} catch {
		return undefined;
	}
}
