/**
 * Bodies of answers that are passed on while they arrive, with backpressure from the receiver to the sender.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';

/** Bytes of one body that are in the memory of the system's processes and not yet consumed by the caller. */
export const streamWindowBytes = 256 * 1024;

/** Where the body of an answer comes from. */
export type AnswerSource = {
	/** Called when the sink has consumed bytes, so that the source may send more. */
	readonly consumed: (bytes: number) => void;
};

/** Where the body of an answer goes. */
export type AnswerSink = {
	readonly write: (chunk: Buffer) => void;
};

type AnswerStream = {
	readonly source: AnswerSource;
	sink: AnswerSink | undefined;
	/** Chunks that arrived before the sink was known. The source limits them, since they are not consumed. */
	pendingChunks: Buffer[];
};

/**
 * The streams of one node, by call id.
 *
 * @example
 * streams.open(callId, {consumed: bytes => flow.consumed(bytes)});
 * streams.attach(callId, {write: chunk => link.send(FrameType.AnswerChunk, chunk)});
 * streams.push(callId, chunk);
 * streams.consumed(callId, chunk.length);
 * streams.close(callId);
 */
export class AnswerStreams {
	readonly #streams = new Map<string, AnswerStream>();

	get size(): number {
		return this.#streams.size;
	}

	open(callId: string, source: AnswerSource): void {
		this.#streams.set(callId, {source, sink: undefined, pendingChunks: []});
	}

	/** Sets the sink and passes it the chunks that have arrived; false when the stream is closed. */
	attach(callId: string, sink: AnswerSink): boolean {
		const stream = this.#streams.get(callId);
		if (stream === undefined) {
			return false;
		}

		stream.sink = sink;
		const {pendingChunks} = stream;
		stream.pendingChunks = [];
		pendingChunks.map(chunk => {
			sink.write(chunk);
			return chunk;
		});
		return true;
	}

	/** Passes a chunk on. A chunk of a closed stream is dropped: its caller is gone, or its call has ended with an error. */
	push(callId: string, chunk: Buffer): void {
		const stream = this.#streams.get(callId);
		if (stream?.sink === undefined) {
			stream?.pendingChunks.push(chunk);
		} else {
			stream.sink.write(chunk);
		}
	}

	/** Records that the sink has consumed bytes. */
	consumed(callId: string, bytes: number): void {
		this.#streams.get(callId)?.source.consumed(bytes);
	}

	close(callId: string): void {
		this.#streams.delete(callId);
	}
}

/** Pauses and resumes a source so that the bytes in flight stay within the window. */
export type PausableSource = {
	readonly pause: () => void;
	readonly resume: () => void;
};

/**
 * Flow control of one body at its source.
 *
 * @example
 * const flow = new StreamFlow(controller);
 * flow.sent(chunk.length); // pauses the source once the window is full
 * flow.consumed(chunk.length); // resumes it
 */
export class StreamFlow {
	readonly #source: PausableSource;
	#unconsumedBytes = 0;
	#isPaused = false;

	constructor(source: PausableSource) {
		this.#source = source;
	}

	sent(bytes: number): void {
		this.#unconsumedBytes += bytes;
		if (!this.#isPaused && this.#unconsumedBytes >= streamWindowBytes) {
			this.#isPaused = true;
			this.#source.pause();
		}
	}

	consumed(bytes: number): void {
		this.#unconsumedBytes -= bytes;
		if (this.#isPaused && this.#unconsumedBytes < streamWindowBytes) {
			this.#isPaused = false;
			this.#source.resume();
		}
	}
}

/** Share of the window after which a receiver reports the bytes that it has consumed. */
const creditShare = 0.25;

/**
 * Collects the consumed bytes of one body, so that not every chunk causes a message to its source.
 *
 * @example
 * const credit = new StreamCredit(bytes => link.send(FrameType.AnswerCredit, encodeAnswerCredit({callId, bytes})));
 */
export class StreamCredit implements AnswerSource {
	readonly #report: (bytes: number) => void;
	#bytes = 0;

	constructor(report: (bytes: number) => void) {
		this.#report = report;
	}

	consumed(bytes: number): void {
		this.#bytes += bytes;
		if (this.#bytes >= streamWindowBytes * creditShare) {
			const consumedBytes = this.#bytes;
			this.#bytes = 0;
			this.#report(consumedBytes);
		}
	}
}
