/**
 * This node's view of the fleet: the machine list gives machines and leaving marks, membership
 * gives liveness. Until membership has heard of a listed node, the list alone counts, but only for
 * a while: a node that is silent from the start can't be found dead by probes, and would otherwise
 * keep its groups and its place as a relay for as long as it is listed.
 */
import type { Member } from '../core/membership/member.js';
import type { Milliseconds } from '../core/units.js';
import type { DatabaseMachine, Machine, ProxyMachine } from '../platform/contract.js';
import { EMPTY_FLEET, type Fleet, fleetOf } from './fleet.js';
import type { HomeNode } from './gateway/home-node-directory.js';

/** A proxy that may be asked to serve. */
export interface FleetNode {
  readonly nodeId: string;
  readonly zone: string;
  readonly host: string;
  readonly peerPort: number;
}

/** Where the view gets its knowledge. */
export interface FleetViewOptions {
  readonly self: FleetNode;
  /** What membership knows of a node; undefined if it never heard of it. */
  readonly memberOf: (nodeId: string) => Member | undefined;
  readonly members: () => readonly Member[];
  readonly now: () => Milliseconds;
}

/** How long a node that has left still counts as home of sessions, in ms: a session's life. */
const REMEMBERED_MS: Milliseconds = 15 * 60_000;

/**
 * How long a node that is only listed counts as live, in ms from when this node first saw it listed:
 * twice what membership needs to hear of every node when a fleet starts at once.
 */
export const UNHEARD_GRACE_MS: Milliseconds = 10_000;

interface RememberedNode {
  readonly node: FleetNode;
  readonly lastListedAt: Milliseconds;
}

/** This node's view of the fleet. */
export class FleetView {
  readonly #options: FleetViewOptions;
  readonly #remembered = new Map<string, RememberedNode>();
  /** When each listed proxy was first seen on the list, since it was last absent from it. */
  #firstListedAt: ReadonlyMap<string, Milliseconds> = new Map();
  /** When the next of the live nodes stops to count unless it is heard of by then. */
  #graceEndsAt: Milliseconds = Number.POSITIVE_INFINITY;
  #fleet: Fleet = EMPTY_FLEET;
  #listedNodes: readonly FleetNode[] = [];
  #selfLeaving = false;
  /** Kept between two changes: asked for at every log-in and for every tenant at a snapshot. */
  #liveNodes: readonly FleetNode[] | undefined;
  /** Kept between two changes: asked for at every look-up and record of a session. */
  #homeNodes: readonly HomeNode[] | undefined;

  constructor(options: FleetViewOptions) {
    this.#options = options;
  }

  setMachines(machines: readonly Machine[]): void {
    this.#fleet = fleetOf(machines);
    this.#liveNodes = undefined;
    this.#homeNodes = undefined;
    const staying = this.#fleet.proxies.filter(({ state }) => state !== 'leaving');
    this.#listedNodes = staying.length === 0 ? [this.#options.self] : staying.map(nodeOf);
    const lastListedAt = this.#options.now();
    this.#firstListedAt = new Map(
      this.#fleet.proxies.map(({ name }) => [name, this.#firstListedAt.get(name) ?? lastListedAt]),
    );
    for (const proxy of this.#fleet.proxies) {
      this.#remembered.set(proxy.name, { node: nodeOf(proxy), lastListedAt });
    }
    for (const [nodeId, { lastListedAt: last }] of this.#remembered) {
      if (lastListedAt - last > REMEMBERED_MS) this.#remembered.delete(nodeId);
    }
  }

  /** This node's planned stop has begun: it owns nothing any more, in its own view. */
  setSelfLeaving(): void {
    this.#selfLeaving = true;
    this.#liveNodes = undefined;
  }

  /** Membership knows something else than before. */
  membersChanged(): void {
    this.#liveNodes = undefined;
  }

  /**
   * To be called from time to time. True if a listed node that was never heard of has used up its
   * grace, so that the live nodes are to be worked out again.
   */
  dropSilentNodes(): boolean {
    if (this.#liveNodes === undefined || this.#options.now() < this.#graceEndsAt) return false;
    this.#liveNodes = undefined;
    return true;
  }

  get databases(): readonly DatabaseMachine[] {
    return this.#fleet.databases;
  }

  /** Proxies as the list names them, for seeds and leaving marks. */
  get listedProxies(): readonly ProxyMachine[] {
    return this.#fleet.proxies;
  }

  /** Nodes that may own groups: live (a suspicion is not yet a death) and not leaving. */
  liveNodes(): readonly FleetNode[] {
    this.#liveNodes ??= this.#selectLiveNodes();
    return this.#liveNodes;
  }

  /** Nodes that may be home of a live session's positions, gone ones included; the same array until they change. */
  homeNodes(): readonly HomeNode[] {
    this.#homeNodes ??= this.#selectHomeNodes();
    return this.#homeNodes;
  }

  #selectLiveNodes(): readonly FleetNode[] {
    const { self } = this.#options;
    const nodes = new Map<string, FleetNode>();
    const now = this.#options.now();
    this.#graceEndsAt = Number.POSITIVE_INFINITY;
    for (const member of this.#options.members()) {
      if (isServing(member)) nodes.set(member.nodeId, memberNode(member));
    }
    for (const proxy of this.#fleet.proxies) {
      if (proxy.state === 'leaving') nodes.delete(proxy.name);
      else if (proxy.name !== self.nodeId && this.#options.memberOf(proxy.name) === undefined) {
        const endsAt = (this.#firstListedAt.get(proxy.name) ?? now) + UNHEARD_GRACE_MS;
        if (endsAt <= now) continue;
        this.#graceEndsAt = Math.min(this.#graceEndsAt, endsAt);
        nodes.set(proxy.name, nodeOf(proxy));
      }
    }
    if (this.#isSelfLeaving()) nodes.delete(self.nodeId);
    else nodes.set(self.nodeId, self);
    return [...nodes.values()];
  }

  /**
   * Proxies that the list names and doesn't mark as leaving; if it names none, this node is alone.
   * Empty until the list was read. The same array until the next list.
   */
  get listedNodes(): readonly FleetNode[] {
    return this.#listedNodes;
  }

  /** Every node that may still run: listed, or a member that has neither failed nor left. */
  knownNodes(): readonly FleetNode[] {
    const nodes = new Map(this.#fleet.proxies.map((proxy) => [proxy.name, nodeOf(proxy)]));
    for (const member of this.#options.members()) {
      if (isServing(member)) nodes.set(member.nodeId, memberNode(member));
    }
    nodes.set(this.#options.self.nodeId, this.#options.self);
    return [...nodes.values()];
  }

  #selectHomeNodes(): readonly HomeNode[] {
    const { self } = this.#options;
    const nodes = new Map([...this.#remembered].map(([nodeId, { node }]) => [nodeId, node]));
    if (!nodes.has(self.nodeId)) nodes.set(self.nodeId, self);
    return [...nodes.values()].map(({ nodeId, host, peerPort }) => ({
      nodeId,
      address: { host, port: peerPort },
    }));
  }

  #isSelfLeaving(): boolean {
    const { self } = this.#options;
    const listed = this.#fleet.proxies.find((proxy) => proxy.name === self.nodeId);
    return this.#selfLeaving || listed?.state === 'leaving';
  }
}

function isServing(member: Member): boolean {
  return member.status === 'alive' || member.status === 'suspect';
}

function memberNode(member: Member): FleetNode {
  const { nodeId, zone, host, peerPort } = member;
  return { nodeId, zone, host, peerPort };
}

function nodeOf(proxy: ProxyMachine): FleetNode {
  return { nodeId: proxy.name, zone: proxy.zone, host: proxy.host, peerPort: proxy.peerPort };
}
