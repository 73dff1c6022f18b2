/**
 * Prints the tables of docs/measurements/early-refusal.md: the simulated load with and without early refusal.
 *
 * @module
 */
import process from 'node:process';
import {Importance} from '../index.js';
import {
	play, type Ends, type Kind, type Scenario,
} from './early-refusal-simulation.js';

const seeds = Array.from({length: 20}, (_, index) => index + 1);
const startsAt = 4000;
const binMilliseconds = 100;
const kinds: readonly Kind[] = [
	{
		name: 'floorplan', requestsPerSecond: 80, calls: 8, importance: Importance.Normal, isRepeatable: true,
	},
	{
		name: 'reserve-seat', requestsPerSecond: 40, calls: 4, importance: Importance.High, isRepeatable: false,
	},
	{
		name: 'seat-map', requestsPerSecond: 40, calls: 1, importance: Importance.Low, isRepeatable: true,
	},
];

/** A window in which the deep service refuses a share of its calls. */
function createScenario(milliseconds: number, share: number, changes: Partial<Scenario> = {}): Scenario {
	return {
		kinds, entries: 6, upstreams: 30, milliseconds: startsAt + milliseconds + 4000,
		refusedShare: now => now >= startsAt && now < startsAt + milliseconds ? share : 0, ...changes,
	};
}

/** Milliseconds after the window until nine in ten floorplan requests are served within 500 ms, in this and all later bins. */
function recoveryMilliseconds(plays: ReadonlyArray<ReturnType<typeof play>>, endsAt: number): number {
	const bins = Array.from({length: 4000 / binMilliseconds}, () => ({all: 0, served: 0}));
	plays.flatMap(({actions}) => actions).filter(({kind, at}) => kind.name === 'floorplan' && at >= endsAt).map(({at, end, endedAt}) => {
		const bin = bins[Math.floor((at - endsAt) / binMilliseconds)]!;
		bin.all += 1;
		bin.served += end === 'served' && endedAt - at <= 500 ? 1 : 0;
		return bin;
	});
	return (bins.findLastIndex(({all, served}) => served < all * 0.9) + 1) * binMilliseconds;
}

function printLine(name: string, scenario: Scenario, isEnabled: boolean): void {
	const plays = seeds.map(seed => play(scenario, isEnabled, seed));
	const mean = (kind: string, figure: keyof Ends): string => (plays.reduce((sum, {ends}) => sum + ends[kind]![figure], 0) / plays.length).toFixed(0);
	const cells = kinds.map(kind => (['served', 'inAim', 'failed', 'refused', 'refusals'] as const).map(figure => mean(kind.name, figure)).join(' / '));
	const offers = kinds.reduce((sum, kind) => sum + Number(mean(kind.name, 'offers')), 0);
	process.stdout.write(`| ${name} | ${isEnabled ? 'early' : 'today'} | ${cells.join(' | ')} | ${offers} | ${recoveryMilliseconds(plays, scenario.milliseconds - 4000)} |\n`);
}

const scenarios: Readonly<Record<string, Scenario>> = {
	'6 s, 55 %, 6 entry nodes': createScenario(6000, 0.55),
	'1 entry node': createScenario(6000, 0.55, {entries: 1}),
	'3 entry nodes': createScenario(6000, 0.55, {entries: 3}),
	'12 entry nodes': createScenario(6000, 0.55, {entries: 12}),
	'30 entry nodes': createScenario(6000, 0.55, {entries: 30}),
	'69 entry nodes': createScenario(6000, 0.55, {entries: 69}),
	'2 s': createScenario(2000, 0.55),
	'20 s': createScenario(20_000, 0.55),
	'30 %': createScenario(6000, 0.3),
	'80 %': createScenario(6000, 0.8),
	'calm, 2 %': createScenario(6000, 0.02),
	'one of 30 upstreams broken': createScenario(6000, 0, {isBroken: upstream => upstream === 0}),
	'offers by completed calls': createScenario(6000, 0.55, {offerPriority: (_priority, completed) => completed * 60}),
	'offers by importance, then completed calls': createScenario(6000, 0.55, {offerPriority: (priority, completed) => (Math.floor(priority / 128) * 128) + (completed * 16)}),
	'30 %, offers by completed calls': createScenario(6000, 0.3, {offerPriority: (_priority, completed) => completed * 60}),
};
Object.entries(scenarios).map(([name, scenario]) => [false, true].map(isEnabled => {
	printLine(name, scenario, isEnabled);
	return name;
}));
