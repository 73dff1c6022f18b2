/**
 * Runs several complete node cores in virtual time, with simulated upstreams, links and store.
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
	VirtualNode, type VirtualNestedCall, type VirtualService, type VirtualDefinition, type UpstreamCall,
} from './virtual-node.js';

const tickMilliseconds = 5;
const linkLatencyMilliseconds = 0.5;
const storeLatencyMilliseconds = 3;
const wallClockStartMilliseconds = 1_800_000_000_000;
const actionIdDigits = 32;
const renewalIntervalMilliseconds = 1000;

type ScheduledEvent = {readonly dueAt: number; readonly order: number; readonly run: () => void};

/**
 * A system of node cores that is driven by one seeded random source and one event queue, so that runs are reproducible.
 *
 * @example
 * const system = new VirtualSystem(definition);
 * system.runUntil(1000);
 * system.request('catalogue-0', {service: 'catalogue', method: 'GET', target: '/designs/1'}, answer => console.log(answer));
 */
export class VirtualSystem {
	readonly nodes: VirtualNode[];
	readonly upstreamCalls: UpstreamCall[] = [];
	readonly events: NodeEvent[] = [];
	/** Number of calls that upstreams refused without running them. */
	refusedCalls = 0;
	readonly store = {
		records: new Map<string, VersionedRecord>(), holders: new Set<string>(), isDown: false, version: 0,
	};

	readonly #definition: VirtualDefinition;
	readonly #random: () => number;
	readonly #queue = new TinyQueue<ScheduledEvent>([], (left, right) => (left.dueAt - right.dueAt) || (left.order - right.order));
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
			wallClock: () => wallClockStartMilliseconds + this.#now,
			random: this.#random,
			newActionId: () => this.#randomHexadecimal(actionIdDigits),
			membershipTimes: {...defaultMembershipTimes, probeIntervalMilliseconds: 200, suspicionMilliseconds: 600},
			claimLimits: {maximumClaims: 100_000, maximumAnswerBytes: 10_000_000},
			storeOutageLimitMilliseconds: this.#definition.storeOutageLimitMilliseconds ?? 600_000,
			clockErrorMilliseconds: 100,
			...(this.#definition.admissionMechanisms === undefined ? {} : {admissionMechanisms: this.#definition.admissionMechanisms}),
			...(this.#definition.entryMechanisms === undefined ? {} : {entryMechanisms: this.#definition.entryMechanisms}),
			...(this.#definition.retries === undefined ? {} : {retries: this.#definition.retries}),
		});
		return new VirtualNode(core, service);
	}

	/** Sends a caller's request to a node. The returned function disconnects the caller before its answer. */
	request(nodeName: string, request: {readonly service?: string; readonly host?: string; readonly requestId?: string; readonly method: string; readonly target: string; readonly key?: string; readonly timeoutMilliseconds?: number; readonly traceparent?: string; readonly tracestate?: string; readonly digest?: string}, onAnswer: (answer: CallerAnswer) => void): () => void {
		const node = this.node(nodeName);
		node.lastEntryId += 1;
		const entryId = node.lastEntryId;
		const {service = '', host = '', requestId = '', method, target, key, timeoutMilliseconds, traceparent, tracestate} = request;
		node.callerCallbacks.set(entryId, onAnswer);
		this.#applyEffects(node, node.core.callerRequested({
			entryId, host, requestId, service, key, timeoutMilliseconds, traceparent, tracestate, request: {
				method, target, headers: [], body: new Uint8Array(), digest: request.digest ?? `${method} ${target}`,
			},
		}, this.#now));
		return () => {
			if (node.callerCallbacks.delete(entryId)) {
				this.#applyEffects(node, node.core.callerDisconnected(entryId, this.#now));
			}
		};
	}

	/** Runs the events that are due up to the time, in milliseconds since the start of the system. */
	runUntil(time: number): void {
		while (this.#queue.length > 0 && this.#queue.peek()!.dueAt <= time) {
			const next = this.#queue.pop()!;
			this.#now = Math.max(this.#now, next.dueAt);
			next.run();
		}

		this.#now = time;
	}

	schedule(delayMilliseconds: number, run: () => void): void {
		this.#order += 1;
		this.#queue.push({dueAt: this.#now + delayMilliseconds, order: this.#order, run});
	}

	/** Stops a node without notice: its state is lost, its lease ends at once, and its upstream's calls never finish. */
	kill(node: VirtualNode): void {
		node.isDown = true;
		this.store.holders.delete(holderKey(node.core.own));
	}

	/** Passes an input to the core of a node and applies its effects. */
	inject(nodeName: string, input: (core: NodeCore, now: number) => NodeEffect[]): void {
		const node = this.node(nodeName);
		this.#applyEffects(node, input(node.core, this.#now));
	}

	/** Starts the planned stop of a node. */
	startDraining(node: VirtualNode): void {
		this.#applyEffects(node, node.core.startDraining(this.#now));
	}

	#start(node: VirtualNode): void {
		this.#applyEffects(node, node.core.manifestArrived({number: 1, document: '', manifest: this.#definition.manifest}, 0));
		this.#applyEffects(node, node.core.viewArrived(this.nodes.map(other => other.core.own), [], 0));
		const {service, slots, announcedSlots} = node.service;
		const announce = (): void => {
			if (!node.isDown && !node.isPaused) {
				this.#applyEffects(node, node.core.upstreamAnnounced({
					service, slots: announcedSlots ?? slots, state: AnnouncedState.Ready, load: undefined,
				}, this.#now));
			}

			this.schedule(renewalIntervalMilliseconds, announce);
		};

		const renew = (): void => {
			if (!node.isDown && !node.isPaused && !this.store.isDown) {
				this.store.holders.add(holderKey(node.core.own));
				node.core.leaseRenewed(this.#now);
			}

			this.schedule(renewalIntervalMilliseconds, renew);
		};

		const tick = (): void => {
			if (!node.isDown && !node.isPaused) {
				this.#applyEffects(node, node.core.advance(this.#now));
			}

			this.schedule(tickMilliseconds, tick);
		};

		announce();
		renew();
		this.schedule(this.#random() * tickMilliseconds, tick);
	}

	#applyEffects(node: VirtualNode, effects: readonly NodeEffect[]): void {
		effects.map(effect => {
			this.#applyEffect(node, effect);
			return effect;
		});
	}

	#applyEffect(node: VirtualNode, effect: NodeEffect): void {
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
				const caller = node.callerCallbacks.get(entryId);
				node.callerCallbacks.delete(entryId);
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
			[NodeEffectType.ExchangeMembers]: exchange => {
				this.#exchangeMembers(node, exchange);
			},
			[NodeEffectType.SendAtMostOnce]: effect => {
				this.#deliver(node, effect.to.name, effect, receiver => receiver.core.atMostOnceMessageArrived(effect.from, effect.message, this.#now));
			},
			[NodeEffectType.ReadRecord]: ({service}) => {
				this.#readStore(node, () => node.core.recordArrived(this.store.records.get(service), this.#now));
			},
			[NodeEffectType.PullRecord]: ({service, from}) => {
				const record = this.node(from.name).core.record(service);
				this.schedule(2 * linkLatencyMilliseconds, () => {
					this.#applyEffects(node, record === undefined ? [] : node.core.recordArrived(record, this.#now));
				});
			},
			[NodeEffectType.WriteRecord]: ({service, expectedVersion, record}) => {
				this.#writeRecord(node, service, expectedVersion, record);
			},
			[NodeEffectType.ReadHolders]: ({holders}) => {
				this.#readStore(node, () => {
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

	#exchangeMembers(node: VirtualNode, exchange: Extract<NodeEffect, {type: NodeEffectType.ExchangeMembers}>): void {
		const {own, rumors} = node.core.membership;
		const buckets = node.core.membership.bucketDigests();
		this.#deliver(node, exchange.to.host, exchange, receiver => {
			const {membership} = receiver.core;
			const reply = {members: membership.differingMembers(buckets), rumors: membership.rumors};
			this.#deliver(receiver, node.name, exchange, sender => sender.core.viewArrived(reply.members, reply.rumors, this.#now));
			return receiver.core.viewArrived([own], rumors, this.#now);
		});
	}

	#sendCall(node: VirtualNode, call: Extract<NodeEffect, {type: NodeEffectType.SendCall}>): void {
		const target = this.nodes.find(candidate => candidate.name === call.to.host);
		if (target === undefined || target.isDown) {
			this.schedule(linkLatencyMilliseconds, () => {
				this.#applyEffects(node, node.core.callFailed(call.frame.callId, SendFailure.NotConnected, this.#now));
			});
			return;
		}

		this.#deliver(node, call.to.host, call, receiver => receiver.core.callArrived(call.frame, call.clock, this.#now));
	}

	#deliver(from: VirtualNode, to: string, effect: NodeEffect, receive: (receiver: VirtualNode) => NodeEffect[]): void {
		const delivery = this.#definition.deliveryOf?.(effect, from.name) ?? {copies: 1, delayMilliseconds: 0};
		Array.from({length: delivery.copies}, (_, copy) => {
			this.schedule(linkLatencyMilliseconds + delivery.delayMilliseconds + copy, () => {
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

		this.#applyEffects(receiver, receive(receiver));
	}

	#readStore(node: VirtualNode, answer: () => NodeEffect[]): void {
		this.schedule(storeLatencyMilliseconds, () => {
			if (!this.store.isDown && !node.isDown) {
				this.#applyEffects(node, answer());
			}
		});
	}

	#writeRecord(node: VirtualNode, service: string, expectedVersion: number, record: RangeRecord): void {
		this.schedule(storeLatencyMilliseconds, () => {
			if (this.store.isDown) {
				this.#applyEffects(node, node.core.recordWritten({type: WriteResultType.Unknown}, this.#now));
				return;
			}

			const current = this.store.records.get(service);
			if ((current?.version ?? 0) !== expectedVersion) {
				this.#applyEffects(node, node.core.recordWritten({type: WriteResultType.Conflict, current}, this.#now));
				return;
			}

			this.store.version += 1;
			this.store.records.set(service, {version: this.store.version, record});
			this.#applyEffects(node, node.core.recordWritten({type: WriteResultType.Written, version: this.store.version}, this.#now));
		});
	}

	#dispatch(node: VirtualNode, dispatch: Extract<NodeEffect, {type: NodeEffectType.Dispatch}>): void {
		const {callId, request, traceparent, tracestate} = dispatch;
		if (node.refusedShare > 0 && this.#random() < node.refusedShare) {
			this.refusedCalls += 1;
			this.#endDispatch(node, callId, () => node.core.upstreamFailed(callId, UpstreamFailure.Refused, this.#now), 0);
			return;
		}

		const failure = node.upstreamFailure;
		if (failure === UpstreamFailure.NotConnected) {
			this.#endDispatch(node, callId, () => node.core.upstreamFailed(callId, failure, this.#now), 0);
			return;
		}

		const state = {isCancelled: false};
		node.runningCalls.set(callId, state);
		this.upstreamCalls.push({
			node: node.name, service: node.service.service, callId, actionId: traceparent.slice(3, 35), target: request.target, key: undefined, startedAt: this.#now,
		});
		const behaviour = node.service.behaviours.find(candidate => request.target.startsWith(candidate.prefix));
		const overloadFactor = Math.max(1, node.runningCalls.size / node.service.slots);
		const milliseconds = (behaviour?.milliseconds ?? 1) * node.slowdownFactor * overloadFactor * (0.5 - Math.log(1 - this.#random())) / 1.5;
		this.schedule(milliseconds, () => {
			if (state.isCancelled || node.isDown) {
				return;
			}

			if (failure !== undefined) {
				this.#endDispatch(node, callId, () => node.core.upstreamFailed(callId, failure, this.#now), 0);
				return;
			}

			const callNested = behaviour?.isSequential === true ? this.#callSequentially.bind(this) : this.#callNested.bind(this);
			callNested(node, behaviour?.calls ?? [], {traceparent, tracestate}, hasSucceeded => {
				if (!state.isCancelled) {
					this.#endDispatch(node, callId, () => node.core.upstreamAnswered(callId, {status: hasSucceeded ? 200 : 502, headers: [], body: new TextEncoder().encode(callId)}, this.#now), 0);
				}
			});
		});
	}

	#callNested(node: VirtualNode, calls: readonly VirtualNestedCall[], headers: {traceparent: string; tracestate: string}, done: (hasSucceeded: boolean) => void): void {
		let unanswered = calls.length;
		let isWhole = true;
		if (unanswered === 0) {
			done(true);
		}

		calls.map(call => this.request(node.name, {...call, ...headers}, answer => {
			isWhole &&= answer.answer?.status === 200;
			unanswered -= 1;
			if (unanswered === 0) {
				done(isWhole);
			}
		}));
	}

	#callSequentially(node: VirtualNode, calls: readonly VirtualNestedCall[], headers: {traceparent: string; tracestate: string}, done: (hasSucceeded: boolean) => void): void {
		const [next, ...remaining] = calls;
		if (next === undefined) {
			done(true);
			return;
		}

		this.request(node.name, {...next, ...headers}, answer => {
			if (answer.answer?.status === 200) {
				this.#callSequentially(node, remaining, headers, done);
			} else {
				done(false);
			}
		});
	}

	#cancelDispatch(node: VirtualNode, callId: string): void {
		const state = node.runningCalls.get(callId);
		if (state !== undefined && !state.isCancelled) {
			state.isCancelled = true;
			this.#endDispatch(node, callId, () => node.core.upstreamFailed(callId, UpstreamFailure.Cancelled, this.#now), 0.1);
		}
	}

	#endDispatch(node: VirtualNode, callId: string, report: () => NodeEffect[], delayMilliseconds: number): void {
		this.schedule(delayMilliseconds, () => {
			node.runningCalls.delete(callId);
			if (!node.isDown) {
				this.#applyEffects(node, report());
			}
		});
	}

	#randomHexadecimal(digits: number): string {
		return Array.from({length: digits}, () => Math.floor(this.#random() * 16).toString(16)).join('');
	}
}
