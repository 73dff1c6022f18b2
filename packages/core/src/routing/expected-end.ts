/**
 * Expected end of a call at each peer, from the work that the peers report.
 *
 * @module
 */
import {costClassOf} from '../admission/cost-model.js';
import {MachineSpeed} from '../admission/machine-speed.js';
import type {WorkReport} from '../admission/work-left.js';

/** Reports are used as long as those of headroom. */
const reportValidityMilliseconds = 1000;

/** Weight of a peer's report in the mean work of a class over all peers. */
const referenceSmoothingFactor = 0.05;

/** Weight of a report in the mean wait at a peer. */
const waitSmoothingFactor = 0.1;

/**
 * The wait of a report changes into the mean wait of its peer within the time of this many calls, since the calls that it
 * counted have ended by then. Without this, old reports at many entry nodes raised the tail.
 */
const freshCalls = 4;

/** Classes of calls that are kept; the one without a report for longest is dropped first. */
const maximumReferences = 256;

type PeerWork = {
	workLeftMilliseconds: number;
	/** Mean wait over the recent reports, which an old report is replaced by. */
	usualWaitMilliseconds: number;
	/** Work of the peer as a factor of the mean of all peers, at the usual speed of its machine. */
	pace: number;
	reportedAt: number;
	readonly speed: MachineSpeed;
};

/** Load of a peer as its headroom tells it. */
export type PeerRoom = {
	readonly slots: number;
	/** Free slots less the calls sent since the last report. */
	readonly headroom: number;
	/** Calls sent since the last report. */
	readonly sentSinceReport: number;
	readonly linkMilliseconds: number;
};

/** Parts of the expected end of a call at one peer, in milliseconds. */
export type EndEstimate = {
	/** Time until the answer would arrive, with the time of the link. */
	readonly endMilliseconds: number;
	/** Expected wait for a slot at the present speed of the machine. */
	readonly waitMilliseconds: number;
	/** Likely work of the call at the present speed of the machine. */
	readonly costMilliseconds: number;
	/** Age of the report that the estimate is based on. */
	readonly ageMilliseconds: number;
};

/**
 * Work of the peers by name, and what a call would take at each.
 *
 * @example
 * const ends = new ExpectedEnds();
 * ends.reported('node-2', 'browse', 0, report, now);
 * ends.expected('node-2', 'browse', 0, room, now); // milliseconds from now; undefined without a recent report
 */
export class ExpectedEnds {
	readonly #peers = new Map<string, PeerWork>();
	/** Mean work by class over the reports of all peers, in milliseconds. */
	readonly #references = new Map<string, number>();

	/** Records the report that came with the answer to a call. */
	reported(peer: string, kind: string, bodyBytes: number, report: WorkReport, room: PeerRoom, now: number): void {
		const known = this.#peers.get(peer);
		const work = known ?? {
			workLeftMilliseconds: 0, usualWaitMilliseconds: 0, pace: 1, reportedAt: now, speed: new MachineSpeed(),
		};
		this.#peers.set(peer, work);
		work.workLeftMilliseconds = report.workLeftMilliseconds;
		work.usualWaitMilliseconds += waitSmoothingFactor * (expectedWait(report.workLeftMilliseconds, room) - work.usualWaitMilliseconds);
		work.reportedAt = now;
		work.speed.report(report.slowdown, now - report.ageMilliseconds);
		if (report.ownMilliseconds > 0) {
			work.pace = report.ownMilliseconds / this.#updateReference(costClassOf(kind, bodyBytes), report.ownMilliseconds);
		}
	}

	/** Milliseconds until the answer to a call sent now would arrive; undefined without a recent report or any known work. */
	expected(peer: string, kind: string, bodyBytes: number, room: PeerRoom, now: number): number | undefined {
		return this.estimate(peer, kind, bodyBytes, room, now)?.endMilliseconds;
	}

	/** The parts of the expected end; undefined without a recent report or any known work. */
	estimate(peer: string, kind: string, bodyBytes: number, room: PeerRoom, now: number): EndEstimate | undefined {
		const work = this.#peers.get(peer);
		const reference = this.#references.get(costClassOf(kind, bodyBytes)) ?? this.#overallReference();
		if (work === undefined || reference === undefined || now - work.reportedAt > reportValidityMilliseconds) {
			return undefined;
		}

		const ownMilliseconds = reference * work.pace;
		const sentMilliseconds = room.sentSinceReport * ownMilliseconds / Math.max(1, room.slots);
		const freshness = Math.exp(-(now - work.reportedAt) / (freshCalls * ownMilliseconds));
		const waitNow = expectedWait(work.workLeftMilliseconds + sentMilliseconds, room);
		const wait = (freshness * waitNow) + ((1 - freshness) * (work.usualWaitMilliseconds + sentMilliseconds));
		const slowdown = work.speed.slowdown(now);
		return {
			endMilliseconds: (2 * room.linkMilliseconds) + (slowdown * (ownMilliseconds + wait)),
			waitMilliseconds: slowdown * wait,
			costMilliseconds: slowdown * ownMilliseconds,
			ageMilliseconds: now - work.reportedAt,
		};
	}

	/** Removes all other peers. */
	keepOnly(peers: ReadonlySet<string>): void {
		[...this.#peers.keys()].filter(name => !peers.has(name)).map(name => this.#peers.delete(name));
	}

	#updateReference(costClass: string, milliseconds: number): number {
		const known = this.#references.get(costClass) ?? milliseconds;
		const reference = known + (referenceSmoothingFactor * (milliseconds - known));
		this.#references.delete(costClass);
		this.#references.set(costClass, reference);
		const [oldest] = this.#references.keys();
		if (this.#references.size > maximumReferences && oldest !== undefined) {
			this.#references.delete(oldest);
		}

		return reference;
	}

	#overallReference(): number | undefined {
		const values = [...this.#references.values()];
		return values.length === 0 ? undefined : values.reduce((sum, value) => sum + value, 0) / values.length;
	}
}

/**
 * Wait for a slot. With free slots it is the risk that other entry nodes take them before the call arrives. Without one, the
 * first slot is free after about a slot's part of the running work, and calls that wait add theirs in full.
 */
function expectedWait(workLeftMilliseconds: number, {slots, headroom}: PeerRoom): number {
	const count = Math.max(1, slots);
	if (headroom > 0) {
		const busyShare = Math.max(0, Math.min(1, 1 - (headroom / count)));
		return workLeftMilliseconds * (busyShare ** 2) / count;
	}

	return workLeftMilliseconds * (1 - headroom) / (count - headroom);
}
