/**
 * Frames on a link between two nodes: four bytes with the length of what follows, one byte with the type, the content.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';

const lengthBytes = 4;
const headBytes = lengthBytes + 1;

/** Types of frames. */
export enum FrameType {
	Call = 1,
	Answer = 2,
	/** Gives a call up; the content is its id. */
	Cancellation = 3,
	/** Says what became of a cancelled call: the result and the id, with a space between. */
	CancellationReply = 4,
	/** Asks for a sign of life. */
	Ping = 5,
	Pong = 6,
}

/** One frame. */
export type Frame = {readonly type: FrameType; readonly content: Buffer};

const frameTypes: ReadonlySet<number> = new Set([FrameType.Call, FrameType.Answer, FrameType.Cancellation, FrameType.CancellationReply, FrameType.Ping, FrameType.Pong]);

/** The bytes in front of a frame's content. */
export function encodeFrameHeader(type: FrameType, contentBytes: number): Buffer {
	const head = Buffer.allocUnsafe(headBytes);
	head.writeUInt32BE(contentBytes + 1, 0);
	head.writeUInt8(type, lengthBytes);
	return head;
}

/**
 * Cuts a stream of bytes into frames.
 *
 * @example
 * const reader = new FrameReader(1024 * 1024);
 * reader.push(chunk); // the frames that are whole now; throws `malformed` on what is no frame
 */
export class FrameReader {
	readonly #maximumBytes: number;
	#chunks: Buffer[] = [];
	#length = 0;
	/** Bytes that must be there before the next look. */
	#wanted = headBytes;

	constructor(maximumBytes: number) {
		this.#maximumBytes = maximumBytes;
	}

	push(chunk: Buffer): Frame[] {
		this.#chunks.push(chunk);
		this.#length += chunk.length;
		if (this.#length < this.#wanted) {
			return [];
		}

		let bytes = this.#chunks.length === 1 ? chunk : Buffer.concat(this.#chunks, this.#length);
		const frames: Frame[] = [];
		this.#wanted = this.#wantedOf(bytes);
		while (bytes.length >= this.#wanted) {
			frames.push({type: bytes.readUInt8(lengthBytes), content: bytes.subarray(headBytes, this.#wanted)});
			bytes = bytes.subarray(this.#wanted);
			this.#wanted = this.#wantedOf(bytes);
		}

		this.#chunks = bytes.length === 0 ? [] : [bytes];
		this.#length = bytes.length;
		return frames;
	}

	#wantedOf(bytes: Buffer): number {
		if (bytes.length < headBytes) {
			return headBytes;
		}

		const length = bytes.readUInt32BE(0);
		if (length === 0 || length > this.#maximumBytes || !frameTypes.has(bytes.readUInt8(lengthBytes))) {
			throw new LaburnumspoolError(ErrorKind.Malformed, `A frame of type ${bytes.readUInt8(lengthBytes)} with ${length} bytes is not known`);
		}

		return lengthBytes + length;
	}
}
