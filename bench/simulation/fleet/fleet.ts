/** Four simulated proxies for one database group, each with its own view of the others. */
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
/** Slightly more than the connection budgets of two owners. */
const MAX_CONNECTIONS = 8;
/** Replication lags, of which one is long enough for a session's position to matter. */
const LAGS_MS = [5, 15, 600];
const MIN_VIEW_DELAY_MS = 20;
const MAX_VIEW_DELAY_MS = 600;
const MAX_RESET_DELAY_MS = 5;
const SESSION_KEYS: SessionKeys = [{ id: 'k1', secret: Buffer.alloc(32, 7) }];

export interface FleetOptions {
  readonly clock: SimulatedClock;
  readonly group: SimulatedGroup;
  readonly history: SimulatedHistory;
  readonly disabledMechanisms: ReadonlySet<FleetMechanism>;
  readonly disabledOwnerMechanisms: DatabaseGroupOptions['disabledMechanisms'];
}

export class Fleet {
  readonly network: FleetNetwork;
  readonly context: FleetContext;
  readonly leavingInstances = new Set<string>();
  readonly #clock: SimulatedClock;
  readonly #nodes = new Map<string, FleetNode>();
  readonly #owners = new Set<SimulatedOwner>();

  constructor({
    clock,
    group,
    history,
    disabledMechanisms,
    disabledOwnerMechanisms,
  }: FleetOptions) {
    this.#clock = clock;
    this.network = new FleetNetwork(clock);
    this.context = {
      clock,
      group,
      network: this.network,
      history,
      disabledMechanisms,
      disabledOwnerMechanisms,
      sessionKeys: SESSION_KEYS,
      nodeIds: NODES,
      nodeById: (nodeId) => this.#nodeNamed(nodeId),
      homeNodeById: (nodeId) => this.#nodeNamed(nodeId).home,
      handleOwnerStarted: (owner) => {
        this.#owners.add(owner);
        this.#sendInstances(owner);
      },
    };
    for (const [index, instance] of group.instances.entries()) {
      instance.maxConnections = MAX_CONNECTIONS;
      instance.lagMs = LAGS_MS[index] ?? 0;
    }
    const members = NODES.map((nodeId, index) => createCandidate(nodeId, index));
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

  /** Sends all owners the instances with their leaving marks. */
  updateInstances(): void {
    for (const owner of this.#owners) this.#sendInstances(owner);
  }

  /** Kills a proxy; it restarts later with empty memory. */
  kill(nodeId: string, durationMs: number): void {
    const node = this.#nodeNamed(nodeId);
    if (!node.process.isAlive) return;
    node.kill();
    this.#handleNodeExit(nodeId, durationMs);
  }

  /** Starts a graceful shutdown; the proxy restarts some time after its exit. */
  stop(nodeId: string, durationMs: number): void {
    const node = this.#nodeNamed(nodeId);
    if (!node.isAccepting) return;
    const { process } = node;
    this.#notifyOthers(nodeId, (other) => other.role.removeMember(nodeId));
    process.run(() => node.stop(() => this.#handleNodeExit(nodeId, durationMs)));
  }

  freeze(nodeId: string, durationMs: number): void {
    const node = this.#nodeNamed(nodeId);
    if (!node.process.isAlive) return;
    node.freeze(durationMs);
    if (durationMs <= LINK_TIMEOUT_MS) return;
    this.#clock.after(LINK_TIMEOUT_MS, () => this.#breakLinksOf(nodeId));
  }

  cut(from: string, to: string, durationMs: number): void {
    if (from === to) return;
    this.network.cut(from, to, durationMs);
    if (durationMs <= LINK_TIMEOUT_MS) return;
    this.#clock.after(LINK_TIMEOUT_MS, () => this.#breakLink(from, to));
  }

  /** Cuts the link between one owner and one instance. */
  cutFromInstance(nodeId: string, instance: string, durationMs: number): void {
    for (const owner of this.#nodeNamed(nodeId).role.owners) {
      owner.unreachableInstances.add(instance);
      this.#clock.after(durationMs, () => owner.unreachableInstances.delete(instance));
    }
  }

  /** Makes a single node consider another one dead for a while. */
  suspect(nodeId: string, suspectedId: string, durationMs: number): void {
    if (nodeId === suspectedId) return;
    const { process, role } = this.#nodeNamed(nodeId);
    process.run(() => role.removeMember(suspectedId));
    process.after(durationMs, () => {
      const { isAccepting, zone } = this.#nodeNamed(suspectedId);
      if (isAccepting) role.addMember({ nodeId: suspectedId, zone });
    });
  }

  #sendInstances(owner: SimulatedOwner): void {
    owner.setInstances(
      ZONES.map((name) => describeInstance(name, this.leavingInstances.has(name))),
    );
  }

  #handleNodeExit(nodeId: string, durationMs: number): void {
    this.#clock.after(this.#clock.between(0, MAX_RESET_DELAY_MS), () => this.#breakLinksOf(nodeId));
    this.#notifyOthers(nodeId, (other) => other.role.removeMember(nodeId));
    this.#clock.after(durationMs, () => this.#restart(nodeId));
  }

  #restart(nodeId: string): void {
    const members = [...this.#nodes.values()].filter((one) => one.isAccepting);
    const node = this.#nodeNamed(nodeId);
    node.restart([...members, node].map(({ nodeId: id, zone }) => ({ nodeId: id, zone })));
    this.#notifyOthers(nodeId, (other) => {
      if (node.isAccepting) other.role.addMember({ nodeId, zone: node.zone });
    });
  }

  /** Notifies each of the other nodes after a random delay of its own. */
  #notifyOthers(nodeId: string, notify: (other: FleetNode) => void): void {
    for (const other of this.#nodes.values()) {
      if (other.nodeId === nodeId) continue;
      const { process } = other;
      const delay = this.#clock.between(MIN_VIEW_DELAY_MS, MAX_VIEW_DELAY_MS);
      this.#clock.after(delay, () => process.run(() => notify(other)));
    }
  }

  #breakLinksOf(nodeId: string): void {
    for (const other of NODES) if (other !== nodeId) this.#breakLink(nodeId, other);
  }

  #breakLink(left: string, right: string): void {
    this.#breakLinkAt(left, right);
    this.#breakLinkAt(right, left);
  }

  #breakLinkAt(here: string, there: string): void {
    const { process, connections } = this.#nodeNamed(here);
    process.run(() => {
      for (const connection of [...connections]) connection.handleLinkBroken(there);
    });
  }

  #nodeNamed(nodeId: string): FleetNode {
    const node = this.#nodes.get(nodeId);
    if (node === undefined) throw new RangeError(`no node ${nodeId}`);
    return node;
  }
}

function createCandidate(nodeId: string, index: number): OwnerCandidate {
  return { nodeId, zone: ZONES[index % ZONES.length] ?? 'a' };
}
