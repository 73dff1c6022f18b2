import fc from 'fast-check';
import {test} from 'tap';
import {SeenCalls} from '../admission/seen-calls.js';

const retentionMilliseconds = 100;
const maximumEntries = 300;

type Step = {readonly sender: number; readonly sequence: number; readonly pause: number};

/** Reference model: a map of entries by id and a watermark per sender, without an entry limit. */
class ReferenceSeenCalls {
	readonly #retentionMilliseconds: number;
	readonly #addedAt = new Map<string, number>();
	readonly #watermarks = new Map<string, number>();

	constructor(retention: number) {
		this.#retentionMilliseconds = retention;
	}

	add(sender: string, sequence: number, now: number): void {
		this.#addedAt.delete(`${sender}.${sequence}`);
		this.#addedAt.set(`${sender}.${sequence}`, now);
	}

	has(sender: string, sequence: number): boolean {
		return this.#addedAt.has(`${sender}.${sequence}`) || sequence <= (this.#watermarks.get(sender) ?? 0);
	}

	advance(now: number): void {
		[...this.#addedAt].filter(([, addedAt]) => now - addedAt >= this.#retentionMilliseconds).map(([callId]) => {
			const position = callId.lastIndexOf('.');
			const sender = callId.slice(0, position);
			this.#addedAt.delete(callId);
			return this.#watermarks.set(sender, Math.max(Number(callId.slice(position + 1)), this.#watermarks.get(sender) ?? 0));
		});
	}
}

test('for random sequences of calls, additions, evictions and watermarks match the reference model', async t => {
	const step: fc.Arbitrary<Step> = fc.record({sender: fc.integer({min: 0, max: 3}), sequence: fc.integer({min: 1, max: 400}), pause: fc.integer({min: 0, max: 3})});
	fc.assert(fc.property(fc.constantFrom(50, 500), fc.array(step, {minLength: 300, maxLength: 600}), (retention, steps) => {
		const [seen, reference] = [new SeenCalls(retention, steps.length), new ReferenceSeenCalls(retention)];
		let now = 0;
		return steps.every(({sender, sequence, pause}) => {
			now += pause;
			seen.advance(now);
			reference.advance(now);
			const isSame = seen.has(`n${sender}.1.${sequence}`) === reference.has(`n${sender}.1`, sequence);
			seen.add(`n${sender}.1.${sequence}`, now);
			reference.add(`n${sender}.1`, sequence, now);
			return isSame && seen.has(`n${sender}.1.${sequence}`);
		});
	}), {seed: 14, numRuns: 100});
	t.end();
});

test('the number of entries is limited, and an evicted call still counts as seen', async t => {
	const seen = new SeenCalls(retentionMilliseconds, maximumEntries);
	Array.from({length: 1000}, (_, index) => {
		seen.add(`n.1.${index + 1}`, 0);
		return index;
	});
	t.equal(seen.size, maximumEntries);
	t.equal(seen.has('n.1.1'), true);
	t.equal(seen.has('n.1.1000'), true);
	t.equal(seen.has('n.1.1001'), false);
});

test('a call id without a sequence number is compared as a whole', async t => {
	const seen = new SeenCalls(retentionMilliseconds, maximumEntries);
	seen.add('no-number', 0);
	t.equal(seen.has('no-number'), true);
	t.equal(seen.has('another'), false);
	seen.advance(retentionMilliseconds);
	t.equal(seen.has('no-number'), true);
});
