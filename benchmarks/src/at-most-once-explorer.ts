/**
 * Random exploration of the at-most-once state machines: nodes, store and network under lost, delayed, duplicated and
 * reordered messages, lost confirmations, stale reads, pauses, partitions, lapsed leases, crashes and restarts.
 *
 * @module
 */
import {
	AtMostOnceCoordinator, AtMostOnceEffectType, AtMostOnceMessageType, isSameHolder, Liveness, OpenResultType, RoleChange, UpstreamState, WriteResultType,
	type AtMostOnceCall, type AtMostOnceEffect, type AtMostOnceMessage, type Holder, type Member, type RangeRecord,
} from '@laburnumspool/core';
import {seededRandom} from '@laburnumspool/load';
import {SimulatedStore} from './simulated-store.js';
import {AtMostOnceChecks} from './at-most-once-checks.js';
import {InjectedMistake} from './injected-mistakes.js';

const nodeCount = 4;
const stepCount = 120;
const faultFreeRounds = 30;
const faultFreeRoundMilliseconds = 250;
const keyCount = 6;
const storeOutageLimitMilliseconds = 1500;
const callTimeoutMilliseconds = 2000;
const wallClockStartMilliseconds = 1_800_000_000_000;
const clockErrorMilliseconds = 50;

/** Counts of one schedule, and the invariants that it violated. */
export type Exploration = {
	readonly seed: number;
	readonly violations: readonly string[];
	readonly dispatches: number;
	readonly takeovers: number;
	readonly adoptions: number;
	readonly handovers: number;
	readonly confirmedRefusals: number;
};

type Envelope = {readonly from: Holder; readonly to: Holder; readonly message: AtMostOnceMessage};
type Task = {readonly node: SimulatedNode; readonly run: () => void};

type SimulatedNode = {
	holder: Holder;
	coordinator: AtMostOnceCoordinator;
	member: Member;
	isPaused: boolean;
	isAlive: boolean;
	isDraining: boolean;
	hasHeldLease: boolean;
	readonly admitting: AtMostOnceCall[];
	readonly running: AtMostOnceCall[];
};

/**
 * Runs the random schedule that the seed determines.
 *
 * @example
 * exploreSchedule(7).violations; // []
 */
export function exploreSchedule(seed: number, mistake = InjectedMistake.None): Exploration {
	return new Explorer(seed, mistake).run();
}

class Explorer {
	readonly #seed: number;
	readonly #mistake: InjectedMistake;
	readonly #random: () => number;
	readonly #nodes: SimulatedNode[];
	readonly #network: Envelope[] = [];
	readonly #tasks: Task[] = [];
	readonly #checks = new AtMostOnceChecks();
	readonly #store: SimulatedStore;
	readonly #keys: string[];
	readonly #counts = new Map<RoleChange, number>();
	#now = 1000;
	#callCount = 0;

	constructor(seed: number, mistake: InjectedMistake) {
		this.#seed = seed;
		this.#mistake = mistake;
		this.#store = new SimulatedStore(mistake);
		this.#random = seededRandom(seed);
		this.#keys = Array.from({length: keyCount}, (_, index) => `key-${seed}-${index}`);
		this.#nodes = Array.from({length: nodeCount}, (_, index) => this.#createNode(`n${index}`, index + 1));
		this.#nodes.map(node => this.#refreshView(node, false));
	}

	run(): Exploration {
		this.#createFirstRecord();
		for (let step = 0; step < stepCount; step += 1) {
			this.#step();
		}

		this.#runFaultFreeRounds();
		return {
			seed: this.#seed,
			violations: this.#checks.violations,
			dispatches: this.#checks.dispatchCount,
			takeovers: this.#counts.get(RoleChange.TakenOver) ?? 0,
			adoptions: this.#counts.get(RoleChange.AdoptedWithoutClaims) ?? 0,
			handovers: this.#counts.get(RoleChange.HandedOver) ?? 0,
			confirmedRefusals: this.#checks.confirmedRefusals,
		};
	}

	/** Advances the nodes until the first record is written. */
	#createFirstRecord(): void {
		for (let round = 0; round < 20 && this.#store.history.length === 0; round += 1) {
			this.#now += 60;
			this.#nodes.map(node => this.#renew(node));
			this.#advanceAll();
			this.#runAllTasks();
		}

		this.#nodes.map(node => this.#applyEffects(node, node.coordinator.recordReceived(this.#store.newest, this.#now)));
	}

	/** After the faults, delivers every message and opens further calls with random keys: delayed duplicate dispatches show here. */
	#runFaultFreeRounds(): void {
		this.#store.isDown = false;
		for (let round = 0; round < faultFreeRounds; round += 1) {
			this.#now += faultFreeRoundMilliseconds;
			this.#store.expireLeases(this.#now);
			this.#nodes.map(node => {
				node.isPaused = false;
				this.#refreshView(node, false);
				this.#renew(node);
				return node;
			});
			this.#advanceAll();
			this.#runAllTasks();
			this.#deliverAll();
			this.#keys.map(() => this.#openCall());
			this.#nodes.map(node => this.#admitAll(node));
		}
	}

	#step(): void {
		const actions: ReadonlyArray<readonly [number, () => void]> = [
			[30, () => {
				this.#deliverOne();
			}],
			[14, () => {
				this.#openCall();
			}],
			[14, () => {
				this.#admitOne();
			}],
			[8, () => {
				this.#finishOne();
			}],
			[16, () => {
				this.#runOneTask();
			}],
			[14, () => {
				this.#now += 10 + (this.#random() * 120);
				this.#store.expireLeases(this.#now);
				this.#advanceAll();
			}],
			[6, () => {
				this.#withRandomItem(this.#nodes, node => this.#renew(node));
			}],
			[5, () => {
				this.#withRandomItem(this.#nodes, node => this.#refreshView(node, this.#random() < 0.5));
			}],
			[3, () => {
				this.#withRandomItem(this.#nodes, node => {
					node.isPaused = !node.isPaused;
				});
			}],
			[2, () => {
				this.#restartOne();
			}],
			[1, () => {
				this.#store.isDown = !this.#store.isDown;
			}],
			[1, () => {
				this.#withRandomItem(this.#nodes, node => {
					node.isDraining = !node.isDraining;
					node.coordinator.setDraining(node.isDraining);
				});
			}],
			[2, () => {
				this.#now += storeOutageLimitMilliseconds * this.#random() * 1.5;
				this.#store.expireLeases(this.#now);
			}],
		];
		const totalWeight = actions.reduce((sum, [weight]) => sum + weight, 0);
		let remainingWeight = this.#random() * totalWeight;
		const chosenAction = actions.find(([weight]) => {
			remainingWeight -= weight;
			return remainingWeight < 0;
		});
		chosenAction?.[1]();
	}

	#createNode(name: string, incarnation: number): SimulatedNode {
		const holder = {name, incarnation};
		const member: Member = {
			name,
			incarnation,
			version: 1,
			location: {region: 'r', failureDomain: `f${Number(name.slice(1)) % 2}`},
			host: name,
			callersPort: 1,
			peersPort: 1,
			controlPort: 1,
			service: 's',
			state: UpstreamState.Ready,
			slots: 4,
			liveness: Liveness.Alive,
		};
		const coordinator = new AtMostOnceCoordinator({
			own: holder,
			limits: {maximumClaims: 1000, maximumAnswerBytes: 1_000_000},
			wallClock: () => wallClockStartMilliseconds + this.#now,
			random: this.#random,
			rememberForMilliseconds: () => 10_000_000,
			clockErrorMilliseconds,
			longestCallMilliseconds: callTimeoutMilliseconds,
			storeOutageLimitMilliseconds,
		});
		coordinator.setService('s', true);
		return {
			holder, coordinator, member, isPaused: false, isAlive: true, isDraining: false, hasHeldLease: false, admitting: [], running: [],
		};
	}

	/**
	 * Sets a node's view of the members. Stopped nodes are seen as dead, paused nodes often, and in an inaccurate view any
	 * other node at times.
	 */
	#refreshView(node: SimulatedNode, isInaccurate: boolean): void {
		node.coordinator.setMembers(this.#nodes.map(other => {
			const isSeenAsDead = other !== node && (!other.isAlive || (other.isPaused && this.#random() < 0.7) || (isInaccurate && this.#random() < 0.4));
			const state = other.isDraining ? UpstreamState.Draining : UpstreamState.Ready;
			return {...other.member, state, liveness: isSeenAsDead ? Liveness.Dead : Liveness.Alive};
		}));
	}

	#renew(node: SimulatedNode): void {
		if (this.#store.isDown || node.isPaused || !node.isAlive) {
			return;
		}

		if (!this.#store.renew(node.holder, this.#now) && node.hasHeldLease) {
			node.coordinator.leaseLapsed();
		}

		node.hasHeldLease = true;
		node.coordinator.leaseRenewed(this.#now);
	}

	#restartOne(): void {
		this.#withRandomItem(this.#nodes, node => {
			const keepsRole = this.#mistake === InjectedMistake.RestartKeepsRole;
			const restarted = this.#createNode(node.holder.name, node.holder.incarnation + (keepsRole ? 0 : 1));
			const position = this.#nodes.indexOf(node);
			this.#nodes[position] = restarted;
			this.#refreshView(restarted, false);
			this.#applyEffects(restarted, restarted.coordinator.recordReceived(this.#store.newest, this.#now));
			node.isAlive = false;
		});
	}

	#advanceAll(): void {
		this.#nodes.filter(node => !node.isPaused).map(node => this.#applyEffects(node, node.coordinator.advance(this.#now)));
	}

	#openCall(): void {
		const key = this.#keys[Math.floor(this.#random() * this.#keys.length)]!;
		const activeNodes = this.#nodes.filter(node => !node.isPaused);
		this.#withRandomItem(activeNodes, node => {
			this.#callCount += 1;
			const call: AtMostOnceCall = {
				callId: `c${this.#callCount}`, key, digest: 'd', deadline: this.#now + callTimeoutMilliseconds,
			};
			this.#checks.opened(call.callId, key);
			const result = node.coordinator.open(call, this.#now);
			if (result.type === OpenResultType.Proceed) {
				node.admitting.push(call);
			}

			if (result.type === OpenResultType.Refused && result.isNotRun) {
				this.#checks.refused(call.callId, false);
			}
		});
	}

	#admitOne(): void {
		this.#withRandomItem(this.#nodes.filter(node => !node.isPaused && node.admitting.length > 0), node => {
			const call = node.admitting.shift()!;
			const effects = this.#random() < 0.85
				? node.coordinator.callAdmitted(call, this.#now)
				: node.coordinator.callNotRun(call, {kind: 'overloaded' as never, detail: 'refused'}, this.#now);
			this.#applyEffects(node, effects, call);
		});
	}

	#admitAll(node: SimulatedNode): void {
		node.admitting.splice(0).map(call => this.#applyEffects(node, node.coordinator.callAdmitted(call, this.#now), call));
	}

	#finishOne(): void {
		this.#withRandomItem(this.#nodes.filter(node => !node.isPaused && node.running.length > 0), node => {
			const call = node.running.shift()!;
			const answer = this.#random() < 0.8 ? {status: 200, headers: [], body: new Uint8Array(1)} : undefined;
			this.#applyEffects(node, node.coordinator.callFinished(call, answer, this.#now));
		});
	}

	#applyEffects(node: SimulatedNode, effects: readonly AtMostOnceEffect[], call?: AtMostOnceCall): void {
		effects.map(effect => {
			this.#applyEffect(node, effect, call);
			return effect;
		});
	}

	#applyEffect(node: SimulatedNode, effect: AtMostOnceEffect, call: AtMostOnceCall | undefined): void {
		const handlers: {readonly [Type in AtMostOnceEffectType]?: (effect: Extract<AtMostOnceEffect, {type: Type}>) => void} = {
			[AtMostOnceEffectType.Send]: ({to, message}) => {
				this.#send(node, to, message, call);
			},
			[AtMostOnceEffectType.Granted]: ({callId}) => {
				this.#scheduleDispatch(node, callId);
			},
			[AtMostOnceEffectType.Refused]: ({callId, isNotRun, coversAction}) => {
				if (isNotRun) {
					this.#checks.refused(callId, coversAction);
				}
			},
			[AtMostOnceEffectType.ReadRecord]: () => {
				this.#tasks.push({
					node, run: () => {
						this.#readRecord(node);
					},
				});
			},
			[AtMostOnceEffectType.WriteRecord]: ({expectedVersion, record}) => {
				this.#tasks.push({
					node, run: () => {
						this.#writeRecord(node, expectedVersion, record);
					},
				});
			},
			[AtMostOnceEffectType.ReadHolders]: ({holders}) => {
				this.#tasks.push({
					node, run: () => {
						if (!this.#store.isDown) {
							this.#store.expireLeases(this.#now);
							node.coordinator.holdersRead(holders, this.#store.leaseNames, this.#now);
						}
					},
				});
			},
			[AtMostOnceEffectType.RoleChanged]: ({change}) => {
				this.#counts.set(change, (this.#counts.get(change) ?? 0) + 1);
			},
		};
		(handlers[effect.type] as ((effect: AtMostOnceEffect) => void) | undefined)?.(effect);
	}

	#send(node: SimulatedNode, to: Holder, message: AtMostOnceMessage, call: AtMostOnceCall | undefined): void {
		if (this.#mistake === InjectedMistake.DispatchesBeforeAcknowledgement && message.type === AtMostOnceMessageType.Claim && call !== undefined) {
			this.#checks.dispatched(call.callId, message.key);
		}

		const isRefusal = message.type === AtMostOnceMessageType.Refused && message.knownEpoch === message.epoch;
		const sent = this.#mistake === InjectedMistake.AcknowledgesAfterFence && isRefusal
			? {...message, type: AtMostOnceMessageType.ClaimAcknowledged as const}
			: message;
		this.#network.push({from: node.holder, to, message: sent});
		if (this.#mistake === InjectedMistake.ReleasesDispatched && message.type === AtMostOnceMessageType.ClaimAcknowledged) {
			this.#network.push({from: to, to: node.holder, message: {...message, type: AtMostOnceMessageType.Release}});
		}
	}

	/** Schedules the dispatch as a task, because a process may be paused between the decision and the write to the socket. */
	#scheduleDispatch(node: SimulatedNode, callId: string): void {
		const key = this.#checks.keyOf(callId)!;
		this.#tasks.push({
			node, run: () => {
				if (!this.#nodes.includes(node)) {
					return;
				}

				this.#checks.dispatched(callId, key);
				node.running.push({
					callId, key, digest: 'd', deadline: this.#now + callTimeoutMilliseconds,
				});
			},
		});
	}

	#readRecord(node: SimulatedNode): void {
		if (this.#store.isDown) {
			return;
		}

		const {history} = this.#store;
		const isStale = history.length > 0 && this.#random() < 0.2;
		const record = isStale ? history[Math.floor(this.#random() * history.length)] : this.#store.newest;
		this.#applyEffects(node, node.coordinator.recordReceived(record, this.#now));
	}

	#writeRecord(node: SimulatedNode, expectedVersion: number, record: RangeRecord): void {
		if (this.#store.isDown && this.#random() < 0.5) {
			this.#applyEffects(node, node.coordinator.writeCompleted({type: WriteResultType.Unknown}, this.#now));
			return;
		}

		if (this.#random() < 0.1) {
			this.#applyEffects(node, node.coordinator.writeCompleted({type: WriteResultType.Unknown}, this.#now));
			this.#tasks.push({
				node, run: () => {
					this.#store.compareAndSwap(expectedVersion, record);
				},
			});
			return;
		}

		const version = this.#store.compareAndSwap(expectedVersion, record);
		const result = version === undefined
			? {type: WriteResultType.Conflict as const, current: this.#store.newest}
			: {type: WriteResultType.Written as const, version};
		const isLost = this.#random() < 0.15;
		this.#applyEffects(node, node.coordinator.writeCompleted(isLost ? {type: WriteResultType.Unknown} : result, this.#now));
	}

	#deliverOne(): void {
		if (this.#network.length === 0) {
			return;
		}

		const position = Math.floor(this.#random() * this.#network.length);
		const [envelope] = this.#random() < 0.1 ? [this.#network[position]!] : this.#network.splice(position, 1);
		const isLost = this.#random() < 0.08;
		if (!isLost) {
			this.#deliver(envelope!);
		}
	}

	#deliverAll(): void {
		this.#network.splice(0).map(envelope => {
			this.#deliver(envelope);
			return envelope;
		});
	}

	#deliver({from, to, message}: Envelope): void {
		const node = this.#nodes.find(candidate => isSameHolder(candidate.holder, to) && !candidate.isPaused);
		if (node !== undefined) {
			this.#applyEffects(node, node.coordinator.receive(from, message, this.#now));
		}
	}

	#runOneTask(): void {
		const runnableTasks = this.#tasks.filter(task => !task.node.isPaused);
		this.#withRandomItem(runnableTasks, task => {
			this.#tasks.splice(this.#tasks.indexOf(task), 1);
			task.run();
		});
	}

	#runAllTasks(): void {
		this.#tasks.splice(0).map(task => {
			task.run();
			return task;
		});
	}

	#withRandomItem<Item>(items: readonly Item[], action: (item: Item) => void): void {
		if (items.length > 0) {
			action(items[Math.floor(this.#random() * items.length)]!);
		}
	}
}
