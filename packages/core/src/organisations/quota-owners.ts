/**
 * The parts of quotas that a node owns.
 *
 * @module
 */
import type {Member} from '../membership/member.js';
import type {QuotaGrant, QuotaUse} from './messages.js';
import {QuotaOwner, type ReportOrigin} from './quota-owner.js';
import type {QuotaMembers} from './quota-members.js';
import {
	bucketOf, overdraftOf, ownersPerQuota, type Quotas,
} from './quota.js';

/** Time between the first two notices about a bucket, in case the first is lost, and between later ones. */
const secondNoticeMilliseconds = 500;
const noticeIntervalMilliseconds = 5000;

export type QuotaOwnersDefinition = {
	readonly members: QuotaMembers;
	readonly own: () => Member;
};

type OwnedPart = {
	readonly organisation: string;
	readonly part: number;
	readonly bucket: QuotaOwner;
	/** Time of the next notice while the tokens are low. */
	noticeAt: number;
	/** Whether the last notice stated that the tokens are low. */
	isNoticedLow: boolean;
	/** Earliest time of the next notice that the tokens have recovered. */
	recoveryNoticeAt: number;
};

/**
 * Owned parts. A part is created with the first report, and removed a minute after the last one.
 *
 * @example
 * owners.report(origin, use, now); // the grant to send; undefined when this node is not the owner
 */
export class QuotaOwners {
	readonly #definition: QuotaOwnersDefinition;
	readonly #parts = new Map<string, OwnedPart>();
	#quotas: Quotas = new Map();
	/** Organisations whose quota is new at this running node. Their buckets begin full. */
	#added: ReadonlySet<string> = new Set();
	#startedAt = -Infinity;

	constructor(definition: QuotaOwnersDefinition) {
		this.#definition = definition;
	}

	get size(): number {
		return this.#parts.size;
	}

	/** The owned parts of one organisation in the same state, whose changes do not affect these. */
	copyOf(organisation: string, members: QuotaMembers): QuotaOwners {
		const owners = new QuotaOwners({...this.#definition, members});
		owners.#quotas = this.#quotas;
		owners.#added = this.#added;
		owners.#startedAt = this.#startedAt;
		[...this.#parts].filter(([, owned]) => owned.organisation === organisation)
			.map(([key, owned]) => owners.#parts.set(key, {...owned, bucket: owned.bucket.copy()}));
		return owners;
	}

	/** @param isFirst - whether the node had no manifest before; other nodes may have granted tokens then */
	setQuotas(quotas: Quotas, isFirst: boolean, now: number): void {
		this.#startedAt = isFirst ? now : this.#startedAt;
		this.#added = isFirst ? new Set() : new Set([...quotas.keys()].filter(name => !this.#quotas.has(name) || this.#added.has(name)));
		this.#quotas = quotas;
		[...this.#parts].map(([key, {organisation, bucket}]) => {
			const quota = quotas.get(organisation);
			return quota === undefined ? this.#parts.delete(key) : bucket.setBucket(bucketOf(quota), now);
		});
	}

	/** Removes the parts that other members own from now on. */
	membersChanged(): void {
		[...this.#parts].filter(([, {organisation, part}]) => !this.#isOwner(organisation, part)).map(([key]) => this.#parts.delete(key));
	}

	/** Updates the reachable share of the members, and removes the parts that no node uses. */
	advance(now: number): void {
		const reach = this.#definition.members.reach(now);
		[...this.#parts].map(([key, {bucket}]) => {
			bucket.setReach(reach, now);
			return bucket.isIdle(now) && this.#parts.delete(key);
		});
	}

	/** Processes the use of one part; undefined when this node does not own it, or for an outdated report. */
	report(origin: ReportOrigin, use: QuotaUse, now: number): QuotaGrant | undefined {
		return this.#isOwner(use.organisation, use.part) ? this.#partOf(use, now)?.bucket.report(origin, use, now) : undefined;
	}

	/**
	 * Notices that are due: where the usual overdraft of all nodes exceeds the tolerance, and the bucket is low or has
	 * recovered. Without the latter, nodes would refuse their first requests until the statement that tokens are low lapses.
	 */
	takeNotices(now: number): QuotaGrant[] {
		return [...this.#parts.values()].filter(owned => this.#needsNotice(owned, now)).flatMap(owned => {
			if (owned.bucket.isLow) {
				return now >= owned.noticeAt ? [this.#lowNotice(owned, now)] : [];
			}

			const hasRecovered = owned.isNoticedLow && now >= owned.recoveryNoticeAt && owned.bucket.isRecovered(now);
			return hasRecovered ? [this.#recoveryNotice(owned, now)] : [];
		});
	}

	#lowNotice(owned: OwnedPart, now: number): QuotaGrant {
		const isFirst = !owned.isNoticedLow || now - owned.noticeAt > noticeIntervalMilliseconds;
		owned.noticeAt = now + (isFirst ? secondNoticeMilliseconds : noticeIntervalMilliseconds);
		owned.isNoticedLow = true;
		return toNotice(owned, true);
	}

	#recoveryNotice(owned: OwnedPart, now: number): QuotaGrant {
		owned.noticeAt = now;
		owned.isNoticedLow = false;
		owned.recoveryNoticeAt = now + noticeIntervalMilliseconds;
		return toNotice(owned, false);
	}

	#needsNotice({organisation}: OwnedPart, now: number): boolean {
		const {usual, low} = overdraftOf(this.#quotas.get(organisation)!, this.#definition.members.admittingCount(now));
		return usual > low;
	}

	#isOwner(organisation: string, part: number): boolean {
		return part < ownersPerQuota && this.#quotas.has(organisation) && this.#definition.members.ownerOf(organisation, part)?.name === this.#definition.own().name;
	}

	/** A new part has the tokens of the time in which this node was its owner and no node asked. */
	#partOf({organisation, part}: QuotaUse, now: number): OwnedPart | undefined {
		const key = `${part}/${organisation}`;
		const quota = this.#quotas.get(organisation);
		const known = this.#parts.get(key);
		if (known !== undefined || quota === undefined) {
			return known;
		}

		const {members} = this.#definition;
		const bucket = bucketOf(quota);
		const reach = members.reach(now);
		const ownedMilliseconds = Math.min(members.stableFor(now), now - this.#startedAt);
		const level = this.#added.has(organisation) ? bucket.size : Math.max(0, ownedMilliseconds) / 1000 * bucket.requestsPerSecond * reach;
		const created: OwnedPart = {
			organisation, part, noticeAt: -Infinity, isNoticedLow: false, recoveryNoticeAt: -Infinity, bucket: new QuotaOwner(bucket, level, now + Math.max(0, -ownedMilliseconds)),
		};
		created.bucket.setReach(reach, now);
		this.#parts.set(key, created);
		return created;
	}
}

function toNotice({organisation, part}: OwnedPart, isLow: boolean): QuotaGrant {
	return {
		organisation, part, series: 0, granted: 0, rate: 0, waitMilliseconds: 0, isLow,
	};
}
