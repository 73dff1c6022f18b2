/**
 * What must hold of everything that the callers and the upstreams of a soak have seen.
 *
 * @module
 */
import {SoakPhase, type SoakResult} from './soak-clients.js';
import {payment, receipt} from './soak-kinds.js';
import {DisruptionType} from './soak-plan.js';

/** A node's process that was stopped, killed or frozen. */
export type Trouble = {
	readonly entry: string;
	readonly type: DisruptionType;
	readonly startedAt: number;
	/** When the process was gone, or went on. */
	readonly endedAt: number;
	/** When it was ready again. */
	readonly readyAt: number;
	/** Exit code; null when the process had to be killed. */
	readonly code: number | null;
};

/** A version of the manifest that the store has accepted. */
export type AcceptedVersion = {readonly version: number; readonly acceptedAt: number};

/** An upstream that has announced that it leaves, and was watched from some seconds later on. */
export type Departure = {readonly entry: string; readonly watchedFrom: number; readonly watchedTo: number; readonly startsAfter: number};

/** What callers and upstreams have seen. */
export type SoakRecord = {
	readonly results: readonly SoakResult[];
	readonly troubles: readonly Trouble[];
	/** Starts of work by `SERVICE/REQUEST`. */
	readonly runs: ReadonlyMap<string, number>;
	/** Requests on which the upstream of each instance has begun to work. */
	readonly instanceRuns: ReadonlyMap<string, ReadonlySet<string>>;
	readonly versions: readonly AcceptedVersion[];
	/** Ends of the times in which the store was down or slow, with their starts. */
	readonly storeOutages: ReadonlyArray<{readonly startedAt: number; readonly endedAt: number}>;
	readonly departures: readonly Departure[];
	/** Greatest memory of each node's processes. */
	readonly memory: ReadonlyArray<{readonly entry: string; readonly megabytes: number}>;
	readonly retriesPerAction: number;
};

/** Statuses of the nodes' own errors in a soak, in which no caller makes a mistake. */
const ownStatuses: ReadonlySet<number | undefined> = new Set([404, 502, 503, 504]);
const notRunStatuses: ReadonlySet<number | undefined> = new Set([408, 421, 429, 503]);
const unknownKindStatus = 404;
/** Time after which a node at work has read what was sent to it. */
const crossingMilliseconds = 200;
/** Longest time for which a node may stand still on a busy machine. */
const longestStallMilliseconds = 1000;
/** A process that ends takes its connections with it; its callers learn of that a little later. */
const noticeMilliseconds = 300;
const adoptionMilliseconds = 2500;
/** Time after which nothing new may reach an upstream that has said that it leaves. */
export const drainMilliseconds = 2500;
/** Longest pause of a node between two questions to a store that did not answer. */
const storePauseMilliseconds = 5000;
const memoryMegabytes = 350;

/** Promises that are checked. */
export enum Check {
	OwnWholeAnswer = 'each answer is whole and its own',
	NotRun = 'what is said not to have run ran nowhere',
	Bounded = 'at-most-once work runs once, retries stay bounded over the chain',
	KnownStatus = 'statuses are those that callers are told of, and promise what the outcome says',
	Answered = 'every request that was read is answered',
	InForce = 'an accepted version is in force everywhere, and never falls back',
	PlannedStop = 'planned stops harm nothing and end well',
	Importance = 'payments are refused only after less important work',
	Departure = 'a leaving upstream gets nothing new',
	Memory = 'the memory of the nodes is bounded',
	Recovery = 'service recovers by itself soon after the last fault',
	Shipment = 'the operators\' command says what became of a shipment',
}

/** A broken promise, and what shows it. */
export type Violation = {readonly check: Check; readonly text: string};

type Judge = (result: SoakResult, runs: number, record: SoakRecord) => string[];

const judges: ReadonlyArray<readonly [Check, Judge]> = [
	[Check.OwnWholeAnswer, judgeSpoiled],
	[Check.NotRun, judgeNotRun],
	[Check.Bounded, judgeRepeats],
	[Check.KnownStatus, judgeStatus],
	[Check.Answered, judgeUnanswered],
	[Check.InForce, judgeVersion],
	[Check.PlannedStop, judgeRoll],
];

const searches: ReadonlyArray<readonly [Check, (record: SoakRecord) => string[]]> = [
	[Check.Bounded, findInnerRepeats],
	[Check.InForce, findFallbacks],
	[Check.Importance, findUnjustRefusals],
	[Check.PlannedStop, ({troubles}) => troubles.filter(({type, code}) => type === DisruptionType.Stop && code !== 0).map(({entry, code}) => `the planned stop of ${entry} ended with ${code}`)],
	[Check.Departure, findLateStarts],
	[Check.Memory, ({memory}) => memory.filter(({megabytes}) => !(megabytes < memoryMegabytes)).map(({entry, megabytes}) => `the node of ${entry} took ${megabytes} MB`)],
];

/**
 * Finds broken promises.
 *
 * @example
 * findViolations(record); // [{check: Check.NotRun, text: 's1-7 is said not to have run, and ran once'}]
 */
export function findViolations(record: SoakRecord): Violation[] {
	const {results, runs} = record;
	const runsOf = ({id, kind}: SoakResult): number => runs.get(`${kind.service}/${id}`) ?? 0;
	return [
		...judges.flatMap(([check, judge]) => results.flatMap(result => judge(result, runsOf(result), record)).map(text => ({check, text}))),
		...searches.flatMap(([check, search]) => search(record).map(text => ({check, text}))),
	];
}

/** A success, and every answer with an upstream's signature, is the upstream's own for this very request, and whole. */
function judgeSpoiled({id, kind, status, signature, answeredId, body}: SoakResult): string[] {
	if (status === undefined || (status >= 300 && signature === undefined)) {
		return [];
	}

	const whole = JSON.stringify({id, service: kind.service, padding: '.'.repeat(kind.bodyBytes)});
	const isOwn = body === whole && signature === kind.service && answeredId === id && (status === 200 || status === 502);
	return isOwn ? [] : [`${id} got an answer that is not its own whole one: ${status} of ${signature} for ${answeredId}, ${body.length} bytes, ${body.slice(0, 80)}`];
}

function judgeNotRun({id, outcome}: SoakResult, runs: number, {results}: SoakRecord): string[] {
	if (outcome !== 'not-run' || runs === 0) {
		return [];
	}

	const tries = results.filter(result => result.id === id).map(({entry, sentAt, endedAt, status, outcome: told, body}) => `${entry} ${Math.round(sentAt)} to ${Math.round(endedAt)}: ${status} ${told} ${status === 200 ? '' : body.slice(0, 250)}`);
	return [`${id} is said not to have run, and ran ${runs} times: ${tries.join(' | ')}`];
}

function judgeRepeats({id, kind}: SoakResult, runs: number, {retriesPerAction}: SoakRecord): string[] {
	const bound = kind.isKeyed ? 1 : 1 + retriesPerAction;
	return runs > bound ? [`${id} may run ${bound} times at most, and ran ${runs} times`] : [];
}

function judgeStatus({id, status, outcome, signature, body}: SoakResult): string[] {
	const isUntrue = notRunStatuses.has(status) && outcome !== 'not-run';
	const isUnknown = status !== undefined && (outcome === undefined || (signature === undefined && !ownStatuses.has(status)));
	return isUntrue || isUnknown ? [`${id} got status ${status} with the outcome ${outcome}: ${body.slice(0, 200)}`] : [];
}

/** Every request gets an answer, unless its node's process was killed, was not there, or closed before it read the request. */
function judgeUnanswered(result: SoakResult, runs: number, {troubles, results}: SoakRecord): string[] {
	const {id, entry, status, failure} = result;
	if (status !== undefined) {
		return [];
	}

	const own = troubles.filter(trouble => trouble.entry === entry && result.sentAt <= trouble.readyAt && result.endedAt >= trouble.startedAt);
	const isKilled = own.some(({type, endedAt}) => type === DisruptionType.Kill && result.sentAt <= endedAt + noticeMilliseconds);
	const isAway = failure === 'ECONNREFUSED' && own.some(({type}) => type !== DisruptionType.Freeze);
	const hasRunHere = runs > 0 && !results.some(other => other.id === id && other !== result);
	if (isKilled || isAway || (!hasRunHere && failure !== 'ECONNREFUSED' && isCrossing(result, own, results))) {
		return [];
	}

	const around = own.map(({type, startedAt, endedAt}) => `${type} from ${Math.round(startedAt - result.sentAt)} to ${Math.round(endedAt - result.sentAt)}`);
	return [`${id} got no answer from ${entry}: ${failure} after ${Math.round(result.endedAt - result.sentAt)} ms, ran ${runs} times, ${result.isReused ? 'kept' : 'new'} connection, ${around.join(', ') || 'no trouble there'}`];
}

/**
 * A kept connection, or one that a stopping node has not taken yet, was closed while the request was on its way. A node
 * that answers others, or has thawed, is at work, and has read what was sent before; one that stands still has not.
 */
function isCrossing({entry, writtenAt, sentAt, endedAt, isReused}: SoakResult, own: readonly Trouble[], results: readonly SoakResult[]): boolean {
	if (!isReused && !own.some(({type}) => type === DisruptionType.Stop)) {
		return false;
	}

	const from = writtenAt ?? endedAt;
	const thaws = own.filter(({type}) => type === DisruptionType.Freeze).map(trouble => trouble.endedAt).filter(thaw => thaw >= sentAt && thaw <= endedAt);
	const isSoon = endedAt - Math.max(from, ...thaws) <= longestStallMilliseconds;
	const workedAt = results.filter(other => other.entry === entry && other.status !== undefined && other.endedAt > from && other.endedAt < endedAt).map(other => other.endedAt);
	return isSoon && endedAt - Math.min(endedAt, ...workedAt) <= crossingMilliseconds;
}

/** An accepted version is in force at every node within the bound, counted from the last thing that kept the node from it. */
function judgeVersion({id, kind, entry, status, sentAt, endedAt}: SoakResult, _runs: number, {versions, troubles, storeOutages}: SoakRecord): string[] {
	if (status !== unknownKindStatus) {
		return [];
	}

	const accepted = versions.find(({version}) => version >= kind.version);
	if (accepted === undefined) {
		return [];
	}

	const outages = storeOutages.filter(outage => outage.startedAt <= sentAt && outage.endedAt >= accepted.acceptedAt - storePauseMilliseconds).map(outage => Math.min(outage.endedAt, sentAt) + storePauseMilliseconds);
	const own = troubles.filter(trouble => trouble.entry === entry && trouble.startedAt <= endedAt).map(({readyAt}) => readyAt);
	const due = Math.max(accepted.acceptedAt, ...outages, ...own) + adoptionMilliseconds;
	return sentAt > due ? [`${id}: version ${kind.version} was not in force at ${entry} ${Math.round(sentAt - accepted.acceptedAt)} ms after it was accepted`] : [];
}

/** Without a fault a planned stop makes nothing fail: each request is served, proven not run, or had come to a node that was just starting. */
function judgeRoll({id, phase, entry, sentAt, endedAt, status, outcome, body}: SoakResult, _runs: number, {troubles}: SoakRecord): string[] {
	const isStarting = body.includes('"kind":"not-ready"') && troubles.some(trouble => trouble.entry === entry && sentAt <= trouble.readyAt && endedAt >= trouble.endedAt);
	const isHarmed = phase === SoakPhase.Roll && status !== undefined && status !== 200 && outcome !== 'not-run' && !isStarting;
	return isHarmed ? [`${id} at ${entry} was harmed by a planned stop: ${status}, ${outcome}, ${body.slice(0, 300)}`] : [];
}

/** The time after which nothing new may come counts anew from the end of the node's own trouble. */
function findLateStarts({departures, troubles}: SoakRecord): string[] {
	const isInTouch = ({entry, watchedFrom, watchedTo}: Departure): boolean => !troubles.some(trouble => trouble.entry === entry && trouble.startedAt <= watchedTo && trouble.readyAt > watchedFrom - drainMilliseconds);
	return departures.filter(departure => departure.startsAfter > 0 && isInTouch(departure)).map(({entry, startsAfter}) => `the leaving upstream of ${entry} got ${startsAfter} requests seconds after it had said so`);
}

/** What payments ask of deliveries is part of their action, whose retries are bounded as a whole. */
function findInnerRepeats({results, runs, retriesPerAction}: SoakRecord): string[] {
	const payments = new Set(results.filter(({kind}) => kind.isKeyed).map(({id}) => id));
	return [...payments].flatMap(id => {
		const inner = runs.get(`deliveries/${id}`) ?? 0;
		const paid = runs.get(`deposits/${id}`) ?? 0;
		return inner > paid + retriesPerAction ? [`${id} ran ${paid} times and its inner call ${inner} times`] : [];
	});
}

/** A node's process that has had a version in force refuses no request of it for want of its kind. */
function findFallbacks({results, troubles}: SoakRecord): string[] {
	const isRestart = ({type}: Trouble): boolean => type !== DisruptionType.Freeze;
	return results.filter(({status}) => status === unknownKindStatus).flatMap(({id, kind, entry, sentAt, endedAt}) => {
		const restarts = troubles.filter(trouble => trouble.entry === entry && isRestart(trouble) && trouble.startedAt <= endedAt).map(({readyAt}) => readyAt);
		const since = Math.max(0, ...restarts);
		const known = results.find(other => other.entry === entry && other.kind.version >= kind.version && other.kind.version > 1 && other.outcome === 'ran' && other.sentAt >= since && other.endedAt < sentAt);
		return known === undefined ? [] : [`${id}: ${entry} fell back behind version ${kind.version}, which was in force for ${known.id}`];
	});
}

/**
 * Without a fault no payment is turned away while the refusing node, or any if the entry refused it, lets less important
 * work run. A node that says how long the payment waited there had not read it before that time.
 */
function findUnjustRefusals({results, instanceRuns}: SoakRecord): string[] {
	const burst = results.filter(({phase}) => phase === SoakPhase.Burst);
	const receipts = burst.filter(({kind}) => kind.path === receipt.path);
	return burst.filter(({kind, outcome}) => kind.path === payment.path && outcome === 'not-run').flatMap(({id, status, sentAt, endedAt, body}) => {
		const {refuser, waited} = /(?:, after (?<waited>\d+) ms)?, at (?<refuser>[^\s"]+)"/u.exec(body)?.groups ?? {};
		const arrivedAt = waited === undefined ? sentAt : Math.max(sentAt, endedAt - Number(waited));
		const hasRun = (receiptId: string): boolean => [...instanceRuns].some(([instance, ids]) => (refuser === undefined || instance === refuser) && ids.has(receiptId));
		const rival = receipts.find(other => other.sentAt >= arrivedAt && other.endedAt <= endedAt && hasRun(other.id));
		return rival === undefined ? [] : [`the payment ${id} got ${status} while the receipt ${rival.id} ran: ${body.slice(0, 300)}`];
	});
}
