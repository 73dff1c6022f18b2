/**
 * Plans the disruptions of a soak. A disruption may start before the previous one has ended.
 *
 * @module
 */
import {seededRandom} from '@laburnumspool/load';
import {UpstreamFault} from '@laburnumspool/standin-upstream';

export enum DisruptionType {
	/** Stops a node as planned and starts it again. */
	Stop = 'stop',
	/** Stops a node as planned, which gets a second signal while it stops, and starts it again. */
	StopTwice = 'stop-twice',
	/** Stops a node as planned while a call is in flight that outlasts the time limit of the stop, and starts it again. */
	LongStop = 'stop-long',
	/** Stops several nodes as planned, one soon after the other, and starts them again. */
	StopSeries = 'stop-series',
	/** Kills a node's process and starts it again. */
	Kill = 'kill',
	/** Suspends a node's process for the duration. */
	Freeze = 'freeze',
	/** The upstreams of a service apply the planned fault to a share of their answers. */
	FaultyAnswers = 'spoil',
	SlowUpstreams = 'slow',
	StoreDown = 'store-down',
	StoreSlow = 'store-slow',
	/** Writes to the store take effect without a confirmation. */
	StoreLosesConfirmations = 'store-forgetful',
	/** An operator ships the next version of the manifest. */
	Ship = 'ship',
	/** An upstream announces that it drains, withdraws, and is ready again, while its node keeps running. */
	Drain = 'drain',
	/** Adds a burst of less important requests. */
	Burst = 'burst',
}

/** One disruption; `at` in milliseconds since the start of the load, `milliseconds` its duration. */
export type Disruption = {
	readonly at: number;
	readonly type: DisruptionType;
	readonly milliseconds: number;
	/** Position of the affected instance or service in its list, as a number in [0, 1). */
	readonly target: number;
	/** Fault of the upstreams, used by `DisruptionType.FaultyAnswers`. */
	readonly fault: UpstreamFault;
	/** Second signal, used by `DisruptionType.StopTwice`. */
	readonly signal: NodeJS.Signals;
};

const maximumGapMilliseconds = 900;
const minimumDurationMilliseconds = 200;
const maximumDurationMilliseconds = 1500;
const types = Object.values(DisruptionType);
const signals: readonly NodeJS.Signals[] = ['SIGTERM', 'SIGINT', 'SIGHUP'];
const faults = [
	UpstreamFault.ResetBefore,
	UpstreamFault.ResetAfter,
	UpstreamFault.HalfAnswer,
	UpstreamFault.HalfChunked,
	UpstreamFault.HalfUnframed,
	UpstreamFault.RepeatedAnswer,
	UpstreamFault.WrongRequestId,
	UpstreamFault.Endless,
];

/**
 * Plans the disruptions of a run; the same seed gives the same plan.
 *
 * @example
 * planDisruptions(7, 20_000);
 */
export function planDisruptions(seed: number, milliseconds: number): Disruption[] {
	const random = seededRandom(seed);
	const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;
	const plan: Disruption[] = [];
	let at = random() * maximumGapMilliseconds;
	while (at < milliseconds) {
		plan.push({
			at,
			type: pick(types),
			milliseconds: minimumDurationMilliseconds + (random() * (maximumDurationMilliseconds - minimumDurationMilliseconds)),
			target: random(),
			fault: pick(faults),
			signal: pick(signals),
		});
		at += random() * maximumGapMilliseconds;
	}

	return plan;
}
