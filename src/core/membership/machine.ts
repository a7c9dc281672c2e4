/**
 * SWIM membership as a state machine: probes, indirect probes, suspicion, refutation, gossip with
 * bounded bytes, anti-entropy, and the machine list's seeds and leaving marks. No I/O.
 * See docs/design/membership.md.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../units.js';
import { answerSync, pushAfterAnswer } from './anti-entropy.js';
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
import { type Member, type MemberUpdate, updateBytes } from './member.js';
import { Prober } from './prober.js';
import { type Random, TargetRings } from './target-rings.js';

/** Who this node is, at start. */
export type SelfDescription = Pick<
  MemberUpdate,
  'nodeId' | 'incarnation' | 'zone' | 'host' | 'peerPort'
>;

/** Bytes of a datagram besides its updates: IP and UDP headers, type, sequence, MAC. */
export const DATAGRAM_OVERHEAD_BYTES = 64;
/** Seeds that a starting node contacts at once, and members told of a planned stop. */
const INITIAL_PINGS = 3;
/** Periods vary by this share either way, so that nodes do not fall into step. */
const JITTER_SHARE = 0.25;

export class MembershipMachine {
  readonly #options: MembershipOptions;
  readonly #random: Random;
  readonly #knowledge: MembershipKnowledge;
  readonly #prober: Prober;
  readonly #rings: TargetRings;
  readonly #list: MachineListView;

  #effects: MembershipEffect[] = [];
  #now: Milliseconds = 0;
  #startedAt: Milliseconds | undefined;
  #joined = false;
  #toldToLeave = false;
  #nextProbeAt = 0;
  #nextGossipAt = 0;
  #nextSyncAt = 0;
  #nextReconnectAt = 0;
  #syncPeriodMs: Milliseconds;
  /** Sequences of pings to nodes that are dead or unknown to this node. */
  #reconnects = new Set<number>();
  /** Bytes that gossip may still send now. */
  #gossipTokens = 0;

  constructor(self: SelfDescription, options: MembershipOptions, random: Random) {
    this.#options = options;
    this.#syncPeriodMs = options.probePeriodMs;
    this.#random = random;
    this.#prober = new Prober(options);
    this.#list = new MachineListView(self.nodeId);
    const initial = { version: 0, liveness: 'alive', leaving: false, configurationRevision: 0 };
    this.#knowledge = new MembershipKnowledge({ ...self, ...initial } as MemberUpdate, options, {
      onMemberChanged: (event) => this.#emit({ type: 'member-changed', event }),
      onMemberLive: (update) => this.#rings.insert(update),
      onIncarnationRaised: (incarnation) => this.#emit({ type: 'incarnation-raised', incarnation }),
      isListedLeaving: (nodeId) => this.#list.isLeaving(nodeId),
    });
    const isLive = (nodeId: string): boolean => this.#knowledge.isLive(nodeId);
    this.#rings = new TargetRings(self.zone, options.remoteShare, random, isLive);
  }

  handle(event: MembershipEvent, now: Milliseconds): MembershipEffect[] {
    this.#compensatePause(now);
    this.#now = now;
    this.#dispatch(event);
    if (this.#isRunning()) this.#runTimers();
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** When a `tick` is next wanted, or undefined if none is. */
  nextDeadline(): Milliseconds | undefined {
    if (!this.#isRunning()) return undefined;
    const gossipAt = this.#knowledge.queue.isEmpty ? Number.POSITIVE_INFINITY : this.#nextGossipAt;
    return Math.min(
      gossipAt,
      this.#nextProbeAt,
      this.#nextSyncAt,
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
    return this.#joined;
  }

  #isRunning(): boolean {
    return this.#startedAt !== undefined && this.#knowledge.self.liveness !== 'dead';
  }

  #emit(effect: MembershipEffect): void {
    this.#effects.push(effect);
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
        this.#onSyncRequested(event);
        return;
      case 'sync-answered':
        this.#onSyncAnswered(event);
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
    this.#nextProbeAt = this.#now + this.#random() * probePeriodMs;
    this.#nextReconnectAt = this.#now + this.#jittered(reconnectPeriodMs);
    this.#list.replace(nodes);
    this.#knowledge.queue.add(this.#knowledge.self);
    for (const node of this.#sample(this.#list.others(), INITIAL_PINGS)) this.#reconnect(node);
    this.#startSync();
  }

  #onListChanged(nodes: readonly ListedNode[]): void {
    for (const nodeId of this.#list.replace(nodes)) {
      const member = this.member(nodeId);
      if (member === undefined || member.status === 'dead') continue;
      this.#emit({ type: 'member-changed', event: { change: 'updated', member } });
    }
    this.#checkOwnMark();
  }

  #checkOwnMark(): void {
    const age = this.#now - (this.#startedAt ?? this.#now);
    if (this.#toldToLeave || !this.#list.tellsSelfToLeave(age, this.#options.listLagMs)) return;
    this.#toldToLeave = true;
    this.#emit({ type: 'told-to-leave' });
  }

  #onStop(): void {
    this.#knowledge.updateSelf({ leaving: true, liveness: 'dead' });
    for (const nodeId of this.#rings.pick(INITIAL_PINGS)) this.#sendGossip(nodeId);
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
    this.#sendAck(from, sequence, this.#knowledge.self, from.nodeId);
  }

  #onPingRequest(request: Extract<MembershipMessage, { type: 'ping-request' }>): void {
    const sequence = this.#prober.beginRelay(request.sender, request.sequence, this.#now);
    if (sequence !== undefined) this.#sendPing(request.target, sequence, undefined);
  }

  #onAck(sequence: number, subject: MemberUpdate): void {
    this.#knowledge.apply(subject, this.#now);
    const relay = this.#prober.endRelay(sequence);
    if (relay !== undefined) this.#sendAck(relay.requester, relay.sequence, subject, undefined);
    if (this.#reconnects.delete(sequence)) this.#requestSync(subject, 0);
    const target = this.#prober.end(sequence);
    // Another node answers at this address, so the one that was there before is gone.
    if (target !== undefined && target.nodeId !== subject.nodeId) {
      this.#knowledge.declareDead(target.nodeId, this.#now);
    }
  }

  #sendPing(to: NodeAddress, sequence: number, nodeId: string | undefined): void {
    this.#send(to, { type: 'ping', sequence, ...this.#envelope(nodeId) });
  }

  #sendAck(
    to: NodeAddress,
    sequence: number,
    subject: MemberUpdate,
    nodeId: string | undefined,
  ): void {
    this.#send(to, { type: 'ack', sequence, subject, ...this.#envelope(nodeId) });
  }

  #send(to: NodeAddress, message: MembershipMessage): void {
    this.#emit({ type: 'send', to: { host: to.host, peerPort: to.peerPort }, message });
  }

  /** Sender and updates of a message. A receiver that is wrongly held for silent is told so first. */
  #envelope(receiver: string | undefined): { sender: MemberUpdate; updates: MemberUpdate[] } {
    const { self, table, queue } = this.#knowledge;
    const known = receiver === undefined ? undefined : table.get(receiver);
    const first = known !== undefined && known.liveness !== 'alive' ? [known] : [];
    const room =
      this.#options.maxUpdateBytes - first.reduce((sum, one) => sum + updateBytes(one), 0);
    return { sender: self, updates: [...first, ...queue.take(room, this.#knowledge.maxSends())] };
  }

  // ---- timers

  #runTimers(): void {
    this.#knowledge.runTimers(this.#now);
    this.#runProbes();
    if (this.#now >= this.#nextProbeAt) this.#probeNext();
    if (this.#now >= this.#nextGossipAt) this.#gossip();
    if (this.#now >= this.#nextSyncAt) this.#startSync();
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
    for (const nodeId of this.#rings.pick(this.#options.indirectProbes, target.nodeId)) {
      const helper = table.get(nodeId);
      if (helper === undefined) continue;
      const envelope = this.#envelope(nodeId);
      this.#send(helper, { type: 'ping-request', sequence, target: address, ...envelope });
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
    this.#sendPing(target, this.#prober.begin(target, this.#now), nodeId);
  }

  #gossip(): void {
    if (this.#knowledge.queue.isEmpty) return;
    const { gossipPeriodMs, gossipFanout, gossipBytesPerSecond } = this.#options;
    this.#nextGossipAt = this.#now + gossipPeriodMs;
    const refill = (gossipBytesPerSecond * gossipPeriodMs) / MILLISECONDS_PER_SECOND;
    this.#gossipTokens = Math.min(gossipBytesPerSecond, this.#gossipTokens + refill);
    for (const nodeId of this.#rings.pick(gossipFanout)) {
      if (this.#gossipTokens < 0 || this.#knowledge.queue.isEmpty) return;
      this.#sendGossip(nodeId);
    }
  }

  #sendGossip(nodeId: string): void {
    const member = this.#knowledge.table.get(nodeId);
    if (member === undefined) return;
    const envelope = this.#envelope(nodeId);
    this.#gossipTokens -= envelopeBytes(envelope.sender, envelope.updates);
    this.#send(member, { type: 'gossip', ...envelope });
  }

  // ---- nodes that are dead or unknown here but may be alive

  #reconnectNext(): void {
    this.#nextReconnectAt = this.#now + this.#jittered(this.#options.reconnectPeriodMs);
    this.#reconnects.clear();
    this.#checkOwnMark();
    const { table } = this.#knowledge;
    const listed = this.#list.others().filter((node) => !this.#knowledge.isLive(node.nodeId));
    const dead = this.#knowledge.deadIds().map((nodeId) => table.get(nodeId));
    const candidates = [...listed, ...dead.filter((member) => member !== undefined)];
    for (const node of this.#sample(candidates, 1)) this.#reconnect(node);
  }

  #reconnect(node: NodeAddress & { readonly nodeId: string }): void {
    const sequence = this.#prober.nextSequence();
    this.#reconnects.add(sequence);
    this.#sendPing(node, sequence, node.nodeId);
  }

  // ---- anti-entropy

  #startSync(): void {
    this.#nextSyncAt = this.#now + this.#jittered(this.#syncPeriodMs);
    if (this.#joined) {
      this.#syncPeriodMs = Math.min(this.#options.syncPeriodMs, this.#syncPeriodMs * 2);
    }
    const [nodeId] = this.#rings.pick(1);
    const member = nodeId === undefined ? undefined : this.#knowledge.table.get(nodeId);
    const target = member ?? this.#sample(this.#list.others(), 1)[0];
    if (target === undefined) this.#joined = true;
    else this.#requestSync(target, 0);
  }

  #requestSync(to: NodeAddress, cursor: number): void {
    const { self, table } = this.#knowledge;
    const request = { sender: self, digests: table.digests(), cursor };
    this.#emit({ type: 'sync', to: { host: to.host, peerPort: to.peerPort }, request });
  }

  #onSyncRequested(event: Extract<MembershipEvent, { type: 'sync-requested' }>): void {
    const { requestId, request } = event;
    const { self, table } = this.#knowledge;
    this.#knowledge.apply(request.sender, this.#now);
    const answer = answerSync(table, self, request, this.#options.maxSyncMembers);
    this.#emit({ type: 'sync-reply', requestId, answer });
  }

  #onSyncAnswered(event: Extract<MembershipEvent, { type: 'sync-answered' }>): void {
    const { from, cursor, answer } = event;
    this.#knowledge.apply(answer.sender, this.#now);
    for (const update of answer.updates) {
      this.#knowledge.apply(update, this.#now, this.#joined);
    }
    const { self, table } = this.#knowledge;
    const push = pushAfterAnswer(table, self, answer, cursor, this.#options.maxSyncMembers);
    if (push !== undefined) this.#emit({ type: 'sync-push', to: from, push });
    if (answer.nextCursor === undefined) this.#joined = true;
    else this.#requestSync(from, answer.nextCursor);
  }

  // ---- randomness

  #jittered(period: Milliseconds): Milliseconds {
    return period * (1 - JITTER_SHARE + 2 * JITTER_SHARE * this.#random());
  }

  #sample<Item>(items: readonly Item[], count: number): Item[] {
    const pool = [...items];
    const chosen: Item[] = [];
    while (pool.length > 0 && chosen.length < count) {
      chosen.push(...pool.splice(Math.floor(this.#random() * pool.length), 1));
    }
    return chosen;
  }
}

function envelopeBytes(sender: MemberUpdate, updates: readonly MemberUpdate[]): number {
  const bytes = updates.reduce((sum, update) => sum + updateBytes(update), updateBytes(sender));
  return bytes + DATAGRAM_OVERHEAD_BYTES;
}
