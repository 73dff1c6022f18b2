import {test} from 'tap';
import type {CallersServer} from '../callers-server.js';
import {CoreMessageType, type CoreMessage, type CoreTask} from '../core-task.js';
import type {NodeInterface} from '../node-interface.js';
import type {PeersServer} from '../peers-server.js';
import {stopAsPlanned} from '../planned-stop.js';
import {doNothing, silentLog} from './fixtures.js';

test('a stop that has finished its work stays complete although late requests arrive and a node is ready to take key ranges over', async t => {
	const types: CoreMessageType[] = [];
	let hasLeft = false;
	const core = {
		core: {
			get isDrained() {
				return !hasLeft;
			},
		},
		post({type}: CoreMessage) {
			types.push(type);
			hasLeft ||= type === CoreMessageType.AnnounceLeft;
		},
	} as unknown as CoreTask;
	const callersServer = {
		closeAfterAnswers: doNothing,
		stopListening: doNothing,
		get isIdle() {
			return !hasLeft;
		},
		get openRequests() {
			return hasLeft ? [{requestId: 'late', startedAt: performance.now(), isFirst: true}] : [];
		},
	} as unknown as CallersServer;
	const isComplete = await stopAsPlanned({
		core,
		callersServer,
		peersServer: {hasUnsentBytes: false} as unknown as PeersServer,
		nodeInterface: {setStopping: doNothing} as unknown as NodeInterface,
		log: silentLog,
		clock: () => performance.now(),
		lingerMilliseconds: 0,
		stopMilliseconds: 2000,
		close: async () => undefined,
	});
	t.equal(isComplete, true);
	t.same(types, [CoreMessageType.StartDraining, CoreMessageType.RefuseNewRequests, CoreMessageType.AnnounceLeft, CoreMessageType.EndOpenCalls]);
});
