/**
 * Refuses callers' requests at their entry node while requests of their kind most probably fail further down the call chain.
 *
 * @module
 */
import {ErrorKind, Outcome} from '../errors.js';
import {Importance} from '../importance.js';
import type {RequestPolicy} from '../manifest/model.js';
import type {CallError, CallerAnswer} from '../messages.js';
import type {EntryRequest} from './entry-call.js';
import {ForecastPhase, SuccessForecast} from './success-forecast.js';

/** Kinds that are remembered at the same time; the one that was added first is dropped. */
const maximumKinds = 1000;

/** Clients wait for at most a third of their remaining time. */
const usefulShare = 1 / 3;

/** Callers come back in the last part of the useful time, since the trouble is the more probably over the later they come. */
const earliestShare = 0.5;

/** Longest time after which callers come back while a kind reopens, which takes two steps of 200 ms. */
const reopeningMilliseconds = 600;

/** Time after the refusal of a less important request in which critical ones may be refused. */
const criticalAfterMilliseconds = 1000;

/**
 * Least part of the wait of the request kind that a failed request must have had. A caller that sends requests with very short
 * timeouts makes them fail, which says nothing about those of others.
 */
const countedTimeShare = 0.25;

const firstErrorStatus = 500;

/** Errors that say that a request failed after it may have run. */
const failureKinds: ReadonlySet<ErrorKind> = new Set([
	ErrorKind.UpstreamBroken, ErrorKind.TimedOut, ErrorKind.PeerConnectionLost, ErrorKind.AnswerTooLarge, ErrorKind.Preempted,
]);

type Ticket = {readonly forecast: SuccessForecast; readonly period: number; /** Whether a failure counts. */ readonly countsFailures: boolean};

/** The parts of a request that the decision depends on. */
export type ForecastRequest = Pick<EntryRequest, 'entryId' | 'service' | 'importance' | 'priority' | 'deadline' | 'key'> & {
	readonly policy: Pick<RequestPolicy, 'kind' | 'waitMilliseconds'>;
};

/**
 * Decides on the requests of callers at one entry node. Calls that upstreams make are not passed to it.
 *
 * @example
 * const refusal = new EarlyRefusal(() => random());
 * const error = refusal.admit(request, now); // undefined, or the error with which the request is refused
 * refusal.ended(request.entryId, answer, now); // for each request, also for refused ones
 */
export class EarlyRefusal {
	readonly #random: () => number;
	readonly #forecasts = new Map<string, SuccessForecast>();
	readonly #tickets = new Map<number, Ticket>();
	readonly #refusals = new Map<string, number>();
	#lessImportantRefusedAt = -Infinity;

	/** @param random - returns uniformly distributed numbers in [0, 1) */
	constructor(random: () => number) {
		this.#random = random;
	}

	/** Number of refused requests by `SERVICE/KIND`. */
	get refusals(): ReadonlyMap<string, number> {
		return this.#refusals;
	}

	/** Number of requests that were let through and have not ended. */
	get size(): number {
		return this.#tickets.size;
	}

	/** Returns the error `overloaded`, with the time after which the caller may come back, for a request that is refused. */
	admit(request: ForecastRequest, now: number): CallError | undefined {
		const name = `${request.service}/${request.policy.kind}`;
		const forecast = this.#forecastOf(name);
		// An earlier request with the key may have run elsewhere, so a refusal could not promise that the request is not run.
		const isExempt = request.key !== undefined;
		const isAdmitted = forecast.admit(request.priority, now);
		if (!isAdmitted && (isExempt || this.#isCriticalAdmitted(request, forecast, now))) {
			forecast.admitAnyway();
		} else if (!isAdmitted) {
			return this.#refuse(request, name, forecast, now);
		}

		const countsFailures = request.deadline - now >= request.policy.waitMilliseconds * countedTimeShare;
		this.#tickets.set(request.entryId, {forecast, period: forecast.period, countsFailures});
		return undefined;
	}

	/** Processes the end of a request; `answer` is undefined when its caller was gone. */
	ended(entryId: number, answer: CallerAnswer | undefined, now: number): void {
		const ticket = this.#tickets.get(entryId);
		if (ticket !== undefined) {
			this.#tickets.delete(entryId);
			const isGood = answer === undefined ? undefined : endedWell(answer);
			ticket.forecast.ended(ticket.period, isGood === false && !ticket.countsFailures ? undefined : isGood, now);
		}
	}

	#forecastOf(name: string): SuccessForecast {
		const known = this.#forecasts.get(name);
		if (known !== undefined) {
			return known;
		}

		const [oldest] = this.#forecasts.keys();
		if (this.#forecasts.size >= maximumKinds && oldest !== undefined) {
			this.#forecasts.delete(oldest);
			this.#refusals.delete(oldest);
		}

		const forecast = new SuccessForecast();
		this.#forecasts.set(name, forecast);
		return forecast;
	}

	/**
	 * A critical request is refused only while its kind lets through no more than probes and less important requests are
	 * refused at this node. Kinds that are refused at the same time are taken to share their trouble.
	 */
	#isCriticalAdmitted({importance}: ForecastRequest, forecast: SuccessForecast, now: number): boolean {
		return importance === Importance.Critical
			&& (forecast.phase !== ForecastPhase.Refusing || now - this.#lessImportantRefusedAt > criticalAfterMilliseconds);
	}

	#refuse({importance, deadline}: ForecastRequest, name: string, forecast: SuccessForecast, now: number): CallError {
		this.#lessImportantRefusedAt = importance === Importance.Critical ? this.#lessImportantRefusedAt : now;
		this.#refusals.set(name, (this.#refusals.get(name) ?? 0) + 1);
		const retryAfterMilliseconds = this.#retryAfter(forecast.phase, deadline - now);
		const evidence = `share ${forecast.share.toFixed(2)}, evidence ${forecast.evidence.toFixed(1)}, age ${Math.round(forecast.age(now))} ms`;
		const detail = `Requests of this kind fail further down the chain: ${evidence}, retry after ${retryAfterMilliseconds} ms`;
		return {kind: ErrorKind.Overloaded, detail, retryAfterMilliseconds};
	}

	#retryAfter(phase: ForecastPhase, timeLeftMilliseconds: number): number {
		const usefulMilliseconds = timeLeftMilliseconds * usefulShare;
		const latest = phase === ForecastPhase.Refusing ? usefulMilliseconds : Math.min(usefulMilliseconds, reopeningMilliseconds);
		return Math.max(1, Math.floor(latest * (earliestShare + ((1 - earliestShare) * this.#random()))));
	}
}

/** Whether a request ended well; undefined for an outcome that says nothing about other requests of its kind. */
function endedWell({answer, error, outcome}: CallerAnswer): boolean | undefined {
	if (error === undefined && answer !== undefined) {
		return answer.status < firstErrorStatus;
	}

	return outcome !== Outcome.NotRun && error !== undefined && failureKinds.has(error.kind) ? false : undefined;
}
