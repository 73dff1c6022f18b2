/**
 * Quotas of organisations over all nodes: admits requests at this node, and owns parts of the quotas.
 *
 * @module
 */
import type {Member} from '../membership/member.js';
import {
	QuotaMessageType, type QuotaGrant, type QuotaMessage, type QuotaReply, type QuotaReport, type QuotaUse,
} from './messages.js';
import type {QuotaAccount} from './quota-account.js';
import type {QuotaDecision, QuotaGate} from './quota-gate.js';
import {splitBySize} from './datagram-size.js';
import {QuotaMembers} from './quota-members.js';
import {QuotaMeter, type QuotaMeterDefinition} from './quota-meter.js';
import {QuotaOwners} from './quota-owners.js';
import {overdraftOf, type Quotas} from './quota.js';

/** Bounds of the time between two reports of an account with enough stock. */
const shortestRegularMilliseconds = 1000;
const longestRegularMilliseconds = 5000;
/** Part of that time for each organisation in use, so that a node's traffic does not grow with their number. */
const regularMillisecondsPerMeter = 60;
/** Notices in one step; more are sent in the next ones. */
const noticesPerStep = 400;
const advanceIntervalMilliseconds = 100;
/** Time after the start in which the other nodes may have restarted as well: the window of a quota. */
const startMilliseconds = 5000;

/** Datagram to send. */
export type QuotaDatagram = {readonly to: Member; readonly message: QuotaMessage};

export type QuotaCoordinatorDefinition = {
	readonly own: () => Member;
	/** Uniformly distributed numbers in [0, 1). */
	readonly random: () => number;
};

/** Counts since the start, the number of parts that this node owns, and the granted tokens that it has not used. */
export type QuotaCounts = {readonly admitted: number; readonly refused: number; readonly owned: number; readonly stock: number};

type Due = {readonly organisation: string; readonly part: number; readonly meter: QuotaMeter; readonly account: QuotaAccount};

/**
 * Quotas at one node. Without quotas it holds, computes and sends nothing. Times are milliseconds on the node's monotonic clock.
 *
 * @example
 * const quotas = new QuotaCoordinator({own: () => member, random});
 * quotas.setMembers(members, now);
 * quotas.setQuotas(new Map([['acme', {requestsPerSecond: 100, burst: 50}]]), now);
 * quotas.admit('acme', now);
 * quotas.takeDatagrams(now); // reports to the owners
 */
export class QuotaCoordinator implements QuotaGate {
	readonly #definition: QuotaCoordinatorDefinition;
	readonly #members: QuotaMembers;
	readonly #owners: QuotaOwners;
	readonly #meters = new Map<string, QuotaMeter>();
	#quotas: Quotas = new Map();
	#allMembers: readonly Member[] = [];
	#isConfigured = false;
	#startedAt = -Infinity;
	#incarnation: number;
	#series = 0;
	#stamp = 0;
	#nextDueAt = Infinity;
	#nextAdvanceAt = 0;
	#admitted = 0;
	#refused = 0;
	readonly #notices: QuotaDatagram[] = [];

	constructor(definition: QuotaCoordinatorDefinition, members = new QuotaMembers(), owners = new QuotaOwners({members, own: definition.own})) {
		this.#definition = definition;
		this.#incarnation = definition.own().incarnation;
		this.#members = members;
		this.#owners = owners;
	}

	get counts(): QuotaCounts {
		const stock = [...this.#meters.values()].flatMap(({accounts}) => accounts).reduce((sum, account) => sum + account.stock, 0);
		return {
			admitted: this.#admitted, refused: this.#refused, owned: this.#owners.size, stock,
		};
	}

	/** Sets the quotas of a new manifest. Values of 0 mean that there is no quota. Call it with every manifest. */
	setQuotas(quotas: Quotas, now: number): void {
		const previous = this.#quotas;
		this.#quotas = new Map([...quotas].filter(([, {requestsPerSecond}]) => requestsPerSecond > 0));
		if (previous.size === 0) {
			this.#members.clear();
		}

		if (this.#isActive) {
			this.#members.set(this.#allMembers, now);
		}

		this.#startedAt = this.#isConfigured ? this.#startedAt : now;
		this.#owners.setQuotas(this.#quotas, !this.#isConfigured, now);
		this.#isConfigured = true;
		[...this.#meters].map(([name, meter]) => {
			const [quota, old] = [this.#quotas.get(name), previous.get(name)];
			const isSame = quota !== undefined && quota.requestsPerSecond === old?.requestsPerSecond && quota.burst === old.burst;
			return quota === undefined ? this.#meters.delete(name) : (!isSame && this.#restart(meter, now));
		});
	}

	/** Sets the members as this node knows them. Call it after every change. */
	setMembers(members: readonly Member[], now: number): void {
		this.#allMembers = members;
		if (!this.#isActive || !this.#members.set(members, now)) {
			return;
		}

		this.#owners.membersChanged();
		if (this.#definition.own().incarnation !== this.#incarnation) {
			this.#incarnation = this.#definition.own().incarnation;
			[...this.#meters.values()].map(meter => this.#restart(meter, now));
		}

		[...this.#meters].map(([name, meter]) => this.#updateOwners(name, meter, now));
	}

	admit(organisation: string, now: number): QuotaDecision {
		if (!this.#quotas.has(organisation)) {
			return {admitted: true};
		}

		const meter = this.#meters.get(organisation) ?? this.#openMeter(organisation, now);
		const decision = meter.admit(now);
		this.#admitted += Number(decision.admitted);
		this.#refused += Number(!decision.admitted);
		this.#scheduleBy(meter);
		return decision;
	}

	/**
	 * A gate that decides on the requests of one organisation as this one would from now on, at the same state and with the
	 * given random numbers. It has copies of the state, so that its decisions count nothing here.
	 */
	preview(organisation: string, random: () => number): QuotaGate {
		const members = this.#members.copy();
		const preview = new QuotaCoordinator({...this.#definition, random}, members, this.#owners.copyOf(organisation, members));
		preview.#quotas = this.#quotas;
		preview.#startedAt = this.#startedAt;
		preview.#incarnation = this.#incarnation;
		preview.#series = this.#series;
		preview.#stamp = this.#stamp;
		[...this.#meters].filter(([name]) => name === organisation).map(([name, meter]) => preview.#meters.set(name, meter.copy(preview.#meterDefinitionOf(name))));
		return preview;
	}

	giveBack(organisation: string, now: number): void {
		const meter = this.#meters.get(organisation);
		if (meter !== undefined) {
			meter.giveBack(now);
			this.#scheduleBy(meter);
		}
	}

	/** Processes a received message; the result is the reply to it. Messages of unknown members and to other incarnations are ignored. */
	receive(message: QuotaMessage, now: number): QuotaDatagram[] {
		const sender = this.#isActive ? this.#members.get(message.sender) : undefined;
		if (sender === undefined || message.toIncarnation !== this.#incarnation) {
			return [];
		}

		const handlers: Readonly<Record<QuotaMessageType, (received: never) => QuotaDatagram[]>> = {
			[QuotaMessageType.Report]: (report: QuotaReport) => this.#reportReceived(sender, report, now),
			[QuotaMessageType.Reply]: (reply: QuotaReply) => this.#replyReceived(reply, now),
		};
		return handlers[message.type](message as never);
	}

	/** Reports and notices that are due. Call it after requests were admitted, and periodically. */
	takeDatagrams(now: number): QuotaDatagram[] {
		if (!this.#isActive) {
			return [];
		}

		this.#advance(now);
		const notices = this.#notices.splice(0, noticesPerStep);
		return now < this.#nextDueAt ? notices : [...notices, ...this.#takeReports(now)];
	}

	get #isActive(): boolean {
		return this.#quotas.size > 0;
	}

	#advance(now: number): void {
		if (now < this.#nextAdvanceAt) {
			return;
		}

		this.#nextAdvanceAt = now + advanceIntervalMilliseconds;
		this.#owners.advance(now);
		this.#queueNotices(now);
		[...this.#meters].map(([name, meter]) => {
			meter.accounts.map(account => account.advance(now));
			this.#scheduleBy(meter);
			return meter.isUnused(now) && this.#meters.delete(name);
		});
	}

	#openMeter(organisation: string, now: number): QuotaMeter {
		const meter = new QuotaMeter(this.#meterDefinitionOf(organisation));
		this.#meters.set(organisation, meter);
		this.#updateOwners(organisation, meter, now);
		return meter;
	}

	#meterDefinitionOf(organisation: string): QuotaMeterDefinition {
		return {
			random: this.#definition.random,
			requestsPerSecond: () => this.#quotas.get(organisation)!.requestsPerSecond,
			overdraft: now => overdraftOf(this.#quotas.get(organisation)!, this.#members.admittingCount(now), this.#admittingCount(now)),
			regularMilliseconds: () => this.#regularMilliseconds,
			fetchLocally: (opened, account, at) => {
				this.#fetchLocally({
					organisation, part: opened.accounts.indexOf(account), meter: opened, account,
				}, at);
			},
		};
	}

	/** A node that has just started cannot know which others have restarted with it, and counts each of them twice. */
	#admittingCount(now: number): number {
		return this.#members.admittingCount(now) * (now - this.#startedAt < startMilliseconds ? 2 : 1);
	}

	get #regularMilliseconds(): number {
		return Math.min(longestRegularMilliseconds, Math.max(shortestRegularMilliseconds, this.#meters.size * regularMillisecondsPerMeter));
	}

	#updateOwners(organisation: string, meter: QuotaMeter, now: number): void {
		meter.accounts.map((account, part) => {
			const owner = this.#members.ownerOf(organisation, part);
			const key = owner === undefined ? '' : keyOf(owner.name, owner.incarnation);
			return key !== account.owner && account.setOwner(key, this.#nextSeries(), now);
		});
		this.#scheduleBy(meter);
	}

	#restart(meter: QuotaMeter, now: number): void {
		meter.accounts.map(account => account.restart(this.#nextSeries(), now));
		this.#scheduleBy(meter);
	}

	#nextSeries(): number {
		this.#series += 1;
		return this.#series;
	}

	#scheduleBy(meter: QuotaMeter): void {
		this.#nextDueAt = Math.min(this.#nextDueAt, ...meter.accounts.map(account => account.dueAt));
	}

	/** All accounts that have something to report to an owner travel with the first that is due. */
	#takeReports(now: number): QuotaDatagram[] {
		const waiting = [...this.#meters].flatMap(([organisation, meter]) => meter.accounts.map((account, part): Due => ({
			organisation, part, meter, account,
		}))).filter(({account}) => account.dueAt < Infinity);
		const dueOwners = new Set(waiting.filter(({account}) => account.dueAt <= now).map(({account}) => account.owner));
		const due = waiting.filter(({account}) => dueOwners.has(account.owner));
		const datagrams = [...dueOwners].flatMap(owner => this.#reportTo(due.filter(({account}) => account.owner === owner), now));
		this.#nextDueAt = Math.min(Infinity, ...waiting.map(({account}) => account.dueAt));
		return datagrams;
	}

	#reportTo(accounts: readonly Due[], now: number): QuotaDatagram[] {
		const {organisation, part, account} = accounts[0]!;
		const to = this.#members.ownerOf(organisation, part);
		if (to === undefined || keyOf(to.name, to.incarnation) !== account.owner) {
			return [];
		}

		if (to.name === this.#definition.own().name) {
			accounts.map(due => this.#fetchLocally(due, now));
			return [];
		}

		return splitBySize(accounts).map(group => {
			this.#stamp += 1;
			const uses = group.map(due => this.#useOf(due, now));
			return {
				to, message: {
					...this.#headerTo(to), stamp: this.#stamp, type: QuotaMessageType.Report, uses,
				},
			};
		});
	}

	#useOf({organisation, part, meter, account}: Due, now: number): QuotaUse {
		return {
			organisation, part, asked: meter.asked, ...account.report(this.#stamp, now),
		};
	}

	#headerTo(to: Member): {readonly sender: string; readonly incarnation: number; readonly toIncarnation: number} {
		return {sender: this.#definition.own().name, incarnation: this.#incarnation, toIncarnation: to.incarnation};
	}

	/** Where this node is the owner, tokens are fetched without a message. */
	#fetchLocally(due: Due, now: number): void {
		const {name} = this.#definition.own();
		if (due.account.owner !== keyOf(name, this.#incarnation)) {
			return;
		}

		this.#stamp += 1;
		const grant = this.#owners.report({sender: name, incarnation: this.#incarnation, stamp: this.#stamp}, this.#useOf(due, now), now);
		if (grant !== undefined) {
			this.#grant(due.meter, due.account, grant, this.#stamp, now);
		}
	}

	#reportReceived(sender: Member, report: QuotaReport, now: number): QuotaDatagram[] {
		const to = {...sender, incarnation: report.incarnation};
		const grants = report.uses.flatMap(use => this.#owners.report(report, use, now) ?? []);
		this.#queueNotices(now);
		return grants.length === 0 ? [] : [{to, message: this.#replyTo(to, report.stamp, grants)}];
	}

	#replyTo(to: Member, stamp: number, grants: readonly QuotaGrant[]): QuotaReply {
		return {
			...this.#headerTo(to), type: QuotaMessageType.Reply, stamp, grants,
		};
	}

	#queueNotices(now: number): void {
		const notices = this.#owners.takeNotices(now);
		if (notices.length > 0) {
			const others = this.#members.candidates.filter(({name}) => name !== this.#definition.own().name);
			this.#notices.push(...splitBySize(notices).flatMap(group => others.map(to => ({to, message: this.#replyTo(to, 0, group)}))));
		}
	}

	#replyReceived(reply: QuotaReply, now: number): QuotaDatagram[] {
		reply.grants.map(grant => {
			const meter = this.#meters.get(grant.organisation);
			return grant.series === 0 ? this.#noticeReceived(reply, grant, now) : this.#grantReceived(meter, reply, grant, now);
		});
		return [];
	}

	#noticeReceived(reply: QuotaReply, {organisation, part, isLow}: QuotaGrant, now: number): void {
		if (this.#quotas.has(organisation)) {
			const account = (this.#meters.get(organisation) ?? this.#openMeter(organisation, now)).accounts[part];
			const isFromOwner = account?.owner === keyOf(reply.sender, reply.incarnation);
			account?.setLow(isLow && isFromOwner, now);
		}
	}

	#grantReceived(meter: QuotaMeter | undefined, reply: QuotaReply, grant: QuotaGrant, now: number): void {
		const account = meter?.accounts[grant.part];
		if (meter !== undefined && account !== undefined && account.owner === keyOf(reply.sender, reply.incarnation)) {
			this.#grant(meter, account, grant, reply.stamp, now);
		}
	}

	#grant(meter: QuotaMeter, account: QuotaAccount, grant: QuotaGrant, stamp: number, now: number): void {
		account.grant(grant, {stamp, regularMilliseconds: this.#regularMilliseconds}, now);
		meter.replied();
		this.#scheduleBy(meter);
	}
}

function keyOf(name: string, incarnation: number): string {
	return `${name}/${incarnation}`;
}
