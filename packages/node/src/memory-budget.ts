/**
 * Budget for the bytes of bodies that a node holds in memory.
 *
 * @module
 */
import {Importance} from '@laburnumspool/core';

/** Bodies up to this size may use the whole budget, so that ordinary requests are read while large bodies fill their part. */
export const smallBodyBytes = 64 * 1024;

/** Part of the budget that bodies above `smallBodyBytes` cannot use. */
const smallBodyShare = 1 / 8;

/** Share of the part for large bodies that may be in use when a large body of the importance is admitted. */
const usableShares: Readonly<Record<Importance, number>> = {
	[Importance.Low]: 0.7,
	[Importance.Normal]: 0.8,
	[Importance.High]: 0.9,
	[Importance.Critical]: 1,
};

/** Bytes that one body has reserved. */
export type Reservation = {
	readonly bytes: number;
	/** Reserves further bytes; false, without any change, when they don't fit. */
	readonly grow: (bytes: number) => boolean;
	/** Returns all bytes. Further calls have no effect. */
	readonly release: () => void;
};

/**
 * Counts the bytes of the bodies that a node holds, and admits further ones while there is room.
 *
 * @example
 * const budget = new MemoryBudget(96 * 1024 * 1024);
 * const reservation = budget.reserve(8_000_000, Importance.Normal);
 * reservation?.release();
 */
export class MemoryBudget {
	#totalBytes: number;
	#heldBytes = 0;

	/** @param totalBytes - bytes that may be reserved in all */
	constructor(totalBytes: number) {
		this.#totalBytes = totalBytes;
	}

	/** Bytes that are reserved or held. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	get totalBytes(): number {
		return this.#totalBytes;
	}

	/** Raises the budget so that it admits at least one body of the given size. */
	raiseTo(totalBytes: number): void {
		this.#totalBytes = Math.max(this.#totalBytes, totalBytes);
	}

	/** Reserves bytes for a body before it is read; undefined when they don't fit. */
	reserve(bytes: number, importance: Importance): Reservation | undefined {
		return this.#fits(0, bytes, importance) ? this.#createReservation(bytes, importance) : undefined;
	}

	/** Whether `reserve` would admit a body at this moment. */
	hasRoomFor(bytes: number, importance: Importance): boolean {
		return this.#fits(0, bytes, importance);
	}

	/** Counts bytes that the node holds already, such as an answer, whether they fit or not. */
	hold(bytes: number): Reservation {
		return this.#createReservation(bytes, Importance.Critical);
	}

	/** @param reservedBytes - bytes that the body has reserved before */
	#fits(reservedBytes: number, bytes: number, importance: Importance): boolean {
		const heldAfter = this.#heldBytes + bytes;
		if (reservedBytes + bytes <= smallBodyBytes) {
			return heldAfter <= this.#totalBytes;
		}

		const largeBodyBytes = this.#totalBytes * (1 - smallBodyShare);
		const othersHeldBytes = this.#heldBytes - reservedBytes;
		return heldAfter <= largeBodyBytes && othersHeldBytes <= largeBodyBytes * usableShares[importance];
	}

	#createReservation(initialBytes: number, importance: Importance): Reservation {
		let reservedBytes = initialBytes;
		this.#heldBytes += initialBytes;
		return {
			get bytes() {
				return reservedBytes;
			},
			grow: bytes => {
				if (!this.#fits(reservedBytes, bytes, importance)) {
					return false;
				}

				reservedBytes += bytes;
				this.#heldBytes += bytes;
				return true;
			},
			release: () => {
				this.#heldBytes -= reservedBytes;
				reservedBytes = 0;
			},
		};
	}
}
