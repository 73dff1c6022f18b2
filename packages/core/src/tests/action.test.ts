import fc from 'fast-check';
import {test} from 'tap';
import {
	allowedTime, formatTraceContext, keyCreationTime, parseTraceContext, RetryQuota, RetryBudget,
} from '../index.js';

type Hop = {readonly retriesWanted: number; readonly isAnswerLost: boolean};

/** Spends greedily along a chain and returns the true number of retries over all hops. */
function spendDownChain(account: RetryQuota, hops: readonly Hop[]): number {
	const [hop, ...below] = hops;
	if (hop === undefined) {
		return 0;
	}

	const tries = Array.from({length: hop.retriesWanted + 1}, (_, index) => index);
	return tries.reduce((spent, index) => {
		const isAllowed = index === 0 || account.spend();
		if (!isAllowed) {
			return spent;
		}

		const part = account.delegate();
		const lower = new RetryQuota(part);
		const spentBelow = spendDownChain(lower, below);
		if (!hop.isAnswerLost) {
			account.reclaim(part, lower.spent);
		}

		return spent + spentBelow + (index === 0 ? 0 : 1);
	}, 0);
}

test('retries over a whole chain never exceed the account, whatever answers are lost', async t => {
	const hop = fc.record({retriesWanted: fc.integer({min: 0, max: 4}), isAnswerLost: fc.boolean()});
	fc.assert(fc.property(fc.integer({min: 0, max: 6}), fc.array(hop, {maxLength: 7}), (retries, hops) => {
		const account = new RetryQuota(retries);
		return spendDownChain(account, hops) <= retries && account.spent <= retries;
	}), {seed: 20_261_204, numRuns: 500});
	t.pass('held for 500 chains');
});

test('a reply that claims to have spent less than nothing gives nothing extra', async t => {
	const account = new RetryQuota(3);
	const part = account.delegate();
	account.reclaim(part, -5);
	t.equal(account.remaining, 3);
});

test('retries of an edge are a share of its successes', async t => {
	const share = new RetryBudget(0.1);
	const spent = Array.from({length: 50}, () => share.spend()).filter(Boolean).length;
	t.equal(spent, 10);
	Array.from({length: 9}, () => {
		share.earn();
	});
	t.notOk(share.spend());
});

test('a caller may ask for less time than the manifest gives, never for more', async t => {
	t.equal(allowedTime(800, 300), 300);
	t.equal(allowedTime(800, 5000), 800);
	t.equal(allowedTime(800, undefined, 100), 100);
	t.equal(allowedTime(800, undefined, -5), 0);
});

test('trace context keeps the entries of others and finds the enclosing call', async t => {
	const traceId = '4bf92f3577b34da6a3ce929d0e0e4736';
	const context = parseTraceContext(`00-${traceId}-00f067aa0ba902b7-01`, 'other=1, laburnumspool=n.1.7');
	t.same(context, {traceId, parentCallId: 'n.1.7', vendorTraceState: ['other=1']});
	t.same(formatTraceContext({traceId, vendorTraceState: ['other=1']}, '00f067aa0ba902b7', 'n.1.8').tracestate, 'laburnumspool=n.1.8,other=1');
	t.equal(parseTraceContext('00-zz', undefined), undefined);
});

test('a key of version 7 carries its time', async t => {
	t.equal(keyCreationTime('018f3c52-7a3e-7cc3-98c4-dc0c0c07398f'), 0x01_8F_3C_52_7A_3E);
	t.equal(keyCreationTime('order-17'), undefined);
});
