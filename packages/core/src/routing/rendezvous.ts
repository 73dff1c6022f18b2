/**
 * Rendezvous hashing: most choices stay the same when members join or leave.
 *
 * @module
 */
import {createHash} from 'node:crypto';

/**
 * Rendezvous weight of a candidate for a key.
 *
 * @returns an integer in [0, 2^48)
 * @example
 * rendezvousWeight('node-1', 'catalogue/node-7');
 */
export function rendezvousWeight(key: string, candidate: string): number {
	return createHash('md5').update(`${key}\n${candidate}`).digest().readUIntBE(0, 6);
}

/**
 * The candidates with the highest weights for the key, highest first.
 *
 * @example
 * chooseByRendezvous('node-1', members, member => member.name, 6);
 */
export function chooseByRendezvous<Candidate>(key: string, candidates: readonly Candidate[], nameOf: (candidate: Candidate) => string, count: number): Candidate[] {
	return candidates
		.map(candidate => ({candidate, weight: rendezvousWeight(key, nameOf(candidate))}))
		.toSorted((left, right) => right.weight - left.weight)
		.slice(0, count)
		.map(({candidate}) => candidate);
}
