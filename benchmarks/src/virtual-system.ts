/**
 * Several whole node cores in virtual time, with fakes at their interfaces: upstreams, links and the store.
 *
 * @module
 */
import {
	AnnouncedState, defaultMembershipTimes, holderKey, Liveness, NodeCore, NodeEffectType, SendFailure, UpstreamFailure, UpstreamState, WriteResultType,
	type CallerAnswer, type Member, type NodeEffect, type NodeEvent, type RangeRecord, type VersionedRecord,
} from '@laburnumspool/core';
import {seededRandom} from '@laburnumspool/load';
import TinyQueue from 'tinyqueue';
import {
	VirtualNode, type VirtualInnerCall, type VirtualService, type VirtualDefinition, type UpstreamWork,
} from './virtual-node.js';

const tickMilliseconds = 5;
const linkMilliseconds = 0.5;
const storeMilliseconds = 3;
const wallStart = 1_800_000_000_000;
const traceDigits = 32;
const renewMilliseconds = 1000;

type Scheduled = {readonly at: number; readonly order: number; readonly run: () => void};

/**
 * A system of cores.
 *
 * @example
 * const system = new VirtualSystem(definition);
 * system.runUntil(1000);
 * system.request('catalogue-0', {service: 'catalogue', method: 'GET', target: '/designs/1'}, answer => console.log(answer));
 */
export class VirtualSystem {
	readonly nodes: VirtualNode[];
	readonly work: UpstreamWork[] = [];
	readonly events: NodeEvent[] = [];
	readonly store = {
		records: new Map<string, VersionedRecord>(), holders: new Set<string>(), isDown: false, version: 0,
	};

	readonly #definition: VirtualDefinition;
	readonly #random: () => number;
	readonly #queue = new TinyQueue<Scheduled>([], (left, right) => (left.at - right.at) || (left.order - right.order));
	#now = 0;
	#order = 0;

	constructor(definition: VirtualDefinition) {
		this.#definition = definition;
		this.#random = seededRandom(definition.seed);
		this.nodes = definition.services.flatMap(service => Array.from({length: service.instances}, (_, index) => this.createNode(service, `${service.service}-${index}`, index, 1)));
		this.nodes.map(node => this.#start(node));
	}

	get now(): number {
		return this.#now;
	}

	node(name: string): VirtualNode {
		return this.nodes.find(node => node.name === name)!;
	}

	createNode(service: VirtualService, name: string, index: number, incarnation: number): VirtualNode {
		const own: Member = {
			name, incarnation, version: 1, location: {region: 'r', failureDomain: `f${index % 2}`}, host: name, callersPort: 1, peersPort: 2, controlPort: 3, service: '', state: UpstreamState.Starting, slots: 0, liveness: Liveness.Alive,
		};
		const core = new NodeCore({
			own,
			wallClock: () => wallStart + this.#now,
			random: this.#random,
			newActionId: () => this.#randomText(traceDigits),
			membershipTimes: {...defaultMembershipTimes, probeIntervalMilliseconds: 200, suspicionMilliseconds: 600},
			claimLimits: {maximumClaims: 100_000, maximumAnswerBytes: 10_000_000},
			storeOutageLimitMilliseconds: this.#definition.withoutStoreMilliseconds ?? 600_000,
			clockErrorMilliseconds: 100,
			...(this.#definition.guardMechanisms === undefined ? {} : {admissionMechanisms: this.#definition.guardMechanisms}),
			...(this.#definition.entryMechanisms === undefined ? {} : {entryMechanisms: this.#definition.entryMechanisms}),
			...(this.#definition.retries === undefined ? {} : {retries: this.#definition.retries}),
		});
		return new VirtualNode(core, service);
	}

	/** Sends a caller's request to a node. */
	request(nodeName: string, request: {readonly service?: string; readonly host?: string; readonly requestId?: string; readonly method: string; readonly target: string; readonly key?: string; readonly timeoutMilliseconds?: number; readonly traceparent?: string; readonly tracestate?: string; readonly digest?: string}, answered: (answer: CallerAnswer) => void): () => void {
		const node = this.node(nodeName);
		node.lastEntryId += 1;
		const entryId = node.lastEntryId;
		const {service = '', host = '', requestId = '', method, target, key, timeoutMilliseconds, traceparent, tracestate} = request;
		node.callers.set(entryId, answered);
		this.#carryOut(node, node.core.callerRequested({
			entryId, host, requestId, service, key, timeoutMilliseconds, traceparent, tracestate, request: {
				method, target, headers: [], body: new Uint8Array(), digest: request.digest ?? `${method} ${target}`,
			},
		}, this.#now));
		return () => {
			if (node.callers.delete(entryId)) {
				this.#carryOut(node, node.core.callerDisconnected(entryId, this.#now));
			}
		};
	}

	runUntil(time: number): void {
		while (this.#queue.length > 0 && this.#queue.peek()!.at <= time) {
			const next = this.#queue.pop()!;
			this.#now = Math.max(this.#now, next.at);
			next.run();
		}

		this.#now = time;
	}

	schedule(delayMilliseconds: number, run: () => void): void {
		this.#order += 1;
		this.#queue.push({at: this.#now + delayMilliseconds, order: this.#order, run});
	}

	/** The node's memory is gone; its upstream's work is cut off. */
	kill(node: VirtualNode): void {
		node.isDown = true;
		this.store.holders.delete(holderKey(node.core.own));
	}

	/** Starts a planned stop. */
	leave(node: VirtualNode): void {
		this.#carryOut(node, node.core.startDraining(this.#now));
	}

	#start(node: VirtualNode): void {
		this.#carryOut(node, node.core.manifestArrived({number: 1, document: '', manifest: this.#definition.manifest}, 0));
		this.#carryOut(node, node.core.viewArrived(this.nodes.map(other => other.core.own), [], 0));
		const {service, slots, announcedSlots} = node.service;
		const announce = (): void => {
			if (!node.isDown && !node.isPaused) {
				this.#carryOut(node, node.core.upstreamAnnounced({
					service, slots: announcedSlots ?? slots, state: AnnouncedState.Ready, load: undefined,
				}, this.#now));
			}

			this.schedule(renewMilliseconds, announce);
		};

		const renew = (): void => {
			if (!node.isDown && !node.isPaused && !this.store.isDown) {
				this.store.holders.add(holderKey(node.core.own));
				node.core.leaseRenewed(this.#now);
			}

			this.schedule(renewMilliseconds, renew);
		};

		const tick = (): void => {
			if (!node.isDown && !node.isPaused) {
				this.#carryOut(node, node.core.advance(this.#now));
			}

			this.schedule(tickMilliseconds, tick);
		};

		announce();
		renew();
		this.schedule(this.#random() * tickMilliseconds, tick);
	}

	#carryOut(node: VirtualNode, effects: readonly NodeEffect[]): void {
		effects.map(effect => {
			this.#carryOutOne(node, effect);
			return effect;
		});
	}

	#carryOutOne(node: VirtualNode, effect: NodeEffect): void {
		const handlers: {readonly [Type in NodeEffectType]?: (effect: Extract<NodeEffect, {type: Type}>) => void} = {
			[NodeEffectType.SendCall]: call => {
				this.#sendCall(node, call);
			},
			[NodeEffectType.SendAnswer]: answer => {
				const [to] = answer.frame.callId.split('.');
				this.#deliver(node, to!, answer, receiver => receiver.core.callAnswered(answer.frame, answer.clock, this.#now));
			},
			[NodeEffectType.SendCancel]: cancel => {
				this.#deliver(node, cancel.to.name, cancel, receiver => {
					const {result, effects} = receiver.core.cancelArrived(cancel.callId, this.#now);
					this.#deliver(receiver, node.name, cancel, entry => entry.core.cancelReplied(cancel.callId, result, this.#now));
					return effects;
				});
			},
			[NodeEffectType.AnswerCaller]({entryId, answer}) {
				const caller = node.callers.get(entryId);
				node.callers.delete(entryId);
				caller?.(answer);
			},
			[NodeEffectType.Dispatch]: dispatch => {
				this.#dispatch(node, dispatch);
			},
			[NodeEffectType.CancelDispatch]: ({callId}) => {
				this.#cancelDispatch(node, callId);
			},
			[NodeEffectType.SendGossip]: gossip => {
				this.#deliver(node, gossip.to.host, gossip, receiver => receiver.core.gossipArrived(gossip.message, gossip.clock, this.#now));
			},
			[NodeEffectType.SendAtMostOnce]: effect => {
				this.#deliver(node, effect.to.name, effect, receiver => receiver.core.atMostOnceMessageArrived(effect.from, effect.message, this.#now));
			},
			[NodeEffectType.ReadRecord]: ({service}) => {
				this.#askStore(node, () => node.core.recordArrived(this.store.records.get(service), this.#now));
			},
			[NodeEffectType.PullRecord]: ({service, from}) => {
				const record = this.node(from.name).core.record(service);
				this.schedule(2 * linkMilliseconds, () => {
					this.#carryOut(node, record === undefined ? [] : node.core.recordArrived(record, this.#now));
				});
			},
			[NodeEffectType.WriteRecord]: ({service, expectedVersion, record}) => {
				this.#writeRecord(node, service, expectedVersion, record);
			},
			[NodeEffectType.ReadHolders]: ({holders}) => {
				this.#askStore(node, () => {
					node.core.holdersRead(holders, this.store.holders, this.#now);
					return [];
				});
			},
			[NodeEffectType.Event]: ({event}) => {
				this.events.push(event);
			},
		};
		(handlers[effect.type] as ((effect: NodeEffect) => void) | undefined)?.(effect);
	}

	#sendCall(node: VirtualNode, call: Extract<NodeEffect, {type: NodeEffectType.SendCall}>): void {
		const target = this.node(call.to.name);
		if (target.isDown) {
			this.schedule(linkMilliseconds, () => {
				this.#carryOut(node, node.core.callFailed(call.frame.callId, SendFailure.NotConnected, this.#now));
			});
			return;
		}

		this.#deliver(node, call.to.name, call, receiver => receiver.core.callArrived(call.frame, call.clock, this.#now));
	}

	#deliver(from: VirtualNode, to: string, effect: NodeEffect, receive: (receiver: VirtualNode) => NodeEffect[]): void {
		const fate = this.#definition.fateOf?.(effect, from.name) ?? {copies: 1, delayMilliseconds: 0};
		Array.from({length: fate.copies}, (_, copy) => {
			this.schedule(linkMilliseconds + fate.delayMilliseconds + copy, () => {
				this.#receive(to, receive);
			});
			return copy;
		});
	}

	#receive(to: string, receive: (receiver: VirtualNode) => NodeEffect[]): void {
		const receiver = this.nodes.find(node => node.name === to);
		if (receiver === undefined || receiver.isDown) {
			return;
		}

		if (receiver.isPaused) {
			this.schedule(tickMilliseconds, () => {
				this.#receive(to, receive);
			});
			return;
		}

		this.#carryOut(receiver, receive(receiver));
	}

	#askStore(node: VirtualNode, answer: () => NodeEffect[]): void {
		this.schedule(storeMilliseconds, () => {
			if (!this.store.isDown && !node.isDown) {
				this.#carryOut(node, answer());
			}
		});
	}

	#writeRecord(node: VirtualNode, service: string, expectedVersion: number, record: RangeRecord): void {
		this.schedule(storeMilliseconds, () => {
			if (this.store.isDown) {
				this.#carryOut(node, node.core.recordWritten({type: WriteResultType.Unknown}, this.#now));
				return;
			}

			const current = this.store.records.get(service);
			if ((current?.version ?? 0) !== expectedVersion) {
				this.#carryOut(node, node.core.recordWritten({type: WriteResultType.Conflict, current}, this.#now));
				return;
			}

			this.store.version += 1;
			this.store.records.set(service, {version: this.store.version, record});
			this.#carryOut(node, node.core.recordWritten({type: WriteResultType.Written, version: this.store.version}, this.#now));
		});
	}

	#dispatch(node: VirtualNode, dispatch: Extract<NodeEffect, {type: NodeEffectType.Dispatch}>): void {
		const {callId, request, traceparent, tracestate} = dispatch;
		const failure = node.upstreamFailure;
		if (failure === UpstreamFailure.NotConnected) {
			this.#end(node, callId, () => node.core.upstreamFailed(callId, failure, this.#now), 0);
			return;
		}

		const state = {isCancelled: false};
		node.running.set(callId, state);
		this.work.push({
			node: node.name, service: node.service.service, callId, actionId: traceparent.slice(3, 35), target: request.target, key: undefined, at: this.#now,
		});
		const behaviour = node.service.behaviours.find(candidate => request.target.startsWith(candidate.prefix));
		const crowding = Math.max(1, node.running.size / node.service.slots);
		const milliseconds = (behaviour?.milliseconds ?? 1) * node.slowFactor * crowding * (0.5 - Math.log(1 - this.#random())) / 1.5;
		this.schedule(milliseconds, () => {
			if (state.isCancelled || node.isDown) {
				return;
			}

			if (failure !== undefined) {
				this.#end(node, callId, () => node.core.upstreamFailed(callId, failure, this.#now), 0);
				return;
			}

			const callInner = behaviour?.isInTurn === true ? this.#callInTurn.bind(this) : this.#callInner.bind(this);
			callInner(node, behaviour?.calls ?? [], {traceparent, tracestate}, isWhole => {
				if (!state.isCancelled) {
					this.#end(node, callId, () => node.core.upstreamAnswered(callId, {status: isWhole ? 200 : 502, headers: [], body: new TextEncoder().encode(callId)}, this.#now), 0);
				}
			});
		});
	}

	#callInner(node: VirtualNode, calls: readonly VirtualInnerCall[], headers: {traceparent: string; tracestate: string}, done: (isWhole: boolean) => void): void {
		let open = calls.length;
		let isWhole = true;
		if (open === 0) {
			done(true);
		}

		calls.map(call => this.request(node.name, {...call, ...headers}, answer => {
			isWhole &&= answer.answer?.status === 200;
			open -= 1;
			if (open === 0) {
				done(isWhole);
			}
		}));
	}

	#callInTurn(node: VirtualNode, calls: readonly VirtualInnerCall[], headers: {traceparent: string; tracestate: string}, done: (isWhole: boolean) => void): void {
		const [next, ...later] = calls;
		if (next === undefined) {
			done(true);
			return;
		}

		this.request(node.name, {...next, ...headers}, answer => {
			if (answer.answer?.status === 200) {
				this.#callInTurn(node, later, headers, done);
			} else {
				done(false);
			}
		});
	}

	#cancelDispatch(node: VirtualNode, callId: string): void {
		const state = node.running.get(callId);
		if (state !== undefined && !state.isCancelled) {
			state.isCancelled = true;
			this.#end(node, callId, () => node.core.upstreamFailed(callId, UpstreamFailure.Cancelled, this.#now), 0.1);
		}
	}

	#end(node: VirtualNode, callId: string, report: () => NodeEffect[], delayMilliseconds: number): void {
		this.schedule(delayMilliseconds, () => {
			node.running.delete(callId);
			if (!node.isDown) {
				this.#carryOut(node, report());
			}
		});
	}

	#randomText(digits: number): string {
		return Array.from({length: digits}, () => Math.floor(this.#random() * 16).toString(16)).join('');
	}
}
