/**
 * This node's view of the fleet: the machine list provides the machines and which are leaving,
 * membership provides liveness. A listed node that membership does not know yet counts as live, but
 * only for a limited time: probes can't detect the failure of a node that has never responded, and
 * it would otherwise keep its groups and its relay role for as long as it is listed.
 */
import type { Member } from '../core/membership/member.js';
import type { Milliseconds } from '../core/units.js';
import type { DatabaseMachine, Machine, ProxyMachine } from '../platform/contract.js';
import { EMPTY_FLEET, type Fleet, splitByRole } from './fleet.js';
import type { HomeNode } from './gateway/home-node-directory.js';

/** A proxy node with its zone and its address for links. */
export interface FleetNode {
  readonly nodeId: string;
  readonly zone: string;
  readonly host: string;
  readonly peerPort: number;
}

/** Sources of the view. */
export interface FleetViewOptions {
  readonly self: FleetNode;
  /** Looks a node up in the membership; undefined if it is not known there. */
  readonly memberOf: (nodeId: string) => Member | undefined;
  readonly members: () => readonly Member[];
  readonly now: () => Milliseconds;
}

/** A node that has left stays a home node of sessions for this long: the session idle timeout. */
const HOME_NODE_RETENTION_MS: Milliseconds = 15 * 60_000;

/**
 * How long a listed node that membership does not know counts as live, from when this node first
 * saw it listed: twice the time that membership needs to learn of every node when a whole fleet
 * starts at the same time.
 */
export const UNCONFIRMED_NODE_GRACE_MS: Milliseconds = 10_000;

interface RememberedNode {
  readonly node: FleetNode;
  readonly lastListedAt: Milliseconds;
}

/** This node's view of the fleet. */
export class FleetView {
  readonly #options: FleetViewOptions;
  readonly #rememberedNodes = new Map<string, RememberedNode>();
  /** When each listed proxy appeared in the list, counted from its last absence. */
  #firstListedAt: ReadonlyMap<string, Milliseconds> = new Map();
  /** When the next live node that membership does not know stops counting as live. */
  #nextGraceEndAt: Milliseconds = Number.POSITIVE_INFINITY;
  #fleet: Fleet = EMPTY_FLEET;
  #listedNodes: readonly FleetNode[] = [];
  #hasStartedLeaving = false;
  /** Cached until the next change: read at every log-in, and for every tenant of a snapshot. */
  #liveNodes: readonly FleetNode[] | undefined;
  /** Cached until the next change: read at every look-up and record of a session. */
  #homeNodes: readonly HomeNode[] | undefined;

  constructor(options: FleetViewOptions) {
    this.#options = options;
  }

  setMachines(machines: readonly Machine[]): void {
    this.#fleet = splitByRole(machines);
    this.#liveNodes = undefined;
    this.#homeNodes = undefined;
    const remaining = this.#fleet.proxies.filter(({ state }) => state !== 'leaving');
    this.#listedNodes = remaining.length === 0 ? [this.#options.self] : remaining.map(nodeOfProxy);
    const lastListedAt = this.#options.now();
    this.#firstListedAt = new Map(
      this.#fleet.proxies.map(({ name }) => [name, this.#firstListedAt.get(name) ?? lastListedAt]),
    );
    for (const proxy of this.#fleet.proxies) {
      this.#rememberedNodes.set(proxy.name, { node: nodeOfProxy(proxy), lastListedAt });
    }
    for (const [nodeId, { lastListedAt: last }] of this.#rememberedNodes) {
      if (lastListedAt - last > HOME_NODE_RETENTION_MS) this.#rememberedNodes.delete(nodeId);
    }
  }

  /** This node's graceful shutdown has begun: in its own view it owns no groups any more. */
  setSelfLeaving(): void {
    this.#hasStartedLeaving = true;
    this.#liveNodes = undefined;
  }

  /** To be called when the membership has changed. */
  membersChanged(): void {
    this.#liveNodes = undefined;
  }

  /**
   * To be called periodically. True if the grace period of a listed node that membership does not
   * know has ended, so that the live nodes have changed.
   */
  dropUnconfirmedNodes(): boolean {
    if (this.#liveNodes === undefined || this.#options.now() < this.#nextGraceEndAt) return false;
    this.#liveNodes = undefined;
    return true;
  }

  get databases(): readonly DatabaseMachine[] {
    return this.#fleet.databases;
  }

  /** Proxies of the machine list, for the membership's seeds and for which nodes are leaving. */
  get listedProxies(): readonly ProxyMachine[] {
    return this.#fleet.proxies;
  }

  /** Nodes that may own groups: live (suspected nodes included) and not leaving. */
  liveNodes(): readonly FleetNode[] {
    this.#liveNodes ??= this.#selectLiveNodes();
    return this.#liveNodes;
  }

  /**
   * Nodes that may be home nodes of a session in use, including nodes that have left; the same
   * array until they change.
   */
  homeNodes(): readonly HomeNode[] {
    this.#homeNodes ??= this.#selectHomeNodes();
    return this.#homeNodes;
  }

  #selectLiveNodes(): readonly FleetNode[] {
    const { self } = this.#options;
    const nodes = new Map<string, FleetNode>();
    const now = this.#options.now();
    this.#nextGraceEndAt = Number.POSITIVE_INFINITY;
    for (const member of this.#options.members()) {
      if (isServing(member)) nodes.set(member.nodeId, nodeOfMember(member));
    }
    for (const proxy of this.#fleet.proxies) {
      if (proxy.state === 'leaving') nodes.delete(proxy.name);
      else if (proxy.name !== self.nodeId && this.#options.memberOf(proxy.name) === undefined) {
        const graceEndAt = (this.#firstListedAt.get(proxy.name) ?? now) + UNCONFIRMED_NODE_GRACE_MS;
        if (graceEndAt <= now) continue;
        this.#nextGraceEndAt = Math.min(this.#nextGraceEndAt, graceEndAt);
        nodes.set(proxy.name, nodeOfProxy(proxy));
      }
    }
    if (this.#isSelfLeaving()) nodes.delete(self.nodeId);
    else nodes.set(self.nodeId, self);
    return [...nodes.values()];
  }

  /**
   * Listed proxies that are not leaving; only this node if there are none. Empty until the list was
   * read. The same array until the next list.
   */
  get listedNodes(): readonly FleetNode[] {
    return this.#listedNodes;
  }

  /** Every node that may still be running: listed, or a member that has neither failed nor left. */
  knownNodes(): readonly FleetNode[] {
    const nodes = new Map(this.#fleet.proxies.map((proxy) => [proxy.name, nodeOfProxy(proxy)]));
    for (const member of this.#options.members()) {
      if (isServing(member)) nodes.set(member.nodeId, nodeOfMember(member));
    }
    nodes.set(this.#options.self.nodeId, this.#options.self);
    return [...nodes.values()];
  }

  #selectHomeNodes(): readonly HomeNode[] {
    const { self } = this.#options;
    const nodes = new Map([...this.#rememberedNodes].map(([nodeId, { node }]) => [nodeId, node]));
    if (!nodes.has(self.nodeId)) nodes.set(self.nodeId, self);
    return [...nodes.values()].map(({ nodeId, host, peerPort }) => ({
      nodeId,
      address: { host, port: peerPort },
    }));
  }

  #isSelfLeaving(): boolean {
    const { self } = this.#options;
    const listed = this.#fleet.proxies.find((proxy) => proxy.name === self.nodeId);
    return this.#hasStartedLeaving || listed?.state === 'leaving';
  }
}

function isServing(member: Member): boolean {
  return member.status === 'alive' || member.status === 'suspect';
}

function nodeOfMember(member: Member): FleetNode {
  const { nodeId, zone, host, peerPort } = member;
  return { nodeId, zone, host, peerPort };
}

function nodeOfProxy(proxy: ProxyMachine): FleetNode {
  return { nodeId: proxy.name, zone: proxy.zone, host: proxy.host, peerPort: proxy.peerPort };
}
