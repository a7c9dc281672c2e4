/** Simulates nodes, groups, store and platform in virtual time, with faults drawn from a seed. */
import type { PromotionMechanism } from '../../../src/core/promotion/contract.js';
import { SimulatedClock } from './clock.js';
import { SimulatedGroup, type SimulatedInstance } from './group.js';
import { SimulatedNetwork } from './network.js';
import { SimulatedNode } from './node.js';
import { SimulatedPeers } from './peers.js';
import { PLATFORM, SimulatedPlatform } from './platform.js';
import { SimulatedStore, STORE } from './store.js';

const FAULT_KINDS = [
  'primary crash',
  'primary crash again',
  'replica crash',
  'primary draining',
  'replica deaf',
  'all replicas deaf',
  'primary cut from replicas',
  'primary cut from nodes',
  'primary cut from leader',
  'node cut from store',
  'node cut from platform',
  'node cut from all',
  'node freeze',
  'node kill',
  'store down',
  'store slow',
  'store answers lost',
  'store changes late',
  'store watches deaf',
  'platform slow',
  'platform answers lost',
  'platform down',
] as const;

/** Delayed processes, members that leave, restarts of held replicas; injected only by tests that name them. */
export const LATENESS_FAULT_KINDS = [
  'leader stall',
  'node stall',
  'replica blink',
  'replica leaves',
  'replica leaves unannounced',
  'entries lapse',
  'control late',
] as const;

/** A store that refuses some nodes; injected only by tests that name them. */
export const PARTIAL_STORE_FAULT_KINDS = ['store refuses nodes', 'store refuses leader'] as const;

/** The candidate of a promotion call ends, with or without a successor; injected only by tests that name them. */
export const CANDIDATE_FAULT_KINDS = ['candidate replaced in place', 'candidate leaves'] as const;

/** The store is restored from a backup, once or twice in a row; injected only by tests that name them. */
export const STORE_RETURN_FAULT_KINDS = ['store returns', 'store returns twice'] as const;

/** Injected only by tests that name them. */
const NAMED_FAULT_KINDS = ['primary replaced in place'] as const;

export const EVERY_FAULT_KIND: readonly FaultKind[] = [...FAULT_KINDS, ...NAMED_FAULT_KINDS];

export type FaultKind = (
  | typeof FAULT_KINDS
  | typeof NAMED_FAULT_KINDS
  | typeof LATENESS_FAULT_KINDS
  | typeof PARTIAL_STORE_FAULT_KINDS
  | typeof CANDIDATE_FAULT_KINDS
  | typeof STORE_RETURN_FAULT_KINDS
)[number];

export interface SimulationOptions {
  readonly seed: number;
  readonly nodes?: number;
  readonly services?: number;
  readonly instances?: number;
  readonly disabledMechanisms?: readonly PromotionMechanism[];
  /** Nodes also read at replicas, assuming that this many replicas received each commit. */
  readonly assumedSyncReplicas?: number;
  /** Registrations tell the instances' incarnations. */
  readonly hasIncarnations?: boolean;
}

export class PromotionSimulation {
  readonly clock: SimulatedClock;
  readonly network: SimulatedNetwork;
  readonly store: SimulatedStore;
  readonly platform: SimulatedPlatform;
  readonly groups = new Map<string, SimulatedGroup>();
  readonly nodes: SimulatedNode[];
  readonly faultLog: string[] = [];

  constructor(options: SimulationOptions) {
    this.clock = new SimulatedClock(options.seed);
    this.network = new SimulatedNetwork(this.clock);
    this.store = new SimulatedStore(this.network);
    this.platform = new SimulatedPlatform(this.network, this.groups);
    for (let index = 0; index < (options.services ?? 2); index += 1) {
      const service = `group-${index}`;
      const size = options.instances ?? 3;
      const group = new SimulatedGroup(service, this.network, size, options.hasIncarnations);
      this.groups.set(service, group);
    }
    const { network, store, platform, groups } = this;
    const disabledMechanisms = new Set(options.disabledMechanisms);
    const { assumedSyncReplicas } = options;
    const peers = new SimulatedPeers(network, options.seed);
    const world = {
      ...{ network, store, platform, groups, peers, disabledMechanisms, assumedSyncReplicas },
    };
    const nodeNames = Array.from({ length: options.nodes ?? 4 }, (_, index) => `node-${index}`);
    this.nodes = nodeNames.map((name) => new SimulatedNode(name, world));
    peers.setPeers(this.nodes);
    for (const node of this.nodes) this.clock.after(this.clock.between(0, 300), () => node.start());
  }

  get group(): SimulatedGroup {
    const [first] = this.groups.values();
    if (first === undefined) throw new Error('no groups');
    return first;
  }

  get leader(): SimulatedNode | undefined {
    return this.nodes.find(({ machine }) => machine?.isLeader);
  }

  get violations(): string[] {
    return [...this.platform.violations, ...[...this.groups.values()].flatMap((g) => g.violations)];
  }

  /** Faults and log lines of all nodes, by time. */
  get eventLog(): string {
    const lines = [...this.faultLog, ...this.nodes.flatMap(({ log }) => log)];
    lines.sort((left, right) => Number.parseInt(left, 10) - Number.parseInt(right, 10));
    return lines.join('\n');
  }

  run(forMs: number): void {
    this.clock.runUntil(this.clock.now + forMs);
  }

  /** Runs in small steps until the condition holds; false after the timeout. */
  runUntil(condition: () => boolean, stepMs: number, timeoutMs: number): boolean {
    const end = this.clock.now + timeoutMs;
    while (!condition() && this.clock.now < end) this.run(stepMs);
    return condition();
  }

  /** Injects random faults, one after the other, for `forMs`; of the given kinds, or of all that need not be named. */
  injectFaults(forMs: number, kinds?: readonly FaultKind[]): void {
    const end = this.clock.now + forMs;
    while (this.clock.now < end) {
      const name = this.clock.pick(kinds ?? FAULT_KINDS);
      const fault = this.#faults[name];
      this.faultLog.push(`${this.clock.now.toFixed(0)} ${name} ${fault() ?? ''}`);
      this.run(this.clock.between(0, 2500));
    }
  }

  /** Every fault ends within 7 s. */
  waitForFaultsToEnd(): void {
    this.run(8000);
  }

  readonly #faults: Record<FaultKind, () => string | undefined> = {
    'primary crash': () => this.#crash(this.#anyGroup(), 'primary'),
    'primary crash again': () => this.#crash(this.#anyGroup(), 'primary'),
    'primary replaced in place': () => {
      const group = this.#anyGroup();
      const { primary } = group;
      if (!primary.isRunning) return 'none';
      group.crash(primary);
      this.clock.after(this.clock.between(200, 4000), () => group.replace(primary));
      return primary.id;
    },
    'replica crash': () => this.#crash(this.#anyGroup(), 'replica'),
    'primary draining': () => this.#drain(),
    'replica deaf': () => {
      const group = this.#anyGroup();
      const instance = this.clock.pick(group.instances);
      instance.notReceivingUntil = this.clock.now + this.#randomDuration();
      return instance.id;
    },
    'all replicas deaf': () => {
      const group = this.#anyGroup();
      const until = this.clock.now + this.#randomDuration();
      for (const instance of group.instances) instance.notReceivingUntil = until;
      return group.service;
    },
    'primary cut from replicas': () => {
      const group = this.#anyGroup();
      const forMs = this.#randomDuration();
      const { primary } = group;
      for (const { address } of group.instances) {
        if (address !== primary.address) this.network.cut(primary.address, address, forMs);
      }
      return group.primary.id;
    },
    'primary cut from nodes': () => {
      const { primary } = this.#anyGroup();
      const forMs = this.#randomDuration();
      const nodes = this.nodes.filter(() => this.clock.chance(0.6));
      for (const { name } of nodes) this.#cutRandomDirection(primary.address, name, forMs);
      return `${primary.id} ${nodes.map(({ name }) => name).join()}`;
    },
    'primary cut from leader': () => {
      const { primary } = this.#anyGroup();
      const node = this.leader ?? this.clock.pick(this.nodes);
      this.#cutRandomDirection(primary.address, node.name, this.#randomDuration());
      return primary.id;
    },
    'node cut from store': () => {
      const node = this.#anyNode();
      this.#cutRandomDirection(node.name, STORE, this.#randomDuration());
      return node.name;
    },
    'node cut from platform': () => {
      const node = this.#anyNode();
      this.network.cut(node.name, PLATFORM, this.#randomDuration());
      return node.name;
    },
    'node cut from all': () => {
      const node = this.#anyNode();
      const forMs = this.#randomDuration();
      this.network.cut(node.name, STORE, forMs);
      this.network.cut(node.name, PLATFORM, forMs);
      for (const { name } of this.nodes)
        if (name !== node.name) this.network.cut(node.name, name, forMs);
      for (const group of this.groups.values()) {
        for (const { address } of group.instances) {
          this.network.cut(node.name, address, forMs);
        }
      }
      return node.name;
    },
    'node freeze': () => {
      const node = this.#anyNode();
      node.freeze(this.#randomDuration());
      return node.name;
    },
    'node kill': () => {
      const node = this.#anyNode();
      node.kill();
      this.clock.after(this.clock.between(300, 2500), () => node.start());
      return node.name;
    },
    'store down': () => {
      const leasesLapse = this.clock.chance(0.5);
      this.store.startOutage(this.#randomDuration(), leasesLapse);
      return String(leasesLapse);
    },
    'store slow': () => {
      this.store.slowUntil = this.clock.now + this.#randomDuration();
      return undefined;
    },
    'store answers lost': () => {
      this.store.lostResponsesUntil = this.clock.now + this.#randomDuration();
      return undefined;
    },
    'store changes late': () => {
      this.store.lateChangesUntil = this.clock.now + this.#randomDuration();
      return undefined;
    },
    'store watches deaf': () => {
      this.store.suppressWatchEvents(1000);
      return undefined;
    },
    'platform slow': () => {
      this.platform.slowUntil = this.clock.now + this.#randomDuration();
      return undefined;
    },
    'platform answers lost': () => {
      this.platform.lostResponsesUntil = this.clock.now + this.#randomDuration();
      return undefined;
    },
    'platform down': () => {
      this.platform.downUntil = this.clock.now + this.#randomDuration();
      return undefined;
    },
    'leader stall': () => this.#stall(this.leader),
    'node stall': () => this.#stall(this.clock.pick(this.nodes)),
    'replica blink': () => {
      const group = this.#anyGroup();
      const replica = this.#anyReplica(group);
      if (replica === undefined) return 'none';
      group.crash(replica);
      this.clock.after(this.clock.between(20, 250), () => group.restart(replica));
      return replica.id;
    },
    'replica leaves': () => this.#shutDownReplica(true),
    'replica leaves unannounced': () => this.#shutDownReplica(false),
    'entries lapse': () => this.#expireRegistrations(),
    'store refuses nodes': () => {
      const forMs = this.#randomDuration();
      const refused = this.nodes.filter(() => this.clock.chance(0.4)).map(({ name }) => name);
      this.store.refuseNodes(refused, forMs);
      return refused.join();
    },
    'store refuses leader': () => {
      const { name } = this.leader ?? this.clock.pick(this.nodes);
      this.store.refuseNodes([name], this.#randomDuration());
      return name;
    },
    'store returns': () => this.#restoreStore(),
    'store returns twice': () => {
      this.clock.after(this.clock.between(200, 4000), () => this.#restoreStore());
      return this.#restoreStore();
    },
    'candidate replaced in place': () => {
      const [group, candidate] = this.#candidate();
      if (candidate === undefined) return 'none';
      group.crash(candidate);
      this.clock.after(this.clock.between(20, 4000), () => group.replace(candidate));
      return candidate.id;
    },
    'candidate leaves': () => {
      const [group, candidate] = this.#candidate();
      // A candidate that has become the primary is not removed, since its log would be lost.
      if (candidate === undefined || candidate === group.primary) return 'none';
      group.remove(candidate);
      this.clock.after(this.clock.between(0, 3000), () => group.join());
      return candidate.id;
    },
    'control late': () => {
      const group = this.#anyGroup();
      group.controlLateUntil = this.clock.now + this.#randomDuration();
      return group.service;
    },
  };

  #restoreStore(): string {
    const ageMs = this.clock.between(100, 10_000);
    const outageMs = this.clock.chance(0.5) ? 0 : this.clock.between(0, 5000);
    this.store.restoreFromBackup(ageMs, outageMs);
    return `${ageMs.toFixed(0)} ms old, away ${outageMs.toFixed(0)} ms`;
  }

  /** The candidate of a group without a primary; undefined if the group has a primary. */
  #candidate(): [SimulatedGroup, SimulatedInstance | undefined] {
    const group = this.#anyGroup();
    const id = this.platform.lastCandidates.get(group.service);
    const candidate = group.instances.find((instance) => instance.id === id && instance.isRunning);
    const isLed = group.primary.isRunning && group.primary.role === 'primary';
    return [group, isLed ? undefined : candidate];
  }

  #randomDuration(): number {
    return this.clock.between(300, 7000);
  }

  #anyGroup(): SimulatedGroup {
    return this.clock.pick([...this.groups.values()]);
  }

  /** The leader with probability 0.5, otherwise any node. */
  #anyNode(): SimulatedNode {
    return (this.clock.chance(0.5) ? this.leader : undefined) ?? this.clock.pick(this.nodes);
  }

  #cutRandomDirection(left: string, right: string, forMs: number): void {
    if (this.clock.chance(0.6)) this.network.cut(left, right, forMs);
    else if (this.clock.chance(0.5)) this.network.cutOneWay(left, right, forMs);
    else this.network.cutOneWay(right, left, forMs);
  }

  #crash(group: SimulatedGroup, role: 'primary' | 'replica'): string {
    const victims = group.instances.filter(
      (instance) => instance.isRunning && (instance === group.primary) === (role === 'primary'),
    );
    if (victims.length === 0) return 'none';
    const victim = this.clock.pick(victims);
    group.crash(victim);
    this.clock.after(this.clock.between(200, 6500), () => group.restart(victim));
    return victim.id;
  }

  #stall(node: SimulatedNode | undefined): string {
    node?.stall(this.clock.between(200, 2000));
    return node?.name ?? 'none';
  }

  #anyReplica({ instances, primary }: SimulatedGroup): SimulatedInstance | undefined {
    const replicas = instances.filter((instance) => instance.isRunning && instance !== primary);
    return replicas.length === 0 ? undefined : this.clock.pick(replicas);
  }

  /** A replica goes on serving for a while and then ends with its log; a new one joins at another address. */
  #shutDownReplica(isAnnounced: boolean): string {
    const group = this.#anyGroup();
    const replica = this.#anyReplica(group);
    if (replica === undefined) return 'none';
    if (isAnnounced) replica.draining = true;
    else replica.isRegistered = false;
    this.clock.after(this.clock.between(500, 7000), () => {
      if (replica === group.primary || !group.instances.includes(replica)) {
        replica.draining = false;
        replica.isRegistered = true;
        return;
      }
      group.remove(replica);
      this.clock.after(this.clock.between(0, 3000), () => group.join());
    });
    return replica.id;
  }

  /** Registrations expire during a store outage and come back within two seconds after it. */
  #expireRegistrations(): string {
    const forMs = this.#randomDuration();
    this.store.startOutage(forMs, this.clock.chance(0.5));
    const expired = [...this.groups.values()]
      .flatMap(({ instances }) => instances)
      .filter(({ isRegistered }) => isRegistered && this.clock.chance(0.6));
    for (const instance of expired) {
      instance.isRegistered = false;
      this.clock.after(forMs + this.clock.between(100, 2000), () => {
        instance.isRegistered = true;
      });
    }
    return expired.map(({ id }) => id).join();
  }

  #drain(): string {
    const { primary } = this.#anyGroup();
    primary.draining = true;
    this.clock.after(6000, () => {
      primary.draining = false;
    });
    return primary.id;
  }
}
