/**
 * Simulation of callers, entry nodes and upstreams of a service that refuses a share of its calls, in virtual time and
 * without a network.
 *
 * @module
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	cohortCount, EarlyRefusal, ErrorKind, type Importance, Outcome, priorityOf, RetryQuota, Semantics, type CallerAnswer, type EntryState,
} from '../index.js';
import {AttemptLimits} from '../entry/attempt-limits.js';

const deadlineMilliseconds = 5000;
const aimMilliseconds = 1500;
const retriesPerAction = 3;
const deepCallMilliseconds = {shortest: 5, longest: 25};
const refusedCallMilliseconds = 2;

export type Kind = {
	readonly name: string;
	readonly requestsPerSecond: number;
	/** Calls of the deep service that a request makes in turn. */
	readonly calls: number;
	readonly importance: Importance;
	/** Whether callers repeat a request that failed after it may have run. */
	readonly isRepeatable: boolean;
};

export type Scenario = {
	readonly kinds: readonly Kind[];
	readonly entries: number;
	/** Upstreams of the kinds, each with a node that has retry budgets of its own. */
	readonly upstreams: number;
	readonly milliseconds: number;
	/** Share of the calls that the deep service refuses. */
	readonly refusedShare: (now: number) => number;
	/** Whether an upstream answers everything with 500. */
	readonly isBroken?: (upstream: number) => boolean;
	/** Priority of the offers of a call, by the number of calls that its parent has completed; that of the request by default. */
	readonly offerPriority?: (priority: number, completedCalls: number) => number;
};

/** How the customer actions of one kind ended. */
export type Ends = {
	served: number; inAim: number; failed: number; refused: number;
	/** Requests that were sent, repeated ones included, and those of them that were refused early. */
	requests: number; refusals: number;
	/** Offers of refused calls. */
	offers: number;
};
export type Action = {readonly kind: Kind; readonly at: number; readonly importance: Importance; endedAt: number; end: 'served' | 'failed' | 'refused'};
export type Play = {readonly ends: Readonly<Record<string, Ends>>; readonly actions: readonly Action[]; readonly longestRetryAfterShare: number};

type Run = {readonly kind: Kind; readonly upstream: number; readonly priority: number; readonly deadline: number; readonly retryQuota: RetryQuota};

/**
 * Plays a scenario with or without early refusal; equal seeds give equal arrivals.
 *
 * @example
 * play(scenario, true, 7).ends.floorplan.served;
 */
export function play(scenario: Scenario, isEnabled: boolean, seed: number): Play {
	const [arrivals, work, choices] = [seed, seed + 1000, seed + 2000].map(value => {
		const generator = xoroshiro128plus(value);
		return () => uniformFloat64(generator);
	}) as [() => number, () => number, () => number];
	const entries = Array.from({length: scenario.entries}, () => isEnabled ? new EarlyRefusal(choices) : undefined);
	const limits = Array.from({length: scenario.upstreams}, () => new AttemptLimits({retryBudgetRatio: () => 0.1, offerRatio: () => 0.1}));
	const ends = Object.fromEntries(scenario.kinds.map(({name}) => [name, {
		served: 0, inAim: 0, failed: 0, refused: 0, requests: 0, refusals: 0, offers: 0,
	}])) as Record<string, Ends>;
	const actions: Action[] = [];
	const events: Array<{readonly at: number; readonly run: () => void}> = [];
	let now = 0;
	let nextEntryId = 0;
	let longestRetryAfterShare = 0;
	const schedule = (milliseconds: number, run: () => void): void => {
		const at = now + milliseconds;
		events.splice(events.findLastIndex(event => event.at > at) + 1, 0, {at, run});
	};

	/** Makes the calls of a request that was let in, after those that it has completed. */
	const runCalls = (run: Run, completed: number, done: (isGood: boolean) => void): void => {
		const {kind, upstream, priority, deadline, retryQuota} = run;
		if (completed === kind.calls || now >= deadline) {
			done(now < deadline);
			return;
		}

		const offerPriority = scenario.offerPriority?.(priority, completed) ?? priority;
		const state = {
			refusals: 0, attempts: 0, request: {
				service: 'deep', key: undefined, importance: kind.importance, priority: offerPriority, retryQuota, policy: {semantics: Semantics.Idempotent},
			},
		} as unknown as EntryState;
		const call = (): void => {
			if (work() >= scenario.refusedShare(now)) {
				const milliseconds = deepCallMilliseconds.shortest + (work() * (deepCallMilliseconds.longest - deepCallMilliseconds.shortest));
				schedule(milliseconds, () => {
					limits[upstream]!.recordSuccess('deep');
					runCalls(run, completed + 1, done);
				});
				return;
			}

			schedule(refusedCallMilliseconds, () => {
				if (limits[upstream]!.tryOfferAgain(state) && limits[upstream]!.trySpendOffer(state)) {
					ends[kind.name]!.offers += 1;
					call();
				} else {
					done(false);
				}
			});
		};

		call();
	};

	const finish = (action: Action, end: Action['end']): void => {
		action.end = end;
		action.endedAt = now;
		const counts = ends[action.kind.name]!;
		counts[end] += 1;
		counts.inAim += end === 'served' && now - action.at <= aimMilliseconds ? 1 : 0;
	};

	const request = (action: Action, priority: number, mayRepeat: boolean): void => {
		const {kind, at} = action;
		const deadline = at + deadlineMilliseconds;
		nextEntryId += 1;
		const entryId = nextEntryId;
		const entry = entries[Math.floor(choices() * entries.length)];
		const upstream = Math.floor(choices() * scenario.upstreams);
		const counts = ends[kind.name]!;
		counts.requests += 1;
		const refusal = entry?.admit({
			entryId, service: 'front', importance: action.importance, priority, deadline, key: undefined, policy: {kind: kind.name, waitMilliseconds: deadlineMilliseconds},
		}, now);
		if (refusal?.retryAfterMilliseconds !== undefined) {
			counts.refusals += 1;
			const share = refusal.retryAfterMilliseconds / (deadline - now);
			longestRetryAfterShare = Math.max(longestRetryAfterShare, share);
			if (deadline - now < 100) {
				finish(action, 'refused');
				return;
			}

			schedule(refusal.retryAfterMilliseconds, () => {
				request(action, priority, mayRepeat);
			});
			return;
		}

		const end = (isGood: boolean): void => {
			const answer: CallerAnswer = isGood || now < deadline
				? {
					outcome: Outcome.Ran, attempts: 1, error: undefined, answer: {status: isGood ? 200 : 500, headers: [], body: new Uint8Array()},
				}
				: {
					outcome: Outcome.Unknown, attempts: 1, answer: undefined, error: {kind: ErrorKind.TimedOut, detail: ''},
				};
			entry?.ended(entryId, answer, now);
			if (isGood) {
				finish(action, 'served');
			} else if (mayRepeat && kind.isRepeatable && now < deadline) {
				request(action, priority, false);
			} else {
				finish(action, 'failed');
			}
		};

		if (scenario.isBroken?.(upstream) === true) {
			schedule(refusedCallMilliseconds, () => {
				end(false);
			});
			return;
		}

		runCalls({
			kind, upstream, priority, deadline, retryQuota: new RetryQuota(retriesPerAction - 1),
		}, 0, end);
	};

	const arrive = (kind: Kind): void => {
		schedule((-Math.log(1 - arrivals()) * 1000) / kind.requestsPerSecond, () => {
			const action: Action = {
				kind, at: now, importance: kind.importance, endedAt: 0, end: 'refused',
			};
			const priority = priorityOf(kind.importance, Math.floor(arrivals() * cohortCount));
			if (now < scenario.milliseconds) {
				actions.push(action);
				request(action, priority, true);
				arrive(kind);
			}
		});
	};

	scenario.kinds.map(kind => {
		arrive(kind);
		return kind;
	});
	for (let event = events.pop(); event !== undefined; event = events.pop()) {
		now = event.at;
		event.run();
	}

	return {ends, actions, longestRetryAfterShare};
}
