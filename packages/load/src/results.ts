/**
 * Summarizes the results of a run: goodput, latencies and outcomes by kind and phase, and recovery time.
 *
 * @module
 */
import {build, type Histogram} from 'hdr-histogram-js';
import type {Profile} from './profile.js';

const recoveryWindowMilliseconds = 250;
/** Share of the first phase's goodput that counts as recovered. */
const recoveredGoodputShare = 0.9;
/** Least share of the target in the first recovered window; its average with the following windows must reach the target. */
const minimumWindowShare = 0.8;
/** Windows in that average, fewer at the end of the run. */
const averagedWindowCount = 4;
const microsecondsPerMillisecond = 1000;
const maximumLatencyMicroseconds = 600_000_000;

/** Result of a request, as the caller sees it. */
export enum ResultType {
	/** The complete answer to this request, in time. */
	Good = 'good',
	/** The complete answer to this request, after the time limit. */
	Late = 'late',
	/** Refused; the request is proven not to have run. */
	NotRun = 'not-run',
	/** No answer, or an answer with the outcome unknown: the request may have run. */
	Unknown = 'unknown',
	/** The upstream answered with an error status. */
	Failed = 'failed',
	/** The answer belongs to another request, or is incomplete. */
	Wrong = 'wrong',
}

/** A finished request; its type is that of the last attempt. */
export type RequestResult = {
	readonly kind: string;
	readonly phase: string;
	/** Time of the first attempt, in milliseconds since the start of the run. */
	readonly sentAtMilliseconds: number;
	/** From the first attempt to the end of the last one. */
	readonly latencyMilliseconds: number;
	readonly type: ResultType;
	/** Attempts of the nodes that the last answer reports; 0 if it reports none. */
	readonly attempts: number;
	/** Attempts of the caller, the first one included. */
	readonly callerAttempts: number;
};

/** Results of one kind in one phase. Latencies are those of good requests. */
export type SummaryRow = {
	readonly phase: string;
	readonly kind: string;
	/** Requests, retries of the caller not included. */
	readonly sent: number;
	readonly goodShare: number;
	readonly goodPerSecond: number;
	readonly counts: Readonly<Record<ResultType, number>>;
	readonly medianMilliseconds: number;
	readonly p99Milliseconds: number;
	readonly maximumAttempts: number;
};

/** Summary of a run. */
export type Summary = {
	readonly profile: string;
	readonly seed: number;
	readonly rows: readonly SummaryRow[];
	/** Good requests of the counted kinds per second, by phase. */
	readonly goodput: Readonly<Record<string, number>>;
	/** Time from the start of the last phase until goodput recovers; undefined if it does not, or if there are fewer than three phases. */
	readonly recoveryMilliseconds: number | undefined;
};

/**
 * Summarizes the results of a run.
 *
 * @example
 * const summary = summarize(profile, results);
 */
export function summarize(profile: Profile, results: readonly RequestResult[]): Summary {
	const rows = profile.phases.flatMap(phase => profile.requests.map(request => summarizeKind(phase, request.kind, results)));
	const counted = new Set(profile.requests.filter(request => request.counted).map(request => request.kind));
	const good = results.filter(result => result.type === ResultType.Good && counted.has(result.kind));
	const goodput = Object.fromEntries(profile.phases.map(phase => [phase.name, good.filter(result => result.phase === phase.name).length / phase.seconds]));
	return {
		profile: profile.name, seed: profile.seed, rows, goodput, recoveryMilliseconds: findRecoveryMilliseconds(profile, good, goodput),
	};
}

function summarizeKind(phase: Profile['phases'][number], kind: string, results: readonly RequestResult[]): SummaryRow {
	const matching = results.filter(result => result.phase === phase.name && result.kind === kind);
	const counts = Object.fromEntries(Object.values(ResultType).map(type => [type, matching.filter(result => result.type === type).length])) as Record<ResultType, number>;
	const latencies = toHistogram(matching.filter(result => result.type === ResultType.Good).map(result => result.latencyMilliseconds));
	return {
		phase: phase.name,
		kind,
		sent: matching.length,
		goodShare: matching.length === 0 ? 0 : counts[ResultType.Good] / matching.length,
		goodPerSecond: counts[ResultType.Good] / phase.seconds,
		counts,
		medianMilliseconds: latencies.getValueAtPercentile(50) / microsecondsPerMillisecond,
		p99Milliseconds: latencies.getValueAtPercentile(99) / microsecondsPerMillisecond,
		maximumAttempts: matching.reduce((highest, result) => Math.max(highest, result.attempts), 0),
	};
}

/**
 * Returns a histogram of latencies in microseconds, from 1 microsecond to 10 minutes.
 *
 * @param latencies - in milliseconds
 */
export function toHistogram(latencies: readonly number[]): Histogram {
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: maximumLatencyMicroseconds, numberOfSignificantValueDigits: 3});
	latencies.map(latency => {
		histogram.recordValue(Math.max(1, Math.round(latency * microsecondsPerMillisecond)));
		return latency;
	});
	return histogram;
}

/**
 * Start of the first window of the last phase whose goodput is close to that of the first phase, scaled by the load factors,
 * and reaches the recovered share on average over this and the following windows.
 */
function findRecoveryMilliseconds(profile: Profile, good: readonly RequestResult[], goodput: Readonly<Record<string, number>>): number | undefined {
	const [first] = profile.phases;
	const last = profile.phases.at(-1);
	if (first === undefined || last === undefined || profile.phases.length < 3) {
		return undefined;
	}

	const lastPhaseStart = profile.phases.slice(0, -1).reduce((sum, phase) => sum + (phase.seconds * 1000), 0);
	const targetCount = goodput[first.name]! * recoveredGoodputShare * (last.factor / first.factor) * recoveryWindowMilliseconds / 1000;
	const windowCount = Math.floor(last.seconds * 1000 / recoveryWindowMilliseconds);
	const counts = Array.from({length: windowCount}, (_, index) => {
		const start = lastPhaseStart + (index * recoveryWindowMilliseconds);
		return good.filter(result => result.sentAtMilliseconds >= start && result.sentAtMilliseconds < start + recoveryWindowMilliseconds).length;
	});
	const recoveredIndex = counts.findIndex((count, index) => {
		const nextCounts = counts.slice(index, index + averagedWindowCount);
		return count >= targetCount * minimumWindowShare && nextCounts.reduce((sum, value) => sum + value, 0) / nextCounts.length >= targetCount;
	});
	return recoveredIndex === -1 ? undefined : recoveredIndex * recoveryWindowMilliseconds;
}
