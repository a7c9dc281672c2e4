/**
 * SWIM membership as a state machine: probes, indirect probes, suspicion, refutation, gossip with
 * bounded bytes, anti-entropy, and the machine list's seeds and leaving marks. No I/O.
 * See docs/design/membership.md.
 */
import type { Milliseconds } from '../units.js';
import { Chance } from './chance.js';
import type {
  ListedNode,
  MembershipEffect,
  MembershipEvent,
  MembershipMessage,
  MembershipOptions,
  NodeAddress,
} from './contract.js';
import { MembershipKnowledge } from './knowledge.js';
import { MachineListView } from './machine-list-view.js';
import type { Member, MemberUpdate } from './member.js';
import { Outbox } from './outbox.js';
import { Prober } from './prober.js';
import { Synchroniser } from './synchroniser.js';
import { type Random, TargetRings } from './target-rings.js';

/** Who this node is, at start. */
export type SelfDescription = Pick<
  MemberUpdate,
  'nodeId' | 'incarnation' | 'zone' | 'host' | 'peerPort'
>;

/** Seeds that a starting node contacts at once, and members told of a planned stop. */
const INITIAL_PINGS = 3;

/** One node's membership. */
export class MembershipMachine {
  readonly #options: MembershipOptions;
  readonly #knowledge: MembershipKnowledge;
  readonly #prober: Prober;
  readonly #rings: TargetRings;
  readonly #list: MachineListView;
  readonly #outbox: Outbox;
  readonly #synchroniser: Synchroniser;
  readonly #chance: Chance;

  #now: Milliseconds = 0;
  #startedAt: Milliseconds | undefined;
  #toldToLeave = false;
  #nextProbeAt = 0;
  #nextGossipAt = 0;
  #nextReconnectAt = 0;
  /** Sequences of pings to nodes that are dead or unknown to this node. */
  #reconnects = new Set<number>();

  constructor(self: SelfDescription, options: MembershipOptions, random: Random) {
    this.#options = options;
    this.#prober = new Prober(options);
    this.#list = new MachineListView(self.nodeId);
    const initial = { version: 0, liveness: 'alive', leaving: false, configurationRevision: 0 };
    this.#knowledge = new MembershipKnowledge({ ...self, ...initial } as MemberUpdate, options, {
      onMemberChanged: (event) => this.#outbox.emit({ type: 'member-changed', event }),
      onMemberLive: (update) => this.#rings.insert(update),
      onIncarnationRaised: (incarnation) =>
        this.#outbox.emit({ type: 'incarnation-raised', incarnation }),
      isListedLeaving: (nodeId) => this.#list.isLeaving(nodeId),
    });
    this.#outbox = new Outbox(this.#knowledge, options);
    this.#chance = new Chance(random);
    const isLive = (nodeId: string): boolean => this.#knowledge.isLive(nodeId);
    this.#rings = new TargetRings(self.zone, options.crossZoneFraction, random, isLive);
    this.#synchroniser = new Synchroniser(this.#knowledge, this.#outbox, options, this.#chance);
  }

  handle(event: MembershipEvent, now: Milliseconds): MembershipEffect[] {
    this.#compensatePause(now);
    this.#now = now;
    this.#dispatch(event);
    if (this.#isRunning()) this.#runTimers();
    return this.#outbox.takeEffects();
  }

  /** When a `tick` is next wanted, or undefined if none is. */
  nextDeadline(): Milliseconds | undefined {
    if (!this.#isRunning()) return undefined;
    const gossipAt = this.#knowledge.queue.isEmpty ? Number.POSITIVE_INFINITY : this.#nextGossipAt;
    return Math.min(
      gossipAt,
      this.#nextProbeAt,
      this.#synchroniser.nextSyncAt,
      this.#nextReconnectAt,
      this.#prober.nextDeadline(),
      this.#knowledge.nextDeadline(),
    );
  }

  /** This node as others see it. */
  self(): Member {
    return this.#knowledge.describe(this.#knowledge.self);
  }

  /** All other members known, dead ones included. */
  members(): Member[] {
    return [...this.#knowledge.table.values()].map((update) => this.#knowledge.describe(update));
  }

  member(nodeId: string): Member | undefined {
    const known = this.#knowledge.table.get(nodeId);
    return known === undefined ? undefined : this.#knowledge.describe(known);
  }

  /** True once another member's whole table was taken in, or there was nobody to ask. */
  get isJoined(): boolean {
    return this.#synchroniser.isJoined;
  }

  #isRunning(): boolean {
    return this.#startedAt !== undefined && this.#knowledge.self.liveness !== 'dead';
  }

  #dispatch(event: MembershipEvent): void {
    if (event.type === 'start') this.#onStart(event.nodes);
    else if (this.#isRunning()) this.#dispatchRunning(event);
  }

  #dispatchRunning(event: MembershipEvent): void {
    switch (event.type) {
      case 'list-changed':
        this.#onListChanged(event.nodes);
        return;
      case 'message':
        this.#onMessage(event.message);
        return;
      case 'sync-requested':
        this.#synchroniser.onRequested(event, this.#now);
        return;
      case 'sync-answered':
        this.#synchroniser.onAnswered(event, this.#now);
        return;
      case 'sync-pushed':
        this.#applyAll(event.push.sender, event.push.updates);
        return;
      case 'revision-changed':
        this.#knowledge.updateSelf({ configurationRevision: event.configurationRevision });
        return;
      case 'leave':
        this.#knowledge.updateSelf({ leaving: true });
        this.#nextGossipAt = this.#now;
        return;
      case 'stop':
        this.#onStop();
        return;
      case 'link-lost':
        this.#probeNow(event.nodeId);
    }
  }

  // ---- start, machine list, planned stop

  #onStart(nodes: readonly ListedNode[]): void {
    const { probePeriodMs, reconnectPeriodMs } = this.#options;
    this.#startedAt = this.#now;
    this.#nextProbeAt = this.#now + this.#chance.within(probePeriodMs);
    this.#nextReconnectAt = this.#now + this.#chance.jittered(reconnectPeriodMs);
    this.#list.replace(nodes);
    this.#knowledge.queue.add(this.#knowledge.self);
    for (const node of this.#chance.sample(this.#list.others(), INITIAL_PINGS))
      this.#reconnect(node);
    this.#startSync();
  }

  #onListChanged(nodes: readonly ListedNode[]): void {
    for (const nodeId of this.#list.replace(nodes)) {
      const member = this.member(nodeId);
      if (member === undefined || member.status === 'dead') continue;
      this.#outbox.emit({ type: 'member-changed', event: { change: 'updated', member } });
    }
    this.#checkOwnMark();
  }

  #checkOwnMark(): void {
    const age = this.#now - (this.#startedAt ?? this.#now);
    if (this.#toldToLeave || !this.#list.tellsSelfToLeave(age, this.#options.maxMachineListLagMs))
      return;
    this.#toldToLeave = true;
    this.#outbox.emit({ type: 'told-to-leave' });
  }

  #onStop(): void {
    this.#knowledge.updateSelf({ leaving: true, liveness: 'dead' });
    for (const nodeId of this.#rings.pick(INITIAL_PINGS)) this.#outbox.sendGossip(nodeId);
  }

  // ---- messages

  #onMessage(message: MembershipMessage): void {
    this.#applyAll(message.sender, message.updates);
    if (message.type === 'ping') this.#onPing(message.sequence, message.sender);
    else if (message.type === 'ping-request') this.#onPingRequest(message);
    else if (message.type === 'ack') this.#onAck(message.sequence, message.subject);
  }

  #applyAll(sender: MemberUpdate, updates: readonly MemberUpdate[]): void {
    this.#knowledge.apply(sender, this.#now);
    for (const update of updates) this.#knowledge.apply(update, this.#now);
  }

  #onPing(sequence: number, from: MemberUpdate): void {
    this.#outbox.sendAck(from, sequence, this.#knowledge.self, from.nodeId);
  }

  #onPingRequest(request: Extract<MembershipMessage, { type: 'ping-request' }>): void {
    const sequence = this.#prober.beginRelay(request.sender, request.sequence, this.#now);
    if (sequence !== undefined) this.#outbox.sendPing(request.target, sequence, undefined);
  }

  #onAck(sequence: number, subject: MemberUpdate): void {
    this.#knowledge.apply(subject, this.#now);
    const relay = this.#prober.endRelay(sequence);
    if (relay !== undefined)
      this.#outbox.sendAck(relay.requester, relay.sequence, subject, undefined);
    if (this.#reconnects.delete(sequence)) this.#synchroniser.request(subject, 0);
    const target = this.#prober.end(sequence);
    // Another node answers at this address, so the one that was there before is gone.
    if (target !== undefined && target.nodeId !== subject.nodeId) {
      this.#knowledge.declareDead(target.nodeId, this.#now);
    }
  }

  // ---- timers

  #runTimers(): void {
    this.#knowledge.runTimers(this.#now);
    this.#runProbes();
    if (this.#now >= this.#nextProbeAt) this.#probeNext();
    if (this.#now >= this.#nextGossipAt) this.#gossip();
    if (this.#now >= this.#synchroniser.nextSyncAt) this.#startSync();
    if (this.#now >= this.#nextReconnectAt) this.#reconnectNext();
  }

  /** A node that was paused must not hold the others for silent. */
  #compensatePause(now: Milliseconds): void {
    const lateness = now - (this.nextDeadline() ?? now);
    if (lateness < this.#options.probePeriodMs) return;
    this.#prober.reset();
    this.#knowledge.postpone(lateness);
  }

  #runProbes(): void {
    for (const { sequence, target } of this.#prober.takeIndirect(this.#now)) {
      this.#askOthers(sequence, target);
    }
    for (const target of this.#prober.takeFailed(this.#now)) {
      this.#knowledge.suspect(target, this.#now);
    }
  }

  #askOthers(sequence: number, target: MemberUpdate): void {
    const { table } = this.#knowledge;
    const address = { host: target.host, peerPort: target.peerPort };
    for (const nodeId of this.#rings.pick(this.#options.indirectProbeCount, target.nodeId)) {
      const helper = table.get(nodeId);
      if (helper !== undefined) this.#outbox.sendPingRequest(helper, sequence, address);
    }
  }

  #probeNext(): void {
    this.#nextProbeAt = this.#now + this.#options.probePeriodMs;
    const nodeId = this.#rings.next();
    if (nodeId !== undefined) this.#probeNow(nodeId);
  }

  #probeNow(nodeId: string): void {
    const target = this.#knowledge.table.get(nodeId);
    if (target === undefined || target.liveness === 'dead') return;
    if (this.#prober.isProbing(nodeId)) return;
    this.#outbox.sendPing(target, this.#prober.begin(target, this.#now), nodeId);
  }

  #gossip(): void {
    if (this.#knowledge.queue.isEmpty) return;
    const { gossipPeriodMs, gossipFanout } = this.#options;
    this.#nextGossipAt = this.#now + gossipPeriodMs;
    this.#outbox.refillGossip();
    for (const nodeId of this.#rings.pick(gossipFanout)) {
      if (!this.#outbox.mayGossip) return;
      this.#outbox.sendGossip(nodeId);
    }
  }

  #startSync(): void {
    const [nodeId] = this.#rings.pick(1);
    const member = nodeId === undefined ? undefined : this.#knowledge.table.get(nodeId);
    const target = member ?? this.#chance.sample(this.#list.others(), 1)[0];
    this.#synchroniser.start(target, this.#now);
  }

  // ---- nodes that are dead or unknown here but may be alive

  #reconnectNext(): void {
    this.#nextReconnectAt = this.#now + this.#chance.jittered(this.#options.reconnectPeriodMs);
    this.#reconnects.clear();
    this.#checkOwnMark();
    const { table } = this.#knowledge;
    const listed = this.#list.others().filter((node) => !this.#knowledge.isLive(node.nodeId));
    const dead = this.#knowledge.deadIds().map((nodeId) => table.get(nodeId));
    const candidates = [...listed, ...dead.filter((member) => member !== undefined)];
    for (const node of this.#chance.sample(candidates, 1)) this.#reconnect(node);
  }

  #reconnect(node: NodeAddress & { readonly nodeId: string }): void {
    const sequence = this.#prober.nextSequence();
    this.#reconnects.add(sequence);
    this.#outbox.sendPing(node, sequence, node.nodeId);
  }
}
