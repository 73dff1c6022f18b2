/**
 * Frames on a connection between two nodes: four bytes with the length of the rest, one byte with the type, and the
 * content.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';
import {LargeFrame, largeFrameBytes, type StartLargeFrame} from './large-frame.js';

const lengthBytes = 4;
const headerBytes = lengthBytes + 1;
const emptyBuffer = Buffer.alloc(0);

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

/** Types whose frames are kept or discarded by the head of their message. */
const typesDecidedByHead: ReadonlySet<FrameType> = new Set([FrameType.Call]);

/**
 * Splits a stream of bytes into frames. Small frames are views of the received chunks where possible. A large frame is
 * copied once, into a buffer of its announced length.
 *
 * @example
 * const reader = new FrameReader(1024 * 1024);
 * reader.push(chunk); // the frames that are complete now; throws `malformed` when the bytes are not a frame
 */
export class FrameReader {
	readonly #maximumBytes: number;
	readonly #startLargeFrame: StartLargeFrame<FrameType> | undefined;
	#chunks: Buffer[] = [];
	#bufferedBytes = 0;
	/** Buffered bytes that complete the next header or small frame. */
	#requiredBytes = headerBytes;
	#largeFrame: LargeFrame<FrameType> | undefined;
	#isAbandoned = false;
	/** Receives the frames of the current call of `read`; a large frame ends in a later call than the one that starts it. */
	#received: ((frame: Frame) => void) | undefined;

	/** @param startLargeFrame - decides about frames above `largeFrameBytes`; without it they are received as the others */
	constructor(maximumBytes: number, startLargeFrame?: StartLargeFrame<FrameType>) {
		this.#maximumBytes = maximumBytes;
		this.#startLargeFrame = startLargeFrame;
	}

	/** Returns the frames that are complete now; throws `malformed` when the bytes are not a frame. */
	push(chunk: Buffer): Frame[] {
		const frames: Frame[] = [];
		this.read(chunk, frame => {
			frames.push(frame);
		});
		return frames;
	}

	/**
	 * Passes each frame on before it reads the next one, so that the heads of large frames are decoded in the order of the
	 * frames; throws `malformed` when the bytes are not a frame.
	 */
	read(chunk: Buffer, received: (frame: Frame) => void): void {
		this.#received = received;
		let rest = chunk;
		while (rest.length > 0 && !this.#isAbandoned) {
			rest = this.#largeFrame === undefined ? this.#readSmallFrames(rest) : this.#readLargeFrame(this.#largeFrame, rest);
		}
	}

	/** Ends the reading: an incomplete large frame is reported as abandoned, and further bytes are ignored. */
	abandon(): void {
		this.#isAbandoned = true;
		this.#largeFrame?.abandon();
		this.#largeFrame = undefined;
		this.#chunks = [];
	}

	/** Reads up to the end of the chunk or to the header of a large frame, and returns the bytes after that header. */
	#readSmallFrames(chunk: Buffer): Buffer {
		this.#chunks.push(chunk);
		this.#bufferedBytes += chunk.length;
		if (this.#bufferedBytes < this.#requiredBytes) {
			return emptyBuffer;
		}

		let bytes = this.#chunks.length === 1 ? chunk : Buffer.concat(this.#chunks, this.#bufferedBytes);
		this.#chunks = [];
		this.#bufferedBytes = 0;
		this.#requiredBytes = headerBytes;
		while (bytes.length >= this.#requiredBytes && !this.#isAbandoned) {
			const frameBytes = this.#frameBytesOf(bytes);
			if (frameBytes - headerBytes > largeFrameBytes) {
				return this.#startFrame(bytes, frameBytes - headerBytes);
			}

			if (bytes.length < frameBytes) {
				this.#requiredBytes = frameBytes;
			} else {
				const frame = {type: bytes.readUInt8(lengthBytes), content: bytes.subarray(headerBytes, frameBytes)};
				bytes = bytes.subarray(frameBytes);
				this.#received?.(frame);
			}
		}

		this.#chunks = bytes.length === 0 ? [] : [bytes];
		this.#bufferedBytes = bytes.length;
		return emptyBuffer;
	}

	#startFrame(bytes: Buffer, contentBytes: number): Buffer {
		const type: FrameType = bytes.readUInt8(lengthBytes);
		this.#largeFrame = new LargeFrame({type, contentBytes, hasHead: typesDecidedByHead.has(type)}, this.#startLargeFrame ?? (() => ({
			complete: content => {
				this.#received?.({type, content});
			},
			abandon: () => undefined,
		})));
		return bytes.subarray(headerBytes);
	}

	#readLargeFrame(frame: LargeFrame<FrameType>, chunk: Buffer): Buffer {
		const rest = frame.add(chunk);
		if (frame.isComplete) {
			this.#largeFrame = undefined;
		}

		return rest;
	}

	/** Length of the frame that begins with a complete header. */
	#frameBytesOf(bytes: Buffer): number {
		const length = bytes.readUInt32BE(0);
		if (length === 0 || length > this.#maximumBytes || !frameTypes.has(bytes.readUInt8(lengthBytes))) {
			const description = `frame of type ${bytes.readUInt8(lengthBytes)} with ${length} bytes`;
			throw new LaburnumspoolError(ErrorKind.Malformed, `${description}: expected a known type and 1 to ${this.#maximumBytes} bytes`);
		}

		return lengthBytes + length;
	}
}
