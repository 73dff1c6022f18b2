/**
 * The members of the system as nodes know them.
 *
 * @module
 */

/** State of a node's upstream, as reported by the node itself. */
export enum UpstreamState {
	Starting = 'starting',
	Ready = 'ready',
	Draining = 'draining',
	Left = 'left',
}

/** State of a node according to the failure detectors of the other nodes. */
export enum Liveness {
	Alive = 'alive',
	Suspect = 'suspect',
	Dead = 'dead',
}

/** A failure domain within a region. */
export type Location = {
	readonly region: string;
	readonly failureDomain: string;
};

/** Highest version that a valid member has. */
export const maximumMemberVersion = 4_294_967_295;

/** Destination of a datagram. */
export type Address = {
	readonly host: string;
	readonly port: number;
};

/** One node and its upstream. */
export type Member = {
	readonly name: string;
	/** Start time of the node in milliseconds since the Unix epoch; a higher incarnation supersedes a lower one. */
	readonly incarnation: number;
	/** Increases with each change that the node itself makes in this incarnation. */
	readonly version: number;
	readonly location: Location;
	readonly host: string;
	readonly callersPort: number;
	/** Port for calls between nodes. */
	readonly peersPort: number;
	/** Port for the control protocol (TCP) and for gossip (UDP). */
	readonly controlPort: number;
	/** Empty until an upstream announces itself. */
	readonly service: string;
	readonly state: UpstreamState;
	/** Calls that the upstream can run at the same time. */
	readonly slots: number;
	readonly liveness: Liveness;
};

/** Whether new calls may be sent to the member; suspected members still count as serving. */
export function isServing(member: Member): boolean {
	return member.state === UpstreamState.Ready && member.liveness !== Liveness.Dead;
}

/** Address of a member's gossip. */
export function addressOf(member: Member): Address {
	return {host: member.host, port: member.controlPort};
}

/** Whether two entries state the same address for gossip. */
export function hasSameAddress(left: Member, right: Member): boolean {
	return left.host === right.host && left.controlPort === right.controlPort;
}

/** Whether two entries of a member state the same. */
export function isSameEntry(left: Member, right: Member): boolean {
	const isSameVersion = left.incarnation === right.incarnation && left.version === right.version && left.liveness === right.liveness;
	return isSameVersion && left.service === right.service && left.state === right.state && hasSameAddress(left, right);
}
