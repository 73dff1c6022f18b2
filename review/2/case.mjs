/* eslint-disable no-await-in-loop */
import {Case, delay, isTroubled} from '../lib/harness.mjs';
import {startPlatform} from '../lib/platform.mjs';
import {startProxy} from '../lib/proxy.mjs';
import {startInstance} from '../lib/instance.mjs';

const configApplyS = 2.5;
const stabilityS = 3;
const test = new Case(import.meta.url);
const storeHost = test.ip(2);
const [storePort, proxyPort] = [await test.port(storeHost), await test.port(storeHost)];
const platform = await startPlatform({host: storeHost, port: storePort});
const proxy = await startProxy({
	host: storeHost, port: proxyPort, toHost: storeHost, toPort: storePort,
});
const definitions = [
	{
		name: 'sidecar-a-1', number: 11, region: 'north', zone: 'north-a', service: 'front',
	},
	{
		name: 'sidecar-a-2', number: 12, region: 'north', zone: 'north-a', service: 'oldstock',
	},
	{
		name: 'sidecar-a-3', number: 13, region: 'north', zone: 'north-a', service: 'newstock',
	},
];
const nodes = [];
const instances = [];
for (const definition of definitions) {
	const node = await test.addNode({...definition, storeHost, storePort: proxyPort});
	nodes.push(node);
	instances.push(await startInstance({
		host: node.host, port: node.app, id: `i-${node.name}`, service: node.service, zone: node.zone, control: {host: node.host, port: node.control}, record: test.record,
	}));
}

const config = (version, service, extra = {}) => ({
	version,
	routes: {
		stock: {
			host: 'shop.example', prefix: '/stock/', semantics: 'idempotent', waitMilliseconds: 1500, objectiveMilliseconds: 1000, rank: 1, service, attempts: 2,
		},
		...extra,
	},
	services: Object.fromEntries(['front', 'oldstock', 'newstock'].map(name => [name, {healthPath: '/health', connections: 316}])),
	limits: {
		headerBytes: 16_384, bodyBytes: 1_048_576, headerMilliseconds: 3000, idleMilliseconds: 15_000,
	},
});
platform.writeConfig(config(7, 'oldstock'));
for (const node of nodes) {
	test.startNode(node);
}

await Promise.all(nodes.map(node => test.untilReady(node)));
await delay(3000);
const idle = {
	spare: {
		host: 'shop.example', prefix: '/spare/', semantics: 'idempotent', waitMilliseconds: 1500, rank: 2, service: 'front', attempts: 2,
	},
};
platform.writeConfig(config(9, 'oldstock', idle));
test.record('operator: version 9 acknowledged (one route more)');
await delay(2500);
if (isTroubled) {
	test.record(`open connections to the store are silent from now on: ${proxy.silence()}`);
}

await delay((stabilityS + 1.5) * 1000);
platform.writeConfig(config(12, 'newstock', idle));
const acknowledgedAt = test.now;
test.record('operator: version 12 acknowledged (route stock leads to newstock)');
let count = 0;
const sent = [];
while (test.now < acknowledgedAt + 24) {
	for (const node of nodes) {
		count += 1;
		sent.push(test.send(node, {id: `q${count}`, hostName: 'shop.example', path: '/stock/1'}));
	}

	await delay(200);
}

const results = await Promise.all(sent);
const sentAt = new Map(results.map((result, index) => [`q${index + 1}`, result.sentAt]));
const late = instances[1].runs.filter(({requestId}) => sentAt.get(requestId) > acknowledgedAt + configApplyS);
const lastLate = Math.max(0, ...late.map(({requestId}) => sentAt.get(requestId) - acknowledgedAt));
const due = results.filter(result => result.sentAt > acknowledgedAt + configApplyS).length;
test.end(late.length > 0 ? 1 : 0, `${late.length} of ${due} requests sent later than ${configApplyS} s after the acknowledgement ran at the old service, the last one sent ${lastLate.toFixed(1)} s after it`);
