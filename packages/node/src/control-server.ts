/**
 * The gRPC server for control messages between nodes and for the time line.
 *
 * @module
 */
import {
	Server, ServerCredentials, status, type sendUnaryData, type ServerUnaryCall,
} from '@grpc/grpc-js';
import {isDeadOrLeft, isSameHolder, LaburnumspoolError} from '@laburnumspool/core';
import {fromWireAtMostOnceMessage} from '@laburnumspool/protocol';
import {controlService, type wire} from '@laburnumspool/protocol/control';
import {CoreMessageType, type CoreTask} from './core-task.js';

/** A message may carry all claims of one range, whose stored answers may fill the memory that a node reserves for them. */
const maximumMessageBytes = 64 * 1024 * 1024;

type Unary<Request, Reply> = (call: ServerUnaryCall<Request, Reply>, callback: sendUnaryData<Reply>) => void;

/** Wraps a handler as a unary call. An error is returned as INVALID_ARGUMENT, with its message if it is a LaburnumspoolError. */
function unaryHandler<Request, Reply>(handle: (request: Request) => Reply): Unary<Request, Reply> {
	return (call, callback) => {
		try {
			callback(null, handle(call.request));
		} catch (error) {
			const details = error instanceof LaburnumspoolError ? error.message : 'The node could not process the message';
			callback({code: status.INVALID_ARGUMENT, details});
		}
	};
}

/**
 * Serves the control calls of one node. At-most-once messages to another incarnation of the node are ignored.
 *
 * @example
 * const server = new ControlServer(core);
 * await server.listen(7201, '127.0.0.1');
 */
export class ControlServer {
	readonly #core: CoreTask;
	readonly #server = new Server({'grpc.max_receive_message_length': maximumMessageBytes});

	constructor(core: CoreTask) {
		this.#core = core;
		this.#server.addService(controlService, {
			pullRecord: unaryHandler((request: wire.IRecordRequest) => this.#pullRecord(request)),
			sendOnce: unaryHandler((request: wire.IOnceEnvelope) => this.#receiveAtMostOnce(request)),
			readEvents: unaryHandler((request: wire.IEventsRequest) => this.#readEvents(request)),
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

	#receiveAtMostOnce(request: wire.IOnceEnvelope): wire.IEmpty {
		const from = {name: request.from?.name ?? '', incarnation: request.from?.incarnation ?? 0};
		const to = {name: request.to?.name ?? '', incarnation: request.to?.incarnation ?? 0};
		if (!isSameHolder(to, this.#core.core.own)) {
			return {};
		}

		(request.messages ?? []).map(message => this.#core.post({type: CoreMessageType.AtMostOnceMessageArrived, from, message: fromWireAtMostOnceMessage(message)}));
		return {};
	}

	#readEvents(request: wire.IEventsRequest): wire.IEventsReply {
		const {events, core} = this.#core;
		return {
			events: events.since(request.since ?? 0),
			dropped: events.dropped,
			members: core.members.filter(member => !isDeadOrLeft(member)).map(member => `${member.host}:${member.controlPort}`),
		};
	}
}
