/**
 * Frames on a connection between two nodes: four bytes with the length of the rest, one byte with the type, and the
 * content.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';

const lengthBytes = 4;
const headerBytes = lengthBytes + 1;

/** Type of a frame. */
export enum FrameType {
	Call = 1,
	Answer = 2,
	/** Cancels a call; the content is the call id. */
	Cancellation = 3,
	/** Result of a cancellation; the content is the result and the call id, separated by a space. */
	CancellationReply = 4,
	/** Health check of the connection; the receiver replies with a pong. */
	Ping = 5,
	Pong = 6,
	/** Starts an answer whose body follows in chunks. `Answer` ends it. */
	AnswerHead = 7,
	AnswerChunk = 8,
	/** Bytes of the chunks that the receiver has consumed. */
	AnswerCredit = 9,
}

export type Frame = {readonly type: FrameType; readonly content: Buffer};

const frameTypes: ReadonlySet<unknown> = new Set(Object.values(FrameType));

/** The five bytes in front of a frame's content: length and type. */
export function encodeFrameHeader(type: FrameType, contentBytes: number): Buffer {
	const header = Buffer.allocUnsafe(headerBytes);
	header.writeUInt32BE(contentBytes + 1, 0);
	header.writeUInt8(type, lengthBytes);
	return header;
}

/**
 * Splits a stream of bytes into frames.
 *
 * @example
 * const reader = new FrameReader(1024 * 1024);
 * reader.push(chunk); // the frames that are complete now; throws `malformed` when the bytes are not a frame
 */
export class FrameReader {
	readonly #maximumBytes: number;
	#chunks: Buffer[] = [];
	#bufferedBytes = 0;
	/** Buffered bytes that complete the next header or frame. */
	#requiredBytes = headerBytes;

	constructor(maximumBytes: number) {
		this.#maximumBytes = maximumBytes;
	}

	push(chunk: Buffer): Frame[] {
		this.#chunks.push(chunk);
		this.#bufferedBytes += chunk.length;
		if (this.#bufferedBytes < this.#requiredBytes) {
			return [];
		}

		let bytes = this.#chunks.length === 1 ? chunk : Buffer.concat(this.#chunks, this.#bufferedBytes);
		const frames: Frame[] = [];
		this.#requiredBytes = this.#requiredBytesOf(bytes);
		while (bytes.length >= this.#requiredBytes) {
			frames.push({type: bytes.readUInt8(lengthBytes), content: bytes.subarray(headerBytes, this.#requiredBytes)});
			bytes = bytes.subarray(this.#requiredBytes);
			this.#requiredBytes = this.#requiredBytesOf(bytes);
		}

		this.#chunks = bytes.length === 0 ? [] : [bytes];
		this.#bufferedBytes = bytes.length;
		return frames;
	}

	#requiredBytesOf(bytes: Buffer): number {
		if (bytes.length < headerBytes) {
			return headerBytes;
		}

		const length = bytes.readUInt32BE(0);
		if (length === 0 || length > this.#maximumBytes || !frameTypes.has(bytes.readUInt8(lengthBytes))) {
			const description = `frame of type ${bytes.readUInt8(lengthBytes)} with ${length} bytes`;
			throw new LaburnumspoolError(ErrorKind.Malformed, `${description}: expected a known type and 1 to ${this.#maximumBytes} bytes`);
		}

		return lengthBytes + length;
	}
}
