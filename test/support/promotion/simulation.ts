/** Nodes, groups, store and platform in virtual time, with faults drawn from a seed. */
import type { PromotionMechanism } from '../../../src/core/promotion/contract.js';
import { SimulatedClock } from './clock.js';
import { SimulatedGroup, type SimulatedInstance } from './group.js';
import { SimulatedNetwork } from './network.js';
import { SimulatedNode } from './node.js';
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

/** Late processes, members that leave, restarts within a hold: struck only where a test names them. */
export const LATENESS_FAULT_KINDS = [
  'leader stall',
  'node stall',
  'replica blink',
  'replica leaves',
  'replica leaves unannounced',
  'entries lapse',
  'control late',
] as const;

/** A store that serves some nodes and not others; struck only where a test names them. */
export const PARTIAL_STORE_FAULT_KINDS = ['store refuses nodes', 'store refuses leader'] as const;

/** An instance that is called for ends, and another has its address later or none has; struck only where a test names them. */
export const CANDIDATE_FAULT_KINDS = ['candidate replaced in place', 'candidate leaves'] as const;

/** The store comes back from a copy of itself, once or twice in a row; struck only where a test names them. */
export const STORE_RETURN_FAULT_KINDS = ['store returns', 'store returns twice'] as const;

/** Struck only where a test names them. */
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
  readonly disabled?: readonly PromotionMechanism[];
  /** Nodes also read at replicas by what these have received, counting on so many receivers of each commit. */
  readonly replicaReadsTrusting?: number;
}

export class PromotionSimulation {
  readonly clock: SimulatedClock;
  readonly network: SimulatedNetwork;
  readonly store: SimulatedStore;
  readonly platform: SimulatedPlatform;
  readonly groups = new Map<string, SimulatedGroup>();
  readonly nodes: SimulatedNode[];
  readonly faults: string[] = [];

  constructor(options: SimulationOptions) {
    this.clock = new SimulatedClock(options.seed);
    this.network = new SimulatedNetwork(this.clock);
    this.store = new SimulatedStore(this.network);
    this.platform = new SimulatedPlatform(this.network, this.groups);
    for (let index = 0; index < (options.services ?? 2); index += 1) {
      const service = `group-${index}`;
      const group = new SimulatedGroup(service, this.network, options.instances ?? 3);
      this.groups.set(service, group);
    }
    const { network, store, platform, groups } = this;
    const disabled = new Set(options.disabled);
    const { replicaReadsTrusting } = options;
    const world = { network, store, platform, groups, disabled, replicaReadsTrusting };
    const names = Array.from({ length: options.nodes ?? 4 }, (_, index) => `node-${index}`);
    this.nodes = names.map((name) => new SimulatedNode(name, world));
    for (const node of this.nodes) this.clock.after(this.clock.between(0, 300), () => node.start());
  }

  /** The first group. */
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

  /** Faults and lines of all nodes' logs, in order of time. */
  get story(): string {
    const lines = [...this.faults, ...this.nodes.flatMap(({ log }) => log)];
    lines.sort((left, right) => Number.parseInt(left, 10) - Number.parseInt(right, 10));
    return lines.join('\n');
  }

  run(forMs: number): void {
    this.clock.runUntil(this.clock.now + forMs);
  }

  /** Runs in small steps until something is so; false if that takes too long. */
  runUntil(isSo: () => boolean, stepMs: number, atMostMs: number): boolean {
    const end = this.clock.now + atMostMs;
    while (!isSo() && this.clock.now < end) this.run(stepMs);
    return isSo();
  }

  /** Strikes with faults drawn from the seed, one after the other, for a time; all kinds or some. */
  strike(forMs: number, kinds?: readonly FaultKind[]): void {
    const end = this.clock.now + forMs;
    while (this.clock.now < end) {
      const name = this.clock.pick(kinds ?? FAULT_KINDS);
      const fault = this.#faults[name];
      this.faults.push(`${this.clock.now.toFixed(0)} ${name} ${fault() ?? ''}`);
      this.run(this.clock.between(0, 2500));
    }
  }

  /** Every fault ends within 7 s, all are over after that. */
  heal(): void {
    this.run(8000);
  }

  readonly #faults: Record<FaultKind, () => string | undefined> = {
    'primary crash': () => this.#crash(this.#anyGroup(), 'primary'),
    'primary crash again': () => this.#crash(this.#anyGroup(), 'primary'),
    'primary replaced in place': () => {
      const group = this.#anyGroup();
      const { leader } = group;
      if (!leader.alive) return 'none';
      group.crash(leader);
      this.clock.after(this.clock.between(200, 4000), () => group.replace(leader));
      return leader.id;
    },
    'replica crash': () => this.#crash(this.#anyGroup(), 'replica'),
    'primary draining': () => this.#drain(),
    'replica deaf': () => {
      const group = this.#anyGroup();
      const instance = this.clock.pick(group.instances);
      instance.deafUntil = this.clock.now + this.#length();
      return instance.id;
    },
    'all replicas deaf': () => {
      const group = this.#anyGroup();
      const until = this.clock.now + this.#length();
      for (const instance of group.instances) instance.deafUntil = until;
      return group.service;
    },
    'primary cut from replicas': () => {
      const group = this.#anyGroup();
      const forMs = this.#length();
      const { leader } = group;
      for (const { address } of group.instances) {
        if (address !== leader.address) this.network.cut(leader.address, address, forMs);
      }
      return group.leader.id;
    },
    'primary cut from nodes': () => {
      const { leader } = this.#anyGroup();
      const forMs = this.#length();
      const nodes = this.nodes.filter(() => this.clock.chance(0.6));
      for (const { name } of nodes) this.#cutAnyWay(leader.address, name, forMs);
      return `${leader.id} ${nodes.map(({ name }) => name).join()}`;
    },
    'primary cut from leader': () => {
      const { leader } = this.#anyGroup();
      const node = this.leader ?? this.clock.pick(this.nodes);
      this.#cutAnyWay(leader.address, node.name, this.#length());
      return leader.id;
    },
    'node cut from store': () => {
      const node = this.#anyNode();
      this.#cutAnyWay(node.name, STORE, this.#length());
      return node.name;
    },
    'node cut from platform': () => {
      const node = this.#anyNode();
      this.network.cut(node.name, PLATFORM, this.#length());
      return node.name;
    },
    'node cut from all': () => {
      const node = this.#anyNode();
      const forMs = this.#length();
      this.network.cut(node.name, STORE, forMs);
      this.network.cut(node.name, PLATFORM, forMs);
      for (const group of this.groups.values()) {
        for (const { address } of group.instances) {
          this.network.cut(node.name, address, forMs);
        }
      }
      return node.name;
    },
    'node freeze': () => {
      const node = this.#anyNode();
      node.freeze(this.#length());
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
      this.store.goDown(this.#length(), leasesLapse);
      return String(leasesLapse);
    },
    'store slow': () => {
      this.store.slowUntil = this.clock.now + this.#length();
      return undefined;
    },
    'store answers lost': () => {
      this.store.lossUntil = this.clock.now + this.#length();
      return undefined;
    },
    'store changes late': () => {
      this.store.lateUntil = this.clock.now + this.#length();
      return undefined;
    },
    'store watches deaf': () => {
      this.store.goDeaf(1000);
      return undefined;
    },
    'platform slow': () => {
      this.platform.slowUntil = this.clock.now + this.#length();
      return undefined;
    },
    'platform answers lost': () => {
      this.platform.lossUntil = this.clock.now + this.#length();
      return undefined;
    },
    'platform down': () => {
      this.platform.downUntil = this.clock.now + this.#length();
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
    'replica leaves': () => this.#leave(true),
    'replica leaves unannounced': () => this.#leave(false),
    'entries lapse': () => this.#lapse(),
    'store refuses nodes': () => {
      const forMs = this.#length();
      const refused = this.nodes.filter(() => this.clock.chance(0.4)).map(({ name }) => name);
      this.store.refuse(refused, forMs);
      return refused.join();
    },
    'store refuses leader': () => {
      const { name } = this.leader ?? this.clock.pick(this.nodes);
      this.store.refuse([name], this.#length());
      return name;
    },
    'store returns': () => this.#returnFromCopy(),
    'store returns twice': () => {
      this.clock.after(this.clock.between(200, 4000), () => this.#returnFromCopy());
      return this.#returnFromCopy();
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
      // One that leads in the end is not removed with its log.
      if (candidate === undefined || candidate === group.leader) return 'none';
      group.remove(candidate);
      this.clock.after(this.clock.between(0, 3000), () => group.join());
      return candidate.id;
    },
    'control late': () => {
      const group = this.#anyGroup();
      group.controlLateUntil = this.clock.now + this.#length();
      return group.service;
    },
  };

  #returnFromCopy(): string {
    const ageMs = this.clock.between(100, 10_000);
    const awayMs = this.clock.chance(0.5) ? 0 : this.clock.between(0, 5000);
    this.store.returnFromCopy(ageMs, awayMs);
    return `${ageMs.toFixed(0)} ms old, away ${awayMs.toFixed(0)} ms`;
  }

  /** Of a group without a primary, the instance that was called for; of another one, none. */
  #candidate(): [SimulatedGroup, SimulatedInstance | undefined] {
    const group = this.#anyGroup();
    const id = this.platform.calledFor.get(group.service);
    const candidate = group.instances.find((instance) => instance.id === id && instance.alive);
    const isLed = group.leader.alive && group.leader.role === 'primary';
    return [group, isLed ? undefined : candidate];
  }

  #length(): number {
    return this.clock.between(300, 7000);
  }

  #anyGroup(): SimulatedGroup {
    return this.clock.pick([...this.groups.values()]);
  }

  /** The leader half of the time. */
  #anyNode(): SimulatedNode {
    return (this.clock.chance(0.5) ? this.leader : undefined) ?? this.clock.pick(this.nodes);
  }

  #cutAnyWay(left: string, right: string, forMs: number): void {
    if (this.clock.chance(0.6)) this.network.cut(left, right, forMs);
    else if (this.clock.chance(0.5)) this.network.cutOneWay(left, right, forMs);
    else this.network.cutOneWay(right, left, forMs);
  }

  #crash(group: SimulatedGroup, role: 'primary' | 'replica'): string {
    const victims = group.instances.filter(
      (instance) => instance.alive && (instance === group.leader) === (role === 'primary'),
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

  #anyReplica({ instances, leader }: SimulatedGroup): SimulatedInstance | undefined {
    const replicas = instances.filter((instance) => instance.alive && instance !== leader);
    return replicas.length === 0 ? undefined : this.clock.pick(replicas);
  }

  /** A replica serves on for a while and then ends; its log goes with it, and another joins elsewhere. */
  #leave(isAnnounced: boolean): string {
    const group = this.#anyGroup();
    const replica = this.#anyReplica(group);
    if (replica === undefined) return 'none';
    if (isAnnounced) replica.draining = true;
    else replica.announced = false;
    this.clock.after(this.clock.between(500, 7000), () => {
      if (replica === group.leader || !group.instances.includes(replica)) {
        replica.draining = false;
        replica.announced = true;
        return;
      }
      group.remove(replica);
      this.clock.after(this.clock.between(0, 3000), () => group.join());
    });
    return replica.id;
  }

  /** Entries lapse while the store is away; they are back within two seconds of its return. */
  #lapse(): string {
    const forMs = this.#length();
    this.store.goDown(forMs, this.clock.chance(0.5));
    const lapsed = [...this.groups.values()]
      .flatMap(({ instances }) => instances)
      .filter(({ announced }) => announced && this.clock.chance(0.6));
    for (const instance of lapsed) {
      instance.announced = false;
      this.clock.after(forMs + this.clock.between(100, 2000), () => {
        instance.announced = true;
      });
    }
    return lapsed.map(({ id }) => id).join();
  }

  #drain(): string {
    const { leader } = this.#anyGroup();
    leader.draining = true;
    this.clock.after(6000, () => {
      leader.draining = false;
    });
    return leader.id;
  }
}
