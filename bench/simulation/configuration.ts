/**
 * Several configuration agents around a simulated store, clock and network, in one process. Calls
 * take a random time or fail; nodes restart with nothing; the store can be down.
 */
import { ConfigurationAgent } from '../../src/core/configuration/agent.js';
import type { AgentEffect, AgentEvent } from '../../src/core/configuration/agent-contract.js';
import type { DeclarationKey } from '../../src/core/configuration/declaration.js';
import type { ConfigurationMechanism } from '../../src/core/configuration/mechanisms.js';
import type { RelayLease } from '../../src/core/configuration/relay-role.js';
import { type ConfigurationMember, RELAYS_PER_ZONE } from '../../src/core/configuration/relays.js';
import {
  type ConfigurationDelta,
  ConfigurationReplica,
} from '../../src/core/configuration/replica.js';
import type { ConfigurationEntry } from '../../src/core/configuration/store-layout.js';

const MAX_CALL_MS = 10;
const CALL_TIMEOUT_MS = 1000;
const LEASE_MS = 15_000;

/** One life of one node. */
export interface SimulatedNode {
  readonly member: ConfigurationMember;
  readonly agent: ConfigurationAgent;
  alive: boolean;
  /** Does nothing before this time; what arrives meanwhile waits. */
  pausedUntil: number;
  readyAt: number | undefined;
  /** Revisions that were applied, in order. */
  readonly applied: number[];
  /** Revisions under which something was in force that the store never had as a whole. */
  readonly torn: number[];
  storeRequests: number;
  watching: { sinceRevision: number } | undefined;
}

interface Scheduled {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** The whole simulation. */
export class ConfigurationSimulation {
  now = 0;
  storeDown = false;
  /** Open watches hear nothing and are not told that they are dead. */
  watchesSilent = false;
  /** Share of peer calls that fail. */
  lossShare = 0;
  headRevision = 0;
  readonly nodes: SimulatedNode[] = [];
  #entries = new Map<DeclarationKey, ConfigurationEntry>();
  /** Digest of the store's contents at each revision. */
  readonly #digests = new Map<number, string>();
  readonly #whole = new ConfigurationReplica();
  #slots = new Map<string, { leaseId: string; until: number }>();
  #queue: Scheduled[] = [];
  #order = 0;
  #leases = 0;

  constructor(
    private readonly random: () => number,
    private readonly without: ReadonlySet<ConfigurationMechanism> = new Set(),
  ) {}

  /** Adds a node, or a new life of one; the members are told to all. */
  add(nodeId: string, zone: string): SimulatedNode {
    const member = { nodeId, zone, host: nodeId, port: 1 };
    const agent = new ConfigurationAgent({
      self: member,
      random: this.random,
      without: this.without,
    });
    const node: SimulatedNode = {
      member,
      agent,
      alive: true,
      pausedUntil: 0,
      readyAt: undefined,
      applied: [],
      torn: [],
      storeRequests: 0,
      watching: undefined,
    };
    this.nodes.push(node);
    this.#tellMembers();
    this.#deliver(node, { type: 'started' });
    return node;
  }

  /** Kills a node without a word. */
  kill(node: SimulatedNode): void {
    node.alive = false;
    node.watching = undefined;
    this.#tellMembers();
  }

  get live(): SimulatedNode[] {
    return this.nodes.filter((node) => node.alive);
  }

  /** Publishes a change of these declarations; only with the store up. */
  publish(...names: readonly string[]): number {
    this.headRevision += 1;
    const revision = this.headRevision;
    const entries = names.map((name): ConfigurationEntry => {
      const key: DeclarationKey = `tenant/${name}`;
      const value = JSON.stringify({ version: revision, publishId: 'p', declaration: null });
      return { key, revision, value };
    });
    for (const entry of entries) this.#entries.set(entry.key, entry);
    this.#whole.merge({ sinceRevision: revision - 1, revision, entries });
    this.#digests.set(revision, this.#whole.digest().hash);
    for (const node of this.live) {
      if (!this.watchesSilent) this.#sendWatch(node, revision);
    }
    return revision;
  }

  /** Takes the store down or up. Down: watches end. */
  setStoreDown(down: boolean): void {
    this.storeDown = down;
    if (!down) return;
    for (const node of this.live.filter(({ watching }) => watching !== undefined)) {
      node.watching = undefined;
      this.#later(node, () => ({ type: 'watch-ended' }));
    }
  }

  /** Runs until the clock shows this time. */
  runUntil(end: number): void {
    for (let next = this.#take(end); next !== undefined; next = this.#take(end)) {
      this.now = Math.max(this.now, next.at);
      next.run();
    }
    this.now = end;
  }

  #take(end: number): Scheduled | undefined {
    let first: Scheduled | undefined;
    for (const item of this.#queue) if (first === undefined || isBefore(item, first)) first = item;
    if (first === undefined || first.at > end) return undefined;
    this.#queue = this.#queue.filter((item) => item !== first);
    return first;
  }

  #schedule(delay: number, run: () => void): void {
    this.#order += 1;
    this.#queue.push({ at: this.now + delay, order: this.#order, run });
  }

  #later(node: SimulatedNode, event: () => AgentEvent, delay = this.#callTime()): void {
    this.#schedule(delay, () => this.#deliver(node, event()));
  }

  #callTime(): number {
    return this.random() * MAX_CALL_MS;
  }

  #tellMembers(): void {
    for (const node of this.live) {
      this.#later(node, () => ({
        type: 'members-changed',
        members: this.live.map(({ member }) => member),
      }));
    }
  }

  #deliver(node: SimulatedNode, event: AgentEvent): void {
    if (!node.alive) return;
    if (node.pausedUntil > this.now) {
      this.#schedule(node.pausedUntil - this.now, () => this.#deliver(node, event));
      return;
    }
    for (const effect of node.agent.handle(event, this.now)) this.#carryOut(node, effect);
    const deadline = node.agent.nextDeadline();
    if (deadline === undefined) return;
    this.#schedule(Math.max(0, deadline - this.now), () => {
      // Superseded timers do no harm: the agent looks at its own deadlines.
      const due = node.agent.nextDeadline();
      if (due !== undefined && due <= this.now) this.#deliver(node, { type: 'tick' });
    });
  }

  #carryOut(node: SimulatedNode, effect: AgentEffect): void {
    switch (effect.type) {
      case 'apply':
        this.#recordApplied(node, effect.snapshot.revision);
        return;
      case 'ready':
        node.readyAt = this.now;
        return;
      case 'close-watch':
        node.watching = undefined;
        return;
      case 'open-watch':
        this.#openWatch(node, effect.fromRevision - 1);
        return;
      case 'ask-digest':
        this.#call(node, effect.peer, (peer) => this.#askDigest(node, peer));
        return;
      case 'fetch':
        this.#call(node, effect.peer, (peer) => ({
          type: 'fetched',
          nodeId: peer.member.nodeId,
          delta: peer.agent.replica.changesSince(effect.sinceRevision),
        }));
        return;
      case 'push':
        this.#push(node, effect.peer, effect.root, effect.delta);
        return;
      default:
        this.#askStore(node, effect);
    }
  }

  #recordApplied(node: SimulatedNode, revision: number): void {
    node.applied.push(revision);
    const expected = this.#digests.get(revision);
    if (expected !== node.agent.replica.digest().hash) node.torn.push(revision);
  }

  #call(
    node: SimulatedNode,
    member: ConfigurationMember,
    ask: (peer: SimulatedNode) => AgentEvent,
  ): void {
    this.#schedule(this.#callTime(), () => {
      const peer = this.live.find((other) => other.member.nodeId === member.nodeId);
      const silent = peer === undefined || peer.pausedUntil > this.now;
      const lost = silent || this.random() < this.lossShare;
      const event: AgentEvent = lost ? { type: 'peer-failed', nodeId: member.nodeId } : ask(peer);
      this.#later(node, () => event, lost ? CALL_TIMEOUT_MS : this.#callTime());
    });
  }

  #askDigest(node: SimulatedNode, peer: SimulatedNode): AgentEvent {
    const answer = peer.agent.digestAnswer();
    const { nodeId } = node.member;
    const digest = node.agent.replica.digest();
    this.#deliver(peer, { type: 'digest-received', nodeId, digest });
    return { type: 'digest-answered', nodeId: peer.member.nodeId, answer };
  }

  #push(
    node: SimulatedNode,
    member: ConfigurationMember,
    root: string,
    delta: ConfigurationDelta,
  ): void {
    if (this.random() < this.lossShare) return;
    this.#schedule(this.#callTime(), () => {
      const peer = this.live.find((other) => other.member.nodeId === member.nodeId);
      if (peer === undefined) return;
      this.#deliver(peer, { type: 'push-received', nodeId: node.member.nodeId, root, delta });
    });
  }

  #askStore(node: SimulatedNode, effect: AgentEffect): void {
    node.storeRequests += 1;
    this.#schedule(this.#callTime(), () => {
      const event = this.storeDown ? failureOf(effect) : this.#storeAnswer(node, effect);
      if (event !== undefined) this.#later(node, () => event);
    });
  }

  #storeAnswer(node: SimulatedNode, effect: AgentEffect): AgentEvent | undefined {
    switch (effect.type) {
      case 'read-store':
        return {
          type: 'store-read',
          storeRevision: this.headRevision,
          delta: this.#changesSince(0),
        };
      case 'check-head':
        return { type: 'head-checked', headRevision: this.headRevision };
      case 'claim-relay':
        return { type: 'relay', event: this.#claim(node.member.zone) };
      case 'renew-lease':
        return { type: 'relay', event: { type: this.#renew(effect.lease) } };
      case 'release-relay':
        for (const [key, { leaseId }] of this.#slots) {
          if (leaseId === effect.lease.leaseId) this.#slots.delete(key);
        }
        return undefined;
      default:
        return undefined;
    }
  }

  #claim(zone: string) {
    for (let slot = 0; slot < RELAYS_PER_ZONE; slot += 1) {
      const key = `${zone}/${slot}`;
      if ((this.#slots.get(key)?.until ?? 0) > this.now) continue;
      this.#leases += 1;
      const lease = { leaseId: String(this.#leases), slot };
      this.#slots.set(key, { leaseId: lease.leaseId, until: this.now + LEASE_MS });
      return { type: 'claimed', lease } as const;
    }
    return { type: 'claim-refused' } as const;
  }

  #renew(lease: RelayLease): 'renewed' | 'lease-lapsed' {
    const held = [...this.#slots.values()].find(({ leaseId }) => leaseId === lease.leaseId);
    if (held === undefined || held.until <= this.now) return 'lease-lapsed';
    held.until = this.now + LEASE_MS;
    return 'renewed';
  }

  #openWatch(node: SimulatedNode, sinceRevision: number): void {
    if (this.storeDown) {
      this.#later(node, () => ({ type: 'watch-ended' }));
      return;
    }
    node.watching = { sinceRevision };
    if (this.headRevision > sinceRevision) this.#sendWatch(node, this.headRevision);
  }

  #sendWatch(node: SimulatedNode, revision: number): void {
    const watch = node.watching;
    if (watch === undefined || watch.sinceRevision >= revision) return;
    const delta = this.#changesSince(watch.sinceRevision);
    watch.sinceRevision = delta.revision;
    this.#later(node, () => ({ type: 'watch-delta', delta }));
  }

  #changesSince(sinceRevision: number): ConfigurationDelta {
    const entries = [...this.#entries.values()].filter(({ revision }) => revision > sinceRevision);
    return { sinceRevision, revision: this.headRevision, entries };
  }
}

function failureOf(effect: AgentEffect): AgentEvent | undefined {
  switch (effect.type) {
    case 'read-store':
      return { type: 'store-read-failed', retryAfterMs: 0 };
    case 'check-head':
      return { type: 'head-check-failed', retryAfterMs: 0 };
    case 'claim-relay':
      return { type: 'relay', event: { type: 'claim-failed', retryAfterMs: 0 } };
    case 'renew-lease':
      return { type: 'relay', event: { type: 'renewal-failed', retryAfterMs: 0 } };
    default:
      return undefined;
  }
}

function isBefore(left: Scheduled, right: Scheduled): boolean {
  return left.at === right.at ? left.order < right.order : left.at < right.at;
}
