/**
 * SWIM membership as a state machine: probes, indirect probes, suspicion, refutation, gossip with
 * bounded bytes, anti-entropy, and the machine list's seeds and leaving marks. No I/O.
 * See docs/design/membership.md.
 */
import type { Milliseconds } from '../units.js';
import type {
  ListedNode,
  MembershipEffect,
  MembershipEvent,
  MembershipMessage,
  MembershipOptions,
  NodeAddress,
} from './contract.js';
import { MachineListView } from './machine-list-view.js';
import type { Member, MemberUpdate } from './member.js';
import { MembershipState } from './membership-state.js';
import { Outbox } from './outbox.js';
import { Prober } from './prober.js';
import { RandomChoices } from './random-choices.js';
import { Synchroniser } from './synchroniser.js';
import { type Random, TargetRings } from './target-rings.js';

/** This node's own identity and address. */
export type OwnMember = Pick<MemberUpdate, 'nodeId' | 'incarnation' | 'zone' | 'host' | 'peerPort'>;

/** Number of seeds that a starting node pings at once, and of members notified of a graceful shutdown. */
const CONTACT_COUNT = 3;

/** State machine of one node's membership. */
export class MembershipStateMachine {
  readonly #options: MembershipOptions;
  readonly #state: MembershipState;
  readonly #prober: Prober;
  readonly #rings: TargetRings;
  readonly #list: MachineListView;
  readonly #outbox: Outbox;
  readonly #synchroniser: Synchroniser;
  readonly #randomChoices: RandomChoices;

  #now: Milliseconds = 0;
  #startedAt: Milliseconds | undefined;
  #hasRequestedLeave = false;
  #nextProbeAt = 0;
  #nextGossipAt = 0;
  #nextReconnectAt = 0;
  /** Sequence numbers of pings to nodes that are dead or unknown to this node. */
  #reconnectSequences = new Set<number>();

  constructor(self: OwnMember, options: MembershipOptions, random: Random) {
    this.#options = options;
    this.#prober = new Prober(options);
    this.#list = new MachineListView(self.nodeId);
    const initial = { version: 0, liveness: 'alive', leaving: false, configurationRevision: 0 };
    this.#state = new MembershipState({ ...self, ...initial } as MemberUpdate, options, {
      onMemberChanged: (event) => this.#outbox.emit({ type: 'member-changed', event }),
      onMemberLive: (update) => this.#rings.insert(update),
      onIncarnationRaised: (incarnation) =>
        this.#outbox.emit({ type: 'incarnation-raised', incarnation }),
      isListedLeaving: (nodeId) => this.#list.isLeaving(nodeId),
    });
    this.#outbox = new Outbox(this.#state, options);
    this.#randomChoices = new RandomChoices(random);
    const isLive = (nodeId: string): boolean => this.#state.isLive(nodeId);
    this.#rings = new TargetRings(self.zone, options.crossZoneFraction, random, isLive);
    this.#synchroniser = new Synchroniser(this.#state, this.#outbox, options, this.#randomChoices);
  }

  handle(event: MembershipEvent, now: Milliseconds): MembershipEffect[] {
    this.#compensatePause(now);
    this.#now = now;
    this.#dispatch(event);
    if (this.#isRunning()) this.#runTimers();
    return this.#outbox.takeEffects();
  }

  /** When the next `tick` is due; undefined if none is. */
  nextDeadline(): Milliseconds | undefined {
    if (!this.#isRunning()) return undefined;
    const gossipAt = this.#state.queue.isEmpty ? Number.POSITIVE_INFINITY : this.#nextGossipAt;
    return Math.min(
      gossipAt,
      this.#nextProbeAt,
      this.#synchroniser.nextSyncAt,
      this.#nextReconnectAt,
      this.#prober.nextDeadline(),
      this.#state.nextDeadline(),
    );
  }

  /** This node's own entry. */
  self(): Member {
    return this.#state.describe(this.#state.self);
  }

  /** All other known members, including dead ones. */
  members(): Member[] {
    return [...this.#state.table.values()].map((update) => this.#state.describe(update));
  }

  member(nodeId: string): Member | undefined {
    const known = this.#state.table.get(nodeId);
    return known === undefined ? undefined : this.#state.describe(known);
  }

  /** True once another member's whole table was compared, or if there was no node to sync with. */
  get isJoined(): boolean {
    return this.#synchroniser.isJoined;
  }

  #isRunning(): boolean {
    return this.#startedAt !== undefined && this.#state.self.liveness !== 'dead';
  }

  #dispatch(event: MembershipEvent): void {
    if (event.type === 'start') this.#handleStart(event.nodes);
    else if (this.#isRunning()) this.#dispatchRunning(event);
  }

  #dispatchRunning(event: MembershipEvent): void {
    switch (event.type) {
      case 'list-changed':
        this.#handleListChanged(event.nodes);
        return;
      case 'message':
        this.#handleMessage(event.message);
        return;
      case 'sync-requested':
        this.#synchroniser.handleRequest(event, this.#now);
        return;
      case 'sync-answered':
        this.#synchroniser.handleResponse(event, this.#now);
        return;
      case 'sync-pushed':
        this.#applyAll(event.push.sender, event.push.updates);
        return;
      case 'revision-changed':
        this.#state.updateSelf({ configurationRevision: event.configurationRevision });
        return;
      case 'leave':
        this.#state.updateSelf({ leaving: true });
        this.#nextGossipAt = this.#now;
        return;
      case 'stop':
        this.#handleStop();
        return;
      case 'link-lost':
        this.#probeNow(event.nodeId);
    }
  }

  // ---- start, machine list, graceful shutdown

  #handleStart(nodes: readonly ListedNode[]): void {
    const { probePeriodMs, reconnectPeriodMs } = this.#options;
    this.#startedAt = this.#now;
    this.#nextProbeAt = this.#now + this.#randomChoices.uniformDelay(probePeriodMs);
    this.#nextReconnectAt = this.#now + this.#randomChoices.jittered(reconnectPeriodMs);
    this.#list.replace(nodes);
    this.#state.queue.add(this.#state.self);
    for (const node of this.#randomChoices.sample(this.#list.others(), CONTACT_COUNT))
      this.#reconnect(node);
    this.#startSync();
  }

  #handleListChanged(nodes: readonly ListedNode[]): void {
    for (const nodeId of this.#list.replace(nodes)) {
      const member = this.member(nodeId);
      if (member === undefined || member.status === 'dead') continue;
      this.#outbox.emit({ type: 'member-changed', event: { change: 'updated', member } });
    }
    this.#checkOwnLeavingMark();
  }

  #checkOwnLeavingMark(): void {
    const age = this.#now - (this.#startedAt ?? this.#now);
    if (this.#hasRequestedLeave || !this.#list.shouldLeave(age, this.#options.maxMachineListLagMs))
      return;
    this.#hasRequestedLeave = true;
    this.#outbox.emit({ type: 'told-to-leave' });
  }

  #handleStop(): void {
    this.#state.updateSelf({ leaving: true, liveness: 'dead' });
    for (const nodeId of this.#rings.pick(CONTACT_COUNT)) this.#outbox.sendGossip(nodeId);
  }

  // ---- messages

  #handleMessage(message: MembershipMessage): void {
    this.#applyAll(message.sender, message.updates);
    if (message.type === 'ping') this.#handlePing(message.sequence, message.sender);
    else if (message.type === 'ping-request') this.#handlePingRequest(message);
    else if (message.type === 'ack') this.#handleAck(message.sequence, message.subject);
  }

  #applyAll(sender: MemberUpdate, updates: readonly MemberUpdate[]): void {
    this.#state.apply(sender, this.#now);
    for (const update of updates) this.#state.apply(update, this.#now);
  }

  #handlePing(sequence: number, from: MemberUpdate): void {
    this.#outbox.sendAck(from, sequence, this.#state.self, from.nodeId);
  }

  #handlePingRequest(request: Extract<MembershipMessage, { type: 'ping-request' }>): void {
    const sequence = this.#prober.startRelay(request.sender, request.sequence, this.#now);
    if (sequence !== undefined) this.#outbox.sendPing(request.target, sequence, undefined);
  }

  #handleAck(sequence: number, subject: MemberUpdate): void {
    this.#state.apply(subject, this.#now);
    const relay = this.#prober.endRelay(sequence);
    if (relay !== undefined)
      this.#outbox.sendAck(relay.requester, relay.sequence, subject, undefined);
    if (this.#reconnectSequences.delete(sequence)) this.#synchroniser.request(subject, 0);
    const target = this.#prober.endProbe(sequence);
    // Another node responds at this address, so the probed one no longer runs there.
    if (target !== undefined && target.nodeId !== subject.nodeId) {
      this.#state.declareDead(target.nodeId, this.#now);
    }
  }

  // ---- timers

  #runTimers(): void {
    this.#state.runTimers(this.#now);
    this.#runProbes();
    if (this.#now >= this.#nextProbeAt) this.#probeNext();
    if (this.#now >= this.#nextGossipAt) this.#gossip();
    if (this.#now >= this.#synchroniser.nextSyncAt) this.#startSync();
    if (this.#now >= this.#nextReconnectAt) this.#reconnectNext();
  }

  /** After a pause of this node, it must not consider the other members unresponsive. */
  #compensatePause(now: Milliseconds): void {
    const lateness = now - (this.nextDeadline() ?? now);
    if (lateness < this.#options.probePeriodMs) return;
    this.#prober.reset();
    this.#state.postpone(lateness);
  }

  #runProbes(): void {
    for (const { sequence, target } of this.#prober.takeIndirectDue(this.#now)) {
      this.#requestIndirectProbes(sequence, target);
    }
    for (const target of this.#prober.takeFailed(this.#now)) {
      this.#state.suspect(target, this.#now);
    }
  }

  #requestIndirectProbes(sequence: number, target: MemberUpdate): void {
    const { table } = this.#state;
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
    const target = this.#state.table.get(nodeId);
    if (target === undefined || target.liveness === 'dead') return;
    if (this.#prober.isProbing(nodeId)) return;
    this.#outbox.sendPing(target, this.#prober.startProbe(target, this.#now), nodeId);
  }

  #gossip(): void {
    if (this.#state.queue.isEmpty) return;
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
    const member = nodeId === undefined ? undefined : this.#state.table.get(nodeId);
    const target = member ?? this.#randomChoices.sample(this.#list.others(), 1)[0];
    this.#synchroniser.start(target, this.#now);
  }

  // ---- nodes that this node considers dead or doesn't know, but that may be alive

  #reconnectNext(): void {
    this.#nextReconnectAt =
      this.#now + this.#randomChoices.jittered(this.#options.reconnectPeriodMs);
    this.#reconnectSequences.clear();
    this.#checkOwnLeavingMark();
    const { table } = this.#state;
    const listed = this.#list.others().filter((node) => !this.#state.isLive(node.nodeId));
    const dead = this.#state.deadIds().map((nodeId) => table.get(nodeId));
    const candidates = [...listed, ...dead.filter((member) => member !== undefined)];
    for (const node of this.#randomChoices.sample(candidates, 1)) this.#reconnect(node);
  }

  #reconnect(node: NodeAddress & { readonly nodeId: string }): void {
    const sequence = this.#prober.nextSequence();
    this.#reconnectSequences.add(sequence);
    this.#outbox.sendPing(node, sequence, node.nodeId);
  }
}
