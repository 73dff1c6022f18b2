/**
 * The quota of an organisation, and how it is divided between owners and nodes.
 *
 * @module
 */

/** Requests per second, and requests that may arrive at once; both positive numbers. */
export type Quota = {readonly requestsPerSecond: number; readonly burst: number};

/** Quotas by name of the organisation. Organisations without an entry are not limited. */
export type Quotas = ReadonlyMap<string, Quota>;

/** Token bucket of one owner. */
export type Bucket = {
	readonly requestsPerSecond: number;
	/** Tokens that the bucket and the stocks of the nodes hold at most. */
	readonly size: number;
	/** Requests above rate x window + size that the bound allows. */
	readonly tolerance: number;
};

/** A quota is divided between this number of owners, so that the death of one leaves the other part in use. */
export const ownersPerQuota = 2;

/** Window in which the bound on the requests of an organisation holds. */
const windowSeconds = 5;
const toleranceShare = 0.1;
const toleranceRequests = 20;

/** The overdraft of a node suffices for the requests that arrive until an owner replies, at the whole rate of the organisation. */
const replySeconds = 0.05;
const fewRequests = 4;
/**
 * The usual overdraft of all nodes together, as a part of the bound. It is above 1, since owners state that tokens are low
 * before most nodes have used theirs: with 0.8, a node among 67 refuses the second of two requests of a quota of 20 per
 * second that arrive before the first reply; with 3 per node at 195 nodes, a window reached 1.026 of the bound.
 */
const overdraftShare = 1.5;

/** Owners are asked at intervals of up to 200 ms, and a smaller bucket would lose tokens to its limit between two reports. */
const smallestBucketSeconds = 0.25;

/**
 * Tokens that a bucket holds beyond the burst, from the fixed part of the tolerance. Without them the few tokens of a small
 * quota are in the stocks of nodes that do not ask: at 67 nodes, a quota of 3 per second with a burst of 3 refused 28 % of
 * the requests at 0.9 of the quota.
 */
const additionalTokens = toleranceRequests / 2;

/** Requests that the bound allows above rate x window + burst. */
function toleranceOf({requestsPerSecond, burst}: Quota): number {
	return (((requestsPerSecond * windowSeconds) + burst) * toleranceShare) + toleranceRequests;
}

/** Largest number of requests of an organisation that may run in any window of 5 s at all nodes together. */
export function boundOf(quota: Quota): number {
	return (quota.requestsPerSecond * windowSeconds) + quota.burst + toleranceOf(quota);
}

/** Tokens in all buckets of a quota: the burst and up to half of the tolerance, more than a few of them only where the burst is small. */
function totalSizeOf({requestsPerSecond, burst}: Quota): number {
	const wanted = Math.max(additionalTokens, (requestsPerSecond * smallestBucketSeconds) - burst);
	return burst + Math.min(toleranceOf({requestsPerSecond, burst}) / 2, wanted);
}

/** The bucket of each owner of a quota; it holds at least one token. */
export function bucketOf(quota: Quota): Bucket {
	return {
		requestsPerSecond: quota.requestsPerSecond / ownersPerQuota,
		size: Math.max(1, totalSizeOf(quota) / ownersPerQuota),
		tolerance: remainingToleranceOf(quota) / ownersPerQuota,
	};
}

/** Requests that nodes may admit before an owner has granted them. */
export type Overdraft = {
	/** While the owners have tokens. */
	readonly usual: number;
	/** After an owner has stated that its tokens are low; all nodes together stay within the tolerance. */
	readonly low: number;
};

/**
 * The overdraft of each node. With many nodes the usual one of all nodes together exceeds the tolerance, because a node
 * without any would refuse its first request; the owners then state when their tokens are low.
 *
 * @param admittingNodes - nodes that have admitted requests within the last seconds, and share the tolerance
 * @example
 * overdraftOf({requestsPerSecond: 100, burst: 50}, 67); // {usual: 9, low: 1}
 */
export function overdraftOf(quota: Quota, nodes: number, admittingNodes = nodes): Overdraft {
	const low = Math.floor(remainingToleranceOf(quota) / Math.max(1, admittingNodes));
	const fitting = Math.floor(boundOf(quota) * overdraftShare / Math.max(1, nodes));
	return {low, usual: Math.max(low, Math.min(fewRequests + Math.floor(quota.requestsPerSecond * replySeconds), Math.max(1, fitting)))};
}

function remainingToleranceOf(quota: Quota): number {
	return toleranceOf(quota) - (totalSizeOf(quota) - quota.burst);
}
