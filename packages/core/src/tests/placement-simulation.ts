/**
 * Simulation of entry nodes that place calls at upstreams, in virtual time and without a network.
 *
 * @module
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	AdmissionController, AdmissionEffectType, allAdmissionMechanisms, DispatchOutcome, Importance, Router, RouteType, UpstreamWork, type AdmissionEffect, type Member, type Work,
} from '../index.js';
import {createMember} from './fixtures.js';

/** Length of one simulation. The first second, in which nothing is known yet, is not counted. */
const simulatedMilliseconds = 5000;
const countedFromMilliseconds = 1000;
const maximumAttempts = 3;

export type Scenario = {
	/** Speed and failure domain of each upstream. */
	readonly upstreams: ReadonlyArray<{readonly speed: number; readonly domain: string}>;
	/** Failure domain of each entry node. */
	readonly entries: readonly string[];
	readonly slots: number;
	readonly deadlineMilliseconds: number;
	/** Part of the capacity of all upstreams that arrives. */
	readonly load: number;
	/** Work of a call in milliseconds at speed 1, from a random number in [0, 1). */
	readonly work: (random: number) => number;
	/** Factor by which work takes longer at an upstream. */
	readonly slowdown: (upstream: number, now: number) => number;
	/** Fourth figure of the load header; what the upstream's slowdown is by default. */
	readonly reported?: (upstream: number, now: number, random: number) => number;
	/** Whether every answer's report reaches all entry nodes at once. */
	readonly isShared?: boolean;
	/** Calls that arrive at the same moment, each at an entry node of its own; 1 by default. */
	readonly burst?: number;
	/** Time that an answer needs to its entry node, one way. */
	readonly linkMilliseconds?: number;
};

export type SimulationResult = {readonly tailMilliseconds: number; readonly inTimeShare: number};

type CallPlan = {readonly entry: number; readonly createdAt: number; readonly effort: number; readonly excluded: Set<string>};
type Call = Work & CallPlan & {startedAt: number | undefined; sentAt: number; receivedAt: number; target: number};

/**
 * Plays a scenario with today's choice or the cost-aware one; equal seeds give equal arrivals and equal work.
 *
 * @example
 * simulate(scenario, true, 7).tailMilliseconds;
 */
export function simulate(scenario: Scenario, isCostAware: boolean, seed: number): SimulationResult {
	const [arrivals, choices, reports] = [seed, seed + 1000, seed + 2000].map(value => {
		const generator = xoroshiro128plus(value);
		return () => uniformFloat64(generator);
	}) as [() => number, () => number, () => number];
	const {upstreams, slots, deadlineMilliseconds, isShared = false, burst = 1, linkMilliseconds = 0.5, reported = scenario.slowdown} = scenario;
	const members: Member[] = upstreams.map(({domain}, index) => createMember(`u${index}`, {location: {region: 'r', failureDomain: domain}, slots}));
	const routers = scenario.entries.map((failureDomain, index) => new Router({name: `e${index}`, location: {region: 'r', failureDomain}}, choices, isCostAware));
	routers.map(router => {
		router.setMembers(members);
		return router;
	});
	const servers = upstreams.map(() => ({admission: new AdmissionController(slots, {...allAdmissionMechanisms, adaptiveLimit: false}), work: new UpstreamWork(), open: new Set<Call>()}));
	const events: Array<{readonly at: number; readonly run: () => void}> = [];
	const latencies: number[] = [];
	let now = 0;
	const schedule = (at: number, run: () => void): void => {
		events.splice(events.findLastIndex(event => event.at > at) + 1, 0, {at, run});
	};

	const finishCaller = (call: Call, isAnswered: boolean): void => {
		if (call.createdAt >= countedFromMilliseconds) {
			latencies.push(isAnswered ? now - call.createdAt : deadlineMilliseconds * 2);
		}
	};

	const answer = (call: Call, isAnswered: boolean): void => {
		const {admission, work, open} = servers[call.target]!;
		open.delete(call);
		const openWork = [...open].map(({startedAt}) => ({kind: 'k', bodyBytes: 0, workedMilliseconds: startedAt === undefined ? 0 : now - startedAt}));
		const report = isCostAware ? work.report({kind: 'k', bodyBytes: 0}, openWork, admission.capacity, now) : undefined;
		const serving = {
			...admission.load, downstreamLevel: 0, draining: false, revision: 1, servedMilliseconds: now - call.receivedAt,
		};
		schedule(now + linkMilliseconds, () => {
			const name = `u${call.target}`;
			routers.filter((_, index) => isShared || index === call.entry).map(({loads, ends}, index) => {
				if (isShared && index !== call.entry) {
					loads.callSent(name);
				}

				loads.callAnswered(name, 'k', serving, now - call.sentAt, now);
				return report !== undefined && ends?.reported(name, 'k', 0, report, loads.room(name, now), now);
			});

			if (isAnswered) {
				finishCaller(call, true);
			} else {
				call.excluded.add(name);
				send(call);
			}
		});
	};

	const start = (call: Call): void => {
		call.startedAt = now;
		const duration = call.effort * scenario.slowdown(call.target, now) / upstreams[call.target]!.speed;
		schedule(now + duration, () => {
			const {admission, work} = servers[call.target]!;
			work.speedReported(reported(call.target, now, reports()), now);
			work.finished({kind: 'k', bodyBytes: 0, workedMilliseconds: duration}, now);
			const effects = admission.finish(call.callId, DispatchOutcome.Answered, 0, now);
			answer(call, true);
			apply(effects);
		});
	};

	const apply = (effects: readonly AdmissionEffect[]): void => {
		effects.map(effect => {
			const call = effect.work as Call;
			return effect.type === AdmissionEffectType.Dispatch ? start(call) : effect.type === AdmissionEffectType.Refuse && answer(call, false);
		});
	};

	const send = (call: Call): void => {
		const route = call.excluded.size < maximumAttempts && now < call.deadline
			? routers[call.entry]!.route({
				service: 's', kind: 'k', importance: Importance.Normal, priority: 200, crossRegion: true, excluded: call.excluded,
			}, now)
			: {type: RouteType.Exhausted as const};
		if (route.type !== RouteType.Send) {
			finishCaller(call, false);
			return;
		}

		call.target = Number(route.candidate.member.name.slice(1));
		call.sentAt = now;
		routers[call.entry]!.loads.callSent(route.candidate.member.name);
		schedule(now + linkMilliseconds, () => {
			call.receivedAt = now;
			const copy: Call = {...call, arrivedAt: now};
			const {admission, open} = servers[call.target]!;
			open.add(copy);
			apply(admission.submit(copy, now));
		});
	};

	const meanWork = Array.from({length: 1000}, (_, index) => scenario.work((index + 0.5) / 1000)).reduce((sum, value) => sum + value, 0) / 1000;
	const callsPerMillisecond = scenario.load * slots * upstreams.reduce((sum, {speed}) => sum + speed, 0) / meanWork;
	const arrive = (index: number): void => {
		schedule(now - (burst * Math.log(1 - arrivals()) / callsPerMillisecond), () => {
			const firstEntry = Math.floor(arrivals() * routers.length);
			const calls = Array.from({length: burst}, (_, place): Call => ({
				callId: `e${place}.${index}`, kind: 'k', importance: Importance.Normal, priority: 200, idempotent: true, deadline: now + deadlineMilliseconds, arrivedAt: now, guaranteedShare: 0,
				lastResort: false,
				createdAt: now, entry: (firstEntry + place) % routers.length, effort: scenario.work(arrivals()), excluded: new Set(), startedAt: undefined, sentAt: 0, receivedAt: 0, target: 0,
			}));
			calls.map(call => send(call));
			arrive(index + 1);
		});
	};

	const advance = (): void => {
		servers.map(({admission}) => apply(admission.advance(now)));
		schedule(now + 30, advance);
	};

	arrive(0);
	schedule(30, advance);
	for (let event = events.pop(); event !== undefined && event.at < simulatedMilliseconds; event = events.pop()) {
		now = event.at;
		event.run();
	}

	const sorted = latencies.toSorted((left, right) => left - right);
	return {
		tailMilliseconds: sorted[Math.floor(sorted.length * 0.99)]!,
		inTimeShare: latencies.filter(milliseconds => milliseconds <= deadlineMilliseconds).length / latencies.length,
	};
}
