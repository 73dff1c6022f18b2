/**
 * What a node knows of its peers' load: from their answers, and from its own calls in flight to them.
 *
 * @module
 */
import type {Member} from '../membership/member.js';
import type {ServingState} from '../messages.js';

const freshMilliseconds = 1000;

/** A node sends a peer a few calls of a kind in this time, so that some of its levels are known at any moment. */
const levelHoldMilliseconds = 600;
const assumedHeadroom = 1;

/** Share of its slots that a peer is taken to have free while nothing recent is known, so that newcomers are tried. */
const assumedShare = 0.25;
const linkSmoothing = 0.2;
const unreachableMilliseconds = 500;
const lostSmoothing = 0.3;

/** What is known of lost calls holds for a while and then halves again and again, so that a peer left alone is tried again. */
const lostHoldMilliseconds = 2000;
const lostHalfLifeMilliseconds = 4000;

/** Least priorities that a peer admits for a kind: for want of room of its own, and for want of room below it. */
export type KnownLevel = {readonly own: number; readonly below: number; readonly at: number};

type PeerLoad = {
	outstanding: number;
	headroom: number;
	outstandingAtReport: number;
	reportedAt: number;
	leaving: boolean;
	linkMilliseconds: number;
	unreachableUntil: number;
	incarnation: number;
	version: number;
	slots: number;
	readonly levels: Map<string, KnownLevel>;
	readonly lost: Map<string, {readonly share: number; readonly at: number}>;
};

/**
 * Load of peers by name.
 *
 * @example
 * loads.callSent('node-2');
 * loads.callAnswered('node-2', 'catalogue/browse', serving, 14, now);
 * loads.headroom('node-2', now);
 */
export class PeerLoads {
	readonly #peers = new Map<string, PeerLoad>();

	/** Calls in flight from this node to the peer. */
	outstanding(peer: string): number {
		return this.#peers.get(peer)?.outstanding ?? 0;
	}

	/** Estimate of free slots: the last report less what was sent since. */
	headroom(peer: string, now: number): number {
		const load = this.#peers.get(peer);
		if (load === undefined || now - load.reportedAt > freshMilliseconds) {
			return Math.max(assumedHeadroom, (load?.slots ?? 0) * assumedShare) - (load?.outstanding ?? 0);
		}

		return load.headroom - (load.outstanding - load.outstandingAtReport);
	}

	/** Least priorities that the peer admits for the kind; undefined when nothing recent is known. */
	level(peer: string, kind: string, now: number): KnownLevel | undefined {
		const entry = this.#peers.get(peer)?.levels.get(kind);
		return entry === undefined || now - entry.at > levelHoldMilliseconds ? undefined : entry;
	}

	/** Share of the kind's calls that ran at the peer lately and got no answer from its upstream, or not in time. */
	unansweredShare(peer: string, kind: string, now: number): number {
		const lost = this.#peers.get(peer)?.lost.get(kind);
		if (lost === undefined) {
			return 0;
		}

		const idle = Math.max(0, now - lost.at - lostHoldMilliseconds);
		return lost.share * (2 ** -(idle / lostHalfLifeMilliseconds));
	}

	isDraining(peer: string): boolean {
		return this.#peers.get(peer)?.leaving ?? false;
	}

	/** Whether a connection to the peer failed a moment ago. */
	isUnreachable(peer: string, now: number): boolean {
		return now < (this.#peers.get(peer)?.unreachableUntil ?? 0);
	}

	/** One-way time to the peer in milliseconds. */
	linkMilliseconds(peer: string): number {
		return this.#peers.get(peer)?.linkMilliseconds ?? 0;
	}

	callSent(peer: string): void {
		this.#entry(peer).outstanding += 1;
	}

	/** Notes the end of a call that got an answer. */
	callAnswered(peer: string, kind: string, serving: ServingState, roundTripMilliseconds: number, now: number): void {
		const load = this.#entry(peer);
		load.outstanding = Math.max(0, load.outstanding - 1);
		load.headroom = serving.headroom;
		load.outstandingAtReport = load.outstanding;
		load.reportedAt = now;
		load.leaving = serving.draining;
		load.unreachableUntil = 0;
		load.levels.set(kind, {own: serving.level, below: serving.downstreamLevel, at: now});
		const link = Math.max(0, (roundTripMilliseconds - serving.servedMilliseconds) / 2);
		load.linkMilliseconds += linkSmoothing * (link - load.linkMilliseconds);
	}

	/** Notes whether the peer's upstream answered in time a call that it may have run. */
	recordUpstreamOutcome(peer: string, kind: string, isAnswered: boolean, now: number): void {
		const share = this.unansweredShare(peer, kind, now);
		this.#entry(peer).lost.set(kind, {share: share + (lostSmoothing * ((isAnswered ? 0 : 1) - share)), at: now});
	}

	/** Notes the end of a call without an answer. */
	callFailed(peer: string, unreachable: boolean, now: number): void {
		const load = this.#entry(peer);
		load.outstanding = Math.max(0, load.outstanding - 1);
		load.unreachableUntil = unreachable ? now + unreachableMilliseconds : load.unreachableUntil;
	}

	/** Forgets peers that are gone, unless calls to them are in flight. */
	keepOnly(peers: ReadonlySet<string>): void {
		[...this.#peers].filter(([name, load]) => !peers.has(name) && load.outstanding === 0).map(([name]) => this.#peers.delete(name));
	}

	/** Notes what membership says: a new incarnation is another peer, and a new version takes back an older `leaving`. */
	noteMember({name: peer, incarnation, version, slots}: Pick<Member, 'name' | 'incarnation' | 'version' | 'slots'>): void {
		const known = this.#peers.get(peer);
		if (known !== undefined && known.incarnation !== 0 && known.incarnation !== incarnation) {
			this.#peers.delete(peer);
			this.#entry(peer).outstanding = known.outstanding;
		}

		const load = this.#entry(peer);
		load.leaving &&= load.version === version;
		load.incarnation = incarnation;
		load.version = version;
		load.slots = slots;
	}

	#entry(peer: string): PeerLoad {
		const known = this.#peers.get(peer);
		if (known !== undefined) {
			return known;
		}

		const created: PeerLoad = {
			outstanding: 0,
			headroom: assumedHeadroom,
			outstandingAtReport: 0,
			reportedAt: -Infinity,
			leaving: false,
			linkMilliseconds: 0,
			unreachableUntil: 0,
			incarnation: 0,
			version: 0,
			slots: 0,
			levels: new Map(),
			lost: new Map(),
		};
		this.#peers.set(peer, created);
		return created;
	}
}
