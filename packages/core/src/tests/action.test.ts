import fc from 'fast-check';
import {test} from 'tap';
import {
	allowedMilliseconds, formatTraceContext, keyCreationTime, parseTraceContext, RetryQuota, RetryBudget,
} from '../index.js';

type Hop = {readonly requestedRetries: number; readonly isAnswerLost: boolean};

/** Spends as many retries as allowed at each hop of a call chain, and returns the number spent over all hops. */
function spendDownChain(quota: RetryQuota, hops: readonly Hop[]): number {
	const [hop, ...remainingHops] = hops;
	if (hop === undefined) {
		return 0;
	}

	const tries = Array.from({length: hop.requestedRetries + 1}, (_, index) => index);
	return tries.reduce((spent, index) => {
		const isAllowed = index === 0 || quota.trySpend();
		if (!isAllowed) {
			return spent;
		}

		const delegated = quota.delegate();
		const nextQuota = new RetryQuota(delegated);
		const spentDownstream = spendDownChain(nextQuota, remainingHops);
		if (!hop.isAnswerLost) {
			quota.reclaim(delegated, nextQuota.spent);
		}

		return spent + spentDownstream + (index === 0 ? 0 : 1);
	}, 0);
}

test('the retries over a call chain never exceed the quota of the action, whichever answers are lost', async t => {
	const hop = fc.record({requestedRetries: fc.integer({min: 0, max: 4}), isAnswerLost: fc.boolean()});
	fc.assert(fc.property(fc.integer({min: 0, max: 6}), fc.array(hop, {maxLength: 7}), (retries, hops) => {
		const quota = new RetryQuota(retries);
		return spendDownChain(quota, hops) <= retries && quota.spent <= retries;
	}), {seed: 20_261_204, numRuns: 500});
	t.pass('held for 500 chains');
});

test('an answer with a negative number of spent retries returns no more than the delegated part', async t => {
	const quota = new RetryQuota(3);
	const delegated = quota.delegate();
	quota.reclaim(delegated, -5);
	t.equal(quota.remaining, 3);
});

test('the retries towards a service are limited to the burst and a fraction of the successes', async t => {
	const budget = new RetryBudget(0.1);
	const spent = Array.from({length: 50}, () => budget.trySpend()).filter(Boolean).length;
	t.equal(spent, 10);
	Array.from({length: 9}, () => {
		budget.recordSuccess();
	});
	t.notOk(budget.trySpend());
});

test('a call takes the shortest time limit of the manifest, the caller and the parent call', async t => {
	t.equal(allowedMilliseconds(800, 300), 300);
	t.equal(allowedMilliseconds(800, 5000), 800);
	t.equal(allowedMilliseconds(800, undefined, 100), 100);
	t.equal(allowedMilliseconds(800, undefined, -5), 0);
});

test('the trace context keeps the entries of other vendors and contains the parent call', async t => {
	const traceId = '4bf92f3577b34da6a3ce929d0e0e4736';
	const context = parseTraceContext(`00-${traceId}-00f067aa0ba902b7-01`, 'other=1, laburnumspool=n.1.7');
	t.same(context, {traceId, parentCallId: 'n.1.7', vendorTraceState: ['other=1']});
	t.same(formatTraceContext({traceId, vendorTraceState: ['other=1']}, '00f067aa0ba902b7', 'n.1.8').tracestate, 'laburnumspool=n.1.8,other=1');
	t.equal(parseTraceContext('00-zz', undefined), undefined);
});

test('the time of a key is read from a version 7 UUID, and undefined for other keys', async t => {
	t.equal(keyCreationTime('018f3c52-7a3e-7cc3-98c4-dc0c0c07398f'), 0x01_8F_3C_52_7A_3E);
	t.equal(keyCreationTime('order-17'), undefined);
});
