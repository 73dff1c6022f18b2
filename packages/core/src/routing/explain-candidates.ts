/**
 * The nodes of a service as an entry node sees them, with the step of the decision that passed each one over.
 *
 * @module
 */
import {isServing, type Location, type Member} from '../membership/member.js';
import {Distance, distanceTo, type Candidate} from './candidates.js';
import type {EndEstimate} from './expected-end.js';
import {
	DistanceName, PassedOver, type CandidateExplanation,
} from './explanation.js';
import {
	isBeyondRegion, PlacementRule, RoutePool, RouteType, type RouteDecision, type RoutingRequest,
} from './route-choice.js';
import type {Router} from './router.js';

/** Text of each distance. */
export const distanceNames: Readonly<Record<Distance, DistanceName>> = {
	[Distance.OwnVm]: DistanceName.OwnVm,
	[Distance.OwnFailureDomain]: DistanceName.OwnFailureDomain,
	[Distance.OwnRegion]: DistanceName.OwnRegion,
	[Distance.OtherRegion]: DistanceName.OtherRegion,
};

/** What the candidates are explained by. */
export type CandidatesContext = {
	readonly own: {readonly name: string; readonly location: Location};
	readonly router: Router;
	readonly members: readonly Member[];
	readonly request: RoutingRequest;
	/** The decision by load; undefined when the primary of a key decides. */
	readonly decision: RouteDecision | undefined;
	/** Node that was chosen; undefined when the route refuses the request. */
	readonly chosen: string | undefined;
	/** Expected wait and work at the own upstream, from its admission control. */
	readonly ownExpectation: Pick<EndEstimate, 'waitMilliseconds' | 'costMilliseconds'> | undefined;
};

type Reason = {readonly reason: PassedOver; readonly detail: string};
type Rule = {
	readonly reason: PassedOver;
	readonly applies: (candidate: Candidate, context: CandidatesContext, now: number) => boolean;
	readonly detail: (candidate: Candidate, context: CandidatesContext, now: number) => string;
};

/** The rules in the order of the steps of the decision; the first that applies is the reason. */
const rules: readonly Rule[] = [
	{
		reason: PassedOver.NotServing,
		applies: ({member}) => !isServing(member),
		detail: ({member: {state, liveness}}) => `its upstream is ${state}, and the node counts as ${liveness}`,
	},
	{
		reason: PassedOver.NotPrimary,
		applies: (_candidate, {decision}) => decision === undefined,
		detail: (_candidate, {chosen}) => chosen === undefined ? 'only the primary of the key may serve it, which is not known' : `the primary of the key is ${chosen}`,
	},
	{
		reason: PassedOver.OutsideSubset,
		applies: ({member}, {router, request}) => !isIn(router.candidates(request.service), member),
		detail: () => 'the entry node considers a limited set of nodes of each failure domain and region, and this one is not in it',
	},
	{
		reason: PassedOver.Draining,
		applies: ({member}, {router}) => router.loads.isDraining(member.name),
		detail: () => 'its last answer said that its upstream is leaving',
	},
	{
		reason: PassedOver.OtherRegion,
		applies: (candidate, {request}) => isBeyondRegion(candidate, request),
		detail: () => 'requests of this kind and importance stay in the region',
	},
	{
		reason: PassedOver.Level,
		applies: ({member}, {decision}) => !isIn(decision?.steps.admitting, member),
		detail: ({member}, {router, request: {kind, priority}}, now) => `its overload level ${router.loads.level(member.name, kind, now)?.own} is above the priority ${priority}`,
	},
	{
		reason: PassedOver.Refused,
		applies: (_candidate, {decision}) => decision?.choice.type !== RouteType.Send,
		detail: (_candidate, {router, request: {service, kind, priority}}, now) => `the candidates admit priorities from ${router.lowestLevel(service, kind, now)}, and the request has ${priority}`,
	},
	{
		reason: PassedOver.Unresponsive,
		applies: ({member}, {decision}) => decision?.pick?.pool !== RoutePool.UnresponsiveWithHeadroom && !isIn(decision?.steps.responsive, member),
		detail: ({member}, {router: {loads}, request: {kind}}, now) => `${toPercent(loads.unansweredShare(member.name, kind, now))} of its recent calls had no answer, ${toPercent(loads.refusedShare(member.name, kind, now))} were refused`,
	},
	{
		reason: PassedOver.Unreachable,
		applies: ({member}, {router}, now) => router.loads.isUnreachable(member.name, now),
		detail: () => 'a connection to it failed within the last 500 ms',
	},
	{
		reason: PassedOver.NoHeadroom,
		applies: ({member}, {router, decision}, now) => decision?.pick?.pool !== RoutePool.WithoutHeadroom && router.loads.headroom(member.name, now) <= 0,
		detail: () => 'it has no free slot',
	},
	{
		reason: PassedOver.LaterEnd,
		applies: ({distance}, {decision}) => decision?.pick?.rule === PlacementRule.LeftNearest && distance < decision.pick.candidate.distance,
		detail: () => 'a farther node ends the call sooner by more than the cost of the distance',
	},
	{
		reason: PassedOver.Farther,
		applies: ({member}, {decision}) => !isIn(decision?.pick?.drawnFrom, member),
		detail: () => 'a nearer node can take the call',
	},
	{
		reason: PassedOver.NotDrawn,
		applies: ({member}, {decision}) => !isIn(decision?.pick?.pair, member),
		detail: (_candidate, {decision}) => `two others of ${decision?.pick?.drawnFrom.length} were drawn at random`,
	},
	{
		reason: PassedOver.LaterEnd,
		applies: (_candidate, context, now) => context.decision?.pick?.rule !== PlacementRule.Headroom && estimateOfChosen(context, now) !== undefined,
		detail: (_candidate, context, now) => `${context.chosen} is expected to answer after ${round(estimateOfChosen(context, now)!)} ms`,
	},
	{
		reason: PassedOver.LessHeadroom,
		applies: () => true,
		detail({member}, {chosen = '', router: {loads}}, now) {
			const headroom = loads.headroom(chosen, now);
			return headroom > loads.headroom(member.name, now) ? `${chosen} has ${round(headroom)} free slots` : `${chosen} has as many free slots and was drawn first`;
		},
	},
];

/**
 * Explains all members of the service, nearest first.
 *
 * @param now - milliseconds on the clock of the node
 * @example
 * explainCandidates(context, now); // [{node: 'node-2', distance: DistanceName.OwnFailureDomain, headroom: 12, ...}]
 */
export function explainCandidates(context: CandidatesContext, now: number): CandidateExplanation[] {
	return context.members
		.filter(({service}) => service === context.request.service)
		.map(member => ({member, distance: distanceTo(context.own, member)}))
		.toSorted((left, right) => (left.distance - right.distance) || (left.member.name < right.member.name ? -1 : 1))
		.map(candidate => explainCandidate(candidate, context, now));
}

function explainCandidate(candidate: Candidate, context: CandidatesContext, now: number): CandidateExplanation {
	const {member: {name, location, state, liveness, slots}, distance} = candidate;
	const {router: {loads, ends}, request: {kind, bodyBytes}} = context;
	const level = loads.level(name, kind, now);
	const reportAge = loads.reportAge(name, now);
	const estimate = ends?.estimate(name, kind, bodyBytes ?? 0, loads.room(name, now), now);
	const expectation = estimate ?? (distance === Distance.OwnVm ? context.ownExpectation : undefined);
	const reason = name === context.chosen ? undefined : findReason(candidate, context, now);
	return {
		node: name,
		distance: distanceNames[distance],
		region: location.region,
		failureDomain: location.failureDomain,
		state,
		liveness,
		slots,
		headroom: loads.headroom(name, now),
		...(level === undefined ? {} : {level: level.own, downstreamLevel: level.downstream}),
		...(expectation === undefined ? {} : {expectedWaitMilliseconds: expectation.waitMilliseconds, likelyCostMilliseconds: expectation.costMilliseconds}),
		...(estimate === undefined ? {} : {expectedEndMilliseconds: estimate.endMilliseconds}),
		linkMilliseconds: loads.linkMilliseconds(name),
		unansweredShare: loads.unansweredShare(name, kind, now),
		refusedShare: loads.refusedShare(name, kind, now),
		...(reportAge === undefined ? {} : {reportAgeMilliseconds: reportAge}),
		...(reason === undefined ? {} : {passedOver: reason}),
	};
}

function findReason(candidate: Candidate, context: CandidatesContext, now: number): Reason {
	const {reason, detail} = rules.find(({applies}) => applies(candidate, context, now))!;
	return {reason, detail: detail(candidate, context, now)};
}

function estimateOfChosen({router: {loads, ends}, request: {kind, bodyBytes}, chosen = ''}: CandidatesContext, now: number): number | undefined {
	return ends?.expected(chosen, kind, bodyBytes ?? 0, loads.room(chosen, now), now);
}

function isIn(candidates: readonly Candidate[] | undefined, {name}: Member): boolean {
	return candidates?.some(({member}) => member.name === name) ?? false;
}

function toPercent(share: number): string {
	return `${Math.round(share * 100)} %`;
}

function round(value: number): number {
	return Math.round(value * 10) / 10;
}
