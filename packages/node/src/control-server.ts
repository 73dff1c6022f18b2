/**
 * The gRPC server for control between nodes and for the time line.
 *
 * @module
 */
import {
	Server, ServerCredentials, status, type sendUnaryData, type ServerUnaryCall,
} from '@grpc/grpc-js';
import {isGone, isSameHolder, LaburnumspoolError} from '@laburnumspool/core';
import {fromWireAtMostOnceMessage} from '@laburnumspool/protocol';
import {controlService, type wire} from '@laburnumspool/protocol/control';
import {CoreMessageType, type CoreTask} from './core-task.js';

/** Longest message: all claims of one range, whose answers may take all the memory that a node has for them. */
const messageBytes = 64 * 1024 * 1024;

type Unary<Request, Reply> = (call: ServerUnaryCall<Request, Reply>, callback: sendUnaryData<Reply>) => void;

/** Answers one call; an error of the closed list tells the other side what was wrong with its message. */
function answer<Request, Reply>(make: (request: Request) => Reply): Unary<Request, Reply> {
	return (call, callback) => {
		try {
			callback(null, make(call.request));
		} catch (error) {
			const details = error instanceof LaburnumspoolError ? error.message : 'The message could not be processed';
			callback({code: status.INVALID_ARGUMENT, details});
		}
	};
}

/**
 * Control of one node.
 *
 * @example
 * const server = new ControlServer(core);
 * await server.listen(7201, '127.0.0.1');
 */
export class ControlServer {
	readonly #core: CoreTask;
	readonly #server = new Server({'grpc.max_receive_message_length': messageBytes});

	constructor(core: CoreTask) {
		this.#core = core;
		this.#server.addService(controlService, {
			pullRecord: answer((request: wire.IRecordRequest) => this.#pullRecord(request)),
			sendOnce: answer((request: wire.IOnceEnvelope) => this.#takeOnce(request)),
			readEvents: answer((request: wire.IEventsRequest) => this.#readEvents(request)),
		});
	}

	async listen(port: number, host: string): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.bindAsync(`${host}:${port}`, ServerCredentials.createInsecure(), error => {
				if (error === null) {
					resolve();
				} else {
					reject(error);
				}
			});
		});
	}

	close(): void {
		this.#server.forceShutdown();
	}

	#pullRecord(request: wire.IRecordRequest): wire.IRecordReply {
		const record = this.#core.core.record(request.service ?? '');
		return record === undefined || record.version <= (request.above ?? 0)
			? {version: record?.version ?? 0, record: ''}
			: {version: record.version, record: JSON.stringify(record.record)};
	}

	#takeOnce(request: wire.IOnceEnvelope): wire.IEmpty {
		const from = {name: request.from?.name ?? '', incarnation: request.from?.incarnation ?? 0};
		const to = {name: request.to?.name ?? '', incarnation: request.to?.incarnation ?? 0};
		if (!isSameHolder(to, this.#core.core.own)) {
			return {};
		}

		(request.messages ?? []).map(message => this.#core.post({type: CoreMessageType.OnceArrived, from, message: fromWireAtMostOnceMessage(message)}));
		return {};
	}

	#readEvents(request: wire.IEventsRequest): wire.IEventsReply {
		const {events, core} = this.#core;
		return {
			events: events.since(request.since ?? 0),
			dropped: events.dropped,
			members: core.members.filter(member => !isGone(member)).map(member => `${member.host}:${member.controlPort}`),
		};
	}
}
