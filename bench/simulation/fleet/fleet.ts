/** Four simulated proxies in front of one database group, each with its own view of the others. */
import type { DatabaseGroupOptions } from '../../../src/core/group/options.js';
import type { OwnerCandidate } from '../../../src/core/ownership/rendezvous.js';
import type { SessionKeys } from '../../../src/core/session/index.js';
import type { SimulatedClock } from '../clock.js';
import type { SimulatedGroup } from '../group.js';
import { describeInstance } from '../group-run.js';
import type { SimulatedHistory } from '../history.js';
import type { SimulatedOwner } from '../owner.js';
import { type FleetContext, LINK_TIMEOUT_MS } from './context.js';
import type { FleetMechanism } from './mechanisms.js';
import { FleetNetwork } from './network.js';
import { FleetNode, type PlannedStop } from './node.js';

const NODES = ['p0', 'p1', 'p2', 'p3'];
const ZONES = ['a', 'b', 'c'];
/** The instances let in two owners' budgets and a little more. */
const MAX_CONNECTIONS = 8;
/** Replicas are behind by so much that a session's position matters. */
const LAGS_MS = [5, 15, 600];
const MIN_VIEW_DELAY_MS = 20;
const MAX_VIEW_DELAY_MS = 600;
const MAX_RESET_DELAY_MS = 5;
const SESSION_KEYS: SessionKeys = [{ id: 'k1', secret: Buffer.alloc(32, 7) }];

export interface FleetOptions {
  readonly clock: SimulatedClock;
  readonly group: SimulatedGroup;
  readonly history: SimulatedHistory;
  readonly without: ReadonlySet<FleetMechanism>;
  readonly machineWithout: DatabaseGroupOptions['disabledMechanisms'];
}

export class Fleet {
  readonly network: FleetNetwork;
  readonly context: FleetContext;
  readonly leaving = new Set<string>();
  readonly #clock: SimulatedClock;
  readonly #nodes = new Map<string, FleetNode>();
  readonly #owners = new Set<SimulatedOwner>();

  constructor({ clock, group, history, without, machineWithout }: FleetOptions) {
    this.#clock = clock;
    this.network = new FleetNetwork(clock);
    this.context = {
      clock,
      group,
      network: this.network,
      history,
      without,
      machineWithout,
      sessionKeys: SESSION_KEYS,
      nodeIds: NODES,
      nodeNamed: (nodeId) => this.#nodeNamed(nodeId),
      homeNamed: (nodeId) => this.#nodeNamed(nodeId).home,
      ownerStarted: (owner) => {
        this.#owners.add(owner);
        this.#describeTo(owner);
      },
    };
    for (const [index, instance] of group.instances.entries()) {
      instance.maxConnections = MAX_CONNECTIONS;
      instance.lagMs = LAGS_MS[index] ?? 0;
    }
    const members = NODES.map((nodeId, index) => candidate(nodeId, index));
    for (const { nodeId, zone } of members) {
      this.#nodes.set(nodeId, new FleetNode(this.context, nodeId, zone, members));
    }
  }

  get owners(): readonly SimulatedOwner[] {
    return [...this.#owners];
  }

  get plannedStops(): readonly PlannedStop[] {
    return [...this.#nodes.values()].flatMap((node) => node.plannedStops);
  }

  /** Tells all owners the instances, with their leaving marks. */
  describe(): void {
    for (const owner of this.#owners) this.#describeTo(owner);
  }

  /** Kills a proxy without a word; it comes back with nothing in memory. */
  kill(nodeId: string, lasts: number): void {
    const node = this.#nodeNamed(nodeId);
    if (!node.process.alive) return;
    node.kill();
    this.#gone(nodeId, lasts);
  }

  /** Planned stop; it comes back some time after its end. */
  stop(nodeId: string, lasts: number): void {
    const node = this.#nodeNamed(nodeId);
    if (!node.accepting) return;
    const { process } = node;
    this.#tellOthers(nodeId, (other) => other.role.memberGone(nodeId));
    process.run(() => node.stop(() => this.#gone(nodeId, lasts)));
  }

  freeze(nodeId: string, lasts: number): void {
    const node = this.#nodeNamed(nodeId);
    if (!node.process.alive) return;
    node.freeze(lasts);
    if (lasts <= LINK_TIMEOUT_MS) return;
    this.#clock.after(LINK_TIMEOUT_MS, () => this.#breakLinksOf(nodeId));
  }

  cut(from: string, to: string, lasts: number): void {
    if (from === to) return;
    this.network.cut(from, to, lasts);
    if (lasts <= LINK_TIMEOUT_MS) return;
    this.#clock.after(LINK_TIMEOUT_MS, () => this.#breakLink(from, to));
  }

  /** One owner alone does not reach an instance. */
  cutFromInstance(nodeId: string, instance: string, lasts: number): void {
    for (const owner of this.#nodeNamed(nodeId).role.owners) {
      owner.cutOff.add(instance);
      this.#clock.after(lasts, () => owner.cutOff.delete(instance));
    }
  }

  /** One node alone takes another one for dead, for a while. */
  doubt(nodeId: string, doubted: string, lasts: number): void {
    if (nodeId === doubted) return;
    const { process, role } = this.#nodeNamed(nodeId);
    process.run(() => role.memberGone(doubted));
    process.after(lasts, () => {
      const { accepting, zone } = this.#nodeNamed(doubted);
      if (accepting) role.memberCame({ nodeId: doubted, zone });
    });
  }

  #describeTo(owner: SimulatedOwner): void {
    owner.setInstances(ZONES.map((name) => describeInstance(name, this.leaving.has(name))));
  }

  #gone(nodeId: string, lasts: number): void {
    this.#clock.after(this.#clock.between(0, MAX_RESET_DELAY_MS), () => this.#breakLinksOf(nodeId));
    this.#tellOthers(nodeId, (other) => other.role.memberGone(nodeId));
    this.#clock.after(lasts, () => this.#restart(nodeId));
  }

  #restart(nodeId: string): void {
    const members = [...this.#nodes.values()].filter((one) => one.accepting);
    const node = this.#nodeNamed(nodeId);
    node.restart([...members, node].map(({ nodeId: id, zone }) => ({ nodeId: id, zone })));
    this.#tellOthers(nodeId, (other) => {
      if (node.accepting) other.role.memberCame({ nodeId, zone: node.zone });
    });
  }

  /** Each of the others learns it in its own time. */
  #tellOthers(nodeId: string, tell: (other: FleetNode) => void): void {
    for (const other of this.#nodes.values()) {
      if (other.nodeId === nodeId) continue;
      const { process } = other;
      const delay = this.#clock.between(MIN_VIEW_DELAY_MS, MAX_VIEW_DELAY_MS);
      this.#clock.after(delay, () => process.run(() => tell(other)));
    }
  }

  #breakLinksOf(nodeId: string): void {
    for (const other of NODES) if (other !== nodeId) this.#breakLink(nodeId, other);
  }

  #breakLink(left: string, right: string): void {
    this.#breakEnd(left, right);
    this.#breakEnd(right, left);
  }

  #breakEnd(here: string, there: string): void {
    const { process, connections } = this.#nodeNamed(here);
    process.run(() => {
      for (const connection of [...connections]) connection.linkBroken(there);
    });
  }

  #nodeNamed(nodeId: string): FleetNode {
    const node = this.#nodes.get(nodeId);
    if (node === undefined) throw new RangeError(`no node ${nodeId}`);
    return node;
  }
}

function candidate(nodeId: string, index: number): OwnerCandidate {
  return { nodeId, zone: ZONES[index % ZONES.length] ?? 'a' };
}
