/**
 * Collection of one large frame: the head of its message first, so that the receiver can decide whether to keep the rest.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {ErrorKind, LaburnumspoolError} from '@laburnumspool/core';

/** Length of a content above which a frame counts as large. */
export const largeFrameBytes = 64 * 1024;

const headLengthBytes = 4;

/** The parser of callers' requests limits headers to far less. */
const maximumHeadBytes = 1024 * 1024;

const emptyBuffer = Buffer.alloc(0);

/** A large frame whose content has not arrived yet. */
export type StartedFrame<Type> = {
	readonly type: Type;
	/** Announced length of the content. */
	readonly contentBytes: number;
	/** Beginning of the content up to the end of the message's head; empty for types without a decision by their head. */
	readonly beginning: Buffer;
};

/** Receives the content of a large frame. Exactly one of the functions is called, once. */
export type LargeFrameReceiver = {
	readonly complete: (content: Buffer) => void;
	/** The connection was closed before the content was complete. */
	readonly abandon: () => void;
};

/** Decides about a large frame; undefined when its content is discarded as it arrives. */
export type StartLargeFrame<Type> = (frame: StartedFrame<Type>) => LargeFrameReceiver | undefined;

/** A buffer of known size that is filled piece by piece. */
class FilledBuffer {
	readonly buffer: Buffer;
	#filledBytes = 0;

	constructor(size: number) {
		// Not taken from the shared pool, which a small view would keep alive. Pages without data take no memory.
		this.buffer = Buffer.allocUnsafeSlow(size);
	}

	get isFull(): boolean {
		return this.#filledBytes === this.buffer.length;
	}

	/** Copies as many bytes as fit and returns the others. */
	fill(bytes: Buffer): Buffer {
		const copiedBytes = bytes.copy(this.buffer, this.#filledBytes);
		this.#filledBytes += copiedBytes;
		return bytes.subarray(copiedBytes);
	}
}

/**
 * Collects one large frame into one buffer, or discards it.
 *
 * @example
 * const frame = new LargeFrame({type, contentBytes, hasHead: true}, start);
 * const rest = frame.add(chunk); // bytes after the end of the frame
 */
export class LargeFrame<Type> {
	readonly #type: Type;
	readonly #contentBytes: number;
	readonly #start: StartLargeFrame<Type>;
	/** The length of the head, then also the head; undefined after the decision. */
	#beginning: FilledBuffer | undefined;
	#receiver: LargeFrameReceiver | undefined;
	/** Undefined when the content is discarded. */
	#content: FilledBuffer | undefined;
	#missingBytes: number;

	/** @param options - `hasHead`: whether the decision needs the head of the message */
	constructor({type, contentBytes, hasHead}: {readonly type: Type; readonly contentBytes: number; readonly hasHead: boolean}, start: StartLargeFrame<Type>) {
		this.#type = type;
		this.#contentBytes = contentBytes;
		this.#missingBytes = contentBytes;
		this.#start = start;
		if (hasHead) {
			this.#beginning = new FilledBuffer(headLengthBytes);
		} else {
			this.#decide(emptyBuffer);
		}
	}

	get isComplete(): boolean {
		return this.#missingBytes === 0;
	}

	/** Adds bytes and returns those after the end of the frame; throws `malformed` when the head does not fit the frame. */
	add(bytes: Buffer): Buffer {
		const content = this.#beginning === undefined ? bytes : this.#addToBeginning(this.#beginning, bytes);
		if (this.#beginning !== undefined) {
			return content;
		}

		const rest = content.subarray(this.#missingBytes);
		this.#content?.fill(content.subarray(0, this.#missingBytes));
		this.#missingBytes -= content.length - rest.length;
		if (this.isComplete && this.#content !== undefined) {
			const receiver = this.#receiver;
			this.#receiver = undefined;
			receiver?.complete(this.#content.buffer);
		}

		return rest;
	}

	/** Reports an incomplete frame as abandoned. */
	abandon(): void {
		this.#receiver?.abandon();
		this.#receiver = undefined;
	}

	#addToBeginning(beginning: FilledBuffer, bytes: Buffer): Buffer {
		const rest = beginning.fill(bytes);
		if (!beginning.isFull) {
			return rest;
		}

		const beginningBytes = headLengthBytes + beginning.buffer.readUInt32BE(0);
		if (beginningBytes > Math.min(this.#contentBytes, headLengthBytes + maximumHeadBytes)) {
			const description = `A message of ${this.#contentBytes} bytes has a head of ${beginningBytes - headLengthBytes} bytes`;
			throw new LaburnumspoolError(ErrorKind.Malformed, `${description}: expected at most ${maximumHeadBytes}, within the message`);
		}

		if (beginning.buffer.length === beginningBytes) {
			this.#beginning = undefined;
			this.#decide(beginning.buffer);
			return rest;
		}

		this.#beginning = new FilledBuffer(beginningBytes);
		this.#beginning.fill(beginning.buffer);
		return this.#addToBeginning(this.#beginning, rest);
	}

	#decide(beginning: Buffer): void {
		this.#receiver = this.#start({type: this.#type, contentBytes: this.#contentBytes, beginning});
		this.#missingBytes = this.#contentBytes - beginning.length;
		if (this.#receiver !== undefined) {
			this.#content = new FilledBuffer(this.#contentBytes);
			this.#content.fill(beginning);
		}
	}
}
