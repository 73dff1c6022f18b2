/**
 * Choice of the nodes that a node considers for a service, by distance.
 *
 * @module
 */
import {isServing, type Location, type Member} from '../membership/member.js';
import {chooseByRendezvous} from './rendezvous.js';

const nearSubsetSize = 6;
const farSubsetSize = 2;

export enum Distance {
	OwnVm = 0,
	OwnFailureDomain = 1,
	OwnRegion = 2,
	OtherRegion = 3,
}

/** Distances, nearest first. */
export const distances: readonly Distance[] = [Distance.OwnVm, Distance.OwnFailureDomain, Distance.OwnRegion, Distance.OtherRegion];

/** Node that may serve calls of a service. */
export type Candidate = {
	readonly member: Member;
	readonly distance: Distance;
};

export function distanceTo(own: {readonly name: string; readonly location: Location}, member: Member): Distance {
	if (member.name === own.name) {
		return Distance.OwnVm;
	}

	if (member.location.region !== own.location.region) {
		return Distance.OtherRegion;
	}

	return member.location.failureDomain === own.location.failureDomain ? Distance.OwnFailureDomain : Distance.OwnRegion;
}

/**
 * Limited set of nodes to which a node sends calls of a service: the node itself, up to 6 others from each failure domain
 * of its region and up to 2 from each other region. Rendezvous hashing keeps most of the set when members join or leave.
 *
 * @example
 * chooseCandidates({name: 'node-1', location}, 'catalogue', members);
 */
export function chooseCandidates(own: {readonly name: string; readonly location: Location}, service: string, members: readonly Member[]): Candidate[] {
	const serving = members.filter(member => member.service === service && isServing(member));
	return groupMembers(own, serving).flatMap(group => {
		const size = distanceTo(own, group[0]!) === Distance.OtherRegion ? farSubsetSize : nearSubsetSize;
		return chooseByRendezvous(`${own.name}/${service}`, group, member => member.name, size)
			.map(member => ({member, distance: distanceTo(own, member)}));
	});
}

function groupMembers(own: {readonly name: string; readonly location: Location}, members: readonly Member[]): Member[][] {
	const groups = new Map<string, Member[]>();
	members.map(member => {
		const key = groupKeyOf(own, member);
		return groups.set(key, [...(groups.get(key) ?? []), member]);
	});
	return [...groups.values()];
}

function groupKeyOf(own: {readonly name: string; readonly location: Location}, member: Member): string {
	const distance = distanceTo(own, member);
	return distance === Distance.OtherRegion ? `${distance}/${member.location.region}` : `${distance}/${member.location.failureDomain}`;
}
