/**
 * The explanation of where a request would go: its parts as plain data, which can be sent as JSON.
 *
 * All times are milliseconds. A part that is not known, or that the request does not reach, is absent.
 *
 * @module
 */
import type {ErrorKind} from '../errors.js';
import type {Importance} from '../importance.js';
import type {Liveness, UpstreamState} from '../membership/member.js';
import type {Semantics} from '../manifest/model.js';
import type {PlacementRule, RoutePool} from './route-choice.js';

/** Steps at the entry node that may refuse or delay a request, in their order. */
export enum EntryCheck {
	/** Number of open requests at the node. */
	OpenRequests = 'open-requests',
	/** Size of the body. */
	BodySize = 'body-size',
	/** Memory of the node for bodies. */
	Memory = 'memory',
	/** Whether a manifest is active. */
	Manifest = 'manifest',
	/** Whether a newer manifest is awaited. */
	Revision = 'revision',
	/** Route or request kind, key of the organisation, and headers. */
	Request = 'request',
	/** Planned stop of the node. */
	Stop = 'stop',
	/** Quota of the organisation. */
	Quota = 'quota',
	/** Whether a candidate accepts the call. */
	Route = 'route',
	/** Admission at the own upstream, where that was chosen. */
	OwnUpstream = 'own-upstream',
}

export enum CheckResult {
	Passed = 'passed',
	/** The request waits here for a short time. */
	Delayed = 'delayed',
	Refused = 'refused',
}

/** Result of one check, with the error with which a refused request is answered. */
export type CheckExplanation = {
	readonly check: EntryCheck;
	readonly result: CheckResult;
	readonly detail: string;
	readonly error?: {readonly kind: ErrorKind; readonly status: number; readonly retryAfterMilliseconds?: number | undefined};
};

/** Why a node is not the choice. */
export enum PassedOver {
	/** Its upstream is not ready, or the node counts as dead. */
	NotServing = 'not-serving',
	/** The node considers a part of the members only, and this one is not in it. */
	OutsideSubset = 'outside-subset',
	/** Its last answer said that its upstream is leaving. */
	Draining = 'draining',
	/** The call may not leave the region. */
	OtherRegion = 'other-region',
	/** Its overload level is above the priority of the request. */
	Level = 'level',
	/** The entry node refuses the request before it chooses. */
	Refused = 'refused',
	/** Too many of the recent calls to its upstream had no answer or were refused. */
	Unresponsive = 'unresponsive',
	/** The last connection to it failed. */
	Unreachable = 'unreachable',
	NoHeadroom = 'no-headroom',
	/** A nearer node has headroom. */
	Farther = 'farther',
	/** Two others were drawn at random. */
	NotDrawn = 'not-drawn',
	/** The other of the two ends the call sooner. */
	LaterEnd = 'later-end',
	/** The other of the two has more headroom, or as much and was drawn first. */
	LessHeadroom = 'less-headroom',
	/** The primary of the key is another node. */
	NotPrimary = 'not-primary',
}

/** Distances from the entry node, as texts. */
export enum DistanceName {
	OwnVm = 'own-vm',
	OwnFailureDomain = 'own-failure-domain',
	OwnRegion = 'own-region',
	OtherRegion = 'other-region',
}

/** One node of the service, with what the entry node knows about it. */
export type CandidateExplanation = {
	readonly node: string;
	readonly distance: DistanceName;
	readonly region: string;
	readonly failureDomain: string;
	readonly state: UpstreamState;
	readonly liveness: Liveness;
	readonly slots: number;
	/** Estimated free slots; assumed without a report of the last second. */
	readonly headroom: number;
	/** Lowest priority that it admits for the request kind; only from a report of the last 600 ms. */
	readonly level?: number;
	/** Lowest priority that the services below it admit. */
	readonly downstreamLevel?: number;
	readonly expectedWaitMilliseconds?: number;
	/** Likely work of the request there. */
	readonly likelyCostMilliseconds?: number;
	/** Expected time until the answer, which cost-aware placement compares. */
	readonly expectedEndMilliseconds?: number;
	/** Estimated one-way network time. */
	readonly linkMilliseconds: number;
	/** Shares of the recent calls of the kind without an answer, and refused by the upstream. */
	readonly unansweredShare: number;
	readonly refusedShare: number;
	/** Age of its last report, which came with an answer; absent if it has not answered a call of this node. */
	readonly reportAgeMilliseconds?: number;
	readonly passedOver?: {readonly reason: PassedOver; readonly detail: string};
};

/** Rule that decided where the request goes. */
export enum ChoiceRule {
	/** A check at the entry node refuses it. */
	Refused = 'refused',
	/** It is at-most-once with a key, and goes to the primary of the key. */
	KeyRange = 'key-range',
	/** The primary of its key is not known yet. */
	KeyRangeUnknown = 'key-range-unknown',
	/** Only one node is left. */
	OnlyCandidate = 'only-candidate',
}

/** Where the request goes, and why. */
export type ChoiceExplanation = {
	readonly rule: ChoiceRule | PlacementRule;
	/** Absent when the request is not sent. */
	readonly node?: string;
	/** Node to which a request would go that the checks before the route did not refuse. */
	readonly otherwise?: string;
	readonly pool?: RoutePool;
	/** Nodes from which two are drawn at random, when there are more than one. */
	readonly drawnFrom?: readonly string[];
	/** The two that the random numbers of this question drew. Another request may draw others. */
	readonly between?: readonly string[];
	/** Nodes to which equal requests would go at this moment, by the share of further draws; more than one where the choice is random. */
	readonly shares?: ReadonlyArray<{readonly node: string; readonly share: number}>;
	readonly detail: string;
};

/** Quota of an organisation, as this node knows it. */
export type QuotaExplanation = {
	readonly requestsPerSecond: number;
	readonly burst: number;
	/** Requests that this node would admit at this moment; at most `previewedRequests`. Absent where the host has a quota gate of its own. */
	readonly room?: number;
	/** Time until there is room; present without any. */
	readonly retryAfterMilliseconds?: number;
};

/** What the manifest says about the request. */
export type RequestExplanation = {
	/** Route or request kind. */
	readonly kind: string;
	readonly service: string;
	readonly semantics: Semantics;
	readonly importance: Importance;
	/** Priority of this question. Where `priorityRange` is present, it depends on the action id, and was drawn at random. */
	readonly priority: number;
	readonly priorityRange?: readonly [number, number];
	readonly timeLeftMilliseconds: number;
	readonly bodyBytes: number;
	/** Whether it is a call that the upstream makes for a running request. */
	readonly isNested: boolean;
	/** Services among which the route is split, by turns. */
	readonly split?: ReadonlyArray<{readonly service: string; readonly weight: number}>;
};

/** Where a request would go now, and why. */
export type Explanation = {
	readonly node: {readonly name: string; readonly region: string; readonly failureDomain: string; readonly service: string; readonly state: UpstreamState; readonly costAware: boolean};
	readonly manifest?: {
		readonly revision: number;
		/** Time since it was last confirmed to be the newest. */
		readonly ageMilliseconds?: number;
		/** Highest revision that is known to exist. */
		readonly newestRevision: number;
	};
	readonly request?: RequestExplanation;
	readonly organisation?: {readonly name: string; readonly quota?: QuotaExplanation};
	readonly checks: readonly CheckExplanation[];
	readonly candidates: readonly CandidateExplanation[];
	readonly choice: ChoiceExplanation;
};
