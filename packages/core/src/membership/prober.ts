/**
 * Probes one member after another, directly and then through others.
 *
 * @module
 */
import type {Member} from './member.js';
import type {Address} from './messages.js';

const directShare = 0.3;
const helperCount = 3;
const pauseFactor = 2;
const relayKeepMilliseconds = 5000;

/** One probe in so many goes to another region: its own members watch each other, and links between regions are paid by volume. */
const farTurnEvery = 4;

/** A probe that this node makes for another. */
export type Relay = {
	readonly address: Address;
	readonly sequence: number;
};

/** What is due now. */
export type ProbeStep = {
	/** Whether a new probe interval began. */
	readonly isTurn: boolean;
	readonly ping: ReadonlyArray<{readonly name: string; readonly sequence: number}>;
	readonly pingRequests: ReadonlyArray<{readonly name: string; readonly sequence: number; readonly through: readonly string[]}>;
	/** Members that answered neither directly nor through others. */
	readonly failed: readonly string[];
};

export type ProberDefinition = {
	readonly intervalMilliseconds: number;
	readonly random: () => number;
	readonly members: () => readonly Member[];
	/** Whether a member stands in the own region. */
	readonly isNear: (member: Member) => boolean;
};

type Probe = {readonly name: string; readonly sequence: number; readonly startedAt: number; isIndirect: boolean};

/**
 * Goes through the members in random order, one an interval; those of other regions have fewer turns.
 *
 * @example
 * const step = prober.advance(now);
 * prober.acknowledged(sequence, 'node-2');
 */
export class Prober {
	readonly #definition: ProberDefinition;
	readonly #relays = new Map<number, {readonly relay: Relay; readonly name: string}>();
	readonly #rounds: {near: string[]; far: string[]} = {near: [], far: []};
	#turn = 0;
	#probe: Probe | undefined;
	#sequence = 0;
	#nextTurnAt = 0;
	#lastAdvanceAt = 0;

	constructor(definition: ProberDefinition) {
		this.#definition = definition;
	}

	/** Notes an answer; returns whom to tell, when the probe was made for another node. */
	acknowledged(sequence: number, name: string): Relay | undefined {
		if (this.#probe?.sequence === sequence) {
			this.#probe = undefined;
			return undefined;
		}

		const entry = this.#relays.get(sequence);
		if (entry?.name !== name) {
			return undefined;
		}

		this.#relays.delete(sequence);
		return entry.relay;
	}

	/** Begins a probe on behalf of another node. */
	startForOther(name: string, relay: Relay): number {
		this.#sequence += 1;
		this.#relays.set(this.#sequence, {relay, name});
		this.#dropOldRelays();
		return this.#sequence;
	}

	advance(now: number): ProbeStep {
		this.#forgetAfterPause(now);
		if (now >= this.#nextTurnAt) {
			return this.#nextTurn(now);
		}

		return {
			isTurn: false, ping: [], pingRequests: this.#goIndirect(now), failed: [],
		};
	}

	/** A node that was paused itself must not blame the others for the answers it missed. */
	#forgetAfterPause(now: number): void {
		if (now - this.#lastAdvanceAt > this.#definition.intervalMilliseconds * pauseFactor) {
			this.#probe = undefined;
		}

		this.#lastAdvanceAt = now;
	}

	#nextTurn(now: number): ProbeStep {
		this.#nextTurnAt = now + this.#definition.intervalMilliseconds;
		const failed = this.#probe === undefined ? [] : [this.#probe.name];
		const name = this.#nextName();
		if (name === undefined) {
			this.#probe = undefined;
			return {
				isTurn: true, ping: [], pingRequests: [], failed,
			};
		}

		this.#sequence += 1;
		this.#probe = {
			name, sequence: this.#sequence, startedAt: now, isIndirect: false,
		};
		return {
			isTurn: true, ping: [{name, sequence: this.#sequence}], pingRequests: [], failed,
		};
	}

	#goIndirect(now: number): ProbeStep['pingRequests'] {
		const probe = this.#probe;
		if (probe === undefined || probe.isIndirect || now - probe.startedAt < this.#definition.intervalMilliseconds * directShare) {
			return [];
		}

		probe.isIndirect = true;
		const through = this.#helpersFor(probe.name);
		return through.length === 0 ? [] : [{name: probe.name, sequence: probe.sequence, through}];
	}

	/** A near member is asked for through near ones first; a far one through any, whose way there may be another. */
	#helpersFor(target: string): string[] {
		const others = this.#definition.members().filter(member => member.name !== target);
		const isNearTarget = this.#definition.members().some(member => member.name === target && this.#definition.isNear(member));
		const [first, second] = isNearTarget ? this.#byDistance(others) : [namesOf(others), []];
		return [...this.#shuffle(first), ...this.#shuffle(second)].slice(0, helperCount);
	}

	#nextName(): string | undefined {
		const [near, far] = this.#byDistance(this.#definition.members());
		this.#turn += 1;
		const isFarTurn = near.length === 0 || (far.length > 0 && this.#turn % farTurnEvery === 0);
		return this.#nextOf(isFarTurn ? 'far' : 'near', isFarTurn ? far : near);
	}

	#nextOf(group: 'near' | 'far', names: readonly string[]): string | undefined {
		const present = new Set(names);
		const known = this.#rounds[group].filter(name => present.has(name));
		this.#rounds[group] = known.length > 0 ? known : this.#shuffle(names);
		return this.#rounds[group].shift();
	}

	#byDistance(members: readonly Member[]): [near: string[], far: string[]] {
		return [namesOf(members.filter(member => this.#definition.isNear(member))), namesOf(members.filter(member => !this.#definition.isNear(member)))];
	}

	#shuffle(names: readonly string[]): string[] {
		return names
			.map(name => ({name, order: this.#definition.random()}))
			.toSorted((left, right) => left.order - right.order)
			.map(({name}) => name);
	}

	#dropOldRelays(): void {
		const bound = relayKeepMilliseconds / this.#definition.intervalMilliseconds * 100;
		const [oldest] = this.#relays.keys();
		if (this.#relays.size > bound && oldest !== undefined) {
			this.#relays.delete(oldest);
		}
	}
}

function namesOf(members: readonly Member[]): string[] {
	return members.map(({name}) => name);
}
