/**
 * The choice of an explanation: the node, the rule that decided, and whether it was random.
 *
 * @module
 */
import {LocateResultType, type LocateResult} from '../entry/entry-call.js';
import type {Candidate} from './candidates.js';
import {distanceNames} from './explain-candidates.js';
import {
	CheckResult, ChoiceRule, EntryCheck, type CheckExplanation, type ChoiceExplanation,
} from './explanation.js';
import {
	PlacementRule, RoutePool, type RouteDecision, type RoutePick,
} from './route-choice.js';

/** What a choice is described by. */
export type ChoiceContext = {
	readonly checks: readonly CheckExplanation[];
	/** Undefined when the request is refused before its service is known. */
	readonly result: LocateResult | undefined;
	/** Undefined when the primary of a key decides. */
	readonly decision: RouteDecision | undefined;
	/** Nodes that further decisions about the same request chose. */
	readonly draws: readonly string[];
};

const poolTexts: Readonly<Record<RoutePool, string>> = {
	[RoutePool.NearestWithHeadroom]: 'the nearest nodes with a free slot and a responsive upstream',
	[RoutePool.UnresponsiveWithHeadroom]: 'the nearest nodes with a free slot, since no responsive upstream has one',
	[RoutePool.WithoutHeadroom]: 'the reachable nodes, since none is known to have a free slot',
};

const ruleTexts: Readonly<Record<PlacementRule, string>> = {
	[PlacementRule.Headroom]: 'more free slots, or as many and was drawn first',
	[PlacementRule.ExpectedEnd]: 'a sooner expected end',
	[PlacementRule.LeftNearest]: 'an end that is sooner than at the nearest distance by more than the cost of the distance',
};

/**
 * Describes the choice. A refusal by the own upstream does not end the request, since it is offered to other nodes.
 *
 * @example
 * describeChoice({checks, result, decision, draws: []}).rule; // PlacementRule.Headroom
 */
export function describeChoice({checks, result, decision, draws}: ChoiceContext): ChoiceExplanation {
	const node = result?.type === LocateResultType.Found ? result.destination.member.name : undefined;
	const refusal = checks.find(check => check.result === CheckResult.Refused && check.check !== EntryCheck.OwnUpstream);
	if (refusal !== undefined) {
		return {
			rule: ChoiceRule.Refused, detail: `the check ${refusal.check} refuses it: ${refusal.detail}`, ...(node === undefined ? {} : {otherwise: node}),
		};
	}

	if (node === undefined) {
		return {rule: ChoiceRule.KeyRangeUnknown, detail: 'the request waits until the primary of its key is known'};
	}

	return decision?.pick === undefined
		? {
			rule: ChoiceRule.KeyRange, node, detail: 'at-most-once requests with a key go to the primary of the key',
		}
		: {...describePick(decision.pick), node, shares: sharesOf(draws)};
}

function describePick(pick: RoutePick): ChoiceExplanation {
	const {pool, rule, drawnFrom, pair, candidate, leftNearest} = pick;
	const place = pool === RoutePool.WithoutHeadroom ? poolTexts[pool] : `${poolTexts[pool]} (${distanceNames[candidate.distance]})`;
	if (drawnFrom.length === 1 && leftNearest === undefined) {
		return {
			rule: ChoiceRule.OnlyCandidate, pool, detail: `it is the only one of ${place}`,
		};
	}

	const names = namesOf(drawnFrom);
	const drawing = drawnFrom.length > 2 ? `two of ${drawnFrom.length} were drawn at random, and another request may draw others; ` : '';
	return {
		rule,
		pool,
		drawnFrom: names,
		between: namesOf(pair),
		detail: `among ${place}: ${drawing}${candidate.member.name} of ${[...new Set(namesOf(pair))].join(' and ')} has ${ruleTexts[rule]}`,
	};
}

function sharesOf(draws: readonly string[]): Array<{node: string; share: number}> {
	const nodes = [...new Set(draws)].toSorted();
	return nodes.map(node => ({node, share: draws.filter(draw => draw === node).length / draws.length}));
}

function namesOf(candidates: readonly Candidate[]): string[] {
	return candidates.map(({member}) => member.name);
}
