/**
 * Plans an open-loop run: each request has a fixed send time that does not depend on the outcome of earlier requests.
 *
 * @module
 */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {Profile, ProfileRequest} from './profile.js';

/** A planned request. */
export type Arrival = {
	/** Planned send time, in milliseconds since the start of the run. */
	readonly offsetMilliseconds: number;
	readonly phase: string;
	readonly request: ProfileRequest;
	/** Position in the plan, from 0. */
	readonly index: number;
	/** Address (HOST:PORT) of the node that the request is sent to. */
	readonly node: string;
};

/**
 * Returns a generator of uniformly distributed numbers in [0, 1). The same seed gives the same sequence.
 *
 * @example
 * const random = seededRandom(7);
 * random();
 */
export function seededRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}

/**
 * Plans a run: Poisson arrivals of each kind of request in each phase, ordered by send time. The same profile gives the same plan.
 *
 * @example
 * planArrivals(profile);
 */
export function planArrivals(profile: Profile): Arrival[] {
	const random = seededRandom(profile.seed);
	const phaseStarts = profile.phases.map((_, index) => profile.phases.slice(0, index).reduce((sum, phase) => sum + (phase.seconds * 1000), 0));
	const arrivals = profile.phases.flatMap((phase, index) => profile.requests.flatMap(request => {
		const times = poissonTimes(request.perSecond * phase.factor, phase.seconds * 1000, random);
		return times.map(time => ({offsetMilliseconds: phaseStarts[index]! + time, phase: phase.name, request}));
	}));
	return arrivals
		.toSorted((left, right) => left.offsetMilliseconds - right.offsetMilliseconds)
		.map((arrival, index) => ({...arrival, index, node: profile.nodes[Math.floor(random() * profile.nodes.length)]!}));
}

function poissonTimes(perSecond: number, durationMilliseconds: number, random: () => number): number[] {
	const times: number[] = [];
	let time = 0;
	for (;;) {
		time -= Math.log(1 - random()) * 1000 / perSecond;
		if (time >= durationMilliseconds) {
			return times;
		}

		times.push(time);
	}
}
