/**
 * Checks the results that the callers and the upstreams of a soak have recorded.
 *
 * @module
 */
import {SoakPhase, type SoakResult} from './soak-clients.js';
import {
	lingerMilliseconds, longKind, payment, receipt, stopSeconds,
} from './soak-kinds.js';
import {
	credentialStatuses, findQuotaOverruns, findWrongDenials, findWrongOrganisations,
} from './soak-organisation-checks.js';
import type {IdentifiedResult, Withdrawal} from './soak-organisations.js';
import {behindClosingAnswer} from './soak-pipelines.js';
import {DisruptionType} from './soak-plan.js';

/** A stop, a kill or a freeze of a node's process; times as of `performance.now()`. */
export type NodeDisruption = {
	readonly entry: string;
	readonly type: DisruptionType;
	readonly startedAt: number;
	/** When the process had exited, or had been resumed. */
	readonly endedAt: number;
	/** When the node was ready again. */
	readonly readyAt: number;
	/** Exit code; null when the process was killed or frozen. */
	readonly code: number | null;
};

/** A version of the manifest that the store has accepted, and when the command reported it. */
export type AcceptedVersion = {readonly version: number; readonly acceptedAt: number};

/** An upstream that announced that it drains, and the calls that it started between two later readings of its counters. */
export type UpstreamDrain = {readonly entry: string; readonly watchedFrom: number; readonly watchedTo: number; readonly startedWhileWatched: number};

/** What callers and upstreams have recorded. */
export type SoakRecord = {
	readonly results: readonly SoakResult[];
	readonly nodeDisruptions: readonly NodeDisruption[];
	/** How often the upstreams of a service have started each request, by `SERVICE/REQUEST`. */
	readonly runs: ReadonlyMap<string, number>;
	/** Requests that the upstream of each instance has started. */
	readonly instanceRuns: ReadonlyMap<string, ReadonlySet<string>>;
	readonly versions: readonly AcceptedVersion[];
	/** Periods in which the store was down, slow or lost confirmations. */
	readonly storeOutages: ReadonlyArray<{readonly startedAt: number; readonly endedAt: number}>;
	readonly drains: readonly UpstreamDrain[];
	/** Peak resident memory of the nodes' processes. */
	readonly memory: ReadonlyArray<{readonly entry: string; readonly megabytes: number}>;
	readonly retriesPerAction: number;
	/** Whether the manifest has organisations. */
	readonly hasOrganisations: boolean;
	/** Results of the callers that send other keys than the ordinary ones; not part of `results`. */
	readonly identified: readonly IdentifiedResult[];
	/** Undefined until the manifest without the key was accepted. */
	readonly withdrawal: Withdrawal | undefined;
	/** Headers that the upstream of each instance has recorded, by request. */
	readonly recordedHeaders: ReadonlyMap<string, ReadonlyMap<string, readonly string[]>>;
	/** Nodes whose process ended without being stopped or killed. */
	readonly ended: readonly string[];
};

/** Statuses of errors that the nodes create themselves; a soak sends no invalid requests. */
const nodeErrorStatuses: ReadonlySet<number | undefined> = new Set([404, 502, 503, 504]);
/** Statuses that are only used with the outcome `not-run`. */
const notRunStatuses: ReadonlySet<number | undefined> = new Set([408, 421, 429, 503]);
const unknownKindStatus = 404;
/** Time within which a running node reads what was sent to it. */
const readLimitMilliseconds = 200;
/** Longest time for which a node may not get the processor on a busy machine. */
const maximumStallMilliseconds = 1000;
/** Connections end with their process, and callers are notified of that a little later. */
const disconnectNoticeMilliseconds = 300;
/** Detail of the refusal of a stopping node. */
const stoppingDetail = 'The node is stopping and takes no new requests';
/** A stop announces that the node has left and closes its connections in the last second of its time limit. */
const stopClosingMilliseconds = 1000;
const adoptionLimitMilliseconds = 2500;
/** Time after which an upstream that announced that it drains must not receive new calls. */
export const drainGraceMilliseconds = 2500;
/** Upper bound on the time between two requests of a node to a store that does not answer. */
const maximumStoreRetryMilliseconds = 5000;
const memoryLimitMegabytes = 350;

/** Guarantees that are checked. The values are the names in reports and tests, and KNOWN-RED.txt lists some of them. */
export enum Check {
	OwnWholeAnswer = 'each answer is whole and its own',
	NotRun = 'what is said not to have run ran nowhere',
	Bounded = 'at-most-once work runs once, retries stay bounded over the chain',
	KnownStatus = 'statuses are those that callers are told of, and promise what the outcome says',
	Answered = 'every request that was read is answered',
	InForce = 'an accepted version is in force everywhere, and never falls back',
	PlannedStop = 'planned stops harm nothing and end well',
	Intake = 'a stopping node passes on nothing new',
	Importance = 'payments are refused only after less important work',
	Departure = 'a leaving upstream gets nothing new',
	Memory = 'the memory of the nodes is bounded',
	Recovery = 'service recovers by itself soon after the last fault',
	Denial = 'a request without a valid key is answered 401 and never runs',
	Quota = 'an organisation stays within its quota',
	Organisation = 'upstreams are told the organisation of the key, and never the key',
	Liveness = 'a node ends only when it is stopped or killed',
	Shipment = 'the operators\' command says what became of a shipment',
}

/** A violated guarantee, with the evidence. */
export type Violation = {readonly check: Check; readonly text: string};

type ResultCheck = (result: SoakResult, runs: number, record: SoakRecord) => string[];

const resultChecks: ReadonlyArray<readonly [Check, ResultCheck]> = [
	[Check.OwnWholeAnswer, checkAnswerIntegrity],
	[Check.NotRun, checkNotRun],
	[Check.Bounded, checkExecutionCount],
	[Check.KnownStatus, checkStatus],
	[Check.Answered, checkAnswered],
	[Check.InForce, checkManifestActive],
	[Check.PlannedStop, checkPlannedStop],
	[Check.Intake, checkIntake],
];

const recordChecks: ReadonlyArray<readonly [Check, (record: SoakRecord) => string[]]> = [
	[Check.Bounded, findExcessNestedCalls],
	[Check.InForce, findManifestRollbacks],
	[Check.Importance, findImportanceInversions],
	[Check.PlannedStop, findFailedStops],
	[Check.Departure, findStartsAfterDrain],
	[Check.Memory, findExcessMemory],
	[Check.Denial, findWrongDenials],
	[Check.Quota, findQuotaOverruns],
	[Check.Organisation, findWrongOrganisations],
	[Check.Liveness, ({ended}) => ended.map(entry => `the node of ${entry} ended by itself`)],
];

/** Checks of the callers with other keys, whose statuses `findWrongDenials` checks. */
const identifiedChecks = resultChecks.filter(([check]) => check !== Check.KnownStatus && check !== Check.InForce);

/**
 * Returns every violation that the record shows.
 *
 * @example
 * findViolations(record); // [{check: Check.NotRun, text: 's1-7 was reported as not run, but ran 1 times: ...'}]
 */
export function findViolations(record: SoakRecord): Violation[] {
	const {results, runs, identified} = record;
	const otherStatuses = identified.filter(({status}) => !credentialStatuses.has(status));
	const runsOf = ({id, kind}: SoakResult): number => runs.get(`${kind.service}/${id}`) ?? 0;
	const checkAll = (checks: typeof resultChecks, checked: readonly SoakResult[]): Violation[] =>
		checks.flatMap(([check, checkResult]) => checked.flatMap(result => checkResult(result, runsOf(result), record)).map(text => ({check, text})));
	return [
		...checkAll(resultChecks, results),
		...checkAll(identifiedChecks, identified),
		...checkAll([[Check.KnownStatus, checkStatus], [Check.InForce, checkManifestActive]], otherStatuses),
		...recordChecks.flatMap(([check, checkRecord]) => checkRecord(record).map(text => ({check, text}))),
	];
}

/** A success, and every answer with an upstream's signature, is complete and the upstream's answer to this request. */
function checkAnswerIntegrity({id, kind, status, signature, answeredId, body}: SoakResult): string[] {
	if (status === undefined || (status >= 300 && signature === undefined)) {
		return [];
	}

	const expectedBody = JSON.stringify({id, service: kind.service, padding: '.'.repeat(kind.bodyBytes)});
	const isOwn = body === expectedBody && signature === kind.service && answeredId === id && (status === 200 || status === 502);
	return isOwn ? [] : [`${id} got an answer that is incomplete or not its own: status ${status}, signature ${signature}, request ${answeredId}, ${body.length} bytes, ${body.slice(0, 80)}`];
}

function checkNotRun({id, outcome}: SoakResult, runs: number, {results}: SoakRecord): string[] {
	if (outcome !== 'not-run' || runs === 0) {
		return [];
	}

	const attempts = results.filter(result => result.id === id).map(({entry, sentAt, endedAt, status, outcome: reportedOutcome, body}) => {
		const detail = status === 200 ? '' : body.slice(0, 250);
		return `${entry} ${Math.round(sentAt)} to ${Math.round(endedAt)}: ${status} ${reportedOutcome} ${detail}`;
	});
	return [`${id} was reported as not run, but ran ${runs} times: ${attempts.join(' | ')}`];
}

function checkExecutionCount({id, kind}: SoakResult, runs: number, {retriesPerAction}: SoakRecord): string[] {
	const maximumRuns = kind.isKeyed ? 1 : 1 + retriesPerAction;
	return runs > maximumRuns ? [`${id} ran ${runs} times, expected at most ${maximumRuns}`] : [];
}

function checkStatus({id, status, outcome, signature, body}: SoakResult): string[] {
	const contradictsOutcome = notRunStatuses.has(status) && outcome !== 'not-run';
	const isUndocumented = status !== undefined && (outcome === undefined || (signature === undefined && !nodeErrorStatuses.has(status)));
	return contradictsOutcome || isUndocumented ? [`${id} got the unexpected status ${status} with outcome ${outcome}: ${body.slice(0, 200)}`] : [];
}

/**
 * Every request gets an answer, unless the node's process was killed or not listening, the connection was closed before the
 * node read the request, or a stopping node announced with an earlier answer that it closes the connection. A stopping node
 * listens until it closes its connections.
 */
function checkAnswered(result: SoakResult, runs: number, {nodeDisruptions, results}: SoakRecord): string[] {
	const {id, entry, status, failure} = result;
	if (status !== undefined) {
		return [];
	}

	const ownDisruptions = nodeDisruptions.filter(disruption => disruption.entry === entry && result.sentAt <= disruption.readyAt && result.endedAt >= disruption.startedAt);
	const wasKilled = ownDisruptions.some(({type, endedAt}) => type === DisruptionType.Kill && result.sentAt <= endedAt + disconnectNoticeMilliseconds);
	const wasNotListening = failure === 'ECONNREFUSED' && ownDisruptions.some(({type, endedAt}) =>
		type === DisruptionType.Kill || (type === DisruptionType.Stop && result.endedAt >= endedAt - stopClosingMilliseconds - maximumStallMilliseconds));
	const hasRunHere = runs > 0 && !results.some(other => other.id === id && other !== result);
	const wasBehindClosingAnswer = failure === behindClosingAnswer && runs === 0 && ownDisruptions.some(({type}) => type === DisruptionType.Stop);
	if (wasKilled || wasNotListening || wasBehindClosingAnswer || (!hasRunHere && failure !== 'ECONNREFUSED' && wasClosedBeforeRead(result, ownDisruptions, results))) {
		return [];
	}

	const nearby = ownDisruptions.map(({type, startedAt, endedAt}) => `${type} from ${Math.round(startedAt - result.sentAt)} to ${Math.round(endedAt - result.sentAt)}`);
	const connection = result.isReused ? 'reused connection' : 'new connection';
	const elapsed = Math.round(result.endedAt - result.sentAt);
	return [`${id} got no answer from ${entry}: ${failure} after ${elapsed} ms, ran ${runs} times, ${connection}, ${nearby.join(', ') || 'no disruption of that node'}`];
}

/**
 * Whether a kept-alive connection, or one that a stopping node had not accepted yet, was closed while the request was in
 * transit. A node that answers other requests or has been resumed is running, and has read what was sent before that; a
 * node that does not get the processor has not.
 */
function wasClosedBeforeRead({entry, writtenAt, sentAt, endedAt, isReused}: SoakResult, ownDisruptions: readonly NodeDisruption[], results: readonly SoakResult[]): boolean {
	if (!isReused && !ownDisruptions.some(({type}) => type === DisruptionType.Stop)) {
		return false;
	}

	const from = writtenAt ?? endedAt;
	const resumeTimes = ownDisruptions.filter(({type}) => type === DisruptionType.Freeze).map(disruption => disruption.endedAt).filter(resumedAt => resumedAt >= sentAt && resumedAt <= endedAt);
	const isWithinStall = endedAt - Math.max(from, ...resumeTimes) <= maximumStallMilliseconds;
	const answerTimes = results.filter(other => other.entry === entry && other.status !== undefined && other.endedAt > from && other.endedAt < endedAt).map(other => other.endedAt);
	return isWithinStall && endedAt - Math.min(endedAt, ...answerTimes) <= readLimitMilliseconds;
}

/** An accepted version is active at every node within the limit, counted from the end of the last disruption that could delay it. */
function checkManifestActive({id, kind, entry, status, sentAt, endedAt}: SoakResult, _runs: number, {versions, nodeDisruptions, storeOutages}: SoakRecord): string[] {
	if (status !== unknownKindStatus) {
		return [];
	}

	const accepted = versions.find(({version}) => version >= kind.version);
	if (accepted === undefined) {
		return [];
	}

	const outageEnds = storeOutages
		.filter(outage => outage.startedAt <= sentAt && outage.endedAt >= accepted.acceptedAt - maximumStoreRetryMilliseconds)
		.map(outage => Math.min(outage.endedAt, sentAt) + maximumStoreRetryMilliseconds);
	const readyTimes = nodeDisruptions.filter(disruption => disruption.entry === entry && disruption.startedAt <= endedAt).map(({readyAt}) => readyAt);
	const dueAt = Math.max(accepted.acceptedAt, ...outageEnds, ...readyTimes) + adoptionLimitMilliseconds;
	return sentAt > dueAt ? [`${id}: version ${kind.version} was not active at ${entry} ${Math.round(sentAt - accepted.acceptedAt)} ms after it was accepted`] : [];
}

/**
 * Without faults a planned stop causes no failure: each request is served, proven not run, or was sent to a node that was just
 * starting. A payment that a stopping node refuses has an unknown outcome, since an earlier attempt with its key may have run.
 */
function checkPlannedStop(result: SoakResult, _runs: number, {nodeDisruptions}: SoakRecord): string[] {
	const {id, phase, entry, sentAt, endedAt, status, outcome, body} = result;
	const isStarting = body.includes('"kind":"not-ready"') && nodeDisruptions.some(disruption => disruption.entry === entry && sentAt <= disruption.readyAt && endedAt >= disruption.endedAt);
	const isRefusedKey = result.kind.isKeyed && body.includes(stoppingDetail) && nodeDisruptions.some(disruption =>
		disruption.type === DisruptionType.Stop && disruption.entry === entry && endedAt >= disruption.startedAt + lingerMilliseconds && sentAt <= disruption.endedAt);
	const hasFailed = phase === SoakPhase.RollingRestart && status !== undefined && status !== 200 && outcome !== 'not-run' && !isStarting && !isRefusedKey;
	// No running call is cancelled for a more important one, in any phase.
	const isPreempted = body.includes('"kind":"preempted"');
	return hasFailed || isPreempted ? [`${id} at ${entry} failed during a planned stop or was cut off: status ${status}, outcome ${outcome}, ${body.slice(0, 300)}`] : [];
}

/** After the linger time, a stopping node refuses the requests that it receives, and finishes those that it received before. */
function checkIntake({id, entry, writtenAt, outcome}: SoakResult, runs: number, {nodeDisruptions, results}: SoakRecord): string[] {
	const stop = nodeDisruptions.find(({type, entry: stoppedEntry, startedAt, endedAt}) => type === DisruptionType.Stop && stoppedEntry === entry && writtenAt !== undefined
		&& writtenAt > startedAt + lingerMilliseconds + maximumStallMilliseconds && writtenAt < endedAt);
	const hasRunHere = outcome === 'ran' || (runs > 0 && results.filter(other => other.id === id).length === 1);
	return stop !== undefined && hasRunHere ? [`${id} was passed on by ${entry}, although it was sent ${Math.round(writtenAt! - stop.startedAt)} ms after the start of a planned stop`] : [];
}

/** A stop ends well within its time limit. Only a call that outlasts the limit lets it end with exit code 1. */
function findFailedStops(record: SoakRecord): string[] {
	const stops = record.nodeDisruptions.filter(({type}) => type === DisruptionType.Stop);
	const expectedCode = (stop: NodeDisruption): number => stop.code === 1 && hasOutlastingCall(stop, record) ? 1 : 0;
	const limitMilliseconds = stopSeconds * 1000;
	return [
		...stops.filter(stop => stop.code !== expectedCode(stop)).map(({entry, code}) => `the planned stop of ${entry} ended with exit code ${code}, expected 0`),
		...stops.filter(({startedAt, endedAt}) => endedAt - startedAt > limitMilliseconds + maximumStallMilliseconds).map(({entry, startedAt, endedAt}) =>
			`the planned stop of ${entry} took ${Math.round(endedAt - startedAt)} ms, expected at most ${limitMilliseconds}`),
	];
}

/** Whether a long call, received by the node or run by its upstream, was in flight when the stop began and until its last second. */
function hasOutlastingCall({entry, startedAt}: NodeDisruption, {results, instanceRuns}: SoakRecord): boolean {
	const closingAt = startedAt + (stopSeconds * 1000) - stopClosingMilliseconds;
	return results.some(({id, kind, entry: receiver, sentAt, endedAt}) => kind.path === longKind.path && sentAt <= startedAt + lingerMilliseconds && endedAt >= closingAt
		&& (receiver === entry || instanceRuns.get(entry)?.has(id)));
}

function findExcessMemory({memory}: SoakRecord): string[] {
	const excess = memory.filter(({megabytes}) => !(megabytes < memoryLimitMegabytes));
	return excess.map(({entry, megabytes}) => `the node of ${entry} used ${megabytes} MB, expected less than ${memoryLimitMegabytes}`);
}

/** A disruption of the upstream's own node restarts the time after which no new call may arrive. */
function findStartsAfterDrain({drains, nodeDisruptions}: SoakRecord): string[] {
	const wasUndisrupted = ({entry, watchedFrom, watchedTo}: UpstreamDrain): boolean => !nodeDisruptions.some(disruption =>
		disruption.entry === entry && disruption.startedAt <= watchedTo && disruption.readyAt > watchedFrom - drainGraceMilliseconds);
	return drains.filter(drain => drain.startedWhileWatched > 0 && wasUndisrupted(drain)).map(({entry, startedWhileWatched}) =>
		`the draining upstream of ${entry} started ${startedWhileWatched} calls more than ${drainGraceMilliseconds} ms after it announced that it drains`);
}

/** The call of a payment to deliveries belongs to the payment's customer action, whose retries are limited as a whole. */
function findExcessNestedCalls({results, runs, retriesPerAction}: SoakRecord): string[] {
	const payments = new Set(results.filter(({kind}) => kind.isKeyed).map(({id}) => id));
	return [...payments].flatMap(id => {
		const nestedRuns = runs.get(`deliveries/${id}`) ?? 0;
		const paymentRuns = runs.get(`deposits/${id}`) ?? 0;
		const maximumNestedRuns = paymentRuns + retriesPerAction;
		return nestedRuns > maximumNestedRuns ? [`${id} ran ${paymentRuns} times and its nested call ${nestedRuns} times, expected at most ${maximumNestedRuns}`] : [];
	});
}

/**
 * A process that has served a request of a version of the manifest, or of a newer one, does not refuse a later request of that
 * version as unknown.
 */
function findManifestRollbacks({results, nodeDisruptions}: SoakRecord): string[] {
	const isRestart = ({type}: NodeDisruption): boolean => type !== DisruptionType.Freeze;
	return results.filter(({status}) => status === unknownKindStatus).flatMap(({id, kind, entry, sentAt, endedAt}) => {
		const restarts = nodeDisruptions.filter(disruption => disruption.entry === entry && isRestart(disruption) && disruption.startedAt <= endedAt).map(({readyAt}) => readyAt);
		const startedAt = Math.max(0, ...restarts);
		const earlierRun = results.find(other => other.entry === entry && other.kind.version >= kind.version && other.kind.version > 1
			&& other.outcome === 'ran' && other.sentAt >= startedAt && other.endedAt < sentAt);
		return earlierRun === undefined ? [] : [`${id}: ${entry} fell back behind version ${kind.version}, which was active for ${earlierRun.id}`];
	});
}

/**
 * Without faults no payment is refused while less important work starts at the refusing node, or at any node if the refusal
 * names none. A refusal that contains the waiting time proves that the node read the payment only that long before.
 */
function findImportanceInversions({results, instanceRuns}: SoakRecord): string[] {
	const burst = results.filter(({phase}) => phase === SoakPhase.Burst);
	const receipts = burst.filter(({kind}) => kind.path === receipt.path);
	return burst.filter(({kind, outcome}) => kind.path === payment.path && outcome === 'not-run').flatMap(({id, status, sentAt, endedAt, body}) => {
		const {refusingNode, waited} = /(?:, after (?<waited>\d+) ms)?, at (?<refusingNode>[^\s"]+)"/u.exec(body)?.groups ?? {};
		const arrivedAt = waited === undefined ? sentAt : Math.max(sentAt, endedAt - Number(waited));
		const hasRun = (receiptId: string): boolean => [...instanceRuns].some(([instance, ids]) => (refusingNode === undefined || instance === refusingNode) && ids.has(receiptId));
		const lessImportant = receipts.find(other => other.sentAt >= arrivedAt && other.endedAt <= endedAt && hasRun(other.id));
		return lessImportant === undefined ? [] : [`the payment ${id} got ${status} while the receipt ${lessImportant.id} ran: ${body.slice(0, 300)}`];
	});
}
