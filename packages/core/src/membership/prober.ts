/**
 * Failure detector: probes one member after another, first directly and then through other members.
 *
 * @module
 */
import type {Address, Member} from './member.js';

/** Share of the probe interval after which an unanswered probe is repeated through other members. */
const directProbeShare = 0.3;
const indirectProbeFanOut = 3;

/** A longer time between two steps counts as a pause of this process. */
const pauseThresholdIntervals = 2;
const relayedProbeRetentionMilliseconds = 5000;

/** Other regions are probed less often: their members probe each other, and traffic between regions is billed by volume. */
const turnsPerCrossRegionProbe = 4;

/** The node on whose behalf a probe is made, and its sequence number for the probe. */
export type ProbeRequester = {
	readonly address: Address;
	readonly sequence: number;
};

/** Result of one step. */
export type ProbeStep = {
	/** Whether a new probe interval has begun. */
	readonly isNewInterval: boolean;
	readonly pings: ReadonlyArray<{readonly name: string; readonly sequence: number}>;
	readonly pingRequests: ReadonlyArray<{readonly name: string; readonly sequence: number; readonly relays: readonly string[]}>;
	/** Members that acknowledged neither a direct nor an indirect probe within the interval. */
	readonly failed: readonly string[];
};

export type ProberDefinition = {
	readonly intervalMilliseconds: number;
	readonly random: () => number;
	readonly members: () => readonly Member[];
	readonly isInOwnRegion: (member: Member) => boolean;
};

type Probe = {
	readonly name: string;
	readonly sequence: number;
	readonly startedAt: number;
	/** Empty until the probe is repeated through other members. */
	relays: readonly string[];
	isIndirect: boolean;
};

/**
 * Probes the members in random order, one per interval; those of other regions less often.
 *
 * @example
 * const step = prober.advance(now);
 * prober.acknowledged(sequence, 'node-2');
 */
export class Prober {
	readonly #definition: ProberDefinition;
	readonly #relayedProbes = new Map<number, {readonly requester: ProbeRequester; readonly name: string}>();
	readonly #rounds: {ownRegion: string[]; otherRegions: string[]} = {ownRegion: [], otherRegions: []};
	#turnCount = 0;
	#probe: Probe | undefined;
	#sequence = 0;
	#nextTurnAt = 0;
	#lastAdvanceAt = 0;

	constructor(definition: ProberDefinition) {
		this.#definition = definition;
	}

	/** Records an acknowledgement of the probed member or of a relay; returns the requester to forward it to when the probe was made on behalf of another node. */
	acknowledged(sequence: number, name: string): ProbeRequester | undefined {
		const probe = this.#probe;
		if (probe?.sequence === sequence && (probe.name === name || probe.relays.includes(name))) {
			this.#probe = undefined;
			return undefined;
		}

		const entry = this.#relayedProbes.get(sequence);
		if (entry?.name !== name) {
			return undefined;
		}

		this.#relayedProbes.delete(sequence);
		return entry.requester;
	}

	/** Starts a probe on behalf of another node; returns the sequence number for the ping. */
	startRelayedProbe(name: string, requester: ProbeRequester): number {
		this.#sequence += 1;
		this.#relayedProbes.set(this.#sequence, {requester, name});
		this.#limitRelayedProbes();
		return this.#sequence;
	}

	/** Starts the probes that are due. */
	advance(now: number): ProbeStep {
		this.#dropProbeAfterPause(now);
		if (now >= this.#nextTurnAt) {
			return this.#nextTurn(now);
		}

		return {
			isNewInterval: false, pings: [], pingRequests: this.#startIndirectProbe(now), failed: [],
		};
	}

	/**
	 * Drops the current probe after a pause of this process. The process may have missed the acknowledgement, so the target must
	 * not be reported as failed.
	 */
	#dropProbeAfterPause(now: number): void {
		if (now - this.#lastAdvanceAt > this.#definition.intervalMilliseconds * pauseThresholdIntervals) {
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
				isNewInterval: true, pings: [], pingRequests: [], failed,
			};
		}

		this.#sequence += 1;
		this.#probe = {
			name, sequence: this.#sequence, startedAt: now, relays: [], isIndirect: false,
		};
		return {
			isNewInterval: true, pings: [{name, sequence: this.#sequence}], pingRequests: [], failed,
		};
	}

	#startIndirectProbe(now: number): ProbeStep['pingRequests'] {
		const probe = this.#probe;
		if (probe === undefined || probe.isIndirect || now - probe.startedAt < this.#definition.intervalMilliseconds * directProbeShare) {
			return [];
		}

		probe.isIndirect = true;
		const relays = this.#chooseRelays(probe.name);
		probe.relays = relays;
		return relays.length === 0 ? [] : [{name: probe.name, sequence: probe.sequence, relays}];
	}

	/** Prefers relays of the own region for targets in it; for others any relay, since its network path to the target may differ. */
	#chooseRelays(target: string): string[] {
		const others = this.#definition.members().filter(member => member.name !== target);
		const isTargetInOwnRegion = this.#definition.members().some(member => member.name === target && this.#definition.isInOwnRegion(member));
		const [preferred, fallback] = isTargetInOwnRegion ? this.#splitByRegion(others) : [namesOf(others), []];
		return [...this.#shuffle(preferred), ...this.#shuffle(fallback)].slice(0, indirectProbeFanOut);
	}

	#nextName(): string | undefined {
		const [ownRegion, otherRegions] = this.#splitByRegion(this.#definition.members());
		this.#turnCount += 1;
		const isCrossRegionTurn = ownRegion.length === 0 || (otherRegions.length > 0 && this.#turnCount % turnsPerCrossRegionProbe === 0);
		return this.#nextInGroup(isCrossRegionTurn ? 'otherRegions' : 'ownRegion', isCrossRegionTurn ? otherRegions : ownRegion);
	}

	#nextInGroup(group: 'ownRegion' | 'otherRegions', names: readonly string[]): string | undefined {
		const present = new Set(names);
		const known = this.#rounds[group].filter(name => present.has(name));
		this.#rounds[group] = known.length > 0 ? known : this.#shuffle(names);
		return this.#rounds[group].shift();
	}

	#splitByRegion(members: readonly Member[]): [ownRegion: string[], otherRegions: string[]] {
		return [namesOf(members.filter(member => this.#definition.isInOwnRegion(member))), namesOf(members.filter(member => !this.#definition.isInOwnRegion(member)))];
	}

	#shuffle(names: readonly string[]): string[] {
		return names
			.map(name => ({name, order: this.#definition.random()}))
			.toSorted((left, right) => left.order - right.order)
			.map(({name}) => name);
	}

	/** Drops the oldest relayed probe when there are more than 100 per probe interval within the retention time. */
	#limitRelayedProbes(): void {
		const limit = relayedProbeRetentionMilliseconds / this.#definition.intervalMilliseconds * 100;
		const [oldest] = this.#relayedProbes.keys();
		if (this.#relayedProbes.size > limit && oldest !== undefined) {
			this.#relayedProbes.delete(oldest);
		}
	}
}

function namesOf(members: readonly Member[]): string[] {
	return members.map(({name}) => name);
}
