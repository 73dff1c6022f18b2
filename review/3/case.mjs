// A node is stopped as planned while its clients' requests are at work at the instance of another machine, which is full.
/* eslint-disable no-await-in-loop, unicorn/prefer-top-level-await, no-use-extend-native/no-use-extend-native */
import {Case, delay, isTroubled} from '../lib/harness.mjs';
import {startPlatform} from '../lib/platform.mjs';
import {startInstance} from '../lib/instance.mjs';

const graceS = 6;
const browseMs = 1500;
const orderMs = 100;
const slots = 20;

const test = new Case(import.meta.url);
const storeHost = test.ip(2);
const storePort = await test.port(storeHost);
const platform = await startPlatform({host: storeHost, port: storePort});
const nodes = [];
const instances = [];
for (const [index, service] of ['front', 'shop', 'stock'].entries()) {
	const node = await test.addNode({
		name: `sidecar-a-${index + 1}`, number: 11 + index, region: 'north', zone: 'north-a', service, storeHost, storePort,
	});
	nodes.push(node);
	instances.push(await startInstance({
		host: node.host, port: node.app, id: `i-${node.name}`, service, zone: node.zone, slots, workMs: url => url.startsWith('/browse/') ? browseMs : orderMs, control: {host: node.host, port: node.control}, record: test.record,
	}));
}

const [front, shop] = nodes;
const stock = instances[2];
platform.writeConfig({
	version: 7,
	routes: {
		browse: {
			host: 'shop.example', prefix: '/browse/', semantics: 'idempotent', waitMilliseconds: 5000, objectiveMilliseconds: 2000, rank: 2, service: 'stock', attempts: 2,
		},
		order: {
			host: 'shop.example', prefix: '/order/', semantics: 'at-most-once', waitMilliseconds: 1200, objectiveMilliseconds: 300, rank: 0, service: 'stock', attempts: 2,
		},
	},
	services: Object.fromEntries(['front', 'shop', 'stock'].map(name => [name, {healthPath: '/health', connections: 316}])),
	limits: {
		headerBytes: 16_384, bodyBytes: 1_048_576, headerMilliseconds: 3000, idleMilliseconds: 15_000,
	},
});
for (const node of nodes) {
	test.startNode(node);
}

await Promise.all(nodes.map(node => test.untilReady(node)));
await delay(3500);

// Usual traffic: both machines browse; the rate keeps about half of the slots of the instance at work.
const results = [];
let count = 0;
const browse = async node => {
	count += 1;
	const id = `browse${count}`;
	const result = await test.send(node, {
		id, hostName: 'shop.example', path: '/browse/1', deadline: 5000,
	});
	results.push({id, node, ...result});
};

const order = async index => test.send(shop, {
	id: `order${index}`, method: 'POST', hostName: 'shop.example', path: '/order/1', deadline: 1200, body: 'one hutch',
});
const pending = [];
const until = test.now + 4;
while (test.now < until) {
	pending.push(browse(front), browse(shop));
	await delay(250);
}

// Then clients of the first machine fill the instance.
for (let index = 0; index < 16; index += 1) {
	pending.push(browse(front));
}

await delay(200);
let stoppedAt = Infinity;
if (isTroubled) {
	test.record('SIGTERM to the node of the first machine');
	stoppedAt = test.now;
	front.process.kill('SIGTERM');
}

await delay(300);
const orders = Array.from({length: 8}, (_, index) => order(index));
await Promise.all([...pending, ...orders]);
const runs = new Map(stock.runs.map(run => [run.requestId, run]));
// A request of the stopped machine, sent before or up to 3 s after the SIGTERM, whose run was cut and that got another answer than the instance's.
const broken = results.filter(({id, node, sentAt, at, status, headers}) => node === front && at > stoppedAt && sentAt < stoppedAt + 3 && at < stoppedAt + (graceS * 5 / 6)
	&& runs.has(id) && runs.get(id).isCut && (status === 0 || headers['laburnumspool-response-signature'] === undefined));
const statuses = Object.entries(Object.groupBy(results, ({status}) => status)).map(([status, list]) => `${list.length} x ${status}`).join(', ');
test.end(broken.length > 0 ? 1 : 0, `${broken.length} requests at work were broken off after the SIGTERM and answered with ${[...new Set(broken.map(({status}) => status))].join(' ') || 'nothing'}; all browse requests: ${statuses}`);
