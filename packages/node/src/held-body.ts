/**
 * Buffer for one body of a caller, whose bytes are reserved in the memory budget.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {freeChunk} from './memory-release.js';
import type {Reservation} from './memory-budget.js';

/** Largest body in ordinary memory, and step in which the reservation of a body without a length grows. */
const stepBytes = 64 * 1024;

/** Growth of the memory of a body without a length. */
const growthFactor = 2;

/** Array buffer that grows without being copied, up to the size given at its creation. ES2023 does not declare it. */
type ResizableMemory = ArrayBuffer & {readonly resize: (bytes: number) => void};

function createMemory(bytes: number, maximumBytes: number): ResizableMemory {
	return Reflect.construct(ArrayBuffer, [bytes, {maxByteLength: maximumBytes}]) as ResizableMemory;
}

export type HeldBodyDefinition = {
	readonly reservation: Reservation;
	/** Announced length in bytes; undefined for a body in chunks. */
	readonly announcedBytes: number | undefined;
	/** Largest body that is accepted, in bytes. */
	readonly maximumBytes: number;
};

/**
 * Collects the chunks of a body. A body with a length is written into one buffer of that length, another one into memory
 * that grows in place. Pages that were not written yet take no memory, so only received bytes are reserved for it.
 *
 * The memory of a body above 64 KiB that is not used is freed at once: before the garbage collector has freed it, the
 * budget would admit other bodies, and a flood of refused bodies took 200 MB beside the budget.
 *
 * @example
 * const body = new HeldBody({reservation, announcedBytes: 12, maximumBytes: 1024});
 * if (body.reserveFor(chunk.length)) {
 * 	body.add(chunk);
 * }
 */
export class HeldBody {
	readonly #definition: HeldBodyDefinition;
	#memory: ResizableMemory | undefined;
	#buffer: Buffer;
	#length = 0;

	constructor(definition: HeldBodyDefinition) {
		this.#definition = definition;
		const {announcedBytes = 0} = definition;
		this.#memory = announcedBytes > stepBytes ? createMemory(announcedBytes, announcedBytes) : undefined;
		this.#buffer = this.#memory === undefined ? Buffer.allocUnsafe(announcedBytes) : Buffer.from(this.#memory);
	}

	get length(): number {
		return this.#length;
	}

	/** All bytes so far, without a copy. */
	get bytes(): Buffer {
		return this.#buffer.subarray(0, this.#length);
	}

	/** Reserves memory for further bytes; false when they don't fit the budget. */
	reserveFor(bytes: number): boolean {
		const {reservation, maximumBytes} = this.#definition;
		const missingBytes = this.#length + bytes - reservation.bytes;
		return missingBytes <= 0 || reservation.grow(Math.max(missingBytes, Math.min(stepBytes, maximumBytes - reservation.bytes)));
	}

	/** Appends bytes for which memory is reserved. The chunk is empty afterwards. */
	add(chunk: Buffer): void {
		const length = this.#length + chunk.length;
		if (length > this.#buffer.length) {
			this.#enlarge(length);
		}

		chunk.copy(this.#buffer, this.#length);
		this.#length = length;
		freeChunk(chunk);
	}

	/** Discards the bytes, whose views become empty, and returns the reservation. */
	release(): void {
		this.#memory?.resize(0);
		this.#memory = undefined;
		this.#buffer = Buffer.alloc(0);
		this.#length = 0;
		this.#definition.reservation.release();
	}

	#enlarge(length: number): void {
		const {maximumBytes} = this.#definition;
		const capacity = Math.min(Math.max(length, this.#buffer.length * growthFactor), maximumBytes);
		if (this.#memory !== undefined) {
			this.#memory.resize(capacity);
			this.#buffer = Buffer.from(this.#memory);
			return;
		}

		this.#memory = capacity > stepBytes ? createMemory(capacity, maximumBytes) : undefined;
		const buffer = this.#memory === undefined ? Buffer.allocUnsafe(capacity) : Buffer.from(this.#memory);
		this.#buffer.copy(buffer, 0, 0, this.#length);
		this.#buffer = buffer;
	}
}
