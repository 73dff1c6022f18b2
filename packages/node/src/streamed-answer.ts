/**
 * An answer to a caller whose body is written while it arrives.
 *
 * @module
 */
import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';

/**
 * Writes the body of one answer. Bytes count as consumed once they have left the buffers of the process.
 *
 * @example
 * const answer = new StreamedAnswer(response, bodyBytes, bytes => streams.consumed(callId, bytes));
 * answer.write(chunk);
 * answer.finish();
 */
export class StreamedAnswer {
	readonly #response: ServerResponse;
	readonly #bodyBytes: number | undefined;
	readonly #consumed: (bytes: number) => void;
	#writtenBytes = 0;
	#bufferedBytes = 0;

	/** @param bodyBytes - the announced length of the body */
	constructor(response: ServerResponse, bodyBytes: number | undefined, consumed: (bytes: number) => void) {
		this.#response = response;
		this.#bodyBytes = bodyBytes;
		this.#consumed = consumed;
		response.on('drain', () => {
			const bytes = this.#bufferedBytes;
			this.#bufferedBytes = 0;
			this.#consumed(bytes);
		});
	}

	write(chunk: Buffer): void {
		this.#writtenBytes += chunk.length;
		if (this.#response.write(chunk)) {
			this.#consumed(chunk.length);
		} else {
			this.#bufferedBytes += chunk.length;
		}
	}

	/** Ends the answer; breaks it off when the body does not have the announced length. */
	finish(): void {
		if (this.#bodyBytes === undefined || this.#bodyBytes === this.#writtenBytes) {
			this.#response.end();
		} else {
			this.breakOff();
		}
	}

	/**
	 * Closes the connection before the end of the body. A body whose end is that of its connection is reset, so that the caller
	 * cannot take it for a complete one. Others are not, since a reset may discard earlier answers that the caller has not read.
	 */
	breakOff(): void {
		const {socket, chunkedEncoding} = this.#response;
		if (socket === null || chunkedEncoding || this.#bodyBytes !== undefined) {
			this.#response.destroy();
		} else {
			socket.resetAndDestroy();
		}
	}
}
