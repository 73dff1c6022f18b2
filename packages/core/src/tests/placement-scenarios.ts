/**
 * Loads under which cost-aware placement is compared with today's choice.
 *
 * @module
 */
import type {Scenario} from './placement-simulation.js';

const usual = (): number => 1;
const ordinary = (random: number): number => 10 + (20 * random);

/** 3 in 100 calls take seven times as long. */
const heavyTailed = (random: number): number => (random < 0.03 ? 7 : 1) * ordinary((random * 1000) % 1);
const equal = (count: number, domain: string) => Array.from({length: count}, () => ({speed: 1, domain}));

/** Slow by 2.5 times for 600 ms of every 4 s, which is 15 %, at a different time at each upstream. */
const slowInTurns = (upstream: number, now: number): number => (now + (upstream * 1700)) % 4000 < 600 ? 2.5 : 1;

const base: Scenario = {
	upstreams: equal(4, 'a'), entries: ['a', 'a', 'a'], slots: 4, deadlineMilliseconds: 100, load: 0.75, work: ordinary, slowdown: usual,
};

const manyEntries = Array.from({length: 40}, () => 'a');

/** Scenarios by name in which the tail and the share in time have to be better. */
export const improvedScenarios: Readonly<Record<string, Scenario>> = {
	'heavy-tailed work on equal upstreams': {
		...base, work: heavyTailed, upstreams: equal(8, 'a'), slots: 1, load: 0.7, deadlineMilliseconds: 250,
	},
	'unequal upstreams': {...base, upstreams: [0.55, 1.2, 1.2, 1.2].map(speed => ({speed, domain: 'a'}))},
	'unequal upstreams in two failure domains': {
		...base, entries: ['a', 'b', 'a', 'b'], upstreams: [{speed: 0.55, domain: 'a'}, {speed: 1.2, domain: 'a'}, {speed: 1.2, domain: 'b'}, {speed: 1.2, domain: 'b'}],
	},
	'upstreams that turn slow for 600 ms': {...base, load: 0.6, slowdown: slowInTurns},
	'upstreams that turn slow, in two failure domains': {
		...base, load: 0.6, slowdown: slowInTurns, entries: ['a', 'b', 'a', 'b'], upstreams: [...equal(2, 'a'), ...equal(2, 'b')],
	},
	'answers that take 5 ms': {
		...base, load: 0.6, slowdown: slowInTurns, linkMilliseconds: 5,
	},
	'many entry nodes with old reports': {
		...base, entries: manyEntries, slowdown: slowInTurns, load: 0.45,
	},
	'many entry nodes at once with the same report': {
		...base, entries: manyEntries, slowdown: slowInTurns, load: 0.45, isShared: true, burst: 3,
	},
};

/** Scenarios by name that must not be worse by more than the range over the seeds. */
export const guardedScenarios: Readonly<Record<string, Scenario>> = {
	'many entry nodes with the same report, at steady speeds': {
		...base, entries: manyEntries, load: 0.7, isShared: true,
	},
	'heavy-tailed work at four slots': {...base, work: heavyTailed, deadlineMilliseconds: 250},
	'reports that are 200 ms behind': {
		...base, load: 0.6, slowdown: slowInTurns, reported: (upstream, now) => slowInTurns(upstream, now - 200),
	},
	'reports that are wrong at random': {
		...base, load: 0.7, work: heavyTailed, deadlineMilliseconds: 250, reported: (_upstream, _now, random) => random < 0.3 ? 4 : 1,
	},
	'reports that are always wrong, of one upstream': {...base, reported: upstream => upstream === 0 ? 3 : 1},
	'many entry nodes, heavy-tailed work': {
		...base, entries: manyEntries, slowdown: slowInTurns, load: 0.5, work: heavyTailed, deadlineMilliseconds: 250,
	},
};
