import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {
	AnnouncedState, CancelResult, ErrorKind, Importance, NodeEffectType, Outcome, SendFailure, type CallerAnswer, type NodeEffect,
} from '@laburnumspool/core';
import {decodeAnswer, FrameType, StringTableDecoder} from '@laburnumspool/protocol';
import fc from 'fast-check';
import {test, type Test} from 'tap';
import {AnswerStreams} from '../answer-streams.js';
import {CoreMessageType, type CoreMessage, type CoreTask} from '../core-task.js';
import {MemoryBudget} from '../memory-budget.js';
import {PeersClient} from '../peers-client.js';
import {doNothing, silentLog} from './fixtures.js';
import {
	createCall, createMember, listen, RawLink, startCore,
} from './link-nodes.js';

const totalBytes = 1024 * 1024;
const largeBytes = 200_000;
const smallBytes = 1000;

/** Two of these exceed the unsent bytes from which a link is congested. */
const queuedCallBytes = 3 * 1024 * 1024;
const pollMilliseconds = 5;
const maximumPolls = 400;

/** Fills the part of the budget that large bodies may use. */
const fillForLarge = (budget: MemoryBudget) => budget.reserve(totalBytes * 0.875, Importance.Critical)!;

async function waitUntil(isReached: () => boolean): Promise<void> {
	for (let polls = 0; !isReached() && polls < maximumPolls; polls += 1) {
		await wait(pollMilliseconds);
	}
}

/** Starts a serving node whose upstream answers each call with the length of its body. */
async function startServing(t: Test, budget: MemoryBudget): Promise<{port: number; dispatched: string[]}> {
	const core = startCore(t, 'serving', budget);
	const dispatched: string[] = [];
	const port = await listen(t, core, budget);
	core.handle({
		[NodeEffectType.Dispatch]({callId, request}) {
			dispatched.push(`${callId} ${request.body.length}`);
			core.post({type: CoreMessageType.UpstreamAnswered, callId, answer: {status: 200, headers: [], body: Buffer.from(String(request.body.length))}});
		},
	});
	core.post({
		type: CoreMessageType.UpstreamAnnounced, announcement: {
			service: 'shop', slots: 4, state: AnnouncedState.Ready, load: undefined,
		},
	});
	return {port, dispatched};
}

// Guards against a node that ends for lack of memory because it keeps every body that other nodes send it.
test('with a full budget at the serving node a call with a large body is answered as not run, and a small one is served', async t => {
	const budgets = [new MemoryBudget(totalBytes), new MemoryBudget(totalBytes)] as const;
	const {port, dispatched} = await startServing(t, budgets[0]);
	const entry = startCore(t, 'entry', budgets[1]);
	entry.post({type: CoreMessageType.ViewArrived, members: [createMember('serving', port)], rumors: []});
	const request = async (entryId: number, bodyBytes: number): Promise<CallerAnswer> => new Promise(resolve => {
		entry.handle({
			[NodeEffectType.AnswerCaller]({answer}) {
				resolve(answer);
			},
		});
		entry.post({
			type: CoreMessageType.CallerRequested, request: {
				entryId, service: 'shop', request: {
					method: 'GET', target: '/items/1', headers: [], body: Buffer.alloc(bodyBytes, 'b'), digest: '',
				}, key: undefined, timeoutMilliseconds: 10_000, traceparent: undefined, tracestate: undefined,
			},
		});
	});
	const filler = fillForLarge(budgets[0]);
	t.match(await request(1, largeBytes), {outcome: Outcome.NotRun, answer: undefined, error: {kind: ErrorKind.Overloaded}});
	t.match(await request(2, smallBytes), {outcome: Outcome.Ran, answer: {status: 200, body: Buffer.from(String(smallBytes))}});
	filler.release();
	t.match(await request(3, largeBytes), {outcome: Outcome.Ran, answer: {status: 200, body: Buffer.from(String(largeBytes))}});
	t.same(dispatched.map(text => text.split(' ')[1]), [String(smallBytes), String(largeBytes)]);
	await waitUntil(() => budgets.every(({heldBytes}) => heldBytes === 0));
	t.same(budgets.map(({heldBytes}) => heldBytes), [0, 0]);
});

// Guards against a call that is reported as not run and runs later.
test('a copy of a discarded call never runs, also after a late cancellation, and the link serves further calls', async t => {
	const budget = new MemoryBudget(totalBytes);
	const {port, dispatched} = await startServing(t, budget);
	const link = await RawLink.open(t, port);
	const filler = fillForLarge(budget);
	const discarded = link.encodeCall(createCall('n.1.1', largeBytes));
	link.socket.write(discarded.subarray(0, 1000));
	await once(link.socket, 'frames');
	t.equal(link.frames.length, 1, 'the call is answered before its body has arrived');
	link.socket.write(discarded.subarray(1000));
	filler.release();
	link.cancel('n.1.1');
	link.socket.write(link.encodeCall(createCall('n.1.1', largeBytes)));
	link.socket.write(link.encodeCall(createCall('n.1.1', smallBytes)));
	link.socket.write(link.encodeCall(createCall('n.1.2', largeBytes)));
	await link.flush();
	const decoder = new StringTableDecoder();
	const answers = link.frames.filter(({type}) => type === FrameType.Answer).map(({content}) => decodeAnswer(content, decoder).frame);
	t.same(answers.map(({callId, outcome, error}) => [callId, outcome, error?.kind]), [
		['n.1.1', Outcome.NotRun, ErrorKind.Overloaded],
		['n.1.1', Outcome.Unknown, ErrorKind.Duplicate],
		['n.1.1', Outcome.Unknown, ErrorKind.Duplicate],
		['n.1.2', Outcome.Ran, undefined],
	]);
	t.same(dispatched, [`n.1.2 ${largeBytes}`]);
	await waitUntil(() => budget.heldBytes === 0);
	t.equal(budget.heldBytes, 0);
});

// Guards against a reservation that outlives its call: later large calls would be refused without a reason.
test('a link that closes in the middle of a reserved or a discarded call leaves nothing reserved and dispatches nothing', async t => {
	const budget = new MemoryBudget(totalBytes);
	const {port, dispatched} = await startServing(t, budget);
	const reserved = await RawLink.open(t, port);
	reserved.socket.write(reserved.encodeCall(createCall('n.1.1', largeBytes)).subarray(0, largeBytes / 2));
	await waitUntil(() => budget.heldBytes > 0);
	t.ok(budget.heldBytes > largeBytes, 'the length is reserved before the content has arrived');
	reserved.socket.destroy();
	await waitUntil(() => budget.heldBytes === 0);
	t.equal(budget.heldBytes, 0);
	const held = fillForLarge(budget);
	const discarded = await RawLink.open(t, port);
	discarded.socket.write(discarded.encodeCall(createCall('n.1.2', largeBytes)).subarray(0, largeBytes / 2));
	await once(discarded.socket, 'frames');
	discarded.socket.destroy();
	await wait(pollMilliseconds);
	held.release();
	t.equal(budget.heldBytes, 0);
	t.same(dispatched, []);
});

/** Answers some calls, leaves others running, and reports what it received. */
class CoreStub {
	readonly runningCallIds: string[] = [];
	readonly failures: string[] = [];
	readonly #handlers = new Map<string, (effect: NodeEffect) => void>();

	handle(handlers: Readonly<Record<string, (effect: NodeEffect) => void>>): void {
		Object.entries(handlers).map(([type, handler]) => this.#handlers.set(type, handler));
	}

	post(message: CoreMessage): boolean {
		if (message.type === CoreMessageType.CallArrived) {
			const {frame, refusal} = message;
			// The target says what becomes of the call.
			if (refusal !== undefined || frame.request.target === 'answer') {
				this.answer(frame.callId, refusal === undefined ? 5000 : 0);
			} else if (frame.request.target === 'run') {
				this.runningCallIds.push(frame.callId);
			}

			return frame.request.target !== 'drop';
		}

		if (message.type === CoreMessageType.CallFailed) {
			this.failures.push(`${message.callId} ${message.failure}`);
		}

		if (message.type === CoreMessageType.CancelArrived) {
			message.reply(this.runningCallIds.includes(message.callId) ? CancelResult.Dispatched : CancelResult.NotRun);
		}

		return true;
	}

	apply(effect: NodeEffect): void {
		this.#handlers.get(effect.type)?.(effect);
	}

	answer(callId: string, bodyBytes: number): void {
		this.apply({
			type: NodeEffectType.SendAnswer, clock: 0, frame: {
				callId,
				outcome: Outcome.Ran,
				coversAction: false,
				answer: {status: 200, headers: [], body: Buffer.alloc(bodyBytes)},
				error: undefined,
				retriesSpent: 0,
				serving: {
					headroom: 1, level: 0, downstreamLevel: 0, draining: false, revision: 1, servedMilliseconds: 1,
				},
			},
		});
	}
}

test('the budget of a serving node returns to zero however calls and links end, and calls never exceed it', async t => {
	const budget = new MemoryBudget(totalBytes);
	const core = new CoreStub();
	const port = await listen(t, core as unknown as CoreTask, budget);
	const call = fc.record({
		sequence: fc.integer({min: 1, max: 6}),
		bodyBytes: fc.oneof(fc.constant(0), fc.integer({min: 1, max: 70_000}), fc.integer({min: 70_000, max: 600_000})),
		target: fc.constantFrom('answer', 'run', 'wait', 'drop'),
	});
	let run = 0;
	await fc.assert(fc.asyncProperty(fc.array(call, {minLength: 1, maxLength: 12}), fc.integer({min: 1, max: 300_000}), async (calls, lastBytes) => {
		run += 1;
		const link = await RawLink.open(t, port);
		calls.map(({sequence, bodyBytes, target}) => {
			const frame = createCall(`n.${run}.${sequence}`, bodyBytes);
			return link.socket.write(link.encodeCall({...frame, request: {...frame.request, target}}));
		});
		await link.flush();
		const isWithinBudget = budget.heldBytes <= totalBytes;
		// The last call is cut off somewhere within its frame.
		link.socket.end(link.encodeCall(createCall(`n.${run}.9`, 300_000)).subarray(0, lastBytes));
		link.socket.destroySoon();
		await once(link.socket, 'close');
		await waitUntil(() => core.runningCallIds.length > 0 || budget.heldBytes === 0);
		const running = core.runningCallIds.splice(0);
		running.map(callId => {
			core.answer(callId, 5000);
			return callId;
		});
		await waitUntil(() => budget.heldBytes === 0);
		return isWithinBudget && budget.heldBytes === 0;
	}), {seed: 20_261_206, numRuns: 40});
	t.pass('holds for 40 sequences of calls');
});

test('a copy of a running call over another link reserves nothing after the call has ended', async t => {
	const budget = new MemoryBudget(totalBytes);
	const core = new CoreStub();
	const port = await listen(t, core as unknown as CoreTask, budget);
	const frame = createCall('n.1.1', largeBytes);
	const running = {...frame, request: {...frame.request, target: 'run'}};
	const links = [await RawLink.open(t, port), await RawLink.open(t, port)] as const;
	links[0].socket.write(links[0].encodeCall(running));
	await links[0].flush();
	links[0].socket.destroy();
	await wait(pollMilliseconds * 4);
	const {heldBytes} = budget;
	t.ok(heldBytes > largeBytes, 'the body of a running call counts after its link has closed');
	links[1].socket.write(links[1].encodeCall(running));
	await links[1].flush();
	t.equal(budget.heldBytes, heldBytes);
	core.answer('n.1.1', 0);
	t.equal(budget.heldBytes, 0);
});

// Guards against calls that pile up in the memory of the entry node while a peer accepts no data.
test('calls to a peer that takes no data are refused once some are queued, and cancelled ones count until the connection closes', async t => {
	const budget = new MemoryBudget(totalBytes);
	const server = createServer(doNothing).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	const core = new CoreStub();
	const client = new PeersClient({
		core: core as unknown as CoreTask, streams: new AnswerStreams(), log: silentLog, clock: () => performance.now(), budget,
	});
	const to = createMember('peer', (server.address() as AddressInfo).port);
	['n.1.1', 'n.1.2', 'n.1.3'].map(callId => {
		core.apply({
			type: NodeEffectType.SendCall, to, frame: createCall(callId, queuedCallBytes), clock: 0,
		});
		return callId;
	});
	t.same(core.failures, [`n.1.3 ${SendFailure.NotConnected}`]);
	core.apply({type: NodeEffectType.SendCancel, to, callId: 'n.1.1'});
	t.ok(budget.heldBytes > queuedCallBytes && budget.heldBytes < 2 * queuedCallBytes, 'the cancelled call is held, the open one belongs to its caller');
	await client.close();
	t.equal(budget.heldBytes, 0);
	t.same(core.failures.toSorted(), ['n.1.1', 'n.1.2', 'n.1.3'].map(callId => `${callId} ${SendFailure.NotConnected}`));
});
