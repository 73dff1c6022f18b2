/**
 * Simulation of callers of several organisations at one upstream, in virtual time and without a network.
 *
 * @module
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	AdmissionController, AdmissionEffectType, allAdmissionMechanisms, cohortCount, DispatchOutcome, priorityOf, type AdmissionEffect, type Importance, type Work,
} from '../index.js';

const slots = 8;
const simulatedMilliseconds = 6000;

/** The first calls, with no estimate of their work and an empty upstream, are not counted. */
const countedFromMilliseconds = 1500;
const kindCount = 20;
const shortestWork = 4;
const deadlineMilliseconds = 400;
const advanceMilliseconds = 5;

/** One stream of calls. */
export type Stream = {
	readonly organisation: string | undefined;
	readonly importance: Importance;
	/** Part of the upstream's capacity that it asks for, at a time in milliseconds. */
	readonly load: (now: number) => number;
};

/** Calls that were answered in time, and all calls, of a stream. */
export type StreamResult = {readonly answered: number; readonly total: number; readonly share: number};

/** Mean work of each kind: a Pareto distribution, from 4 ms in most kinds to 80 ms in one of 20. */
const meanWorks = Array.from({length: kindCount}, (_, kind) => shortestWork * ((1 - (kind / kindCount)) ** -1));
const meanWork = meanWorks.reduce((sum, work) => sum + work, 0) / kindCount;

/**
 * Plays streams of calls against one admission controller; equal seeds give equal calls.
 *
 * @param fairShares - whether the shares of organisations apply
 * @returns the result of each stream
 * @example
 * simulateStreams([{organisation: 'a', importance: Importance.Normal, load: () => 0.5}], true, 7)[0].share;
 */
export function simulateStreams(streams: readonly Stream[], fairShares: boolean, seed: number, weights: ReadonlyMap<string, number> = new Map()): StreamResult[] {
	const generator = xoroshiro128plus(seed);
	const random = (): number => uniformFloat64(generator);
	const admission = new AdmissionController(slots, {...allAdmissionMechanisms, adaptiveLimit: false, fairShares});
	admission.shares.setWeights(weights);
	const results = streams.map(() => ({answered: 0, total: 0}));
	const calls = new Map<string, {readonly stream: number; readonly work: Work; readonly milliseconds: number}>();
	const running: Array<{readonly callId: string; readonly end: number}> = [];
	const apply = (effects: readonly AdmissionEffect[], now: number): void => {
		for (const {type, work: {callId}} of effects) {
			if (type === AdmissionEffectType.Dispatch) {
				running.push({callId, end: now + calls.get(callId)!.milliseconds});
				running.sort((left, right) => left.end - right.end);
			}
		}
	};

	const finish = (until: number): void => {
		while (running.length > 0 && running[0]!.end <= until) {
			const {callId, end} = running.shift()!;
			const {stream, work} = calls.get(callId)!;
			results[stream]!.answered += Number(end <= work.deadline && work.arrivedAt >= countedFromMilliseconds);
			apply(admission.finish(callId, DispatchOutcome.Answered, 0, end), end);
		}
	};

	const arrive = (stream: number, now: number): void => {
		const {organisation, importance} = streams[stream]!;
		const kind = Math.floor(random() * kindCount);
		const callId = `n.1.${calls.size}`;
		const work: Work = {
			callId, kind: `kind${kind}`, importance, priority: priorityOf(importance, Math.floor(random() * cohortCount)), idempotent: false, deadline: now + deadlineMilliseconds, arrivedAt: now, guaranteedShare: 0, lastResort: false, ...(organisation === undefined ? {} : {organisation}),
		};
		calls.set(callId, {stream, work, milliseconds: meanWorks[kind]! * -Math.log(1 - random())});
		results[stream]!.total += Number(now >= countedFromMilliseconds);
		apply(admission.submit(work, now), now);
	};

	for (let now = 0; now < simulatedMilliseconds; now += 1) {
		finish(now);
		streams.map(({load}, stream) => random() < load(now) * slots / meanWork && arrive(stream, now));
		apply(now % advanceMilliseconds === 0 ? admission.advance(now) : [], now);
	}

	finish(Infinity);
	return results.map(({answered, total}) => ({answered, total, share: total === 0 ? 1 : answered / total}));
}
