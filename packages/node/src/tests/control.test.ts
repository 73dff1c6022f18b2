import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	ClaimState, Liveness, NodeEffectType, AtMostOnceMessageType, UpstreamState, type Claim, type Member, type AtMostOnceMessage,
} from '@laburnumspool/core';
import {findFreePorts} from '@laburnumspool/standin-loopback';
import {test} from 'tap';
import {ControlClient} from '../control-client.js';
import {ControlServer} from '../control-server.js';
import type {CoreMessage, CoreTask, EffectHandlers} from '../core-task.js';

const testTimeoutMilliseconds = 10_000;
const messagePosted = 'message-posted';

function createClaim(number: number, bytes: number): Claim {
	return {
		key: `key-${number}`, id: {epoch: 1, sequence: number}, digest: 'd', state: ClaimState.Finished, answer: {status: 200, headers: [], body: Buffer.alloc(bytes)}, changedAt: 0,
	};
}

test('a new backup receives all claims when the answers of many ranges, or of one range, exceed the size limit of a call', async t => {
	t.setTimeout(testTimeoutMilliseconds);
	const [port] = await findFreePorts(1);
	const to: Member = {
		name: 'q', incarnation: 1, version: 1, location: {region: 'r', failureDomain: 'f'}, host: '127.0.0.1', callersPort: 1, peersPort: 1, controlPort: port!, service: 's', state: UpstreamState.Ready, slots: 1, liveness: Liveness.Alive,
	};
	const posts: CoreMessage[] = [];
	const coreEvents = new EventTarget();
	const server = new ControlServer({
		core: {own: to},
		post(message: CoreMessage) {
			posts.push(message);
			return coreEvents.dispatchEvent(new Event(messagePosted));
		},
	} as unknown as CoreTask);
	await server.listen(port!, '127.0.0.1');
	let handlers: EffectHandlers = {};
	const control = new ControlClient({
		clock: () => 0, core: {
			handle(effectHandlers: EffectHandlers) {
				handlers = effectHandlers;
			},
		} as unknown as CoreTask,
	});
	t.teardown(() => {
		control.close();
		server.close();
	});
	const sizes = [...Array.from({length: 8}, () => 700_000), 6_000_000];
	const messages: AtMostOnceMessage[] = sizes.map((bytes, range) => ({
		type: AtMostOnceMessageType.Sync, service: 's', range, epoch: 1, claims: [1, 2].map(number => createClaim(number, bytes / 2)),
	}));
	messages.map(message => handlers[NodeEffectType.SendAtMostOnce]?.({
		type: NodeEffectType.SendAtMostOnce, to, from: {name: 'p', incarnation: 1}, message,
	}));
	while (posts.length < messages.length) {
		await once(coreEvents, messagePosted);
	}

	const received = posts.map(post => (post as unknown as {message: {range: number; claims: readonly Claim[]}}).message);
	t.same(received.map(({claims}) => claims.reduce((sum, claim) => sum + (claim.answer?.body.length ?? 0), 0)), received.map(({range}) => sizes[range]));
	t.same(received.map(({range}) => range).toSorted((left, right) => left - right), messages.map(({range}) => range));
});
