/**
 * The plan of a soak: which disruption hits whom and when. They come in series and overlap.
 *
 * @module
 */
import {seededRandom} from '@laburnumspool/load';
import {UpstreamFault} from '@laburnumspool/standin-upstream';

export enum DisruptionType {
	/** A planned stop of a node, and its start again. */
	Stop = 'stop',
	Kill = 'kill',
	/** The process stands still for a while. */
	Freeze = 'freeze',
	/** The upstreams of a service spoil a share of their answers. */
	Spoil = 'spoil',
	Slow = 'slow',
	StoreDown = 'store-down',
	StoreSlow = 'store-slow',
	/** Writes take effect and are not confirmed. */
	StoreForgetful = 'store-forgetful',
	/** An operator ships the next version of the manifest. */
	Ship = 'ship',
	/** An upstream says that it leaves, withdraws, and comes back, while its node lives on. */
	Drain = 'drain',
	/** Much less important work at once. */
	Burst = 'burst',
}

/** One disruption; times in milliseconds since the start of the load. */
export type Disruption = {
	readonly at: number;
	readonly type: DisruptionType;
	readonly milliseconds: number;
	/** Which of the instances, or of the services, it hits: a number in [0, 1). */
	readonly target: number;
	readonly fault: UpstreamFault;
};

const longestGapMilliseconds = 900;
const shortestMilliseconds = 200;
const longestMilliseconds = 1500;
const types = Object.values(DisruptionType);
const faults = [
	UpstreamFault.ResetBefore, UpstreamFault.ResetAfter, UpstreamFault.HalfAnswer, UpstreamFault.HalfChunked, UpstreamFault.HalfUnframed, UpstreamFault.Stutter, UpstreamFault.Foreign, UpstreamFault.Endless,
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
	const planned: Disruption[] = [];
	let at = random() * longestGapMilliseconds;
	while (at < milliseconds) {
		planned.push({
			at,
			type: pick(types),
			milliseconds: shortestMilliseconds + (random() * (longestMilliseconds - shortestMilliseconds)),
			target: random(),
			fault: pick(faults),
		});
		at += random() * longestGapMilliseconds;
	}

	return planned;
}
