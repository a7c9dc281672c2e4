/**
 * Schedules that are played step by step: each step waits for the state that the next one needs, so that a request more
 * or less on the way does not change what is played.
 */
import type { PromotionMechanism } from '../../../src/core/promotion/contract.js';
import {
  decodeRecord,
  handoverKeyOf,
  parseHandoverRecord,
  primaryKeyOf,
} from '../../../src/core/promotion/records.js';
import type { SimulatedInstance } from './group.js';
import type { SimulatedNode } from './node.js';
import { PromotionSimulation, type SimulationOptions } from './simulation.js';
import { STORE } from './store.js';

const STEP_MS = 5;
const STEP_TIMEOUT_MS = 20_000;
const WARM_UP_MS = 4000;
/** The store keeps a lease longer than its node relies on it. */
const REGISTRATIONS_EXPIRE_MS = 2500;
const REJOIN_MS = 3000;
/** Longer than any schedule: what is cut stays cut until it is restored. */
export const LONG_MS = 600_000;

/** One group with a store that takes backups, at a state in which every node follows the store. */
export class Steps {
  readonly simulation: PromotionSimulation;

  constructor(
    seed: number,
    disabledMechanisms: readonly PromotionMechanism[] = [],
    options: Pick<SimulationOptions, 'hasIncarnations'> = {},
  ) {
    this.simulation = new PromotionSimulation({
      ...{ seed, services: 1, disabledMechanisms },
      ...options,
    });
    this.simulation.store.takeBackups();
    this.simulation.run(WARM_UP_MS);
    this.until('a leader', () => this.simulation.leader !== undefined);
  }

  /** Runs until the condition holds. @throws Error if it does not within the timeout */
  until(what: string, condition: () => boolean): void {
    if (this.simulation.runUntil(condition, STEP_MS, STEP_TIMEOUT_MS)) return;
    throw new Error(`never: ${what}\n${this.simulation.eventLog}`);
  }

  get leader(): SimulatedNode {
    const { leader } = this.simulation;
    if (leader === undefined) throw new Error('no leader');
    return leader;
  }

  others(node: SimulatedNode): readonly SimulatedNode[] {
    return this.simulation.nodes.filter((other) => other !== node);
  }

  hasStore(node: SimulatedNode): boolean {
    return node.machine?.hasStore(node.now) === true;
  }

  /** Whether the leader has removed an instance from the members. */
  hasDeparted({ id }: SimulatedInstance): boolean {
    const { store, group } = this.simulation;
    const entry = store.entries.get(handoverKeyOf(group.service));
    const departed = decodeRecord(entry, parseHandoverRecord)?.departed ?? [];
    return departed.some((member) => member.id === id);
  }

  /** The group's primary as a node knows it. */
  primaryIdAt(node: SimulatedNode): string | undefined {
    return node.machine?.primaryOf(this.simulation.group.service, node.now)?.id;
  }

  hasPrimaryRecord(): boolean {
    const { store, group } = this.simulation;
    return store.entries.has(primaryKeyOf(group.service));
  }

  /** Cuts all other nodes from the store and waits until none of them counts any more. */
  leaveAlone(node: SimulatedNode): void {
    const others = this.others(node);
    this.cutFromStore(others);
    this.until('their leases have expired', () => !others.some((other) => this.hasStore(other)));
    this.simulation.run(REGISTRATIONS_EXPIRE_MS);
  }

  /** Replaces the primary after a crash, so that there is a record, and lets it come back as a replica. */
  replaceCrashedPrimary(leader: SimulatedNode): void {
    const { group } = this.simulation;
    const { primary } = group;
    group.crash(primary);
    this.untilReplaced(primary, leader);
    group.restart(primary);
    this.simulation.run(REJOIN_MS);
  }

  cutFromStore(nodes: readonly SimulatedNode[]): void {
    for (const { name } of nodes) this.simulation.network.cut(name, STORE, LONG_MS);
  }

  reconnectToStore(nodes: readonly SimulatedNode[]): void {
    for (const { name } of nodes) this.simulation.network.cut(name, STORE, 0);
  }

  /** Cuts an instance from the other instances and from these nodes. */
  isolate(instance: SimulatedInstance, nodes: readonly SimulatedNode[]): void {
    const { group, network } = this.simulation;
    for (const other of group.instances) {
      if (other !== instance) network.cut(instance.address, other.address, LONG_MS);
    }
    for (const { name } of nodes) network.cut(instance.address, name, LONG_MS);
  }

  /** Runs until another instance than `before` leads, and the leader has recorded it. */
  untilReplaced(before: SimulatedInstance, leader: SimulatedNode): void {
    const { group } = this.simulation;
    this.until(`another primary than ${before.id}`, () => {
      const { primary } = group;
      return primary !== before && this.primaryIdAt(leader) === primary.id;
    });
  }

  /** Restores the store from a backup taken `ageMs` ago. */
  restoreStore(ageMs: number): void {
    this.simulation.store.restoreFromBackup(ageMs, 0);
    this.simulation.run(1);
  }

  /** Time since `start`, by the simulated clock. */
  elapsedSince(start: number): number {
    return this.simulation.clock.now - start;
  }
}
