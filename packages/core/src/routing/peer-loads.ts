/**
 * Load of the peers, known from their answers and from the node's own calls in flight to them.
 *
 * @module
 */
import type {Member} from '../membership/member.js';
import type {ServingState} from '../messages.js';
import type {PeerRoom} from './expected-end.js';

const reportValidityMilliseconds = 1000;

/** Long enough that a node sends a peer a few calls of a kind in this time, so that some levels are always known. */
const levelValidityMilliseconds = 600;
const assumedHeadroom = 1;

/** Share of its slots that a peer is assumed to have free without a recent report, so that new peers receive calls. */
const assumedFreeShare = 0.25;
const linkSmoothingFactor = 0.2;
const unreachableMilliseconds = 500;
const unansweredSmoothingFactor = 0.3;

/** Refusals cost no time, so more of them are counted before a peer is avoided than of calls that run into their deadline. */
const refusedSmoothingFactor = 0.1;

/** A share of unanswered or refused calls keeps its value for the hold time and then decays by its half-life, so that an avoided peer is tried again. */
const failureHoldMilliseconds = 2000;
const failureHalfLifeMilliseconds = 4000;

/** Overload levels that a peer reported for a kind: its own, and that of the services that the kind depends on. */
export type PeerLevel = {readonly own: number; readonly downstream: number; readonly reportedAt: number};

/** Share of the recent calls that failed in one way, by request kind. */
type FailureShares = Map<string, {readonly share: number; readonly at: number}>;

type PeerLoad = {
	outstanding: number;
	headroom: number;
	outstandingAtReport: number;
	reportedAt: number;
	draining: boolean;
	linkMilliseconds: number;
	unreachableUntil: number;
	incarnation: number;
	version: number;
	slots: number;
	readonly levels: Map<string, PeerLevel>;
	readonly unanswered: FailureShares;
	readonly refused: FailureShares;
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

	/** Number of calls in flight from this node to the peer. */
	outstanding(peer: string): number {
		return this.#peers.get(peer)?.outstanding ?? 0;
	}

	/** Estimated free slots: the last reported headroom minus the calls sent since. */
	headroom(peer: string, now: number): number {
		const load = this.#peers.get(peer);
		if (load === undefined || now - load.reportedAt > reportValidityMilliseconds) {
			return Math.max(assumedHeadroom, (load?.slots ?? 0) * assumedFreeShare) - (load?.outstanding ?? 0);
		}

		return load.headroom - (load.outstanding - load.outstandingAtReport);
	}

	/** Room at the peer for further calls. Without a recent report the headroom is the assumed one. */
	room(peer: string, now: number): PeerRoom {
		const load = this.#peers.get(peer);
		return {
			slots: load?.slots ?? 0,
			headroom: this.headroom(peer, now),
			sentSinceReport: Math.max(0, (load?.outstanding ?? 0) - (load?.outstandingAtReport ?? 0)),
			linkMilliseconds: load?.linkMilliseconds ?? 0,
		};
	}

	/** Milliseconds since the peer's last report; undefined without one. The headroom of an older report than a second is not used. */
	reportAge(peer: string, now: number): number | undefined {
		const load = this.#peers.get(peer);
		return load === undefined || load.reportedAt === -Infinity ? undefined : now - load.reportedAt;
	}

	/** Overload levels of the peer for the kind; undefined without a recent report. */
	level(peer: string, kind: string, now: number): PeerLevel | undefined {
		const entry = this.#peers.get(peer)?.levels.get(kind);
		return entry === undefined || now - entry.reportedAt > levelValidityMilliseconds ? undefined : entry;
	}

	/** Recent share of the calls of the kind that the peer's upstream may have run and did not answer in time. */
	unansweredShare(peer: string, kind: string, now: number): number {
		return shareOf(this.#peers.get(peer)?.unanswered, kind, now);
	}

	/** Recent share of the calls of the kind that the peer's upstream refused without running them, although its node had sent them. */
	refusedShare(peer: string, kind: string, now: number): number {
		return shareOf(this.#peers.get(peer)?.refused, kind, now);
	}

	isDraining(peer: string): boolean {
		return this.#peers.get(peer)?.draining ?? false;
	}

	/** Whether a connection to the peer failed in the last 500 ms and the peer has answered no call since. */
	isUnreachable(peer: string, now: number): boolean {
		return now < (this.#peers.get(peer)?.unreachableUntil ?? 0);
	}

	/** Estimated one-way network time to the peer, in milliseconds. */
	linkMilliseconds(peer: string): number {
		return this.#peers.get(peer)?.linkMilliseconds ?? 0;
	}

	callSent(peer: string): void {
		this.#entry(peer).outstanding += 1;
	}

	/** Records a call that the peer answered, with the state that it reported. */
	callAnswered(peer: string, kind: string, serving: ServingState, roundTripMilliseconds: number, now: number): void {
		const load = this.#entry(peer);
		load.outstanding = Math.max(0, load.outstanding - 1);
		load.headroom = serving.headroom;
		load.outstandingAtReport = load.outstanding;
		load.reportedAt = now;
		load.draining = serving.draining;
		load.unreachableUntil = 0;
		load.levels.set(kind, {own: serving.level, downstream: serving.downstreamLevel, reportedAt: now});
		const link = Math.max(0, (roundTripMilliseconds - serving.servedMilliseconds) / 2);
		load.linkMilliseconds += linkSmoothingFactor * (link - load.linkMilliseconds);
	}

	/** Records whether the peer's upstream answered in time. Only calls that the upstream may have run count. */
	recordUpstreamOutcome(peer: string, kind: string, isAnswered: boolean, now: number): void {
		updateShare(this.#entry(peer).unanswered, kind, isAnswered ? 0 : 1, unansweredSmoothingFactor, now);
	}

	/** Records whether the peer's upstream refused a call that it was sent. */
	recordUpstreamRefusal(peer: string, kind: string, isRefused: boolean, now: number): void {
		updateShare(this.#entry(peer).refused, kind, isRefused ? 1 : 0, refusedSmoothingFactor, now);
	}

	/** Records a call that ended without an answer. */
	callFailed(peer: string, isUnreachable: boolean, now: number): void {
		const load = this.#entry(peer);
		load.outstanding = Math.max(0, load.outstanding - 1);
		load.unreachableUntil = isUnreachable ? now + unreachableMilliseconds : load.unreachableUntil;
	}

	/** Removes all other peers, except those with calls in flight. */
	keepOnly(peers: ReadonlySet<string>): void {
		[...this.#peers].filter(([name, load]) => !peers.has(name) && load.outstanding === 0).map(([name]) => this.#peers.delete(name));
	}

	/** Applies a membership update. A new incarnation resets the load of the peer; a new version clears an older `draining`. */
	updateMember({name: peer, incarnation, version, slots}: Pick<Member, 'name' | 'incarnation' | 'version' | 'slots'>): void {
		const known = this.#peers.get(peer);
		if (known !== undefined && known.incarnation !== 0 && known.incarnation !== incarnation) {
			this.#peers.delete(peer);
			this.#entry(peer).outstanding = known.outstanding;
		}

		const load = this.#entry(peer);
		load.draining &&= load.version === version;
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
			draining: false,
			linkMilliseconds: 0,
			unreachableUntil: 0,
			incarnation: 0,
			version: 0,
			slots: 0,
			levels: new Map(),
			unanswered: new Map(),
			refused: new Map(),
		};
		this.#peers.set(peer, created);
		return created;
	}
}

function shareOf(shares: FailureShares | undefined, kind: string, now: number): number {
	const entry = shares?.get(kind);
	if (entry === undefined) {
		return 0;
	}

	const idle = Math.max(0, now - entry.at - failureHoldMilliseconds);
	return entry.share * (2 ** -(idle / failureHalfLifeMilliseconds));
}

function updateShare(shares: FailureShares, kind: string, outcome: 0 | 1, smoothingFactor: number, now: number): void {
	const share = shareOf(shares, kind, now);
	shares.set(kind, {share: share + (smoothingFactor * (outcome - share)), at: now});
}
