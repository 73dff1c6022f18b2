/**
 * Rule DRAIN. The node beside an instance is restarted (planned work) while the health check of that instance says falsely that it
 * is ill. A heartbeat that arrives before the node has its configuration counts; the probe that follows makes the node deaf to
 * that instance for six seconds, but does not take the heartbeat back. The announcement `draining` is acknowledged and ignored, and
 * the instance gets requests until it is gone.
 *
 * TROUBLE=0: the same, but the health check tells the truth.
 */
import {appendFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {Platform} from '../lib-2/platform.mjs';
import {Instance, work} from '../lib-2/instance.mjs';
import {
	ask, areReady, isReady, Deployment, pause, terms, toConfig, until,
} from '../lib-2/deployment.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const recordFile = path.join(import.meta.dirname, 'record.txt');
const begin = Date.now();
writeFileSync(recordFile, '');
const record = text => appendFileSync(recordFile, `${((Date.now() - begin) / 1000).toFixed(3).padStart(8)} s  ${text}\n`);

/** One of seven, so that the share of false health answers is below the 0.15 of `fleetbench kinds`. */
const orderInstances = 7;
const workMilliseconds = 300;
const slots = 10;
const sendInterval = 7;
/** From the first heartbeat that the new process acknowledged to the notice of the instance. */
const noticeMilliseconds = 900;
/** From the acknowledgement to the end of the instance: drainS and "a little longer". */
const servesOnMilliseconds = 3800;

const isAcknowledged = ({status}) => status >= 200 && status < 300;

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

async function startMachine(name, host, zone, service) {
	const machine = await deployment.machine({
		name, host, zone, service,
	});
	const instance = new Instance({
		id: `i-${name}`, host, zone, service, control: machine.control, slots, work: async (_run, _request, _body, signal) => work(workMilliseconds, signal),
	});
	await instance.start();
	instances.push(instance);
	return {machine, instance, node: deployment.startNode(machine, instance.address)};
}

async function play() {
	platform.put('op/config', toConfig(7, {orders: {service: 'orders', semantics: 'at-most-once', rank: 0}}, ['gate', 'orders']));
	const gate = await startMachine('gate-1', '127.0.0.21', 'z1', 'gate');
	const orders = await Promise.all(Array.from({length: orderInstances}, async (_item, index) => startMachine(`orders-${index + 1}`, `127.0.0.${31 + index}`, index % 2 === 0 ? 'z2' : 'z3', 'orders')));
	const all = [gate, ...orders];
	instances.map(instance => instance.announce());
	await until(() => areReady(all.map(({machine}) => machine)), 15_000, 'all nodes ready');
	await until(() => instances.every(({announcements}) => announcements.some(entry => isAcknowledged(entry))), 10_000, 'all instances announced');

	const answers = [];
	let sent = 0;
	const send = async () => {
		sent += 1;
		const id = `c${sent}`;
		answers.push({
			id, ...await ask(gate.machine, {
				id, host: 'shop.example', path: `/orders/${sent}`, method: 'POST', body: `order ${sent}`,
			}),
		});
	};

	const traffic = setInterval(send, sendInterval);
	await pause(4000);
	record(`calm traffic: the instances of orders ran ${orders.map(({instance}) => instance.runs.length).join(', ')} requests`);

	const leaving = orders[0];
	const {instance} = leaving;
	record('SIGTERM to the node beside i-orders-1 (planned work); its instance runs on');
	leaving.node.kill('SIGTERM');
	await until(() => leaving.node.ended !== undefined, 10_000, 'the node stopped');
	record(`the node ended with code ${leaving.node.ended.code}, ${leaving.node.ended.signal ?? 'no signal'}`);
	if (hasTrouble) {
		instance.healthStatus = 503;
		record('from now on the health check of i-orders-1 says 503; the instance is well and answers all requests');
	}

	await pause(500);
	const restartedAt = Date.now();
	leaving.node = deployment.startNode(leaving.machine, instance.address);
	record('the node is started again');
	// An instance whose heartbeat nobody took calls the next node, here the same one: only its own machine's node is to be called.
	const before = instance.announcements.length;
	const since = () => instance.announcements.slice(before);
	while (!since().some(entry => isAcknowledged(entry))) {
		await instance.sendBeat(instance.nextBeat()); // eslint-disable-line no-await-in-loop
	}

	const heardAt = since().find(entry => isAcknowledged(entry)).answeredAt;
	record(`a heartbeat (ready) was acknowledged ${heardAt - restartedAt} ms after the start`);
	await until(async () => isReady(leaving.machine), 10_000, 'the node is ready again');
	record(`the node is ready ${Date.now() - restartedAt} ms after the start`);
	await pause(Math.max(0, heardAt + noticeMilliseconds - Date.now()));
	const acknowledgedAt = await instance.drain();
	record(`i-orders-1 reported draining; acknowledged ${acknowledgedAt - restartedAt} ms after the start of the node`);
	await pause(servesOnMilliseconds);
	await instance.withdraw();
	const endedAt = Date.now();
	instance.close();
	record(`i-orders-1 withdrew and ended ${endedAt - acknowledgedAt} ms after the acknowledgement`);
	await pause(1000);
	clearInterval(traffic);
	await pause(5500);

	const inTouchAt = restartedAt + (terms.stabilityS * 1000);
	const after = instance.runs.filter(({startedAt}) => startedAt > acknowledgedAt);
	const late = after.filter(({startedAt}) => startedAt > Math.max(acknowledgedAt + (terms.drainS * 1000), inTouchAt));
	const statusById = new Map(answers.map(({id, status, error}) => [id, status === 0 ? error : status]));
	const lost = after.filter(({id}) => statusById.get(id) !== 200);
	record(`sent ${sent}, answered ${answers.length}: ${JSON.stringify(countBy(answers, ({status}) => status))}`);
	record(`announcements of i-orders-1 since the restart: ${since().filter(({status}) => status > 0).map(({what, sentAt, status}) => `${what}@${sentAt - restartedAt} ms=${status}`).join(', ')}`);
	record(`i-orders-1 ran ${instance.runs.filter(({startedAt}) => startedAt > restartedAt && startedAt <= acknowledgedAt).length} requests between the restart and the acknowledgement, ${after.length} after it, the last ${after.length === 0 ? '-' : after.at(-1).startedAt - acknowledgedAt} ms after it`);
	record(`of these, requests that may run once at most whose client got no success: ${lost.length}`);
	lost.map(({id, startedAt, how}) => record(`  ${id}: began ${startedAt - acknowledgedAt} ms after the acknowledgement, ${how}; the client got ${statusById.get(id)}`));
	record(`requests that reached i-orders-1 later than drainS = ${terms.drainS} s after the acknowledgement and over stabilityS = ${terms.stabilityS} s after the restart: ${late.length}`);
	late.map(({id, startedAt}) => record(`  ${id}: ${startedAt - acknowledgedAt} ms after the acknowledgement`));
	record(`nodes that ended by themselves: ${all.filter(({node}) => node.ended !== undefined).length}`);
	const lines = deployment.log('orders-1').split('\n').filter(line => /"(?:probed|upstream-doubted|announcement-passed-over|manifest-adopted)"/v.test(line)).slice(-8);
	record(`log of the node beside i-orders-1 since the restart:\n${lines.map(line => `      ${line}`).join('\n')}`);
	return late.length > 0 ? 1 : 0;
}

function countBy(list, keyOf) {
	const counts = {};
	list.map(entry => {
		counts[keyOf(entry)] = (counts[keyOf(entry)] ?? 0) + 1;
		return entry;
	});
	return counts;
}
