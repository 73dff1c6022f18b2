import {performance} from 'node:perf_hooks';
import {FairShares, Importance, type NodeCore} from '@laburnumspool/core';
import {test} from 'tap';
import {openMetrics} from '../metrics.js';

/** The parts of a core that the gauges read. */
function createCore(shares: FairShares): NodeCore {
	return {
		admission: {
			capacity: 1, inFlight: 0, waiting: 0, level: 0, shares,
		},
		manifestWatch: {age: () => 0}, membership: {others: []}, manifest: undefined, atMostOnce: {memory: {claims: 0}}, placementChoices: new Map(), earlyRefusals: new Map(),
		quotas: {
			counts: {
				admitted: 0, refused: 0, owned: 0, stock: 0,
			},
		},
	} as unknown as NodeCore;
}

/** Guards against one time series for each of 5,000 organisations, and against any in a deployment without organisations. */
test('the use of the largest organisations has a metric each, and that of all others one', async t => {
	const metrics = await openMetrics(undefined, 'n');
	const read = async (): Promise<string> => {
		const {text} = await metrics.text();
		return text;
	};

	const shares = new FairShares();
	metrics.gauge(createCore(shares), 0);
	t.notMatch(await read(), /organisation|share_/u);
	Array.from({length: 30}, (_, index) => {
		const call = {organisation: `o${index}`, importance: Importance.Normal, priority: 200};
		shares.arrived(call, index, performance.now());
		shares.charge(call, index, 0, performance.now());
		return index;
	});
	metrics.gauge(createCore(shares), 0);
	const text = await read();
	const lines = text.split('\n').filter(line => line.startsWith('laburnumspool_organisation_use{'));
	t.same(lines.map(line => /organisation="(?<name>[^"]+)"/u.exec(line)?.groups?.name), ['o29', 'o28', 'o27', 'o26', 'o25', 'all others']);
	t.match(text, /name="share_accounts"[^\n]*\} 30\n/u);
	metrics.close();
});
