/**
 * Rule LOST. A node that has got SIGTERM goes on taking the calls that its instance makes for running work, also long after the
 * SIGTERM, and breaks them off 0.8 s before the end of graceS, while an instance is at work on them. The work that needs
 * them fails.
 *
 * TROUBLE=0: the same without the SIGTERM.
 */
import {appendFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {Platform} from '../lib-2/platform.mjs';
import {Instance, work} from '../lib-2/instance.mjs';
import {
	ask, areReady, Deployment, pause, terms, toConfig, until,
} from '../lib-2/deployment.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const recordFile = path.join(import.meta.dirname, 'record.txt');
const begin = Date.now();
writeFileSync(recordFile, '');
const record = text => appendFileSync(recordFile, `${((Date.now() - begin) / 1000).toFixed(3).padStart(8)} s  ${text}\n`);

const deadline = 6000;
const orderCount = 10;
/** An order's own work before its call, and the work of the call. Together they stay below the deadline and below graceS. */
const ownMilliseconds = 4150;
const calledMilliseconds = 1350;

const platform = new Platform();
await platform.start();
const deployment = new Deployment(platform.address);
const instances = [];
let code = 2;
try {
	code = await play();
} catch (error) {
	record(`could not run: ${error.stack}`);
} finally {
	instances.map(instance => instance.close());
	await deployment.close();
	platform.close();
}

record(`exit ${code}`);
process.exit(code); // eslint-disable-line unicorn/no-process-exit

async function play() {
	platform.put('op/config', toConfig(7, {
		orders: {
			service: 'orders', semantics: 'at-most-once', wait: deadline, rank: 0,
		}, ledger: {service: 'ledger', wait: deadline, rank: 1},
	}, ['gate', 'orders', 'ledger']));
	const calls = [];
	const start = async (name, host, service, workOf) => {
		const machine = await deployment.machine({
			name, host, zone: 'z1', service,
		});
		const instance = new Instance({
			id: `i-${name}`, host, zone: 'z1', service, control: machine.control, slots: 40, work: workOf,
		});
		await instance.start();
		instances.push(instance);
		return {machine, instance, node: deployment.startNode(machine, instance.address)};
	};

	const gate = await start('gate-1', '127.0.0.81', 'gate', async () => undefined);
	const ledger = await start('ledger-1', '127.0.0.82', 'ledger', async (_run, _request, _body, signal) => work(calledMilliseconds, signal));
	const orders = await start('orders-1', '127.0.0.83', 'orders', async (run, request, _body, signal) => {
		const expiresAt = run.startedAt + Number(request.headers['laburnumspool-request-deadline']);
		await work(ownMilliseconds, signal);
		// A call of the instance, with an id of its own, through the node of its machine. It expires at its parent's deadline.
		const call = {id: `${run.id}.1`, sentAt: Date.now(), expiresAt};
		calls.push(call);
		const {traceparent, tracestate} = request.headers;
		Object.assign(call, await ask(orders.machine, {
			id: call.id, host: 'shop.example', path: `/ledger/${run.id}`, deadline: expiresAt - Date.now(), signal, headers: {traceparent, tracestate},
		}));
		return call.status === 200 ? {} : {status: 500, body: 'the ledger did not answer'};
	});
	const all = [gate, ledger, orders];
	instances.map(instance => instance.announce());
	await until(() => areReady(all.map(({machine}) => machine)), 15_000, 'all nodes ready');
	await until(() => instances.every(({announcements}) => announcements.some(({status}) => status === 204)), 10_000, 'all instances announced');
	await pause(3500);

	const answers = [];
	const sending = Promise.all(Array.from({length: orderCount}, async (_item, index) => {
		const id = `order${index}`;
		answers.push({
			id, ...await ask(gate.machine, {
				id, host: 'shop.example', path: `/orders/${index}`, method: 'POST', body: id, deadline,
			}),
		});
	}));
	await until(() => orders.instance.runs.length === orderCount, 3000, 'all orders at work');
	const termAt = Date.now();
	const reference = hasTrouble ? 'the SIGTERM' : 'all orders were at work';
	record(`${orderCount} orders are at work at i-orders-1`);
	if (hasTrouble) {
		orders.node.kill('SIGTERM');
		record('SIGTERM to the node beside i-orders-1 (planned work); its instance runs on');
	}

	await sending;
	await pause(1500);
	record(hasTrouble ? `the node ended ${orders.node.ended.at - termAt} ms after the SIGTERM with code ${orders.node.ended.code}, ${orders.node.ended.signal ?? 'no signal'}` : 'no SIGTERM was sent');
	const lost = calls.flatMap(call => {
		const run = ledger.instance.runs.find(({id}) => id === call.id);
		const isOwn = call.status !== undefined && call.headers?.['laburnumspool-response-signature'] === undefined && call.status !== 503 && call.status !== 429;
		const endedAt = call.sentAt + call.milliseconds;
		return hasTrouble && run !== undefined && isOwn && call.status !== 200 && run.startedAt < endedAt && call.sentAt > termAt + 3000 && endedAt < call.expiresAt - 300 ? [{call, run, endedAt}] : [];
	});
	calls.map(call => record(`  call ${call.id}: taken ${call.sentAt - termAt} ms after ${reference}, ended ${call.sentAt + call.milliseconds - termAt} ms after it with ${call.status === 0 ? call.error : call.status}`));
	record(`orders: ${answers.map(({status}) => status).join(' ')}`);
	record(`calls that were taken over 3 s after the SIGTERM, were at work at an instance, and got an answer of the node's own in its place: ${lost.length}`);
	lost.map(({call, run, endedAt}) => record(`  ${call.id}: began at i-ledger-1 ${run.startedAt - termAt} ms after the SIGTERM; answered ${call.status} without a signature ${endedAt - termAt} ms after it, graceS is ${terms.graceS * 1000} ms; the run: ${run.how}`));
	return lost.length > 0 ? 1 : 0;
}
