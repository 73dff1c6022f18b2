/**
 * The gRPC service of the control protocol between nodes.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {makeGenericClientConstructor, type MethodDefinition, type ServiceDefinition} from '@grpc/grpc-js';
import {laburnumspool} from '../generated/control.js';

const {control} = laburnumspool;

/** Message types of the generated codec. */
export import wire = laburnumspool.control;

type Codec<Message, Input> = {
	encode: (message: Input) => {finish: () => Uint8Array};
	decode: (content: Uint8Array) => Message;
};

function method<Request extends object, Reply extends object>(name: string, request: Codec<Request, Request>, reply: Codec<Reply, Reply>): MethodDefinition<Request, Reply> {
	return {
		path: `/laburnumspool.control.Control/${name}`,
		requestStream: false,
		responseStream: false,
		requestSerialize: message => Buffer.from(request.encode(message).finish()),
		requestDeserialize: content => request.decode(content),
		responseSerialize: message => Buffer.from(reply.encode(message).finish()),
		responseDeserialize: content => reply.decode(content),
	};
}

/** Service definition for servers and clients. */
export const controlService = {
	pullRecord: method<wire.IRecordRequest, wire.IRecordReply>('PullRecord', control.RecordRequest, control.RecordReply),
	sendOnce: method<wire.IOnceEnvelope, wire.IEmpty>('SendOnce', control.OnceEnvelope, control.Empty),
	readEvents: method<wire.IEventsRequest, wire.IEventsReply>('ReadEvents', control.EventsRequest, control.EventsReply),
} satisfies ServiceDefinition;

export const ControlClient = makeGenericClientConstructor(controlService, 'Control');
