/**
 * Distribution of the own work of calls by request kind and size class of the body, learned from finished calls.
 *
 * @module
 */

/** Buckets are half an octave wide: 48 of them reach from 0.1 ms to 28 minutes, beyond the longest call of 10 minutes. */
const bucketCount = 48;
const bucketsPerOctave = 2;
const smallestMilliseconds = 0.1;

/** A sample loses half of its weight in this time, so a changed release of a service is learned within a minute. */
const halfLifeMilliseconds = 30_000;

/** Weights grow with time, and are scaled down when a sample weighs this much. */
const maximumWeight = 2 ** 40;

/** Tails are computed again after this time, because every answer reads them for all running calls. */
const tailValidityMilliseconds = 200;

/** Weight, in samples, above which the estimate of a class is used in place of the one of its kind or service. */
const minimumSamples = 8;

/** Kinds with their size classes that are kept; the one without a sample for longest is dropped first. */
const maximumDistributions = 256;

/** Size classes of bodies: up to 4 KiB, 64 KiB, 1 MiB and above. */
const sizeClassBytes: readonly number[] = [4096, 65_536, 1_048_576];

/** Lower bound of each bucket in milliseconds; that of the first is 0. */
const lowerBounds: readonly number[] = Array.from({length: bucketCount + 1}, (_, index) => index === 0 ? 0 : smallestMilliseconds * (2 ** ((index - 1) / bucketsPerOctave)));

type Distribution = {
	readonly weights: Float64Array;
	readonly sums: Float64Array;
	weight: number;
	sum: number;
	/** Sum of the natural logarithms. */
	logSum: number;
	/** Mean remaining work of a call that has worked as long as the lower bound of each bucket. */
	readonly tail: Float64Array;
	tailAt: number;
};

/**
 * Name of the class of calls whose work is learned together.
 *
 * @example
 * costClassOf('browse', 10_000); // 'browse#1'
 */
export function costClassOf(kind: string, bodyBytes: number): string {
	return `${kind}#${sizeClassBytes.filter(limit => bodyBytes > limit).length}`;
}

/**
 * Learned work of one service, in milliseconds. The state is bounded, and old samples decay.
 *
 * @example
 * const costs = new CostModel();
 * costs.record('browse', 0, 12, now);
 * costs.expected('browse', 0); // about 12 ms
 * costs.remaining('browse', 0, 10, now); // mean remaining work after 10 ms
 */
export class CostModel {
	readonly #distributions = new Map<string, Distribution>();
	readonly #service = createDistribution();
	#epoch = -Infinity;
	/** Weight of a sample at the time of the last one. */
	#presentWeight = 1;

	/** Number of classes and kinds that are kept. */
	get size(): number {
		return this.#distributions.size;
	}

	/** Records the own work of a finished call, without waiting and nested calls. */
	record(kind: string, bodyBytes: number, milliseconds: number, now: number): void {
		const weight = this.#weightAt(now);
		[this.#touch(costClassOf(kind, bodyBytes)), this.#touch(kind), this.#service].map(distribution => {
			addSample(distribution, Math.max(0, milliseconds), weight);
			return distribution;
		});
		this.#evict();
	}

	/** Expected work of a call in milliseconds; of its kind, or of the service, while too few calls are known; 0 without any. */
	expected(kind: string, bodyBytes: number): number {
		const {sum, weight} = this.#find(kind, bodyBytes);
		return weight === 0 ? 0 : sum / weight;
	}

	/**
	 * Typical work of a call in milliseconds: the geometric mean, in which a few very long calls weigh little. Comparing the
	 * means of equal upstreams under heavy-tailed work sent most calls to the one that had met fewer long calls.
	 */
	typical(kind: string, bodyBytes: number): number {
		const {logSum, weight} = this.#find(kind, bodyBytes);
		return weight === 0 ? 0 : Math.exp(logSum / weight);
	}

	/** Expected remaining work in milliseconds of a call that has worked for the given time, from the tail of the distribution. */
	remaining(kind: string, bodyBytes: number, workedMilliseconds: number, now: number): number {
		const distribution = this.#find(kind, bodyBytes);
		if (distribution.weight === 0) {
			return 0;
		}

		if (now - distribution.tailAt > tailValidityMilliseconds) {
			updateTail(distribution);
			distribution.tailAt = now;
		}

		const bucket = bucketOf(workedMilliseconds);
		const [low, high] = [lowerBounds[bucket]!, lowerBounds[bucket + 1]!];
		const share = Math.min(1, Math.max(0, (workedMilliseconds - low) / (high - low)));
		return (distribution.tail[bucket]! * (1 - share)) + (distribution.tail[bucket + 1]! * share);
	}

	#find(kind: string, bodyBytes: number): Distribution {
		const candidates = [this.#distributions.get(costClassOf(kind, bodyBytes)), this.#distributions.get(kind)];
		const minimumWeight = minimumSamples * this.#presentWeight;
		return candidates.find(distribution => distribution !== undefined && distribution.weight >= minimumWeight) ?? this.#service;
	}

	/** Newer samples weigh more, which equals a decay of all older ones at no cost. */
	#weightAt(now: number): number {
		this.#epoch = this.#epoch === -Infinity ? now : this.#epoch;
		const weight = 2 ** ((now - this.#epoch) / halfLifeMilliseconds);
		if (weight <= maximumWeight) {
			this.#presentWeight = weight;
			return weight;
		}

		[...this.#distributions.values(), this.#service].map(distribution => scale(distribution, 1 / weight));
		this.#epoch = now;
		this.#presentWeight = 1;
		return 1;
	}

	/** Returns the distribution and moves it to the end of the order in which they are dropped. */
	#touch(name: string): Distribution {
		const distribution = this.#distributions.get(name) ?? createDistribution();
		this.#distributions.delete(name);
		this.#distributions.set(name, distribution);
		return distribution;
	}

	#evict(): void {
		const [oldest] = this.#distributions.keys();
		if (this.#distributions.size > maximumDistributions && oldest !== undefined) {
			this.#distributions.delete(oldest);
			this.#evict();
		}
	}
}

function createDistribution(): Distribution {
	return {
		weights: new Float64Array(bucketCount), sums: new Float64Array(bucketCount), weight: 0, sum: 0, logSum: 0, tail: new Float64Array(bucketCount + 1), tailAt: -Infinity,
	};
}

function bucketOf(milliseconds: number): number {
	const octaves = Math.log2(milliseconds / smallestMilliseconds);
	return Math.min(bucketCount - 1, Math.max(0, 1 + Math.floor(octaves * bucketsPerOctave)));
}

function addSample(distribution: Distribution, milliseconds: number, weight: number): void {
	const bucket = bucketOf(milliseconds);
	distribution.weights[bucket]! += weight;
	distribution.sums[bucket]! += weight * milliseconds;
	distribution.weight += weight;
	distribution.sum += weight * milliseconds;
	distribution.logSum += weight * Math.log(Math.max(smallestMilliseconds, milliseconds));
}

function scale(distribution: Distribution, factor: number): void {
	[distribution.weights, distribution.sums].map(values => values.set(values.map(value => value * factor)));
	distribution.weight *= factor;
	distribution.sum *= factor;
	distribution.logSum *= factor;
}

/** Beyond the longest known call, a call is expected to work as long again as it has. */
function updateTail({weights, sums, tail}: Distribution): void {
	let [weightAbove, sumAbove] = [0, 0];
	tail[bucketCount] = lowerBounds[bucketCount]!;
	weights.map((_, index) => {
		const bucket = bucketCount - 1 - index;
		const low = lowerBounds[bucket]!;
		weightAbove += weights[bucket]!;
		sumAbove += sums[bucket]!;
		tail[bucket] = weightAbove > 0 ? Math.max(0, (sumAbove / weightAbove) - low) : low;
		return 0;
	});
}
