/**
 * Reasons for which admission control refuses a call on its arrival.
 *
 * @module
 */
import {ErrorKind} from '../errors.js';

export enum ArrivalRefusal {
	/** The call was cancelled before it arrived. */
	Cancelled = 'cancelled',
	/** The upstream is leaving. */
	Draining = 'draining',
	/** The call cannot finish before its deadline. */
	LittleTime = 'little-time',
	/** The priority is below the overload level. */
	BelowLevel = 'below-level',
	/** The expected wait takes too large a part of the time left. */
	LongWait = 'long-wait',
	/** The queue is full of calls that are at least as important. */
	FullQueue = 'full-queue',
}

/** Kind of the error that answers a refused call. */
export const arrivalRefusalKinds: Readonly<Record<ArrivalRefusal, ErrorKind>> = {
	[ArrivalRefusal.Cancelled]: ErrorKind.Cancelled,
	[ArrivalRefusal.Draining]: ErrorKind.Draining,
	[ArrivalRefusal.LittleTime]: ErrorKind.InsufficientTime,
	[ArrivalRefusal.BelowLevel]: ErrorKind.Overloaded,
	[ArrivalRefusal.LongWait]: ErrorKind.Overloaded,
	[ArrivalRefusal.FullQueue]: ErrorKind.Overloaded,
};
